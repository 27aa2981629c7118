//! A daemon's process under measurement.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use crate::error::StandinError;

/// The daemon's program, which stands beside this one.
const PROGRAM: &str = "siskinyoked";

/// How long the daemon may take to listen.
const LIMIT: Duration = Duration::from_secs(10);

/// What the daemon logs before its address for callers.
const MARK: &str = "listens for callers on ";

/// Milliseconds of one tick of the kernel's count of processor time.
const TICK: f64 = 10.0;

/// Bytes of a kibibyte, and kibibytes of a mebibyte.
const KIB: f64 = 1024.0;

/// A daemon's process; it ends when dropped.
pub struct Daemon {
    child: Child,
    /// Where callers connect.
    pub address: String,
}

/// What a process has used.
#[derive(Debug, Default, Clone, Copy)]
pub struct Cost {
    /// Resident memory, in mebibytes.
    pub resident: f64,
    /// Processor time, in milliseconds.
    pub processor: f64,
    /// Threads.
    pub threads: f64,
}

impl Cost {
    /// Reads what a process has used so far.
    ///
    /// # Errors
    ///
    /// [`StandinError::Fleet`] if the system does not tell.
    pub fn of(process: u32) -> Result<Self, StandinError> {
        let read = |name: &str| {
            let text = fs::read_to_string(format!("/proc/{process}/{name}"));
            text.map_err(|err| StandinError::Fleet(format!("/proc cannot be read: {err}")))
        };
        let status = read("status")?;
        let stat = read("stat")?;
        // The name in brackets may hold spaces; fields are counted behind it.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        let ticks: f64 = ticks.filter_map(|text| text.parse::<f64>().ok()).sum();
        Ok(Self {
            resident: field(&status, "VmRSS:") / KIB,
            processor: ticks * TICK,
            threads: field(&status, "Threads:"),
        })
    }

    /// Returns what was used since an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            processor: self.processor - earlier.processor,
            ..*self
        }
    }

    /// Adds the processor time of another span.
    pub fn add(&mut self, other: &Self) {
        self.processor += other.processor;
    }
}

impl Daemon {
    /// Starts a daemon and waits until it listens.
    ///
    /// # Errors
    ///
    /// [`StandinError::Fleet`] if it does not.
    pub fn start(settings: &Path) -> Result<Self, StandinError> {
        let own = std::env::current_exe().map_err(|err| fault(&err))?;
        let mut child = Command::new(own.with_file_name(PROGRAM))
            .arg("--settings")
            .arg(settings)
            .env("RUST_LOG", "siskinyoke_daemon=info")
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|err| fault(&err))?;
        let stderr = child.stderr.take();
        let mut daemon = Self {
            child,
            address: String::new(),
        };
        let (sender, addresses) = mpsc::channel();
        thread::spawn(move || {
            let lines = stderr.map(BufReader::new).into_iter();
            for line in lines.flat_map(BufRead::lines).map_while(Result::ok) {
                if let Some((_, address)) = line.split_once(MARK) {
                    // Nobody waits if it came too late.
                    let _ = sender.send(address.trim().to_owned());
                }
            }
        });
        daemon.address = addresses
            .recv_timeout(LIMIT)
            .map_err(|_| StandinError::Fleet(format!("{PROGRAM} does not listen")))?;
        Ok(daemon)
    }

    /// Returns the process's number.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has used so far.
    ///
    /// # Errors
    ///
    /// [`StandinError::Fleet`] if the system does not tell.
    pub fn cost(&self) -> Result<Cost, StandinError> {
        Cost::of(self.child.id())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn fault(err: &std::io::Error) -> StandinError {
    StandinError::Fleet(format!(
        "{PROGRAM} cannot be started: {err}; build it with cargo build --release --bins"
    ))
}

/// Reads a number behind its name.
fn field(status: &str, name: &str) -> f64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let word = line.and_then(|line| line.split_whitespace().next());
    word.and_then(|word| word.parse().ok()).unwrap_or(0.0)
}
