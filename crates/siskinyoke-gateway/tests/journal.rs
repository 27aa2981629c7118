//! Log lines that are bounded and never waited for.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;

use serde_json::json;

use siskinyoke_base::Millis;
use siskinyoke_gateway::log_writer::LogWriter;

/// A pipe that nobody reads until it is let go.
struct Stuck(Receiver<()>, Arc<Mutex<Vec<u8>>>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // An error means that the test is over.
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

// Nobody reads the pipe of standard output. Requests must be served all the same: a write that
// waits for the reader would hold up the one thread that serves them.
#[test]
fn a_pipe_that_nobody_reads_holds_up_nothing() {
    let (go, stuck) = channel();
    let out = Arc::default();
    let mut journal = LogWriter::start(Stuck(stuck, Arc::clone(&out)));
    for second in 0..600 {
        for number in 0..100 {
            journal.write(
                Millis(second * 1_000),
                "answer",
                json!({ "number": number }),
            );
        }
        journal.flush();
    }
    assert!(journal.dropped_lines() > 0);
    drop(go);
}

#[test]
fn lines_beyond_a_seconds_measure_are_counted_in_the_next_one() {
    let (go, stuck) = channel();
    let out: Arc<Mutex<Vec<u8>>> = Arc::default();
    let mut journal = LogWriter::start(Stuck(stuck, Arc::clone(&out)));
    for number in 0..1_000 {
        journal.write(Millis(0), "answer", json!({ "number": number }));
    }
    assert_eq!(journal.dropped_lines(), 600);
    journal.write(Millis(1_000), "answer", json!({}));
    assert_eq!(journal.dropped_lines(), 0);
    drop(go);
}
