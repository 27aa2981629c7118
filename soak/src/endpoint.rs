//! A stand-in of an endpoint that does what a request's path asks for.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// The bytes of a large answer.
pub const LARGE_BODY_BYTES: usize = 3 * 1024 * 1024;

/// The events of a long stream.
pub const LONG_STREAM_EVENTS: usize = 1_000;

/// The requests a second that an endpoint asks for whose requests' path says that it is limited.
pub const RATE_LIMIT_PER_SECOND: f64 = 1.5;

/// A request as it reached an endpoint.
#[derive(Debug, Clone, Default)]
pub struct ReceivedRequest {
    /// The request line.
    pub request_line: String,
    /// Its headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns a header's value, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|row| row.0 == name)
            .map(|row| &*row.1)
    }

    fn line_contains(&self, what: &str) -> bool {
        self.request_line.contains(what)
    }
}

/// A stand-in of an endpoint that does what a request's path asks for.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its identity.
    pub id: String,
    /// The version of its software, if its entry names one.
    pub version: Option<String>,
    /// Where it listens.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    disconnects: Arc<Mutex<u32>>,
}

impl Endpoint {
    /// Starts an endpoint.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(id: &str) -> Self {
        Self::start_with_version(id, None)
    }

    /// Starts an endpoint whose entry names a version.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start_with_version(id: &str, version: Option<&str>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = Self {
            id: id.to_owned(),
            version: version.map(str::to_owned),
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            disconnects: Arc::default(),
        };
        let serving = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let endpoint = serving.clone();
                // A connection that ends in the middle of a call is part of the tests.
                thread::spawn(move || drop(endpoint.serve(stream)));
            }
        });
        endpoint
    }

    /// The entry by which it makes itself known.
    pub fn entry(&self, state: &str) -> String {
        self.entry_at(self.address, state)
    }

    /// The entry of an endpoint that is reached by way of another address.
    pub fn entry_at(&self, address: SocketAddr, state: &str) -> String {
        let version = self.version.as_ref();
        let version = version.map_or_else(String::new, |it| format!(r#""Version":"{it}","#));
        format!(
            r#"{{"Service":"lm",{version}"Address":"{address}","Zone":"a","Slots":4,"State":"{state}","born":1}}"#
        )
    }

    /// Returns the requests that reached it.
    ///
    /// # Panics
    ///
    /// If one of its threads panicked before.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// How often a connection was closed while a request was at work.
    ///
    /// # Panics
    ///
    /// If one of its threads panicked before.
    pub fn disconnect_count(&self) -> u32 {
        *self.disconnects.lock().unwrap()
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream;
        while let Some(mut arrival) = read_head(&mut reader)? {
            let early = arrival.line_contains("early");
            if early {
                out.write_all(&self.encode_response(&arrival, "early"))?;
            }
            let length = arrival
                .header("content-length")
                .map_or(0, |it| it.parse().unwrap());
            arrival.body = vec![0; length];
            reader.read_exact(&mut arrival.body)?;
            self.requests.lock().unwrap().push(arrival.clone());
            if !early && !self.respond(&arrival, &mut out)? {
                return Ok(());
            }
        }
        Ok(())
    }

    // Answers, and returns whether the connection is kept.
    fn respond(&self, arrival: &ReceivedRequest, out: &mut TcpStream) -> std::io::Result<bool> {
        if arrival.line_contains("cut") {
            return Ok(false);
        }
        if arrival.line_contains("full") && self.id == "e1" {
            out.write_all(
                b"HTTP/1.1 503 Full\r\nSiskinyoke-Not-Executed: 1\r\ncontent-length: 0\r\n\r\n",
            )?;
            return Ok(true);
        }
        if arrival.line_contains("moved") && self.id == "e1" {
            let head = format!("HTTP/1.1 421 Moved\r\nServer-Limit: {RATE_LIMIT_PER_SECOND}\r\n");
            write!(out, "{head}content-length: 0\r\n\r\n")?;
            return Ok(true);
        }
        if arrival.line_contains("extra") {
            out.write_all(&self.encode_response(arrival, "first"))?;
            out.write_all(&self.encode_response(arrival, "second"))?;
            return Ok(true);
        }
        if arrival.line_contains("slow") {
            self.wait_for_disconnect(out)?;
            return Ok(false);
        }
        if arrival.line_contains("nap") {
            thread::sleep(Duration::from_millis(1_500));
        }
        if arrival.line_contains("large") {
            out.write_all(&self.encode_response(arrival, &"x".repeat(LARGE_BODY_BYTES)))?;
            return Ok(true);
        }
        if arrival.line_contains("lost") && arrival.header("last-event-id").is_some() {
            let id = arrival.header("siskinyoke-request-id").unwrap_or("");
            write!(
                out,
                "HTTP/1.1 404 Gone\r\nSiskinyoke-Request-Id: {id}\r\ncontent-length: 0\r\n\r\n"
            )?;
            return Ok(true);
        }
        if arrival.line_contains("many") {
            return self.write_long_stream(arrival, out);
        }
        if arrival.line_contains("events") {
            return self.write_interrupted_stream(arrival, out);
        }
        out.write_all(&self.encode_response(arrival, "whole"))?;
        Ok(true)
    }

    fn encode_response(&self, arrival: &ReceivedRequest, body: &str) -> Vec<u8> {
        let id = arrival.header("siskinyoke-request-id").unwrap_or("");
        let length = body.len();
        let limit = if arrival.line_contains("limited") {
            format!("Server-Limit: {RATE_LIMIT_PER_SECOND}\r\n")
        } else {
            String::new()
        };
        format!(
            "HTTP/1.1 200 OK\r\nSiskinyoke-Request-Id: {id}\r\nSiskinyoke-Response-Seal: {}\r\n\
             {limit}content-length: {length}\r\n\r\n{body}",
            self.id
        )
        .into_bytes()
    }

    // Four events; the first sending breaks off in the middle of the third.
    fn write_interrupted_stream(
        &self,
        arrival: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<bool> {
        let after: u32 = arrival
            .header("last-event-id")
            .map_or(0, |it| it.parse().unwrap());
        self.write_stream_head(arrival, out)?;
        for number in after + 1..=4 {
            let event = format!("id: {number}\ndata: {number}\n\n");
            if number == 3 && after == 0 {
                write_chunk(out, &event[..8])?;
                return Ok(false);
            }
            write_chunk(out, &event)?;
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    // Many long events, more than the buffers on their way hold.
    fn write_long_stream(
        &self,
        arrival: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<bool> {
        self.write_stream_head(arrival, out)?;
        for number in 0..LONG_STREAM_EVENTS {
            write_chunk(
                out,
                &format!("id: {number}\ndata: {}\n\n", "x".repeat(16 * 1024)),
            )?;
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    // Sends the head of a stream.
    fn write_stream_head(
        &self,
        arrival: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<()> {
        let id = arrival.header("siskinyoke-request-id").unwrap_or("");
        write!(
            out,
            "HTTP/1.1 200 OK\r\nSiskinyoke-Request-Id: {id}\r\nSiskinyoke-Response-Seal: {}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        )
    }

    fn wait_for_disconnect(&self, out: &mut TcpStream) -> std::io::Result<()> {
        let mut byte = [0];
        if out.read(&mut byte)? == 0 {
            *self.disconnects.lock().unwrap() += 1;
        }
        Ok(())
    }
}

fn write_chunk(out: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(out, "{:x}\r\n{text}\r\n", text.len())?;
    out.flush()
}

fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<ReceivedRequest>> {
    let mut arrival = ReceivedRequest::default();
    if reader.read_line(&mut arrival.request_line)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            return Ok(Some(arrival));
        };
        arrival
            .headers
            .push((name.to_ascii_lowercase(), value.to_owned()));
    }
}
