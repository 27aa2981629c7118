//! Streams of an endpoint that is sound and sends nothing for a while.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use super::Endpoint;
use super::ReceivedRequest;
use super::last_event;
use super::write_chunk;

/// The number of events of a stream.
const EVENT_COUNT: u32 = 4;

/// The pause before each event.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// The event before which a stream is silent, also if it is resumed there.
const SILENT_EVENT: u32 = 3;

/// How long a stream is silent: longer than the stall timeout of a stream.
const SILENCE: Duration = Duration::from_millis(1_300);

impl Endpoint {
    /// Writes a stream that is silent for a while before its third event, and returns that the
    /// connection is kept open.
    pub(super) fn write_silent_stream(
        &self,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<bool> {
        let after = last_event(request);
        self.write_stream_head(request, out)?;
        for number in after + 1..=EVENT_COUNT {
            thread::sleep(EVENT_INTERVAL);
            if number == SILENT_EVENT {
                thread::sleep(SILENCE);
            }
            write_chunk(out, &format!("id: {number}\ndata: {number}\n\n"))?;
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

/// Returns whether a response has all events in order, and its end mark.
pub fn is_complete(response: &str) -> bool {
    let events = response.lines().filter_map(|it| it.strip_prefix("data: "));
    let expected = (1..=EVENT_COUNT).map(|it| it.to_string());
    events.eq(expected) && response.ends_with("0\r\n\r\n")
}
