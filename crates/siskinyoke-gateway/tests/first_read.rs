//! Hedging of the first read of the store.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::cold_start::MAX_PARALLEL_READS;
use siskinyoke_gateway::first_read::FirstRead;
use siskinyoke_gateway::store::StoreError;
use siskinyoke_interface::Call;

/// Time limit for a read, longer than any test takes.
const READ_LIMIT: Millis = Millis::from_secs(20);

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
const UNAVAILABLE_RESPONSE: &str = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";

// Runs a store that sends these responses, one per connection. It sends none for `None` and on all
// further connections.
fn with_store<T>(
    responses: &'static [Option<&'static str>],
    run: impl AsyncFnOnce(SocketAddr) -> T,
) -> T {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(async move {
            let mut connections = Vec::new();
            for number in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                connections.push(serve(stream, responses.get(number).copied().flatten()).await);
            }
        });
        run(address).await
    })
}

async fn serve(mut stream: TcpStream, response: Option<&str>) -> TcpStream {
    let mut head = [0; 1024];
    let length = stream.read(&mut head).await.unwrap();
    assert!(length > 0, "the connection was closed without a call");
    if let Some(response) = response {
        stream.write_all(response.as_bytes()).await.unwrap();
    }
    stream
}

// Guards against waiting for a lost call: if the first one reaches the store during an outage, the
// instance would refuse every request until that call's time limit, although the store is back.
#[test]
fn a_lost_first_call_is_repeated_on_another_connection() {
    let (result, calls) = with_store(&[None, Some(OK_RESPONSE)], async |address| {
        let mut read = FirstRead::default();
        let result = read.call(address, &Call::get("/"), READ_LIMIT).await;
        (result.map(|response| response.0), read.calls_sent())
    });
    assert_eq!(&result.unwrap()[..], b"whole");
    assert!((2..=MAX_PARALLEL_READS).contains(&calls), "{calls} calls");
}

// A store that rejects a call must not get more load; the caller decides when to retry.
#[test]
fn a_rejected_call_is_not_repeated() {
    let (result, calls) = with_store(
        &[Some(UNAVAILABLE_RESPONSE), Some(OK_RESPONSE)],
        async |address| {
            let mut read = FirstRead::default();
            let result = read.call(address, &Call::get("/"), READ_LIMIT).await;
            (result.map(|response| response.0), read.calls_sent())
        },
    );
    assert!(matches!(result, Err(StoreError::Status(status)) if status == 503));
    assert_eq!(calls, 1);
}

// The store does not respond within the time limit. Guards against an unbounded number of calls,
// which add up over all instances.
#[test]
fn calls_of_one_read_are_bounded() {
    let limit = Millis(2_500);
    let (result, calls) = with_store(&[], async |address| {
        let mut read = FirstRead::default();
        let result = read.call(address, &Call::get("/"), limit).await;
        (result.map(|response| response.0), read.calls_sent())
    });
    assert!(matches!(result, Err(StoreError::NoReply)));
    assert!(calls <= MAX_PARALLEL_READS, "{calls} calls");
}
