//! Callers that send without pause, over kept connections and new ones.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::checker::Checker;
use crate::checker::Outcome;
use crate::checker::RequestKind;

/// Requests of the soak: what may be repeated of them, and a path that says what endpoints do.
const REQUESTS: [(RequestKind, &str); 6] = [
    (RequestKind::Safe, "/safe/a"),
    (RequestKind::Safe, "/safe/cut"),
    (RequestKind::Unsafe, "/once/a"),
    (RequestKind::Unsafe, "/once/cut"),
    (RequestKind::Unsafe, "/once/extra"),
    (RequestKind::Stream, "/stream/events"),
];

/// Sends one request after the other until `stop` is set.
pub fn run_caller(
    seed: u64,
    number: u64,
    instances: &[SocketAddr],
    checker: &Arc<Checker>,
    stop: &Arc<AtomicBool>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number);
    let mut kept: Option<TcpStream> = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let (care, path) = *REQUESTS.choose(&mut rng).unwrap_or(&REQUESTS[0]);
        let id = format!("s{seed}c{number}n{count}");
        let close = rng.random_bool(0.3) || care == RequestKind::Stream;
        let address = instances.choose(&mut rng).copied();
        let stream = kept.take().or_else(|| TcpStream::connect(address?).ok());
        let Some(mut stream) = stream else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let answer = exchange(&mut stream, &id, path, close);
        let whole = answer.starts_with("HTTP/1.1") && !answer.contains("connection: close");
        if whole && !close {
            kept = Some(stream);
        }
        checker.add(Outcome {
            id,
            kind: care,
            response: answer,
        });
    }
}

// Sends a request and reads what comes; a connection that breaks ends the answer early.
fn exchange(stream: &mut TcpStream, id: &str, path: &str, close: bool) -> String {
    let more = if close { "connection: close\r\n" } else { "" };
    let limit = Some(Duration::from_secs(6));
    let sent = stream.set_read_timeout(limit).and_then(|()| {
        write!(
            stream,
            "POST {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
             siskinyoke-request-id: {id}\r\nsiskinyoke-deadline-ms: 4000\r\n\
             content-length: 4\r\n{more}\r\nbody"
        )
    });
    let mut answer = Vec::new();
    if sent.is_ok() {
        read_response(stream, &mut answer, close);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn read_response(stream: &mut TcpStream, answer: &mut Vec<u8>, to_end: bool) {
    let mut buffer = [0; 2048];
    while let Ok(length) = stream.read(&mut buffer) {
        answer.extend_from_slice(&buffer[..length]);
        if length == 0 || (!to_end && is_complete(answer)) {
            return;
        }
    }
}

fn is_complete(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length.is_some_and(|it| it.parse() == Ok(body.len()))
}
