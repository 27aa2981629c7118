//! Responses whose end nothing marks: they end with their connection.

use std::io::Write;
use std::net::TcpStream;

use super::Endpoint;
use super::LARGE_BODY_BYTES;
use super::ReceivedRequest;
use super::last_event;

/// The number of events of a stream.
const EVENT_COUNT: u32 = 4;

/// The event at which a stream breaks off.
const BROKEN_EVENT: u32 = 3;

impl Endpoint {
    /// Writes a response without a length or chunks, and ends the connection after it.
    ///
    /// A stream is selected by `events`. It is whole unless the path selects where it breaks off:
    /// `stub`, `line` and `between` for inside a line, before the empty line that ends an event,
    /// and between two events; `held` for after the event before, with the connection kept open. A
    /// stream that is resumed is whole unless `again` is selected.
    pub(super) fn write_unmarked(
        &self,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<()> {
        write!(out, "{}", self.signed_head(request))?;
        if request.line_contains("events") {
            write!(out, "content-type: text/event-stream\r\n\r\n")?;
            write_events(request, out)?;
            if request.line_contains("held") {
                self.wait_for_disconnect(out)?;
            }
            Ok(())
        } else if request.line_contains("long") {
            write!(out, "\r\n{}", "x".repeat(LARGE_BODY_BYTES))
        } else {
            write!(out, "\r\nwhole")
        }
    }
}

fn write_events(request: &ReceivedRequest, out: &mut TcpStream) -> std::io::Result<()> {
    let after = last_event(request);
    let breaks_off = after == 0 || request.line_contains("again");
    for number in after + 1..=EVENT_COUNT {
        let line = format!("id: {number}\ndata: {number}\n");
        if breaks_off && number == BROKEN_EVENT {
            if request.line_contains("stub") {
                return out.write_all(&line.as_bytes()[..8]);
            }
            if request.line_contains("line") {
                return out.write_all(line.as_bytes());
            }
            if request.line_contains("between") || request.line_contains("held") {
                return Ok(());
            }
        }
        writeln!(out, "{line}")?;
    }
    Ok(())
}
