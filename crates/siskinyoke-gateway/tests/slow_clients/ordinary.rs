//! Clients inside the documented limits, which no limit on slow ones may affect.

use std::io::Read;
use std::io::Write;
use std::thread;
use std::time::Duration;

use crate::fixture::Fixture;
use crate::fixture::request;
use siskinyoke_soak::endpoint::sized::BLOCK_BYTES;
use siskinyoke_soak::slow_clients::connect_blocking;

const BODY_BYTES: usize = 900_000;

/// What a client on a narrow line reads at each interval: 64 kB a second.
const NARROW_BYTES: usize = 6_400;
const NARROW_INTERVAL: Duration = Duration::from_millis(100);

/// How long a client stops reading in the middle of a response.
const PAUSE: Duration = Duration::from_secs(2);

// Reads a response whose connection ends after it, with a pause before a number of its bytes.
fn read_response(path: &str, pause_after: usize, narrow: bool) -> Vec<u8> {
    let fixture = Fixture::start();
    let mut stream = connect_blocking(fixture.instance().caller_address);
    let head = String::from_utf8(request(1, path)).unwrap();
    let head = head.replacen("\r\n\r\n", "\r\nconnection: close\r\n\r\n", 1);
    stream.write_all(head.as_bytes()).unwrap();
    let mut response = Vec::new();
    let mut part = [0; NARROW_BYTES];
    let mut paused = false;
    loop {
        let length = stream.read(&mut part).unwrap();
        if length == 0 {
            return response;
        }
        response.extend_from_slice(&part[..length]);
        if narrow {
            let share = u32::try_from(length).unwrap();
            thread::sleep(NARROW_INTERVAL * share / u32::try_from(NARROW_BYTES).unwrap());
        }
        if !paused && response.len() > pause_after {
            paused = true;
            thread::sleep(PAUSE);
        }
    }
}

fn body_length(response: &[u8]) -> usize {
    let end = response.windows(4).position(|it| it == b"\r\n\r\n");
    response.len() - end.expect("a whole head") - 4
}

// Guards against limits that cut responses to clients on narrow lines.
#[test]
fn a_client_on_a_narrow_line_gets_its_whole_response() {
    let response = read_response(&format!("/safe/sized-{BODY_BYTES}"), usize::MAX, true);
    assert_eq!(body_length(&response), BODY_BYTES);
}

// Guards against limits that cut responses to clients that stop reading for a moment.
#[test]
fn a_client_that_pauses_gets_its_whole_response() {
    let response = read_response(&format!("/safe/sized-{BODY_BYTES}"), BODY_BYTES / 2, false);
    assert_eq!(body_length(&response), BODY_BYTES);
}

// Guards against limits that cut streams whose clients stop reading for a moment.
#[test]
fn a_stream_whose_client_pauses_is_whole() {
    const EVENT_COUNT: usize = 100;
    let path = format!("/stream/blocks-{EVENT_COUNT}");
    let response = read_response(&path, EVENT_COUNT * BLOCK_BYTES / 2, false);
    let text = String::from_utf8(response).unwrap();
    assert_eq!(text.matches("data: ").count(), EVENT_COUNT);
    assert!(text.ends_with("0\r\n\r\n"));
}
