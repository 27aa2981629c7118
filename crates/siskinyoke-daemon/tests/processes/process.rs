//! One daemon's process; it ends with the value that holds it, also when a test fails.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Bound on every wait; a test that meets it fails.
pub const BOUND: Duration = Duration::from_secs(30);

/// Pause between two looks.
pub const LOOK: Duration = Duration::from_millis(20);

/// A daemon's process.
pub struct Process {
    child: Child,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
}

impl Process {
    /// Starts a daemon and waits until it listens.
    pub fn start(settings: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_siskinyoked"))
            .arg("--settings")
            .arg(settings)
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon can be started");
        let stderr = child.stderr.take().expect("it is piped");
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                // The test's output shows it if the test fails.
                println!("{line}");
                // Nobody waits for lines once the daemon listens.
                let _ = sender.send(line);
            }
        });
        let mut process = Self {
            child,
            callers: ([127, 0, 0, 1], 0).into(),
            peers: ([127, 0, 0, 1], 0).into(),
        };
        while process.callers.port() == 0 || process.peers.port() == 0 {
            let line = lines.recv_timeout(BOUND).expect("the daemon listens");
            note(&line, "listens for callers on ", &mut process.callers);
            note(&line, "listens for peers on ", &mut process.peers);
        }
        process
    }

    /// Sends a signal to the process, and to no other.
    pub fn signal(&self, name: &str) {
        let order = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &order]).status();
        assert!(status.is_ok_and(|status| status.success()), "{order}");
    }

    /// Kills the process at once, with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("it ends");
    }

    /// Waits until the process ends of itself.
    pub fn wait(&mut self) -> ExitStatus {
        let begun = Instant::now();
        while begun.elapsed() < BOUND {
            if let Some(status) = self.child.try_wait().expect("its end can be seen") {
                return status;
            }
            thread::sleep(LOOK);
        }
        panic!("the daemon does not end");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already; SIGKILL ends a frozen process too.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn note(line: &str, mark: &str, address: &mut SocketAddr) {
    if let Some((_, text)) = line.split_once(mark) {
        *address = text.trim().parse().expect("an address");
    }
}
