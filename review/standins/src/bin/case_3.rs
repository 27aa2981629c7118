//! Servers whose entries in the store were replaced by ones that name no server to use.

use std::env;
use std::path::Path;
use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use review_standins::gateway::Gateway;
use review_standins::record::Record;
use review_standins::server::Server;
use review_standins::store::Store;

/// `DrainMs` and `StableMs` of the sheet.
const DRAIN_MS: u64 = 3_000;
const STABLE_MS: u64 = 4_000;

/// How long the servers whose entries were replaced are watched after that.
const WATCHED_MS: u64 = 10_000;

/// How many requesters send at once.
const REQUESTERS: usize = 8;

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
 {"Name":"book","Host":"h.example","Prefix":"/book/","Kind":"unsafe","TimeoutMs":2000,
  "TargetLatencyMs":300,"Priority":0,"Service":"desk","MaxAttempts":2}],
 "Services":[{"Name":"desk","MaxConns":100,"HealthPath":"/healthz"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"school","ApiKeys":["key-1"],"Priority":0}]}"#;

fn main() {
    let mut arguments = env::args_os().skip(1).map(PathBuf::from);
    let [program, folder, record] = [(); 3].map(|()| arguments.next().unwrap());
    let trouble = env::var("TROUBLE").is_ok_and(|it| it == "0");
    let code = run(&program, &folder, &Record::begin(&record), !trouble);
    exit(code);
}

fn run(program: &Path, folder: &Path, record: &Record, trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", CONFIGURATION.as_bytes());
    let work = Duration::from_millis(30);
    let servers = ["s1", "s2", "s3", "s4", "s5"].map(|id| Server::start(id, work, record));
    for server in &servers {
        let key = format!("servers/{}", server.id);
        store.put(&key, server.entry("desk", "ready").as_bytes());
    }
    let gateways = ["127.0.0.2", "127.0.0.3"];
    let gateways = gateways.map(|ip| {
        let name = format!("front-{}", &ip[8..]);
        Gateway::start(program, folder, &name, ip, store.address)
    });
    if !gateways.iter().all(Gateway::wait_ready) {
        record.add("a process was not ready in 20 s");
        return 2;
    }
    // From here on the processes are in touch.
    sleep(Duration::from_millis(STABLE_MS + 500));
    let served = send(&gateways, record, record.now() + 2_000, "a");
    let idle = servers.iter().filter(|it| it.runs().is_empty()).count();
    if served == 0 || idle > 0 {
        record.add(&format!(
            "{served} served before the change, {idle} servers without work"
        ));
        return 2;
    }

    // s1 to s3 leave. They serve for longer than `DrainMs`, as the pages say, here until the end.
    let names = ["s1", "s2", "s3"];
    let leaving: Vec<_> = servers
        .iter()
        .filter(|it| names.contains(&&*it.id))
        .collect();
    let mut acks = Vec::new();
    for server in &leaving {
        let entry = if trouble {
            foreign_entry(server)
        } else {
            server.entry("desk", "draining").into_bytes()
        };
        let text = entry.escape_ascii().to_string().replace("\\\"", "\"");
        store.put(&format!("servers/{}", server.id), &entry);
        acks.push(record.add(&format!("the store acks servers/{} = {text}", server.id)));
    }
    let sent = record.now();
    send(&gateways, record, sent + WATCHED_MS, "b");

    let mut broken = 0;
    for (server, ack) in leaving.iter().zip(acks) {
        let late = server.runs();
        let late = late.iter().filter(|it| it.at_ms > ack + DRAIN_MS);
        // Of those, the ones that were sent by then are not counted.
        let late = late.filter(|it| sent_at(&it.id) > ack + DRAIN_MS).count();
        let id = &server.id;
        record.add(&format!(
            "{late} requests that were sent later than DrainMs after the ack ran at {id}"
        ));
        broken += late;
    }
    i32::from(broken > 0)
}

// Returns an entry of another writer: a field is missing, the state is not one that the pages name,
// or the bytes cannot be read.
fn foreign_entry(server: &Server) -> Vec<u8> {
    match &*server.id {
        "s1" => br#"{"Service":"desk","State":"draining"}"#.to_vec(),
        "s2" => server.entry("desk", "retired").into_bytes(),
        _ => vec![0xff, 0xfe, 0x00, 0x80],
    }
}

// Sends requests until a time, from several requesters at once, and returns how many were served.
// The id of a request holds the time at which it was sent.
fn send(gateways: &[Gateway], record: &Record, until: u64, phase: &str) -> u32 {
    let served = AtomicU32::new(0);
    thread::scope(|scope| {
        for requester in 0..REQUESTERS {
            let gateway = &gateways[requester % gateways.len()];
            let served = &served;
            scope.spawn(move || {
                let mut number = 0;
                while record.now() < until {
                    number += 1;
                    let id = format!("{phase}{requester}x{number}-{}", record.now());
                    let answer = gateway.call(&id, "/book/1", 2_000, record);
                    let is_served = answer.status == Some(200) && answer.seal.is_some();
                    served.fetch_add(u32::from(is_served), Ordering::Relaxed);
                    sleep(Duration::from_millis(20));
                }
            });
        }
    });
    served.into_inner()
}

fn sent_at(id: &str) -> u64 {
    let time = id.split_once('-').and_then(|it| it.1.parse().ok());
    time.unwrap_or(0)
}
