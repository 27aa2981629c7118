//! Requests that wait behind a body which a server reads after its answer, while the server leaves.

use std::env;
use std::path::Path;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use review_standins::gateway::Gateway;
use review_standins::record::Record;
use review_standins::server::Pace;
use review_standins::server::Server;
use review_standins::store::Store;

/// `DrainMs` and `StableMs` of the sheet.
const DRAIN_MS: u64 = 2_000;
const STABLE_MS: u64 = 3_000;

/// The size of a long body: below `MaxBodyBytes`.
const BODY_BYTES: usize = 2_000_000;

/// The server reads a long body at about 0.6 MB a second, without a stop.
const PACE: Pace = Pace {
    part: 12_000,
    pause: Duration::from_millis(20),
};

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
 {"Name":"early","Host":"h.example","Prefix":"/early/","Kind":"unsafe","TimeoutMs":5000,
  "TargetLatencyMs":500,"Priority":0,"Service":"desk","MaxAttempts":2},
 {"Name":"book","Host":"h.example","Prefix":"/book/","Kind":"unsafe","TimeoutMs":5000,
  "TargetLatencyMs":500,"Priority":0,"Service":"desk","MaxAttempts":2}],
 "Services":[{"Name":"desk","MaxConns":100,"HealthPath":"/healthz"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"school","ApiKeys":["key-1"],"Priority":0}]}"#;

fn main() {
    let mut arguments = env::args_os().skip(1).map(PathBuf::from);
    let [program, folder, record] = [(); 3].map(|()| arguments.next().unwrap());
    let trouble = env::var("TROUBLE").is_ok_and(|it| it == "0");
    let code = run(&program, &folder, &Record::begin(&record), !trouble);
    exit(code);
}

fn run(program: &Path, folder: &Path, record: &Record, early: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", CONFIGURATION.as_bytes());
    let work = Duration::from_millis(15);
    let leaving = Server::start_early("s1", work, early.then_some(PACE), record);
    let other = Server::start("s2", work, record);
    store.put("servers/s1", leaving.entry("desk", "ready").as_bytes());
    let gateway = Gateway::start(program, folder, "front-2", "127.0.0.2", store.address);
    if !gateway.wait_ready() {
        record.add("the process was not ready in 20 s");
        return 2;
    }
    sleep(Duration::from_millis(STABLE_MS + 500));
    // The server's speed is known after a few requests, and all its slots are used from then on.
    for number in 0..20 {
        gateway.call(&format!("warm{number}"), "/book/1", 5_000, record);
    }

    // A long body, and a short one soon after that is answered. Then the server leaves, and another
    // one is there.
    let body = vec![b'x'; BODY_BYTES];
    gateway.call_with_body("long", "/early/1", 5_000, &body, record);
    sleep(Duration::from_millis(50));
    let mut ack = 0;
    thread::scope(|scope| {
        scope.spawn(|| gateway.call("short", "/book/1", 5_000, record));
        sleep(Duration::from_millis(400));
        store.put("servers/s2", other.entry("desk", "ready").as_bytes());
        store.put("servers/s1", leaving.entry("desk", "draining").as_bytes());
        ack = record.add("the store acks that s1 is draining; s2 is ready");
    });
    sleep(Duration::from_secs(1));

    let late = leaving.runs();
    let late = late.iter().filter(|it| it.at_ms > ack + DRAIN_MS).count();
    record.add(&format!(
        "{late} requests reached s1 later than DrainMs after the ack"
    ));
    i32::from(late > 0)
}
