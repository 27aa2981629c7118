//! Requesters that send large bodies in chunks, on machines with little memory.

use std::env;
use std::io::BufReader;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use review_standins::gateway::Gateway;
use review_standins::http::Message;
use review_standins::http::connect;
use review_standins::record::Record;
use review_standins::server::Server;
use review_standins::store::Store;

/// `MemoryMb` of the sheet, taken as binary megabytes, the larger reading.
const MEMORY_MB: u64 = 110;

/// How many requesters send to each process at the same time.
const REQUESTERS: usize = 32;

/// The size of each body: below `MaxBodyBytes`.
const BODY_BYTES: usize = 4_190_000;

/// Each body is sent in parts, one after each pause: about three seconds in all.
const PART_BYTES: usize = 65_536;
const PAUSE: Duration = Duration::from_millis(45);

/// How often the requesters send, all at once.
const WAVES: usize = 4;

/// How often the process of a machine may end in a day.
const ALLOWED_ENDS: usize = 2;

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
 {"Name":"mark","Host":"h.example","Prefix":"/mark/","Kind":"unsafe","TimeoutMs":5000,
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

fn run(program: &Path, folder: &Path, record: &Record, chunked: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", CONFIGURATION.as_bytes());
    let work = Duration::from_millis(30);
    let servers = ["s1", "s2", "s3", "s4"].map(|id| Server::start(id, work, record));
    for server in &servers {
        let key = format!("servers/{}", server.id);
        store.put(&key, server.entry("desk", "ready").as_bytes());
    }
    let gateways = ["127.0.0.2", "127.0.0.3"].map(|ip| {
        let name = format!("front-{}", &ip[8..]);
        Gateway::start_with_memory(program, folder, &name, ip, store.address, MEMORY_MB)
    });
    if !gateways.iter().all(Gateway::wait_ready) {
        record.add("a process was not ready in 20 s");
        return 2;
    }
    sleep(Duration::from_secs(4));
    let fronts = gateways.each_ref().map(|it| it.front);
    let gateways = gateways.map(Mutex::new);
    let done = AtomicBool::new(false);
    let mut ends = [0; 2];
    thread::scope(|scope| {
        let watches = gateways.each_ref().map(|gateway| {
            let done = &done;
            scope.spawn(move || watch(gateway, record, done))
        });
        for wave in 0..WAVES {
            record.add(&format!("wave {wave}"));
            thread::scope(|scope| {
                for front in fronts {
                    for requester in 0..REQUESTERS {
                        let id = format!("w{wave}r{requester}");
                        scope.spawn(move || send(front, &id, chunked, record));
                    }
                }
            });
            // A process that was killed starts, and is left alone for longer than `StableMs`.
            sleep(Duration::from_secs(5));
        }
        done.store(true, Ordering::Relaxed);
        ends = watches.map(|it| it.join().unwrap());
    });
    for (gateway, ends) in gateways.iter().zip(ends) {
        let name = &gateway.lock().unwrap().name;
        record.add(&format!(
            "{name}: the process went over its memory {ends} times"
        ));
    }
    i32::from(ends.iter().all(|it| *it > ALLOWED_ENDS))
}

// Kills a process that exceeds its memory and starts it again, as the platform does; returns how
// often.
fn watch(gateway: &Mutex<Gateway>, record: &Record, done: &AtomicBool) -> usize {
    let (mut ends, mut peak) = (0, 0);
    while !done.load(Ordering::Relaxed) {
        let mut gateway = gateway.lock().unwrap();
        let held = gateway.memory_kb();
        peak = held.max(peak);
        if held > MEMORY_MB * 1024 {
            ends += 1;
            let name = &gateway.name;
            record.add(&format!("{name} holds {held} KB and is killed"));
            gateway.kill_and_restart();
        }
        drop(gateway);
        sleep(Duration::from_millis(5));
    }
    record.add(&format!(
        "the most that {} held: {peak} KB",
        gateway.lock().unwrap().name
    ));
    ends
}

// Sends a request with a large body.
fn send(front: SocketAddr, id: &str, chunked: bool, record: &Record) {
    record.add(&format!("{id} sent to {front}"));
    let answer = exchange(front, id, chunked);
    let answer = answer.map(|it| it.map(|it| it.line));
    record.add(&format!("{id} answered by {front}: {answer:?}"));
}

fn exchange(front: SocketAddr, id: &str, chunked: bool) -> Result<Option<Message>> {
    let mut stream = connect(front, Duration::from_secs(6))?;
    let framing = if chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {BODY_BYTES}")
    };
    let head = format!(
        "POST /mark/1 HTTP/1.1\r\nHost: h.example\r\nSiskinyoke-Request-Id: {id}\r\n\
         Siskinyoke-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n\
         {framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let part = vec![b'x'; PART_BYTES];
    let mut left = BODY_BYTES;
    while left > 0 {
        let size = left.min(PART_BYTES);
        let mut bytes = Vec::with_capacity(size + 16);
        if chunked {
            bytes.extend(format!("{size:x}\r\n").bytes());
        }
        bytes.extend(&part[..size]);
        if chunked {
            bytes.extend(b"\r\n");
        }
        if stream.write_all(&bytes).is_err() {
            // An answer may have come before the end of the body.
            break;
        }
        left -= size;
        sleep(PAUSE);
    }
    if chunked && left == 0 {
        stream.write_all(b"0\r\n\r\n")?;
    }
    let mut reader = BufReader::new(stream);
    Message::read(&mut reader)
}
