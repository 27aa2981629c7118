//! Responses that end while their request is still being sent.

use std::io::Result;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use super::Endpoint;
use super::ReceivedRequest;

/// The text in the path of a request whose body the endpoint `e1` does not read.
const ABORTED_PATH: &str = "aborted";

/// The text in such a path if the endpoint `e2` does not read the body either.
const BOTH_PATH: &str = "both";

/// The time from the end of the response to the reset of the connection.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// The time from the last bytes of the response to its end, if the path selects it.
const PAUSE: Duration = Duration::from_millis(150);

impl Endpoint {
    /// Responds to the head of a request with a part of a body without a length, ends the response
    /// and resets the connection later; returns whether the path selects it.
    ///
    /// The path also selects whether the part is one event of a stream (`events`), and whether the
    /// response ends later (`paused`).
    pub(super) fn abort(&self, request: &ReceivedRequest, out: &mut TcpStream) -> Result<bool> {
        let is_selected = self.id == "e1" || self.id == "e2" && request.line_contains(BOTH_PATH);
        if !request.line_contains(ABORTED_PATH) || !is_selected {
            return Ok(false);
        }
        let head = self.signed_head(request);
        if request.line_contains("events") {
            let event = "id: 1\ndata: 1\n\n";
            write!(out, "{head}content-type: text/event-stream\r\n\r\n{event}")?;
        } else {
            write!(out, "{head}\r\nwho")?;
        }
        if request.line_contains("paused") {
            thread::sleep(PAUSE);
        }
        out.shutdown(Shutdown::Write)?;
        thread::sleep(RESET_DELAY);
        set_socket_linger(&*out, Some(Duration::ZERO))?;
        Ok(true)
    }
}
