//! Responses of the size that the path of a request selects.

use std::io::Result;
use std::io::Write;
use std::net::TcpStream;

use super::Endpoint;
use super::ReceivedRequest;
use super::write_chunk;

/// Before the number of bytes of a body with a length.
const BODY_MARK: &str = "sized-";

/// Before the number of events of a stream.
const EVENTS_MARK: &str = "blocks-";

/// The size of an event's data.
pub const BLOCK_BYTES: usize = 60_000;

impl Endpoint {
    /// Writes a body or a stream if the path selects its size, and returns whether it did.
    pub(super) fn write_sized(
        &self,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> Result<bool> {
        if let Some(bytes) = number_after(&request.request_line, BODY_MARK) {
            out.write_all(&self.encode_response(request, &"x".repeat(bytes)))?;
            return Ok(true);
        }
        let Some(events) = number_after(&request.request_line, EVENTS_MARK) else {
            return Ok(false);
        };
        self.write_stream_head(request, out)?;
        let block = "x".repeat(BLOCK_BYTES);
        for number in 1..=events {
            write_chunk(out, &format!("id: {number}\ndata: {block}\n\n"))?;
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

fn number_after(line: &str, mark: &str) -> Option<usize> {
    let (_, rest) = line.split_once(mark)?;
    let (number, _) = rest.split_once(' ')?;
    number.parse().ok()
}
