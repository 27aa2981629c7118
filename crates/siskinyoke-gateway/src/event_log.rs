//! Log of the decisions of an instance, shared by its parts.

use std::cell::RefCell;
use std::rc::Rc;

use serde_json::Value;

use crate::clock::BootClock;
use crate::log_writer::LogWriter;
use siskinyoke_base::Clock;

/// Log of the decisions of an instance; clones write to the same log.
#[derive(Debug, Clone)]
pub struct EventLog {
    writer: Rc<RefCell<LogWriter>>,
}

impl EventLog {
    /// Creates a log that passes its lines to `writer`.
    pub fn new(writer: LogWriter) -> Self {
        Self {
            writer: Rc::new(RefCell::new(writer)),
        }
    }

    /// Writes a log line.
    pub fn log(&self, event: &str, fields: Value) {
        self.writer
            .borrow_mut()
            .write(BootClock.now(), event, fields);
    }

    /// Passes buffered log lines to the writer thread.
    pub fn flush(&self) {
        self.writer.borrow_mut().flush();
    }
}
