//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Result;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The record of what was sent, answered and run, a line for each event.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    /// When it was begun.
    pub start: Instant,
}

impl Record {
    /// Begins a record in a new file.
    pub fn create(path: &Path) -> Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        })
    }

    /// Adds a line with the time since the start.
    pub fn add(&self, text: &str) {
        let time = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics");
        writeln!(file, "{time:8.3} {text}").expect("the record can be written");
    }

    /// Adds a line and prints it.
    pub fn print(&self, text: &str) {
        println!("{text}");
        self.add(text);
    }

    /// Writes everything to the file.
    pub fn flush(&self) {
        let mut file = self.file.lock().expect("no thread panics");
        file.flush().expect("the record can be written");
    }
}
