//! The first reading of the store, asked for again while it stays unanswered.

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

/// What a call may take; no test waits for it unless it says so.
const LIMIT: Millis = Millis::from_secs(20);

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
const BUSY: &str = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";

// Runs a store that answers its connections in order with these; `None` is silence, also for all that follow.
fn with_store<T>(
    answers: &'static [Option<&'static str>],
    run: impl AsyncFnOnce(SocketAddr) -> T,
) -> T {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(async move {
            let mut kept = Vec::new();
            for number in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                kept.push(serve(stream, answers.get(number).copied().flatten()).await);
            }
        });
        run(address).await
    })
}

async fn serve(mut stream: TcpStream, answer: Option<&str>) -> TcpStream {
    let mut head = [0; 1024];
    let length = stream.read(&mut head).await.unwrap();
    assert!(length > 0, "the call never came");
    if let Some(answer) = answer {
        stream.write_all(answer.as_bytes()).await.unwrap();
    }
    stream
}

// The first call reaches a silent store and is lost. The store is back a moment later, and the instance rejects
// every request until the time limit of that call is over.
#[test]
fn a_lost_first_call_is_made_again_over_another_connection() {
    let (result, made) = with_store(&[None, Some(ANSWER)], async |address| {
        let mut read = FirstRead::default();
        let result = read.call(address, &Call::get("/"), LIMIT).await;
        (result.map(|it| it.0), read.calls_sent())
    });
    assert_eq!(&result.unwrap()[..], b"whole");
    assert!((2..=MAX_PARALLEL_READS).contains(&made), "{made}");
}

// A store that refuses is not pressed: the caller's own pause decides when it is asked again.
#[test]
fn a_refused_call_is_not_made_again() {
    let (result, made) = with_store(&[Some(BUSY), Some(ANSWER)], async |address| {
        let mut read = FirstRead::default();
        let result = read.call(address, &Call::get("/"), LIMIT).await;
        (result.map(|it| it.0), read.calls_sent())
    });
    assert!(matches!(result, Err(StoreError::Status(status)) if status == 503));
    assert_eq!(made, 1);
}

// A store stays silent for the whole time limit. Calls without a bound would add up over all instances.
#[test]
fn calls_of_one_reading_are_bounded() {
    let limit = Millis(2_500);
    let (result, made) = with_store(&[], async |address| {
        let mut read = FirstRead::default();
        let result = read.call(address, &Call::get("/"), limit).await;
        (result.map(|it| it.0), read.calls_sent())
    });
    assert!(matches!(result, Err(StoreError::NoReply)));
    assert!(made <= MAX_PARALLEL_READS, "{made}");
}
