//! A gateway that runs as a process of its own, and calls to it.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::io::Errno;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// A gateway that runs as a process of its own, killed when it is dropped.
#[derive(Debug)]
pub struct Instance {
    child: Child,
    program: PathBuf,
    settings: PathBuf,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where it says whether it is ready.
    pub health_address: SocketAddr,
    /// Where it names instances.
    pub directory_address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where its metrics are.
    pub metrics_address: SocketAddr,
}

impl Instance {
    /// Starts a process of this program, over a store.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn start(program: &Path, name: &str, store: SocketAddr) -> Self {
        Self::start_with_seeds(program, name, store, &[])
    }

    /// Starts a process that knows some peers from its settings.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn start_with_seeds(
        program: &Path,
        name: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let [callers, health, directory, peers, metrics] = unique_addresses();
        let settings = std::env::temp_dir().join(format!("{name}-{}.jsonc", callers.ip()));
        let text = format!(
            r#"{{ "interface": "platform", "instance": "{name}", "ip": "{}", "centre": "a", "metrics": {},
                "listen": {{ "callers": "{callers}", "health": "{health}",
                             "directory": "{directory}", "peers": "{peers}" }},
                "store": "{store}", "seeds": {}, "memory_mb": 110, // as on the platform
                "bounds": {{ "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 54,
                             "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000,
                             "keep_s": 5 }} }}"#,
            callers.ip(),
            metrics.port(),
            serde_json::json!(seeds)
        );
        fs::write(&settings, text).unwrap();
        let child = spawn(program, &settings);
        let program = program.to_owned();
        Self {
            child,
            program,
            settings,
            caller_address: callers,
            health_address: health,
            directory_address: directory,
            peer_address: peers,
            metrics_address: metrics,
        }
    }

    /// Kills it.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Starts it again under its name and addresses.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.settings);
    }

    /// Starts it again if it has ended, and returns whether it had.
    pub fn restart_if_exited(&mut self) -> bool {
        let gone = matches!(self.child.try_wait(), Ok(Some(_)));
        if gone {
            self.restart();
        }
        gone
    }

    /// Returns whether it answers a request with a success.
    pub fn serves_requests(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.caller_address) else {
            return false;
        };
        let limit = Some(Duration::from_secs(2));
        if stream.set_read_timeout(limit).is_err() {
            return false;
        }
        let head = "GET /safe/a HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
                    siskinyoke-request-id: probe\r\nconnection: close\r\n\r\n";
        let mut answer = String::new();
        let done = stream.write_all(head.as_bytes());
        done.and_then(|()| stream.read_to_string(&mut answer))
            .is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Waits until it takes callers.
    ///
    /// # Panics
    ///
    /// If it does not within half a minute.
    #[must_use]
    pub fn wait_until_ready(self) -> Self {
        wait_until("ready", || {
            self.http_status(self.health_address, "/api/readyz") == Some(200)
        });
        self
    }

    /// Returns the status of a page.
    pub fn http_status(&self, address: SocketAddr, path: &str) -> Option<u16> {
        let answer = http_get(address, path)?;
        answer.split(' ').nth(1)?.parse().ok()
    }

    /// Sends it a signal; one that has ended gets none.
    ///
    /// # Panics
    ///
    /// If its number is no process number.
    pub fn send_signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).unwrap();
        // A child that ended stays a process of this number until it is waited for.
        if let Err(err) = kill_process(Pid::from_raw(pid).unwrap(), signal) {
            assert_eq!(err, Errno::SRCH);
        }
    }

    /// Waits for its end and returns what it logged.
    ///
    /// # Panics
    ///
    /// If it ended with a failure.
    pub fn into_log(mut self) -> String {
        let mut text = String::new();
        self.child
            .stdout
            .take()
            .unwrap()
            .read_to_string(&mut text)
            .unwrap();
        assert!(self.child.wait().unwrap().success());
        text
    }

    /// Opens a connection of a caller.
    ///
    /// # Panics
    ///
    /// If it takes none.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.caller_address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        stream
    }

    /// Sends a request over a connection of its own and returns all that comes back.
    pub fn call(&self, id: &str, path: &str, more: &str, body: &str) -> String {
        let mut stream = self.connect();
        send_request(
            &mut stream,
            id,
            path,
            &format!("connection: close\r\n{more}"),
            body,
        );
        let mut answer = String::new();
        // An answer that is cut off ends here, too; the tests look at what came.
        drop(stream.read_to_string(&mut answer));
        answer
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        // The file may be gone.
        drop(fs::remove_file(&self.settings));
    }
}

/// Sends a request with the key and host that the tests' configuration knows.
///
/// # Panics
///
/// If the connection is closed.
pub fn send_request(stream: &mut TcpStream, id: &str, path: &str, more: &str, body: &str) {
    let length = body.len();
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
         siskinyoke-request-id: {id}\r\nsiskinyoke-deadline-ms: 4000\r\n\
         content-length: {length}\r\n{more}\r\n{body}"
    )
    .unwrap();
}

/// Reads one answer whose body has a length.
///
/// # Panics
///
/// If none comes.
pub fn read_response(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    loop {
        stream.read_exact(&mut byte).unwrap();
        text.push(byte[0]);
        if text.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let mut text = String::from_utf8(text).unwrap();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |it| it.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    text.push_str(&String::from_utf8(body).unwrap());
    text
}

/// Gets a page, if it is there.
pub fn http_get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    )
    .ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Waits for something to come true.
///
/// # Panics
///
/// If it does not within half a minute.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..3_000 {
        if done() {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("not in half a minute: {what}");
}

fn spawn(program: &Path, settings: &Path) -> Child {
    let mut command = Command::new(program);
    command
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped());
    command.spawn().unwrap()
}

// Each instance has a loopback address of its own, so that no two ever want the same port.
fn unique_addresses() -> [SocketAddr; 5] {
    static NEXT_OCTET: AtomicU8 = AtomicU8::new(1);
    let process = u8::try_from(std::process::id() % 200).unwrap() + 20;
    let ip = Ipv4Addr::new(127, process, NEXT_OCTET.fetch_add(1, Ordering::Relaxed), 1);
    [8221, 8224, 8220, 8229, 9464].map(|port| SocketAddr::new(ip.into(), port))
}
