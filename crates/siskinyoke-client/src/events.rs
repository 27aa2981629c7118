//! Parses server-sent events from a blocking reader.

use std::io;
use std::io::Read;

use bytes::Bytes;
use eventsource_stream::Event;
use eventsource_stream::Eventsource;
use futures_util::FutureExt;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;

/// Size of the read buffer; events are far smaller.
const READ_SIZE_BYTES: usize = 8 << 10;

/// An iterator over the events of a stream as they arrive.
pub struct Events {
    inner: Box<dyn Stream<Item = Result<Event, String>> + Unpin>,
}

impl Events {
    /// Creates an iterator over the events of a reader.
    pub fn new(reader: impl Read + 'static) -> Self {
        let chunks = Chunks { reader };
        let events = stream::iter(chunks).eventsource();
        Self {
            inner: Box::new(events.map(|event| event.map_err(|err| err.to_string()))),
        }
    }
}

impl Iterator for Events {
    type Item = Result<Event, String>;

    fn next(&mut self) -> Option<Self::Item> {
        // The reader blocks, so the stream over it is never pending.
        self.inner.next().now_or_never().flatten()
    }
}

/// An iterator over the chunks that a blocking reader returns.
struct Chunks<R> {
    reader: R,
}

impl<R: Read> Iterator for Chunks<R> {
    type Item = io::Result<Bytes>;

    fn next(&mut self) -> Option<Self::Item> {
        let mut buffer = vec![0; READ_SIZE_BYTES];
        match self.reader.read(&mut buffer) {
            Ok(0) => None,
            Ok(len) => {
                buffer.truncate(len);
                Some(Ok(Bytes::from(buffer)))
            }
            Err(err) => Some(Err(err)),
        }
    }
}
