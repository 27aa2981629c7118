//! Streams whose server is silent for a while, and which go on at a server that ends its answers with
//! the channel.

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

/// `StableMs` of the sheet.
const STABLE_MS: u64 = 3_000;

/// The pause before each event.
const PAUSE: Duration = Duration::from_millis(100);

/// How many streams begin at once.
const REQUESTERS: usize = 4;

/// How often they begin.
const ROUNDS: usize = 3;

/// The event after which the first server is silent, and for how long.
const SILENCE: (u32, Duration) = (5, Duration::from_millis(1_500));

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
 {"Name":"answer","Host":"h.example","Prefix":"/answer/","Kind":"stream","TimeoutMs":12000,
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

fn run(program: &Path, folder: &Path, record: &Record, silent: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", CONFIGURATION.as_bytes());
    let first = StreamServer::start("s1", PAUSE, silent.then_some(SILENCE), true, record);
    let second = StreamServer::start("s2", PAUSE, None, false, record);
    store.put("servers/s1", first.entry("chat").as_bytes());
    let gateway = Gateway::start(program, folder, "front-2", "127.0.0.2", store.address);
    if !gateway.wait_ready() {
        record.add("the process was not ready in 20 s");
        return 2;
    }
    sleep(Duration::from_millis(STABLE_MS + 500));

    let mut lost = 0;
    for round in 0..ROUNDS {
        // Planned work: the machine gets SIGHUP, with its settings as they were.
        gateway.hang_up();
        record.add("SIGHUP");
        sleep(Duration::from_millis(200));
        thread::scope(|scope| {
            let requesters: Vec<_> = (0..REQUESTERS)
                .map(|number| {
                    let (gateway, id) = (&gateway, format!("stream{round}n{number}"));
                    scope.spawn(move || read_stream(gateway.front, &id, record).is_complete())
                })
                .collect();
            if round == 0 {
                // Another server is added while the streams run.
                sleep(Duration::from_millis(300));
                store.put("servers/s2", second.entry("chat").as_bytes());
                record.add("s2 is ready");
            }
            let ends = requesters.into_iter().map(|it| it.join().unwrap());
            lost += ends.filter(|complete| !complete).count();
        });
    }
    let sent = ROUNDS * REQUESTERS;
    record.add(&format!(
        "{lost} of {sent} streams ended without a complete answer"
    ));
    i32::from(lost > 0)
}
