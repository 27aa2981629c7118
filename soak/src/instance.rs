//! A gateway process, and calls to it.

use std::fs;
use std::fs::File;
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
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::io::Errno;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// A gateway process, killed on drop.
#[derive(Debug)]
pub struct Instance {
    child: Child,
    program: PathBuf,
    settings: PathBuf,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address of the readiness check.
    pub health_address: SocketAddr,
    /// The address of the instance directory.
    pub directory_address: SocketAddr,
    /// The address for peers.
    pub peer_address: SocketAddr,
    /// The address of the metrics page.
    pub metrics_address: SocketAddr,
}

impl Instance {
    /// Starts a gateway process that uses the given store.
    ///
    /// # Panics
    ///
    /// If the process cannot be started.
    pub fn start(program: &Path, name: &str, store: SocketAddr) -> Self {
        Self::start_with_seeds(program, name, store, &[])
    }

    /// Starts a gateway process whose settings list some peers as seeds.
    ///
    /// # Panics
    ///
    /// If the process cannot be started.
    pub fn start_with_seeds(
        program: &Path,
        name: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let [
            caller_address,
            health_address,
            directory_address,
            peer_address,
            metrics_address,
        ] = unique_addresses();
        let settings = std::env::temp_dir().join(format!("{name}-{}.jsonc", caller_address.ip()));
        let text = format!(
            r#"{{ "interface": "platform", "instance": "{name}", "ip": "{}", "centre": "a", "metrics": {},
                "listen": {{ "callers": "{caller_address}", "health": "{health_address}",
                             "directory": "{directory_address}", "peers": "{peer_address}" }},
                "store": "{store}", "seeds": {}, "memory_mb": 110, // as on the platform
                "bounds": {{ "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 54,
                             "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000,
                             "keep_s": 5 }} }}"#,
            caller_address.ip(),
            metrics_address.port(),
            serde_json::json!(seeds)
        );
        fs::write(&settings, text).unwrap();
        let child = spawn(program, &settings);
        let program = program.to_owned();
        Self {
            child,
            program,
            settings,
            caller_address,
            health_address,
            directory_address,
            peer_address,
            metrics_address,
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // The process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Starts the process again with the same name and addresses.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.settings);
    }

    /// Restarts the process if it has exited, and returns whether it had.
    pub fn restart_if_exited(&mut self) -> bool {
        let exited = matches!(self.child.try_wait(), Ok(Some(_)));
        if exited {
            self.restart();
        }
        exited
    }

    /// Returns whether the process is running.
    ///
    /// # Panics
    ///
    /// If the operating system does not tell.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Returns the ID of the process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Replaces a text in its settings file.
    ///
    /// # Panics
    ///
    /// If the file cannot be read or written.
    pub fn edit_settings(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).unwrap();
        fs::write(&self.settings, text.replace(from, to)).unwrap();
    }

    /// Returns whether it responds to a request with status 200.
    pub fn serves_requests(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.caller_address) else {
            return false;
        };
        let timeout = Some(Duration::from_secs(2));
        if stream.set_read_timeout(timeout).is_err() {
            return false;
        }
        let head = "GET /safe/a HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
                    siskinyoke-request-id: probe\r\nconnection: close\r\n\r\n";
        let mut response = String::new();
        let written = stream.write_all(head.as_bytes());
        written
            .and_then(|()| stream.read_to_string(&mut response))
            .is_ok()
            && response.starts_with("HTTP/1.1 200")
    }

    /// Waits until it is ready for callers.
    ///
    /// # Panics
    ///
    /// If it is not ready within 30 seconds.
    #[must_use]
    pub fn wait_until_ready(self) -> Self {
        wait_until("the instance is ready", || {
            self.http_status(self.health_address, "/api/readyz") == Some(200)
        });
        self
    }

    /// Returns the status code of a page, if there is a valid response.
    pub fn http_status(&self, address: SocketAddr, path: &str) -> Option<u16> {
        let response = http_get(address, path)?;
        response.split(' ').nth(1)?.parse().ok()
    }

    /// Returns the value of the metrics row that contains a label, such as `what="peers"`, if there
    /// is one.
    pub fn metric(&self, label: &str) -> Option<u64> {
        let page = http_get(self.metrics_address, "/metrics")?;
        let row = page.lines().find(|it| it.contains(label))?;
        row.rsplit(' ').next()?.trim().parse().ok()
    }

    /// Sends a signal to the process, unless it has exited.
    ///
    /// # Panics
    ///
    /// If the process ID is invalid or the signal cannot be sent.
    pub fn send_signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).unwrap();
        // The process ID is not reused: an exited child remains a zombie until it is waited for.
        if let Err(err) = kill_process(Pid::from_raw(pid).unwrap(), signal) {
            assert_eq!(err, Errno::SRCH);
        }
    }

    /// Waits until the process exits, and returns its log.
    ///
    /// # Panics
    ///
    /// If the process exits with a failure.
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

    /// Opens a connection as a caller.
    ///
    /// # Panics
    ///
    /// If the connection is refused.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.caller_address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        stream
    }

    /// Sends a request over a new connection and returns everything received.
    ///
    /// `headers` is a sequence of complete header lines.
    pub fn call(&self, id: &str, path: &str, headers: &str, body: &str) -> String {
        let mut stream = self.connect();
        send_request(
            &mut stream,
            id,
            path,
            &format!("connection: close\r\n{headers}"),
            body,
        );
        let mut response = String::new();
        // A response may be truncated; the tests check what was received.
        drop(stream.read_to_string(&mut response));
        response
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        // The file may have been removed already.
        drop(fs::remove_file(&self.settings));
    }
}

/// Sends a request with the key and host of the test configuration.
///
/// `headers` is a sequence of complete header lines.
///
/// # Panics
///
/// If the connection is closed.
pub fn send_request(stream: &mut TcpStream, id: &str, path: &str, headers: &str, body: &str) {
    let length = body.len();
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
         siskinyoke-request-id: {id}\r\nsiskinyoke-deadline-ms: 4000\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    )
    .unwrap();
}

/// Reads one response with a content length.
///
/// # Panics
///
/// If no complete response is received.
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
        .map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    text.push_str(&String::from_utf8(body).unwrap());
    text
}

/// Reads a stream until a number of events has arrived, and returns what was read.
///
/// # Panics
///
/// If the connection ends before.
pub fn read_events(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    while String::from_utf8_lossy(&bytes).matches("data: ").count() < count {
        let mut part = [0; 1024];
        let length = stream.read(&mut part).unwrap();
        assert!(length > 0, "the connection ended");
        bytes.extend_from_slice(&part[..length]);
    }
    bytes
}

/// Returns the response to a GET request, if the server responds.
pub fn http_get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    )
    .ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    Some(response)
}

/// Waits until a condition holds.
///
/// # Panics
///
/// If it does not hold within 30 seconds.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..3_000 {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("timed out after 30 s waiting until {description}");
}

fn spawn(program: &Path, settings: &Path) -> Child {
    let mut command = Command::new(program);
    command
        .arg("--settings")
        .arg(settings)
        .stdout(log_output(settings));
    command.spawn().unwrap()
}

// Returns where an instance writes its log: to a file in the directory that `SOAK_LOGS` names, which
// keeps what earlier processes with the same settings wrote, or to a pipe.
fn log_output(settings: &Path) -> Stdio {
    let Some(directory) = std::env::var_os("SOAK_LOGS") else {
        return Stdio::piped();
    };
    fs::create_dir_all(&directory).unwrap();
    let name = settings.with_extension("log");
    let path = Path::new(&directory).join(name.file_name().unwrap());
    let file = File::options().create(true).append(true).open(path);
    file.unwrap().into()
}

// Returns the addresses of a new instance. Each instance has its own loopback IP address, so that
// the ports do not collide, also with those of other test processes. Where a process has used all its
// addresses, the next instances have other ports.
fn unique_addresses() -> [SocketAddr; 5] {
    static NEXT_NUMBER: AtomicU16 = AtomicU16::new(0);
    let [low, middle, ..] = std::process::id().to_le_bytes();
    let process_octet = middle % 100 + 20;
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let [own_octet, round] = [number % 250, number / 250];
    let own_octet = u8::try_from(own_octet + 1).unwrap();
    let ip = Ipv4Addr::new(127, process_octet, low, own_octet);
    let ports = [8221, 8224, 8220, 8229, 9464];
    ports.map(|port| SocketAddr::new(ip.into(), port + 10 * round))
}
