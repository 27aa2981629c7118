//! Streams whose events name the version of the endpoint that sent them.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use super::Endpoint;
use super::ReceivedRequest;
use super::last_event;
use super::write_chunk;

/// The number of events of a stream.
pub const EVENT_COUNT: u32 = 24;

/// The event inside which a stream breaks off if its path contains `broken`, unless it is resumed.
const BROKEN_EVENT: u32 = 4;

/// The pause before each event.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

impl Endpoint {
    /// Writes a stream whose events have the endpoint's version as their type, and returns whether
    /// the connection is kept open.
    pub(super) fn write_versioned_stream(
        &self,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<bool> {
        let version = self.version();
        let version = version.as_deref().unwrap_or("none");
        let after = last_event(request);
        self.write_stream_head(request, out)?;
        for number in after + 1..=EVENT_COUNT {
            thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\nevent: {version}\ndata: {number}\n\n");
            if number == BROKEN_EVENT && after == 0 && request.line_contains("broken") {
                write_chunk(out, &event[..10])?;
                return Ok(false);
            }
            write_chunk(out, &event)?;
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
