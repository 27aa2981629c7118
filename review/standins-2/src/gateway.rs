//! Processes of the program under review, started with the command of the deploy file.

use std::fs;
use std::io::Error;
use std::io::Result;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;

/// The command of the deploy file, run from the root of the repository.
const PROGRAM: &str = "target/release/siskinyoke-gateway";

/// The variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "SISKINYOKE_NODE_FILE";

/// How long a process may take until it is ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// `GraceS` of the deployments.
const GRACE: Duration = Duration::from_secs(8);

/// A process of the program under review, killed on drop.
#[derive(Debug)]
pub struct Gateway {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    /// The address for requesters, `Front`.
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Gateway {
    /// Starts machine `number` with a loopback address of its own.
    pub fn start(number: u8, store: SocketAddr, folder: &Path) -> Result<Self> {
        let [front, ready, directory, control, metrics] = free_addresses(number)?;
        let settings = folder.join(format!("front-{number}.jsonc"));
        let text = format!(
            r#"{{ "interface": "platform", "instance": "front-{number}", "ip": "{ip}", "centre": "zone-{zone}",
    "listen": {{ "callers": "{front}", "health": "{ready}", "directory": "{directory}", "peers": "{control}" }},
    "seeds": [], "store": "{store}", "metrics": {metrics}, "memory_mb": 260,
    "bounds": {{ "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 56, "quota_window_s": 8,
        "quota_overage": 0.1, "quota_slack": 110000, "keep_s": 5, "settle_ms": 3000 }} }}"#,
            ip = front.ip(),
            zone = number % 3,
            metrics = metrics.port(),
        );
        fs::write(&settings, text)?;
        let log = folder.join(format!("front-{number}.log"));
        let child = spawn(&settings, &log)?;
        Ok(Self {
            child,
            settings,
            log,
            front,
            ready,
        })
    }

    /// Waits until it says that it is ready.
    pub fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if client::get_status(self.ready, "/api/readyz") == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(Error::other("a process did not become ready"))
    }

    /// Sends SIGTERM to the process and waits until it has ended, or kills it after `GraceS`.
    pub fn terminate(&mut self) -> Result<()> {
        // The shell has this command in any case.
        let command = format!("kill -TERM {}", self.child.id());
        Command::new("sh").args(["-c", &command]).status()?;
        let deadline = Instant::now() + GRACE;
        while self.runs() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> Result<()> {
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Result<Child> {
    let log = fs::File::options().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
}

// Returns free addresses of a loopback IP address that the other machines do not have.
fn free_addresses(number: u8) -> Result<[SocketAddr; 5]> {
    let [low, middle, ..] = std::process::id().to_le_bytes();
    let mut found = Vec::new();
    let mut listeners = Vec::new();
    for _ in 0..5 {
        let ip = [127, 20 + middle % 100, low, number + 1];
        let listener = TcpListener::bind((std::net::Ipv4Addr::from(ip), 0))?;
        found.push(listener.local_addr()?);
        listeners.push(listener);
    }
    found.try_into().map_err(|_| Error::other("no addresses"))
}
