//! Streams whose server is silent for a while, and which go on at a server that ends its answers with
//! the channel.

use std::env;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use review_standins::gateway::Gateway;
use review_standins::http::Message;
use review_standins::http::connect;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::stream_server::EVENTS;
use review_standins::stream_server::StreamServer;

/// `StableMs` of the sheet.
const STABLE_MS: u64 = 3_000;

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
    let first = StreamServer::start("s1", silent.then_some(SILENCE), true, record);
    let second = StreamServer::start("s2", None, false, record);
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
                    scope.spawn(move || is_complete(gateway, &id, record))
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

// Sends a request for a stream, and returns whether the answer is complete: all events, and the mark
// of the end where the head says that there is one.
fn is_complete(gateway: &Gateway, id: &str, record: &Record) -> bool {
    record.add(&format!("{id} sent"));
    let Ok(mut stream) = connect(gateway.front, Duration::from_secs(13)) else {
        record.add(&format!("{id}: no connection"));
        return false;
    };
    let head = format!(
        "POST /answer/1 HTTP/1.1\r\nHost: h.example\r\nSiskinyoke-Request-Id: {id}\r\n\
         Siskinyoke-Deadline-Ms: 12000\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\nhi"
    );
    let mut body = Vec::new();
    let mut framing = "none".to_owned();
    let mut result = Ok(0);
    if stream.write_all(head.as_bytes()).is_ok() {
        let mut reader = BufReader::new(stream);
        if let Ok(Some(head)) = Message::read_head(&mut reader) {
            let encoding = head.header("transfer-encoding").unwrap_or("channel");
            framing = format!("{}, {encoding}", head.word(1));
            if encoding == "chunked" {
                // The channel is kept after the last chunk, so that is read up to its mark.
                let mut byte = [0];
                while !body.ends_with(b"\r\n0\r\n\r\n") {
                    match reader.read(&mut byte) {
                        Ok(1) => body.push(byte[0]),
                        other => {
                            result = other;
                            break;
                        }
                    }
                }
            } else {
                result = reader.read_to_end(&mut body);
            }
        }
    }
    let text = String::from_utf8_lossy(&body);
    let events = text.matches("data: ").count();
    let marked = framing == "200, channel" || body.ends_with(b"\r\n0\r\n\r\n");
    let complete = result.is_ok() && marked && events == EVENTS as usize;
    record.add(&format!(
        "{id}: {framing}; {events} events, end marked: {marked}, last read: {result:?}; complete: {complete}"
    ));
    complete
}
