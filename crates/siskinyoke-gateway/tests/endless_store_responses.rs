//! Stores and peers that send bytes without end in place of a response.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

use siskinyoke_base::Millis;
use siskinyoke_gateway::store::Client;
use siskinyoke_interface::Call;

/// The number of bytes that may be sent before the connection is closed, with what the sockets of both
/// sides buffer.
const MAX_BYTES: usize = 32 * 1024 * 1024;

const BLOCK_BYTES: usize = 16 * 1024;

/// How much is sent if the connection is not closed.
const GIVE_UP_BYTES: usize = 256 * 1024 * 1024;

// Makes a call of a store that sends a text and then a block again and again; returns whether the call
// failed, and how many bytes were sent.
fn call(start: &str, block: &str) -> (bool, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::scope(|scope| {
        let sending = scope.spawn(|| {
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = [0; 1024];
            assert!(stream.read(&mut head).unwrap() > 0);
            let mut written = stream.write_all(start.as_bytes());
            let mut bytes = 0;
            while written.is_ok() && bytes < GIVE_UP_BYTES {
                bytes += block.len();
                written = stream.write_all(block.as_bytes());
            }
            bytes
        });
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let failed = LocalSet::new().block_on(&runtime, async {
            let mut client = Client::default();
            let limit = Millis::from_secs(2);
            client.call(address, &Call::get("/"), limit).await.is_err()
        });
        (failed, sending.join().unwrap())
    })
}

// Guards against a response of the store, or of a peer, that takes all memory.
#[test]
fn a_response_without_end_is_given_up() {
    let chunk = format!("{BLOCK_BYTES:x}\r\n{}\r\n", "x".repeat(BLOCK_BYTES));
    let plain = "x".repeat(BLOCK_BYTES);
    let lines = "x-line: x\r\n".repeat(1_000);
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
    let failed = "HTTP/1.1 500 Failed\r\n\r\n";
    for (start, block) in [
        (&*chunked, &*chunk),
        (&format!("{ok}\r\n"), &plain),
        (failed, &plain),
        (ok, &lines),
        (&format!("{ok}x-line: "), &plain),
        ("", &plain),
    ] {
        let (failed, bytes) = call(start, block);
        println!("{start:?}: {bytes} bytes");
        assert!(failed, "{start:?}");
        assert!(bytes < MAX_BYTES, "{start:?}: {bytes} bytes");
    }
}
