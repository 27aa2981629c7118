//! Splits a stream of server-sent events into complete events.

use bytes::Bytes;
use bytes::BytesMut;

use crate::stream_position::StreamPosition;

/// May precede the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Buffers a stream and returns complete events only.
///
/// A failing endpoint may stop in the middle of an event. A partial event followed by data from
/// the next endpoint would be merged into one corrupt event, so partial events are buffered here
/// and discarded when their endpoint fails.
///
/// A line ends with a line feed, which may follow a carriage return. An empty line ends an event,
/// and a line that begins with a colon is a comment.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    // The length of the lines in `partial` that are known not to be empty.
    scanned: usize,
    // The length of the part of `partial` after them that contains no line feed.
    unfinished: usize,
    last_id: Option<String>,
    event_count: u32,
    // The number of events before the response of the current endpoint.
    earlier_events: u32,
    // The data of the event that ends every stream, if there is one.
    last_data: Option<&'static str>,
    // Whether that event is complete.
    ended: bool,
}

impl EventBuffer {
    /// Creates a buffer for streams that end with an event with this data.
    pub fn with_last_event(data: Option<&'static str>) -> Self {
        Self {
            last_data: data,
            ..Self::default()
        }
    }

    /// Appends bytes and returns the events and comments they complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = self.last_event_end()?;
        let complete = self.partial.split_to(end).freeze();
        self.scanned -= end;
        self.record(&complete);
        Some(complete)
    }

    /// Returns where in the stream the bytes so far end. The first event is that of the current
    /// endpoint's response.
    pub fn position(&self) -> StreamPosition {
        let partial = &self.partial[..];
        let mut lines = partial.split(|byte| *byte == b'\n').map(content);
        if lines.any(|line| !line.is_empty() && !is_comment(line)) {
            StreamPosition::InsideEvent
        } else if self.ended {
            StreamPosition::AfterLastEvent
        } else if self.last_data.is_some() {
            StreamPosition::BeforeLastEvent
        } else if self.partial.last().is_some_and(|byte| *byte != b'\n') {
            StreamPosition::InsideComment
        } else if self.event_count == self.earlier_events {
            StreamPosition::Start
        } else {
            StreamPosition::BetweenEvents
        }
    }

    /// Returns the remaining bytes after a complete stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.unfinished = 0;
        self.partial.split().freeze()
    }

    /// Discards the partial event of a failed endpoint. What follows is another one's response.
    pub fn discard_partial(&mut self) {
        self.earlier_events = self.event_count;
        self.scanned = 0;
        self.unfinished = 0;
        self.partial.clear();
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns the number of complete events so far.
    pub fn event_count(&self) -> u32 {
        self.event_count
    }

    /// Returns the identifier of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    // Returns the end of the last empty line.
    fn last_event_end(&mut self) -> Option<usize> {
        let mut end = None;
        while let Some(length) = self.line_length() {
            let line = &self.partial[self.scanned..self.scanned + length - 1];
            self.scanned += length;
            self.unfinished = 0;
            if content(line).is_empty() {
                end = Some(self.scanned);
            }
        }
        self.unfinished = self.partial.len() - self.scanned;
        end
    }

    // Returns the length of the first line that was not scanned, with its line feed, if it is
    // complete.
    fn line_length(&self) -> Option<usize> {
        let rest = &self.partial[self.scanned + self.unfinished..];
        let end = rest.iter().position(|byte| *byte == b'\n')?;
        Some(self.unfinished + end + 1)
    }

    fn record(&mut self, complete: &[u8]) {
        let mut in_event = false;
        for line in complete.split(|byte| *byte == b'\n').map(content) {
            if line.is_empty() {
                self.event_count += u32::from(in_event);
                in_event = false;
            } else if !is_comment(line) {
                in_event = true;
                if let Some(id) = event_id(line) {
                    self.last_id = Some(id);
                }
                self.ended |= self
                    .last_data
                    .is_some_and(|it| event_data(line) == Some(it));
            }
        }
    }
}

// Returns a line without a byte order mark and a carriage return.
fn content(line: &[u8]) -> &[u8] {
    let line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

fn is_comment(line: &[u8]) -> bool {
    line.starts_with(b":")
}

fn event_data(line: &[u8]) -> Option<&str> {
    let value = std::str::from_utf8(line.strip_prefix(b"data:")?).ok()?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}

fn event_id(line: &[u8]) -> Option<String> {
    let value = line.strip_prefix(b"id:")?;
    let value = std::str::from_utf8(value).ok()?;
    Some(value.trim().to_owned())
}
