//! A requester of streams.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::Message;
use crate::http::connect;
use crate::record::Record;
use crate::stream_server::EVENTS;

/// What came of a stream.
#[derive(Debug, Clone, Default)]
pub struct StreamAnswer {
    /// The status; none if no head came.
    pub status: Option<u16>,
    /// Whether the head says that the end is marked by a last chunk.
    pub chunked: bool,
    /// The number of whole events.
    pub events: usize,
    /// Whether there are bytes after the last whole event.
    pub partial: bool,
    /// Whether the last chunk came.
    pub marked: bool,
    /// Whether the channel was reset, or nothing came for a long time.
    pub broken: bool,
}

impl StreamAnswer {
    /// Returns whether it says that it is complete: by its last chunk, or, where the head announces
    /// neither chunks nor a length, by a regular end of the channel after a whole event.
    pub fn looks_complete(&self) -> bool {
        let ended = if self.chunked {
            self.marked
        } else {
            !self.broken && !self.partial
        };
        self.status == Some(200) && ended && self.events > 0
    }

    /// Returns whether it says that it is complete, and has all events.
    pub fn is_complete(&self) -> bool {
        self.looks_complete() && self.events == EVENTS as usize
    }
}

/// Sends a request for a stream over a new channel, and reads the answer.
pub fn read_stream(front: SocketAddr, id: &str, record: &Record) -> StreamAnswer {
    record.add(&format!("{id} sent to {front}"));
    let answer = exchange(front, id).unwrap_or_default();
    record.add(&format!("{id} answered by {front}: {answer:?}"));
    answer
}

fn exchange(front: SocketAddr, id: &str) -> std::io::Result<StreamAnswer> {
    let mut stream = connect(front, Duration::from_secs(16))?;
    let head = format!(
        "POST /answer/1 HTTP/1.1\r\nHost: h.example\r\nSiskinyoke-Request-Id: {id}\r\n\
         Siskinyoke-Deadline-Ms: 15000\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\nhi"
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some(head) = Message::read_head(&mut reader)? else {
        return Ok(StreamAnswer::default());
    };
    let mut answer = StreamAnswer {
        status: head.word(1).parse().ok(),
        chunked: head.header("transfer-encoding") == Some("chunked"),
        ..StreamAnswer::default()
    };
    let (mut body, mut byte) = (Vec::new(), [0]);
    // A channel with chunks is kept after the last one, so that is read up to its mark.
    while !answer.marked {
        match reader.read(&mut byte) {
            Ok(1) => body.push(byte[0]),
            Ok(_) => break,
            Err(_) => {
                answer.broken = true;
                break;
            }
        }
        answer.marked = answer.chunked && body.ends_with(b"\r\n0\r\n\r\n");
    }
    let text = String::from_utf8_lossy(&body);
    answer.events = text.matches("\n\n").count();
    answer.partial = !answer.chunked && !body.is_empty() && !body.ends_with(b"\n\n");
    Ok(answer)
}
