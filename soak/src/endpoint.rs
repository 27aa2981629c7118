//! A stand-in for an endpoint whose behaviour is selected by the path of each request.

mod aborted;
pub mod crash;
mod endless;
mod joined;
pub mod report;
pub mod scripted;
pub mod silent;
pub mod sized;
mod unmarked;
pub mod versioned;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::admission::Admission;
use crate::admission::Verdict;
use crate::announcements::Announcements;
use crate::endpoint::crash::Crashes;
use crate::endpoint::report::Report;
use crate::endpoint::scripted::Script;

/// The number of slots that an endpoint states.
pub const SLOT_COUNT: usize = 4;

/// The path at which an endpoint states its load, by which it can be probed.
const REPORT_PATH: &str = "/api/report";

/// Length of the body of a large response.
pub const LARGE_BODY_BYTES: usize = 3 * 1024 * 1024;

/// The number of events in a long stream.
pub const LONG_STREAM_EVENTS: usize = 1_000;

/// The rate limit that an endpoint announces if the request's path selects it.
pub const RATE_LIMIT_PER_SECOND: f64 = 1.5;

/// The back-off that an endpoint requests if the request's path selects it, in seconds.
pub const RETRY_AFTER_SECONDS: f64 = 3.0;

/// How long a request's body is not read if the path selects it.
pub const UNREAD_TIME: Duration = Duration::from_millis(1_500);

/// A request as received by an endpoint.
#[derive(Debug, Clone, Default)]
pub struct ReceivedRequest {
    /// The request line.
    pub request_line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When it had been read.
    pub received_at: Option<Instant>,
    /// Whether it was rejected without having run.
    pub rejected: bool,
}

impl ReceivedRequest {
    /// Returns the value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.0 == name)
            .map(|header| &*header.1)
    }

    fn line_contains(&self, text: &str) -> bool {
        self.request_line.contains(text)
    }
}

/// A stand-in for an endpoint, whose behaviour is selected by the path of each request.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The endpoint's ID.
    pub id: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    // The version of its software, if its entry in the store states one.
    version: Arc<Mutex<Option<String>>>,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    disconnects: Arc<Mutex<u32>>,
    announcements: Arc<Mutex<Announcements>>,
    admission: Arc<Mutex<Admission>>,
    // The number of starts under this ID, which entries and reports state as the time of the start.
    starts: Arc<AtomicU64>,
    report: Arc<Mutex<Report>>,
    report_count: Arc<AtomicUsize>,
    crashes: Arc<Mutex<Crashes>>,
    endless_bytes: Arc<AtomicUsize>,
    // The responses to requests for a whole response, and to those that go on with a stream.
    scripts: Arc<Mutex<Option<(Script, Script)>>>,
}

impl Endpoint {
    /// Starts an endpoint whose entry states no version.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(id: &str) -> Self {
        Self::start_with_version(id, None)
    }

    /// Starts an endpoint whose entry states the given version, if any.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start_with_version(id: &str, version: Option<&str>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            version: Arc::new(Mutex::new(version.map(str::to_owned))),
            requests: Arc::default(),
            disconnects: Arc::default(),
            announcements: Arc::default(),
            admission: Arc::default(),
            starts: Arc::new(AtomicU64::new(1)),
            report: Arc::default(),
            report_count: Arc::default(),
            crashes: Arc::default(),
            endless_bytes: Arc::default(),
            scripts: Arc::default(),
        };
        let serving = endpoint.clone();
        thread::spawn(move || serving.listen(listener));
        endpoint
    }

    /// Returns its entry in the store, with the given state.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn entry(&self, state: &str) -> String {
        self.entry_at(self.address, state)
    }

    /// Returns its entry in the store with another address, such as that of a proxy.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn entry_at(&self, address: SocketAddr, state: &str) -> String {
        self.entry_of("lm", address, state)
    }

    /// Returns its entry in the store as an endpoint of a service.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn entry_of(&self, service: &str, address: SocketAddr, state: &str) -> String {
        let version = self.version();
        let version =
            version.map_or_else(String::new, |version| format!(r#""Version":"{version}","#));
        let start = self.starts.load(Ordering::Relaxed);
        format!(
            r#"{{"Service":"{service}",{version}"Address":"{address}","Zone":"a","Slots":{SLOT_COUNT},"State":"{state}","born":{start}}}"#
        )
    }

    /// Says in each response from now on that it is leaving.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn leave(&self) {
        let mut announcements = self.announcements.lock().unwrap();
        announcements.leaving = true;
        announcements.announced_at = None;
    }

    /// Rejects all requests for a duration, and says so.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn reject_for(&self, duration: Duration) {
        let mut announcements = self.announcements.lock().unwrap();
        announcements.rejects_until = Some(Instant::now() + duration);
        announcements.announced_at = None;
    }

    /// Says in each response how many rejections in a second it bears, and runs no more requests
    /// than it has slots; or ends that.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn set_brittle(&self, limit: Option<u32>) {
        self.admission.lock().unwrap().limit = limit;
    }

    /// Returns how often it fell over because it rejected too many requests.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn fall_count(&self) -> u32 {
        self.admission.lock().unwrap().falls
    }

    /// Starts anew under its ID: it is no longer leaving and accepts requests.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn restart(&self) {
        *self.announcements.lock().unwrap() = Announcements::default();
        self.starts.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns when a response first stated what it announces now.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn announced_at(&self) -> Option<Instant> {
        self.announcements.lock().unwrap().announced_at
    }

    /// Returns all requests received so far.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns how often a connection was closed during a request whose path contains `slow`.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn disconnect_count(&self) -> u32 {
        *self.disconnects.lock().unwrap()
    }

    fn serve(&self, number: u64, stream: TcpStream) -> std::io::Result<()> {
        // A reset discards what waits for the acknowledgement of earlier bytes.
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream;
        let mut duplicate: Option<Vec<u8>> = None;
        while let Some(mut request) = read_head(&mut reader)? {
            if let Some(duplicate) = duplicate.take() {
                out.write_all(&duplicate)?;
            }
            if self.abort(&request, &mut out)? {
                return Ok(());
            }
            let responds_early = request.line_contains("early");
            if responds_early {
                out.write_all(&self.encode_response(&request, "early"))?;
            }
            if request.line_contains("unread") {
                thread::sleep(UNREAD_TIME);
            }
            let length = request
                .header("content-length")
                .map_or(0, |it| it.parse().unwrap());
            request.body = vec![0; length];
            reader.read_exact(&mut request.body)?;
            if request.line_contains(REPORT_PATH) {
                self.write_report(&mut out)?;
                continue;
            }
            request.received_at = Some(Instant::now());
            self.stay_silent_after(number);
            if self.reject_misdirected(&request, &mut out)? {
                continue;
            }
            if self.crash_on(number, &request, &mut out)? {
                return Ok(());
            }
            let rejected_for = self.announce();
            request.rejected = rejected_for.is_some();
            let verdict = self.admit();
            request.rejected |= verdict != Some(Verdict::Accepted) && verdict.is_some();
            self.requests.lock().unwrap().push(request.clone());
            match verdict {
                Some(Verdict::Down) => return Ok(()),
                Some(Verdict::Rejected) => {
                    write!(
                        out,
                        "HTTP/1.1 503 Full\r\nSiskinyoke-Not-Executed: 1\r\n{}\
                         content-length: 0\r\n\r\n",
                        self.brittle_header()
                    )?;
                    continue;
                }
                Some(Verdict::Accepted) => {
                    work(&request);
                    // The slot is free as soon as the response leaves.
                    self.admission.lock().unwrap().end();
                }
                None => work(&request),
            }
            self.stay_silent_after(number);
            if let Some(remaining) = rejected_for {
                write_rejection(&mut out, remaining)?;
            } else if !responds_early && !self.respond(&request, &mut out)? {
                return Ok(());
            }
            if request.line_contains("duplicate") {
                duplicate = Some(self.encode_response(&request, "duplicate"));
            }
        }
        Ok(())
    }

    // Responds as selected by the path, and returns whether the connection is kept open.
    fn respond(&self, request: &ReceivedRequest, out: &mut TcpStream) -> std::io::Result<bool> {
        if request.line_contains("scripted") {
            return self.write_script(request, out);
        }
        if request.line_contains("cut") || self.write_endless(request, out) {
            return Ok(false);
        }
        if request.line_contains("full") && self.id == "e1" {
            out.write_all(
                b"HTTP/1.1 503 Full\r\nSiskinyoke-Not-Executed: 1\r\ncontent-length: 0\r\n\r\n",
            )?;
            return Ok(true);
        }
        if request.line_contains("busy") && self.id == "e1" {
            write_rejection(out, Duration::from_secs_f64(RETRY_AFTER_SECONDS))?;
            return Ok(true);
        }
        if request.line_contains("moved") && self.id == "e1" {
            let head = format!("HTTP/1.1 421 Moved\r\nServer-Limit: {RATE_LIMIT_PER_SECOND}\r\n");
            write!(out, "{head}content-length: 0\r\n\r\n")?;
            return Ok(true);
        }
        if request.line_contains("extra") {
            out.write_all(&self.encode_response(request, "first"))?;
            out.write_all(&self.encode_response(request, "second"))?;
            return Ok(true);
        }
        if request.line_contains("slow") {
            self.wait_for_disconnect(out)?;
            return Ok(false);
        }
        let is_resumed = request.header("last-event-id").is_some();
        if request.line_contains("large") || request.line_contains("oversized") && is_resumed {
            out.write_all(&self.encode_response(request, &"x".repeat(LARGE_BODY_BYTES)))?;
            return Ok(true);
        }
        if request.line_contains("lost") && is_resumed {
            let id = request.header("siskinyoke-request-id").unwrap_or("");
            write!(
                out,
                "HTTP/1.1 404 Gone\r\nSiskinyoke-Request-Id: {id}\r\ncontent-length: 0\r\n\r\n"
            )?;
            return Ok(true);
        }
        if request.line_contains("versioned") {
            return self.write_versioned_stream(request, out);
        }
        if request.line_contains("joined") {
            self.write_joined(request, out)?;
            return Ok(false);
        }
        if request.line_contains("unmarked") {
            self.write_unmarked(request, out)?;
            return Ok(false);
        }
        if self.write_sized(request, out)? {
            return Ok(true);
        }
        if request.line_contains("silent") {
            return self.write_silent_stream(request, out);
        }
        if request.line_contains("many") {
            return self.write_long_stream(request, out);
        }
        if request.line_contains("events") {
            return self.write_interrupted_stream(request, out);
        }
        out.write_all(&self.encode_response(request, "whole"))?;
        Ok(true)
    }

    // Records that a response states what the endpoint announces, and returns how long requests are
    // rejected, if they are.
    fn announce(&self) -> Option<Duration> {
        let mut announcements = self.announcements.lock().unwrap();
        let rejected = announcements.rejects_for();
        if announcements.leaving || rejected.is_some() {
            announcements.announced_at.get_or_insert_with(Instant::now);
        }
        rejected
    }

    // Admits a request if the endpoint is brittle.
    fn admit(&self) -> Option<Verdict> {
        let mut admission = self.admission.lock().unwrap();
        admission.limit?;
        Some(admission.admit(Instant::now(), SLOT_COUNT))
    }

    fn brittle_header(&self) -> String {
        let limit = self.admission.lock().unwrap().limit;
        limit.map_or_else(String::new, |it| format!("Server-Brittle: {it}\r\n"))
    }

    fn leaving_header(&self) -> &'static str {
        if self.announcements.lock().unwrap().leaving {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        }
    }

    fn encode_response(&self, request: &ReceivedRequest, body: &str) -> Vec<u8> {
        let length = body.len();
        let announcement = if request.line_contains("limited") {
            format!("Server-Limit: {RATE_LIMIT_PER_SECOND}\r\n")
        } else if request.line_contains("leaving") && self.id == "e1" {
            "Server-Leaving: 1\r\n".to_owned()
        } else {
            self.leaving_header().to_owned()
        };
        let announcement = announcement + &self.brittle_header();
        let head = self.signed_head(request);
        format!("{head}{announcement}content-length: {length}\r\n\r\n{body}").into_bytes()
    }

    // Writes a stream of four events, interrupted within the third unless it is being resumed; with
    // the final chunk after it if the path selects that.
    fn write_interrupted_stream(
        &self,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<bool> {
        let after = last_event(request);
        self.write_stream_head(request, out)?;
        for number in after + 1..=4 {
            let event = format!("id: {number}\ndata: {number}\n\n");
            if number == 3 && after == 0 {
                write_chunk(out, &event[..8])?;
                if request.line_contains("closed") {
                    out.write_all(b"0\r\n\r\n")?;
                }
                return Ok(false);
            }
            write_chunk(out, &event)?;
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    // Writes a stream that is too large for the buffers between endpoint and caller.
    fn write_long_stream(
        &self,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<bool> {
        self.write_stream_head(request, out)?;
        for number in 0..LONG_STREAM_EVENTS {
            write_chunk(
                out,
                &format!("id: {number}\ndata: {}\n\n", "x".repeat(16 * 1024)),
            )?;
        }
        out.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    // Returns the first lines of a successful response.
    fn signed_head(&self, request: &ReceivedRequest) -> String {
        let id = request.header("siskinyoke-request-id").unwrap_or("");
        format!(
            "HTTP/1.1 200 OK\r\nSiskinyoke-Request-Id: {id}\r\nSiskinyoke-Response-Seal: {}\r\n",
            self.id
        )
    }

    // Writes the response head of a stream.
    fn write_stream_head(
        &self,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<()> {
        write!(
            out,
            "{}{}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.signed_head(request),
            self.leaving_header().to_owned() + &self.brittle_header()
        )
    }

    // Waits until the caller closes the connection, and counts the disconnect.
    fn wait_for_disconnect(&self, out: &mut TcpStream) -> std::io::Result<()> {
        let mut byte = [0];
        if out.read(&mut byte)? == 0 {
            *self.disconnects.lock().unwrap() += 1;
        }
        Ok(())
    }
}

// Returns the event after which a stream is resumed, 0 if it is not.
fn last_event(request: &ReceivedRequest) -> u32 {
    request
        .header("last-event-id")
        .map_or(0, |it| it.parse().unwrap())
}

// Takes as long as the path of a request selects.
fn work(request: &ReceivedRequest) {
    if request.line_contains("brief") {
        thread::sleep(Duration::from_millis(120));
    }
    if request.line_contains("nap") {
        thread::sleep(Duration::from_millis(1_500));
    }
    if let Some((_, rest)) = request.request_line.split_once("work-") {
        let digits = rest.split(|it: char| !it.is_ascii_digit()).next();
        let time = digits.and_then(|it| it.parse().ok());
        thread::sleep(Duration::from_millis(time.unwrap_or(0)));
    }
}

// Writes a rejection that requests a back-off.
fn write_rejection(out: &mut TcpStream, backoff: Duration) -> std::io::Result<()> {
    write!(
        out,
        "HTTP/1.1 503 Overloaded\r\nSiskinyoke-Not-Executed: 1\r\nRetry-After: {:.3}\r\n\
         content-length: 0\r\n\r\n",
        backoff.as_secs_f64()
    )
}

fn write_chunk(out: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(out, "{:x}\r\n{text}\r\n", text.len())?;
    out.flush()
}

fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<ReceivedRequest>> {
    let mut request = ReceivedRequest::default();
    if reader.read_line(&mut request.request_line)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            return Ok(Some(request));
        };
        request
            .headers
            .push((name.to_ascii_lowercase(), value.to_owned()));
    }
}
