//! Streams that end with the channel, at processes that are killed or stopped.

use std::env;
use std::path::Path;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use review_standins::gateway::Gateway;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::stream_client::read_stream;
use review_standins::stream_server::StreamServer;

/// How many streams run at each process.
const REQUESTERS: usize = 2;

/// The pause before each event: a stream lasts 12 seconds.
const PAUSE: Duration = Duration::from_millis(600);

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
 {"Name":"answer","Host":"h.example","Prefix":"/answer/","Kind":"stream","TimeoutMs":15000,
  "TargetLatencyMs":1200,"GapTargetMs":400,"Priority":0,"Service":"chat","MaxAttempts":2,
  "Resumable":true}],
 "Services":[{"Name":"chat","MaxConns":100,"HealthPath":"/healthz"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"school","ApiKeys":["key-1"],"Priority":0}]}"#;

fn main() {
    let mut arguments = env::args_os().skip(1).map(PathBuf::from);
    let [program, folder, record] = [(); 3].map(|()| arguments.next().unwrap());
    let trouble = env::var("TROUBLE").is_ok_and(|it| it == "0");
    let code = run(&program, &folder, &Record::begin(&record), !trouble);
    exit(code);
}

fn run(program: &Path, folder: &Path, record: &Record, kill: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", CONFIGURATION.as_bytes());
    let servers = ["s1", "s2"].map(|id| StreamServer::start(id, PAUSE, None, false, record));
    for server in &servers {
        let key = format!("servers/{}", server.id);
        store.put(&key, server.entry("chat").as_bytes());
    }
    let mut gateways = ["127.0.0.2", "127.0.0.3", "127.0.0.4"].map(|ip| {
        let name = format!("front-{}", &ip[8..]);
        Gateway::start(program, folder, &name, ip, store.address)
    });
    if !gateways.iter().all(Gateway::wait_ready) {
        record.add("a process was not ready in 20 s");
        return 2;
    }
    sleep(Duration::from_secs(4));
    let fronts = gateways.each_ref().map(|it| it.front);
    let mut answers = Vec::new();
    thread::scope(|scope| {
        let requesters: Vec<_> = (0..fronts.len() * REQUESTERS)
            .map(|number| {
                let front = fronts[number % fronts.len()];
                scope.spawn(move || read_stream(front, &format!("stream{number}"), record))
            })
            .collect();
        sleep(Duration::from_secs(3));
        if kill {
            record.add("the process of front-2 is killed; that of front-3 gets SIGTERM");
            gateways[0].kill_and_restart();
            gateways[1].stop();
            gateways[1].wait();
            record.add("the process of front-3 has ended");
        }
        answers.extend(requesters.into_iter().map(|it| it.join().unwrap()));
    });
    let complete = answers.iter().filter(|it| it.is_complete()).count();
    let mut wrong = 0;
    for (index, front) in fronts.iter().enumerate() {
        let own = answers.iter().skip(index).step_by(fronts.len());
        let own = own.filter(|it| it.looks_complete() && !it.is_complete());
        let count = own.count();
        record.add(&format!(
            "{front}: {count} answers look complete and are not"
        ));
        wrong += count;
    }
    record.add(&format!(
        "{complete} answers are complete; {wrong} look so and are not"
    ));
    if complete < REQUESTERS {
        return 2;
    }
    i32::from(wrong > 0)
}
