//! A sound server of a plain service. It runs each request that it gets, echoes its id, and answers
//! 421 if the request is meant for another server.

use std::io::BufReader;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
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

/// A server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its id in the store.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    work: Duration,
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
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Server {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            work,
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
        while let Some(request) = Message::read(&mut reader)? {
            let server_id = &self.id;
            if request.word(1).ends_with("/healthz") {
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
            let at_ms = self.record.add(&format!("{server_id} runs {id}"));
            let run = Run {
                id: id.clone(),
                at_ms,
            };
            self.runs.lock().unwrap().push(run);
            thread::sleep(self.work);
            let body = format!("done by {server_id}");
            let length = body.len();
            let head = format!(
                "Siskinyoke-Request-Id: {id}\r\nSiskinyoke-Response-Seal: {server_id}.{id}\r\n\
                 Content-Length: {length}"
            );
            out.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}").as_bytes())?;
        }
        Ok(())
    }
}
