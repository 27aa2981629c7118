//! Structured log lines on standard output, bounded and never waited for.

use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use serde_json::Value;

use siskinyoke_base::Millis;

/// Lines that one second may hold.
///
/// A request brings some four lines, so this covers a hundred requests a second, twice the usual
/// peak of an instance; what is left out is counted in the next line that is written.
const LINES: u32 = 400;

/// Bytes that are gathered before they are handed to the writer.
const CHUNK: usize = 16 * 1024;

/// Chunks that may wait for a slow reader of standard output; more are dropped and counted.
const CHUNKS: usize = 8;

/// Gathers log lines and hands them to a thread that writes them.
///
/// Standard output may be a pipe that nobody reads. Only the writing thread waits for it; the
/// thread that serves requests drops what does not fit and counts it.
#[derive(Debug)]
pub struct Journal {
    lines: SyncSender<Vec<u8>>,
    chunk: Vec<u8>,
    gathered: u64,
    second: u64,
    written: u32,
    dropped: u64,
}

impl Journal {
    /// Starts the thread that writes lines to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (lines, chunks) = sync_channel(CHUNKS);
        thread::spawn(move || write_all(out, &chunks));
        Self {
            lines,
            chunk: Vec::new(),
            gathered: 0,
            second: 0,
            written: 0,
            dropped: 0,
        }
    }

    /// Adds a line: what happened, when, and what it depended on.
    pub fn line(&mut self, now: Millis, event: &str, mut fields: Value) {
        if self.full(now) {
            self.dropped += 1;
            return;
        }
        if let Some(map) = fields.as_object_mut() {
            map.insert("at_ms".to_owned(), now.0.into());
            map.insert("event".to_owned(), event.into());
            if self.dropped > 0 {
                map.insert("left_out".to_owned(), self.dropped.into());
                self.dropped = 0;
            }
        }
        self.chunk.extend_from_slice(fields.to_string().as_bytes());
        self.chunk.push(b'\n');
        self.gathered += 1;
        if self.chunk.len() >= CHUNK {
            self.flush();
        }
    }

    /// Hands the gathered lines to the writer, or drops them if it is behind.
    pub fn flush(&mut self) {
        if self.chunk.is_empty() {
            return;
        }
        let chunk = std::mem::take(&mut self.chunk);
        let lines = std::mem::take(&mut self.gathered);
        if self.lines.try_send(chunk).is_err() {
            self.dropped += lines;
        }
    }

    /// Returns the lines left out since the last one that was written.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn full(&mut self, now: Millis) -> bool {
        let second = now.0 / 1000;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        self.written += 1;
        self.written > LINES
    }
}

fn write_all(mut out: impl Write, chunks: &Receiver<Vec<u8>>) {
    for chunk in chunks {
        // Nowhere is left to report that standard output is closed; the service goes on without.
        if out.write_all(&chunk).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
