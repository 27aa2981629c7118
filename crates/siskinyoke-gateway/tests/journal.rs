//! The log writer: lines are bounded in number and written without blocking.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;

use serde_json::json;

use siskinyoke_base::Millis;
use siskinyoke_gateway::log_writer::LogWriter;

/// An output whose writes block until a message arrives or the sender is dropped.
struct BlockedOutput(Receiver<()>, Arc<Mutex<Vec<u8>>>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // The sender is dropped at the end of the test.
        if self.0.recv().is_err() {
            return Ok(bytes.len());
        }
        self.1.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

// Guards against log output that blocks the thread serving requests. It would block on a write if
// standard output is a pipe that nobody reads.
#[test]
fn an_output_pipe_that_nobody_reads_does_not_block() {
    let (release, blocked) = channel();
    let output = Arc::default();
    let mut log_writer = LogWriter::start(BlockedOutput(blocked, Arc::clone(&output)));
    for second in 0..600 {
        for number in 0..100 {
            log_writer.write(
                Millis(second * 1_000),
                "answer",
                json!({ "number": number }),
            );
        }
        log_writer.flush();
    }
    assert!(log_writer.dropped_lines() > 0);
    drop(release);
}

#[test]
fn lines_over_the_rate_limit_are_counted_in_the_next_line() {
    let (release, blocked) = channel();
    let output: Arc<Mutex<Vec<u8>>> = Arc::default();
    let mut log_writer = LogWriter::start(BlockedOutput(blocked, Arc::clone(&output)));
    for number in 0..1_000 {
        log_writer.write(Millis(0), "answer", json!({ "number": number }));
    }
    assert_eq!(log_writer.dropped_lines(), 600);
    log_writer.write(Millis(1_000), "answer", json!({}));
    assert_eq!(log_writer.dropped_lines(), 0);
    drop(release);
}
