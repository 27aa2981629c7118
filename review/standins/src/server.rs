//! A sound server of a plain service. It runs each request that it gets, echoes its id, and answers
//! 421 if the request is meant for another server.

use std::io::BufReader;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::Message;
use crate::record::Record;

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// The request's id.
    pub id: String,
    /// When the request had arrived, in milliseconds of the record.
    pub at_ms: u64,
}

/// How fast a body is read.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// The number of bytes that are read at once.
    pub part: usize,
    /// The pause after each part.
    pub pause: Duration,
}

/// A server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its id in the store.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    work: Duration,
    early: Option<Pace>,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Server {
    /// Starts a server that works on each request for a time.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(id: &str, work: Duration, record: &Record) -> Server {
        Server::start_early(id, work, None, record)
    }

    /// Starts a server that answers requests whose path contains `/early/` as soon as it has their
    /// head, keeps the channel, and reads the body at a pace; if none is given, it reads first.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start_early(id: &str, work: Duration, early: Option<Pace>, record: &Record) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        if early.is_some() {
            bound_window(&listener);
        }
        let server = Server {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            work,
            early,
            record: record.clone(),
            runs: Arc::default(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> String {
        let address = self.address;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"a\",\"Version\":\"1\",\
             \"Slots\":2,\"State\":\"{state}\",\"ColdRemainingMs\":0,\"SeqNo\":1}}"
        )
    }

    /// Returns all runs so far.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = Message::read_head(&mut reader)? {
            let server_id = &self.id;
            let early = self
                .early
                .as_ref()
                .filter(|_| request.word(1).contains("/early/"));
            if let Some(pace) = early {
                let id = request
                    .header("siskinyoke-request-id")
                    .unwrap_or("")
                    .to_owned();
                self.record_run(&id);
                self.answer(&mut out, &id)?;
                let length = request.length();
                self.record.add(&format!(
                    "{server_id} answers {id} and reads its {length} bytes on"
                ));
                read_slowly(&mut reader, length, *pace)?;
                self.record.add(&format!("{server_id} has read {id}"));
                continue;
            }
            request.read_body(&mut reader)?;
            // Probes: of a plain service there is nothing to report but that it is there.
            if request.word(1).ends_with("/healthz") || request.word(1) == "/api/report" {
                let head = format!("Siskinyoke-Instance-Id: {server_id}\r\nContent-Length: 0");
                out.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").as_bytes())?;
                continue;
            }
            let id = request
                .header("siskinyoke-request-id")
                .unwrap_or("")
                .to_owned();
            let target = request.header("siskinyoke-target-instance");
            if target.is_some_and(|it| it != self.id) {
                let head = format!("Siskinyoke-Request-Id: {id}\r\nSiskinyoke-Not-Executed: 1");
                let rest = "Content-Length: 0\r\n\r\n";
                out.write_all(format!("HTTP/1.1 421 Misdirected\r\n{head}\r\n{rest}").as_bytes())?;
                continue;
            }
            self.record_run(&id);
            thread::sleep(self.work);
            self.answer(&mut out, &id)?;
        }
        Ok(())
    }

    fn record_run(&self, id: &str) {
        let at_ms = self.record.add(&format!("{} runs {id}", self.id));
        let run = Run {
            id: id.to_owned(),
            at_ms,
        };
        self.runs.lock().unwrap().push(run);
    }

    fn answer(&self, out: &mut TcpStream, id: &str) -> Result<()> {
        let server_id = &self.id;
        let body = format!("done by {server_id}");
        let length = body.len();
        let head = format!(
            "Siskinyoke-Request-Id: {id}\r\nSiskinyoke-Response-Seal: {server_id}.{id}\r\n\
             Content-Length: {length}"
        );
        out.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}").as_bytes())
    }
}

// Bounds what the system receives for the server before that reads it, to about 64 KB a channel: what
// has not been read yet is then still with the sender, as between two machines.
fn bound_window(listener: &TcpListener) {
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let (size, length) = (32 * 1024, 4);
    // SAFETY: the socket is open, and the value is an `int` of that length.
    let set = unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &size, length) };
    assert_eq!(set, 0, "the window is bounded");
}

// Reads a body at a steady pace.
fn read_slowly(reader: &mut BufReader<TcpStream>, length: usize, pace: Pace) -> Result<()> {
    let mut left = length;
    let mut part = vec![0; pace.part];
    while left > 0 {
        let size = left.min(part.len());
        reader.read_exact(&mut part[..size])?;
        left -= size;
        thread::sleep(pace.pause);
    }
    Ok(())
}
