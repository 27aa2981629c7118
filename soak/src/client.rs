//! Callers that send requests without pause, over reused and new connections.

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
use crate::poison::FIRST_PART;
use crate::poison::parts_header;

/// The request to which every endpoint responds once and in whole.
const WHOLE_REQUEST: (RequestKind, &str) = (RequestKind::Unsafe, "/once/a");

/// The requests that callers choose from: the kind of each, and its path, which selects how the
/// endpoint behaves.
const REQUEST_CHOICES: [(RequestKind, &str); 6] = [
    (RequestKind::Safe, "/safe/a"),
    (RequestKind::Safe, "/safe/cut"),
    WHOLE_REQUEST,
    (RequestKind::Unsafe, "/once/cut"),
    (RequestKind::Unsafe, "/once/extra"),
    (RequestKind::Stream, "/stream/events"),
];

/// The requests to which one endpoint responds without end, and of how many requests of a caller one
/// is such a request.
const ENDLESS_CHOICES: [(RequestKind, &str); 2] = [
    (RequestKind::Safe, "/safe/endless-size"),
    (RequestKind::Safe, "/safe/endless-line"),
];
const ENDLESS_INTERVAL: usize = 40;

/// Sends one request after another to random instances until `stop` is set. While
/// `endpoint_failures` is not set, endpoints respond to all of them in whole.
pub fn run_caller(
    seed: u64,
    caller: u64,
    instances: &[SocketAddr],
    checker: &Arc<Checker>,
    endpoint_failures: &Arc<AtomicBool>,
    stop: &Arc<AtomicBool>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + caller);
    let mut idle_connection: Option<TcpStream> = None;
    let mut request_number = 0;
    while !stop.load(Ordering::Relaxed) {
        request_number += 1;
        let usual = REQUEST_CHOICES.choose(&mut rng);
        let (kind, path) = if request_number % ENDLESS_INTERVAL == 0 {
            ENDLESS_CHOICES[request_number / ENDLESS_INTERVAL % ENDLESS_CHOICES.len()]
        } else {
            *usual.unwrap_or(&REQUEST_CHOICES[0])
        };
        let (kind, path) = if endpoint_failures.load(Ordering::Relaxed) {
            (kind, path)
        } else {
            WHOLE_REQUEST
        };
        let id = format!("s{seed}c{caller}n{request_number}");
        let close = rng.random_bool(0.3) || kind == RequestKind::Stream;
        let address = instances.choose(&mut rng).copied();
        let stream = idle_connection
            .take()
            .or_else(|| TcpStream::connect(address?).ok());
        let Some(mut stream) = stream else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let response = exchange(&mut stream, &id, path, "body", close);
        let keeps_open =
            response.starts_with("HTTP/1.1") && !response.contains("connection: close");
        if keeps_open && !close {
            idle_connection = Some(stream);
        }
        checker.add(Outcome { id, kind, response });
    }
}

/// Sends a request and returns the response, truncated if the connection fails or times out.
pub fn exchange(stream: &mut TcpStream, id: &str, path: &str, body: &str, close: bool) -> String {
    let length = body.len();
    let connection_header = if close { "connection: close\r\n" } else { "" };
    let parts_header = parts_header(&[FIRST_PART], id);
    let timeout = Some(Duration::from_secs(6));
    let sent = stream.set_read_timeout(timeout).and_then(|()| {
        write!(
            stream,
            "POST {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
             siskinyoke-request-id: {id}\r\nsiskinyoke-deadline-ms: 4000\r\n\
             content-length: {length}\r\n{parts_header}{connection_header}\r\n{body}"
        )
    });
    let mut response = Vec::new();
    if sent.is_ok() {
        read_response(stream, &mut response, close);
    }
    String::from_utf8_lossy(&response).into_owned()
}

// Reads until the connection is closed or, unless `to_end` is set, the response is complete.
fn read_response(stream: &mut TcpStream, response: &mut Vec<u8>, to_end: bool) {
    let mut buffer = [0; 2048];
    while let Ok(length) = stream.read(&mut buffer) {
        response.extend_from_slice(&buffer[..length]);
        if length == 0 || (!to_end && is_complete(response)) {
            return;
        }
    }
}

fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    length.is_some_and(|length| length.parse() == Ok(body.len()))
}
