//! Streams: pieces are passed on as they come, and only a whole stream ends as one.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;

use serde_json::Value;
use serde_json::json;

use crate::http;
use siskinyoke_standin::fleet::CALLER_KEY;
use siskinyoke_standin::fleet::Fleet;
use siskinyoke_standin::fleet::OPERATOR_KEY;

/// The model that only the test's own endpoint offers.
const MODEL: &str = "held";

/// What the test's endpoint does after its first event.
enum Order {
    /// It sends the rest of the stream.
    Finish,
    /// It closes the connection.
    Break,
    /// It ends the answer as a whole one, but without the terminator.
    Stop,
}

/// A caller sees nothing of an answer until it is complete, and a lesson stalls. The endpoint
/// here sends its second piece only after the caller has read the first, so a daemon that holds
/// pieces back never gets to the end.
#[test]
fn a_piece_is_passed_on_before_the_next_exists() {
    let (fleet, orders) = fleet();
    let mut answer = begin(&fleet);
    let first = next_data(&mut answer);
    assert!(first.contains("piece one"), "{first}");
    orders.send(Order::Finish).expect("the endpoint waits");
    let second = next_data(&mut answer);
    assert!(second.contains("piece two"), "{second}");
    assert_eq!(next_data(&mut answer), "[DONE]");
}

/// An endpoint breaks a stream off and cannot resume it. A caller that took the pieces for the
/// whole answer would show a teacher half of the remarks, so the end says what happened.
#[test]
fn a_broken_stream_ends_as_an_error() {
    check_broken(Order::Break);
}

/// An endpoint ends an answer in good form after half of it, as one does that is stopped while
/// it writes. Nothing but the missing terminator tells it from a short answer.
#[test]
fn a_stream_without_its_terminator_ends_as_an_error() {
    check_broken(Order::Stop);
}

fn check_broken(order: Order) {
    let (fleet, orders) = fleet();
    let mut answer = begin(&fleet);
    let first = next_data(&mut answer);
    assert!(first.contains("piece one"), "{first}");
    orders.send(order).expect("the endpoint waits");
    let mut rest = String::new();
    answer.read_to_string(&mut rest).expect("the stream ends");
    assert!(rest.contains("event: error"), "{rest}");
    assert!(
        rest.contains(": siskinyoke code=4000 kind=unknown"),
        "{rest}"
    );
    assert!(!rest.contains("[DONE]"), "{rest}");
    let data = rest.lines().find_map(|line| line.strip_prefix("data: "));
    let event: Value = serde_json::from_str(data.unwrap_or_default()).unwrap_or_default();
    assert_eq!(event["error"]["code"], 4000);
    assert_eq!(event["error"]["type"], "unknown");
    assert!(event["error"]["message"].is_string(), "{event}");
}

/// Starts a fleet with the test's own endpoint for a model, and the way to give it orders.
fn fleet() -> (Fleet, Sender<Order>) {
    let fleet = Fleet::start(2).expect("the fleet starts");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, orders) = mpsc::channel();
    thread::spawn(move || serve(&listener, &orders));
    let mut configuration = fleet.configuration();
    configuration["endpoints"]["own"] = endpoint(address);
    let route = json!({ "target": MODEL, "class": "at-most-once", "tier": "marking" });
    let routes = &mut configuration["organisations"]["school"]["routes"];
    routes.as_array_mut().expect("a list").push(route);
    apply(&fleet, &configuration);
    fleet.wait_for(2).expect("the change is in force");
    (fleet, sender)
}

fn endpoint(address: SocketAddr) -> Value {
    json!({
        "address": address.to_string(), "centre": "muscat-a", "kind": "engine",
        "targets": [MODEL], "slots": 4, "speed": 100,
    })
}

fn apply(fleet: &Fleet, configuration: &Value) {
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "own"),
    ];
    let line = "POST /admin/v1/apply?revision=1";
    let request = http::request(line, &headers, &configuration.to_string());
    let answer = http::exchange(fleet.addresses()[0], &request);
    assert_eq!(answer.header("siskinyoke-code"), "5000", "{answer:?}");
}

/// Answers each chat request with a stream that waits for orders after its first event.
fn serve(listener: &TcpListener, orders: &Receiver<Order>) {
    for stream in listener.incoming().flatten() {
        // Connections of other kinds are probes and reports of load.
        if read_request(&stream).is_some_and(|line| line.starts_with("POST")) {
            // A caller that is gone has failed its test already.
            let _ = answer(stream, orders);
        }
    }
}

/// Reads a request and returns its first line.
fn read_request(stream: &TcpStream) -> Option<String> {
    stream.set_read_timeout(Some(http::BOUND)).ok()?;
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(text) = line.to_lowercase().strip_prefix("content-length: ") {
            length = text.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(first)
}

fn answer(mut stream: TcpStream, orders: &Receiver<Order>) -> std::io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
    stream.write_all(format!("{head}transfer-encoding: chunked\r\n\r\n").as_bytes())?;
    write_event(&mut stream, &piece("piece one"))?;
    match orders.recv_timeout(http::BOUND) {
        Ok(Order::Finish) => {
            write_event(&mut stream, &piece("piece two"))?;
            write_event(&mut stream, "[DONE]")?;
            stream.write_all(b"0\r\n\r\n")
        }
        Ok(Order::Stop) => stream.write_all(b"0\r\n\r\n"),
        Ok(Order::Break) | Err(_) => Ok(()),
    }
}

fn piece(text: &str) -> String {
    json!({ "choices": [{ "index": 0, "delta": { "content": text } }] }).to_string()
}

fn write_event(stream: &mut TcpStream, data: &str) -> std::io::Result<()> {
    let event = format!("data: {data}\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
}

/// Sends a streaming request and returns its answer's body.
fn begin(fleet: &Fleet) -> impl BufRead {
    let message = json!({ "role": "user", "content": "a paragraph" });
    let body = json!({ "model": MODEL, "messages": [message], "stream": true });
    let sent = ureq::post(format!(
        "http://{}/v1/chat/completions",
        fleet.addresses()[1]
    ))
    .config()
    .timeout_global(Some(http::BOUND))
    .build()
    .header("Authorization", format!("Bearer {CALLER_KEY}"))
    .send(body.to_string());
    let answer = sent.expect("the stream begins");
    assert_eq!(answer.headers()["siskinyoke-code"], "1001");
    BufReader::new(answer.into_body().into_reader())
}

/// Reads to the next event with data and returns it.
fn next_data(answer: &mut impl BufRead) -> String {
    loop {
        let mut line = String::new();
        let read = answer.read_line(&mut line).expect("a line in time");
        assert!(read > 0, "the stream ended");
        if let Some(data) = line.trim_end().strip_prefix("data: ") {
            return data.to_owned();
        }
    }
}
