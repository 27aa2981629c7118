//! A process of the program under review, with settings like those of a small deployment.

use std::fs;
use std::fs::File;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::connect;
use crate::record::Record;

/// A process, killed on drop.
#[derive(Debug)]
pub struct Gateway {
    child: Child,
    command: Command,
    /// Its name.
    pub name: String,
    /// Where requesters connect.
    pub front: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready: SocketAddr,
    /// Where the other processes connect.
    pub control: SocketAddr,
}

/// The answer to a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status; none if the channel ended without a whole head.
    pub status: Option<u16>,
    /// The seal of the server.
    pub seal: Option<String>,
    /// The body.
    pub body: String,
}

impl Gateway {
    /// Starts a process of the program with a name, whose files lie in a folder.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        ip: &str,
        store: SocketAddr,
    ) -> Gateway {
        Gateway::start_with_memory(program, folder, name, ip, store, 256)
    }

    /// Starts a process with a limit of memory, in MB.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn start_with_memory(
        program: &Path,
        folder: &Path,
        name: &str,
        ip: &str,
        store: SocketAddr,
        memory_mb: u64,
    ) -> Gateway {
        let [front, ready, directory, control, metrics] = free_addresses(ip);
        let port = metrics.port();
        // As `platform/settings.jsonc` is filled in for the a machine of `demands/LATER.md`.
        let settings = format!(
            r#"{{ "interface": "platform", "instance": "{name}", "ip": "{ip}", "centre": "a",
                "listen": {{ "callers": "{front}", "health": "{ready}", "directory": "{directory}",
                             "peers": "{control}" }},
                "seeds": [], "store": "{store}", "metrics": {port}, "memory_mb": {memory_mb},
                "bounds": {{ "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 208,
                             "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000,
                             "keep_s": 5, "settle_ms": 4000 }} }}"#
        );
        let path = folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings).unwrap();
        let log = folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let mut command = Command::new(program);
        command.arg("--settings").arg(&path).stdout(log);
        Gateway {
            child: command.spawn().unwrap(),
            command,
            name: name.to_owned(),
            front,
            ready,
            control,
        }
    }

    /// Kills the process, and starts it again with the same settings.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn kill_and_restart(&mut self) {
        // It may have ended by itself.
        drop(self.child.kill());
        drop(self.child.wait());
        // The log of the first start is kept; that of later ones is not.
        self.command.stdout(std::process::Stdio::null());
        self.child = self.command.spawn().unwrap();
    }

    /// Sends SIGHUP to the process.
    pub fn hang_up(&self) {
        const SIGHUP: i32 = 1;
        self.signal(SIGHUP);
    }

    /// Sends SIGTERM to the process.
    pub fn stop(&self) {
        const SIGTERM: i32 = 15;
        self.signal(SIGTERM);
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Panics
    ///
    /// If it cannot be waited for.
    pub fn wait(&mut self) {
        self.child.wait().unwrap();
    }

    fn signal(&self, signal: i32) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        let process = i32::try_from(self.child.id()).unwrap();
        // SAFETY: the process is a child that has not been waited for, so the id is its own.
        let sent = unsafe { kill(process, signal) };
        assert_eq!(sent, 0, "the signal is sent");
    }

    /// Returns the memory that the process holds now, in KB, as the system says it.
    pub fn memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let number = line.and_then(|it| it.split_whitespace().next());
        number.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Waits until it says that it is ready, and returns whether it did within 20 seconds.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = connect(self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let head = "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let sent = stream.write_all(head.as_bytes());
        let mut text = String::new();
        sent.is_ok() && stream.read_to_string(&mut text).is_ok() && text.starts_with("HTTP/1.1 200")
    }

    /// Sends a request over a new channel, and returns its answer.
    pub fn call(&self, id: &str, path: &str, deadline_ms: u64, record: &Record) -> Answer {
        self.call_with_body(id, path, deadline_ms, b"hi", record)
    }

    /// Sends a request with a body over a new channel, and returns its answer.
    pub fn call_with_body(
        &self,
        id: &str,
        path: &str,
        deadline_ms: u64,
        body: &[u8],
        record: &Record,
    ) -> Answer {
        let name = &self.name;
        record.add(&format!("{id} sent to {name}: POST {path}"));
        let answer = self.exchange(id, path, deadline_ms, body);
        let answer = answer.unwrap_or(Answer {
            status: None,
            seal: None,
            body: String::new(),
        });
        let (status, body) = (answer.status, &answer.body);
        record.add(&format!("{id} answered: {status:?} {body:?}"));
        answer
    }

    fn exchange(&self, id: &str, path: &str, deadline_ms: u64, body: &[u8]) -> Option<Answer> {
        let limit = Duration::from_millis(deadline_ms + 1_000);
        let mut stream = connect(self.front, limit).ok()?;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nSiskinyoke-Request-Id: {id}\r\n\
             Siskinyoke-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-1\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(body).ok()?;
        let mut reader = BufReader::new(stream);
        let message = Message::read(&mut reader).ok()??;
        Some(Answer {
            status: message.word(1).parse().ok(),
            seal: message
                .header("siskinyoke-response-seal")
                .map(str::to_owned),
            body: String::from_utf8_lossy(&message.body).into_owned(),
        })
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended by itself.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

// Returns addresses whose ports are free.
fn free_addresses(ip: &str) -> [SocketAddr; 5] {
    let listeners = [(); 5].map(|()| TcpListener::bind((ip, 0)).unwrap());
    listeners.map(|it| it.local_addr().unwrap())
}
