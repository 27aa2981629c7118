//! Structured log lines on standard output, bounded in number and written without blocking.

use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use serde_json::Value;

use siskinyoke_base::Millis;

/// Maximum number of log lines per second; the next line written reports how many were dropped.
///
/// A request logs about four lines, so this covers a hundred requests per second, twice the usual
/// peak of an instance.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Buffer size at which lines are passed to the writer thread.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of chunks queued for the writer thread; more are dropped and counted.
const MAX_QUEUED_CHUNKS: usize = 8;

/// Buffers log lines and passes them to a thread that writes them.
///
/// Standard output may be a pipe that nobody reads. Only the writer thread blocks on it; the thread
/// that serves requests drops lines that do not fit, and counts them.
#[derive(Debug)]
pub struct LogWriter {
    chunks: SyncSender<Vec<u8>>,
    buffer: Vec<u8>,
    buffered_lines: u64,
    current_second: u64,
    second_lines: u32,
    dropped_lines: u64,
}

impl LogWriter {
    /// Starts the thread that writes lines to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (chunks, queue) = sync_channel(MAX_QUEUED_CHUNKS);
        thread::spawn(move || write_chunks(out, &queue));
        Self {
            chunks,
            buffer: Vec::new(),
            buffered_lines: 0,
            current_second: 0,
            second_lines: 0,
            dropped_lines: 0,
        }
    }

    /// Adds a line with the time, the event's name and its fields.
    pub fn write(&mut self, now: Millis, event: &str, mut fields: Value) {
        if self.exceeds_rate(now) {
            self.dropped_lines += 1;
            return;
        }
        if let Some(map) = fields.as_object_mut() {
            map.insert("at_ms".to_owned(), now.0.into());
            map.insert("event".to_owned(), event.into());
            if self.dropped_lines > 0 {
                map.insert("left_out".to_owned(), self.dropped_lines.into());
                self.dropped_lines = 0;
            }
        }
        self.buffer.extend_from_slice(fields.to_string().as_bytes());
        self.buffer.push(b'\n');
        self.buffered_lines += 1;
        if self.buffer.len() >= CHUNK_BYTES {
            self.flush();
        }
    }

    /// Passes the buffered lines to the writer thread, or drops them if its queue is full.
    pub fn flush(&mut self) {
        if self.buffer.is_empty() {
            return;
        }
        let chunk = std::mem::take(&mut self.buffer);
        let line_count = std::mem::take(&mut self.buffered_lines);
        if self.chunks.try_send(chunk).is_err() {
            self.dropped_lines += line_count;
        }
    }

    /// Returns the number of dropped lines that no line has reported yet.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines
    }

    fn exceeds_rate(&mut self, now: Millis) -> bool {
        let second = now.0 / 1000;
        if second != self.current_second {
            self.current_second = second;
            self.second_lines = 0;
        }
        self.second_lines += 1;
        self.second_lines > MAX_LINES_PER_SECOND
    }
}

fn write_chunks(mut out: impl Write, chunks: &Receiver<Vec<u8>>) {
    for chunk in chunks {
        // A closed output cannot be reported anywhere; the instance continues without logs.
        if out.write_all(&chunk).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
