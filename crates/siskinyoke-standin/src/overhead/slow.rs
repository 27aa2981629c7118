//! A trial of slow senders against `tiny_http` and against the daemon.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tiny_http::Response;
use tiny_http::Server;

use super::bench::Bench;
use super::child::Cost;
use crate::ANY_PORT;
use crate::error::StandinError;

/// Connections that send one byte a second.
const SENDERS: usize = 400;

/// How long they send, in seconds; longer than the daemon's patience below.
const SPAN: u64 = 15;

/// The daemon's patience in milliseconds.
const PATIENCE: u64 = 5_000;

/// Threads that take requests from `tiny_http`, as its documentation shows.
const TAKERS: usize = 4;

/// How long a good request may take before it counts as held up.
const GOOD: Duration = Duration::from_secs(5);

/// What the slow ones send of a head, without end.
const HEAD: &str = "GET /healthz HTTP/1.1\r\nx-slow: ";

/// What the slow ones send before a body of which one byte a second comes.
const BODY: &str =
    "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\n";

/// Runs the trial and prints what was seen.
///
/// # Errors
///
/// [`StandinError`] if a part cannot be started.
pub fn run() -> Result<(), StandinError> {
    println!("{SENDERS} connections send one byte a second for {SPAN} s");
    println!("server | slow part | threads before, during | still open | good request answered");
    for (part, start) in [("head", HEAD), ("body", BODY)] {
        let (server, address) = tiny()?;
        trial("tiny_http", part, start, address, std::process::id())?;
        server.unblock();
        let bench = Bench::start(&json!({ "patience": PATIENCE }))?;
        let address = bench.daemon.address.parse();
        let address = address.map_err(|_| StandinError::Fleet("no address".into()))?;
        trial("daemon", part, start, address, bench.daemon.process())?;
    }
    Ok(())
}

/// Sends slowly to a server and tells what became of it.
fn trial(
    server: &str,
    part: &str,
    start: &str,
    address: SocketAddr,
    process: u32,
) -> Result<(), StandinError> {
    let before = Cost::of(process)?.threads;
    let mut slow = open(address, start);
    let begun = Instant::now();
    let mut during = before;
    let mut good = true;
    for second in 0..SPAN {
        let due = begun + Duration::from_secs(second + 1);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        slow.retain_mut(holds);
        during = during.max(Cost::of(process)?.threads);
        if second == 1 {
            good = answers(address);
        }
    }
    let answered = if good { "yes" } else { "no" };
    println!(
        "{server} | {part} | {before}, {during} | {} of {SENDERS} | {answered}",
        slow.len()
    );
    Ok(())
}

fn open(address: SocketAddr, start: &str) -> Vec<TcpStream> {
    let connect = |_| {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.write_all(start.as_bytes()).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    (0..SENDERS).filter_map(connect).collect()
}

/// Sends one more byte and tells whether the server still holds the connection.
fn holds(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 512];
    let open = match stream.read(&mut buffer) {
        // An answer or an end means that the server has given up on it.
        Ok(_) => false,
        Err(err) => err.kind() == ErrorKind::WouldBlock,
    };
    open && stream.write_all(b"x").is_ok()
}

/// Tells whether a request with a short body is answered in time.
fn answers(address: SocketAddr) -> bool {
    let sent = ureq::post(format!("http://{address}/healthz"))
        .config()
        .http_status_as_error(false)
        .timeout_global(Some(GOOD))
        .build()
        .send("{}");
    sent.is_ok()
}

/// Starts a server on `tiny_http` that reads each body, with a few threads that take requests.
fn tiny() -> Result<(Arc<Server>, SocketAddr), StandinError> {
    let fault = |detail: String| StandinError::Listen(ANY_PORT.to_owned(), detail);
    let server = Server::http(ANY_PORT).map_err(|err| fault(err.to_string()))?;
    let address = server.server_addr().to_ip();
    let address = address.ok_or_else(|| fault("no address".into()))?;
    let server = Arc::new(server);
    for _ in 0..TAKERS {
        let server = Arc::clone(&server);
        thread::spawn(move || {
            for mut request in server.incoming_requests() {
                let mut body = Vec::new();
                // A body that breaks off is answered like any other here.
                let _ = request.as_reader().read_to_end(&mut body);
                let _ = request.respond(Response::from_string("ok"));
            }
        });
    }
    Ok((server, address))
}
