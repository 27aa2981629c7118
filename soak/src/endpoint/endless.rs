//! Responses that never end.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::Endpoint;
use super::ReceivedRequest;

/// The endpoint that sends such responses; the others respond as usual.
const ENDLESS_ENDPOINT: &str = "e1";

/// The number of bytes that are sent at once.
const BLOCK_BYTES: usize = 4 * 1024;

/// How long other endpoints take for a request whose path contains `behind`.
const BEHIND_TIME: Duration = Duration::from_millis(60);

impl Endpoint {
    /// Returns how many bytes of responses that never end it has sent.
    pub fn endless_bytes(&self) -> usize {
        self.endless_bytes.load(Ordering::Relaxed)
    }

    /// Sends a response without end if the path of the request selects one, until the other side
    /// closes the connection. Returns whether it did.
    ///
    /// The path names what never ends: `line` of the head, `head`, `interim` responses, `bytes` that
    /// are no response, the `size` of a chunk, or an `event` of a stream in chunks or, with
    /// `open`, without. With `behind`, other endpoints respond after some time, so that the one
    /// whose responses never end is free first.
    pub(super) fn write_endless(&self, request: &ReceivedRequest, out: &mut TcpStream) -> bool {
        let has = |text| request.line_contains(text);
        if !has("endless") {
            return false;
        }
        if self.id != ENDLESS_ENDPOINT {
            if has("behind") {
                thread::sleep(BEHIND_TIME);
            }
            return false;
        }
        let head = self.signed_head(request);
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let events = format!("{head}content-type: text/event-stream\r\n");
        let text = |text: &str| text.repeat(BLOCK_BYTES / text.len());
        let (start, block) = if has("line") {
            (format!("{head}x-line: "), text("x"))
        } else if has("head") {
            (head, text("x-line: x\r\n"))
        } else if has("interim") {
            (String::new(), text("HTTP/1.1 100 Continue\r\n\r\n"))
        } else if has("bytes") {
            (String::new(), text("\0"))
        } else if has("size") {
            (chunked, text("0"))
        } else if has("open") {
            (format!("{events}\r\ndata: "), text("x"))
        } else {
            let chunk = format!("{BLOCK_BYTES:x}\r\n{}\r\n", text("x"));
            (format!("{events}transfer-encoding: chunked\r\n\r\n"), chunk)
        };
        let mut written = out.write_all(start.as_bytes());
        while written.is_ok() {
            self.endless_bytes.fetch_add(block.len(), Ordering::Relaxed);
            written = out.write_all(block.as_bytes());
        }
        true
    }
}
