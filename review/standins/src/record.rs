//! The record of a case: what was sent, answered and run, with times since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case.
#[derive(Debug, Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins a record.
    ///
    /// # Panics
    ///
    /// If the file cannot be written.
    pub fn begin(path: &Path) -> Record {
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).unwrap())),
        }
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap()
    }

    /// Adds a line, and returns its time.
    ///
    /// # Panics
    ///
    /// If the file cannot be written.
    pub fn add(&self, text: &str) -> u64 {
        let mut file = self.file.lock().unwrap();
        let now = self.now();
        writeln!(file, "{:9.3} s  {text}", now as f64 / 1000.0).unwrap();
        now
    }
}
