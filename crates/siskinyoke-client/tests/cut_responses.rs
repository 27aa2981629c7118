//! Responses of instances that break off inside their heads or bodies.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use siskinyoke_base::Millis;
use siskinyoke_base::OutcomeKind;
use siskinyoke_client::Client;
use siskinyoke_client::ClientSettings;
use siskinyoke_client::Outcome;
use siskinyoke_client::Request;

/// The first lines of a whole response.
const HEAD: &str = "HTTP/1.1 200 OK\r\nsiskinyoke-code: 200\r\nsiskinyoke-kind: done\r\n";

/// Time within which a client has received what precedes a reset.
const RESET_DELAY: Duration = Duration::from_millis(50);

// Returns the outcome of a request for which these bytes are received, and the connection is closed
// after them or reset after a delay.
fn outcome(response: &str, reset_delay: Duration) -> Outcome {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let response = response.to_owned();
    let own_address = address.clone();
    let server = thread::spawn(move || {
        for stream in listener.incoming().map(Result::unwrap).take(2) {
            serve(stream, &own_address, &response, reset_delay);
        }
    });
    let mut client = Client::new(ClientSettings {
        addresses: vec![address],
        key: "k".to_owned(),
        max_attempts: 1,
        max_delay: Millis(100),
        attempt_timeout: Millis(2_000),
    });
    let request = Request {
        method: "POST".to_owned(),
        path: "/a".to_owned(),
        ..Request::default()
    };
    let outcome = client.send(&request, &mut |_| {}).unwrap();
    server.join().unwrap();
    outcome
}

fn serve(mut stream: TcpStream, address: &str, response: &str, reset_delay: Duration) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let is_locate = line.starts_with("GET");
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).unwrap();
    }
    if is_locate {
        let body = format!(r#"{{"addresses":["{address}"],"keep_ms":60000}}"#);
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .unwrap();
    } else {
        stream.write_all(response.as_bytes()).unwrap();
        if !reset_delay.is_zero() {
            thread::sleep(reset_delay);
            set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
        }
    }
}

// Guards against a part of a response that is taken for a whole one.
#[test]
fn a_response_that_broke_off_has_an_unknown_outcome() {
    let lines = [
        "",
        "content-length: 5\r\n",
        "transfer-encoding: chunked\r\n",
    ];
    let heads = lines.map(|it| format!("{HEAD}{it}"));
    let mut cuts: Vec<_> = heads.iter().map(String::as_str).collect();
    cuts.extend(heads.iter().map(|it| &it[..it.len() - 1]));
    let bodies = [
        "content-length: 5\r\n\r\nwho",
        "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n",
    ];
    let bodies = bodies.map(|it| format!("{HEAD}{it}"));
    cuts.extend(bodies.iter().map(String::as_str));
    for cut in cuts {
        let outcome = outcome(cut, Duration::ZERO);
        assert_eq!(outcome.kind, OutcomeKind::Unknown, "{cut:?}: {outcome:?}");
    }
    let whole = outcome(
        &format!("{HEAD}content-length: 5\r\n\r\nwhole"),
        Duration::ZERO,
    );
    assert_eq!(whole.kind, OutcomeKind::Done, "{whole:?}");
}

// Guards against a redirect that is followed, as its failure would say that nothing was sent.
#[test]
fn a_redirect_that_broke_off_has_an_unknown_outcome() {
    let cut = HEAD.replace("200 OK", "302 Found") + "location: /b\r\n";
    let broken = outcome(&cut, Duration::ZERO);
    assert_eq!(broken.kind, OutcomeKind::Unknown, "{broken:?}");
    let whole = cut + "content-length: 0\r\n\r\n";
    let whole = outcome(&whole, Duration::ZERO);
    assert_eq!((whole.status, whole.kind), (302, OutcomeKind::Done));
}

// Guards against a response that its instance marked as broken off by a reset.
#[test]
fn a_response_without_a_length_that_is_reset_has_an_unknown_outcome() {
    let outcome = outcome(&format!("{HEAD}\r\nwho"), RESET_DELAY);
    assert_eq!(outcome.kind, OutcomeKind::Unknown, "{outcome:?}");
}
