//! Streams that break off at one endpoint and go on at another one, with all combinations of how
//! their ends are marked.

use std::io::Result;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use super::Endpoint;
use super::ReceivedRequest;
use super::last_event;
use super::write_chunk;

/// The number of events of a stream.
const EVENT_COUNT: u32 = 4;

/// The event at which the first part of a stream breaks off.
const BROKEN_EVENT: u32 = 3;

/// A part of a stream, as written by one endpoint.
struct Part<'a> {
    out: &'a mut TcpStream,
    is_chunked: bool,
}

impl Part<'_> {
    fn write(&mut self, text: &str) -> Result<()> {
        if self.is_chunked {
            write_chunk(self.out, text)
        } else {
            self.out.write_all(text.as_bytes())
        }
    }
}

impl Endpoint {
    /// Writes a part of a stream, and ends the connection after it.
    ///
    /// `first-chunked` and `last-chunked` in the path select chunks for the part that breaks off
    /// and for the one that goes on with it; the end of other parts is that of the connection. The
    /// last part is whole unless the path selects otherwise: `end-stub` for an end inside its last
    /// event, `end-reset` for a reset before it, and `end-held` for one that does not come.
    pub(super) fn write_joined(
        &self,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> Result<()> {
        let after = last_event(request);
        let name = if after == 0 {
            "first-chunked"
        } else {
            "last-chunked"
        };
        let is_chunked = request.line_contains(name);
        write!(out, "{}", self.signed_head(request))?;
        if is_chunked {
            write!(out, "transfer-encoding: chunked\r\n")?;
        }
        write!(out, "content-type: text/event-stream\r\n\r\n")?;
        let mut part = Part { out, is_chunked };
        for number in after + 1..=EVENT_COUNT {
            let event = format!("id: {number}\ndata: {number}\n\n");
            let is_last = number == EVENT_COUNT;
            if number == BROKEN_EVENT && after == 0 || is_last && request.line_contains("end-stub")
            {
                return part.write(&event[..8]);
            }
            if is_last && request.line_contains("end-reset") {
                return Ok(set_socket_linger(&*part.out, Some(Duration::ZERO))?);
            }
            if is_last && request.line_contains("end-held") {
                return self.wait_for_disconnect(part.out);
            }
            part.write(&event)?;
        }
        if is_chunked {
            out.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}
