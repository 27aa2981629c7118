//! Endpoints that crash under requests with a certain prompt part or path.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::Endpoint;
use super::ReceivedRequest;
use super::work;

/// The header that lists the parts of a prompt, each with its number of tokens.
pub const PROMPT_PARTS_HEADER: &str = "siskinyoke-prompt-prefix";

/// How long an endpoint is down after a crash, unless another time is set.
pub const DOWN_TIME: Duration = Duration::from_secs(2);

/// The text in the path of a request that crashes any endpoint that runs it.
const POISONED_PATH: &str = "poison";

/// Time from what is sent of the response to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// How often an endpoint tries to listen again at its address.
const BIND_INTERVAL: Duration = Duration::from_millis(20);

/// What an endpoint sends before it crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CrashResponse {
    /// The head of a response whose end the last chunk marks.
    #[default]
    Chunked,
    /// The head of a response whose end is not marked.
    Unmarked,
    /// A complete response that says that the endpoint failed.
    ServerError,
    /// Nothing.
    Nothing,
    /// Nothing, and nothing afterwards: its connections stay open without a word.
    Silence,
}

/// When an endpoint crashes, and how often it did.
#[derive(Debug)]
pub(super) struct Crashes {
    // IDs of the parts under which the endpoint crashes.
    parts: BTreeSet<String>,
    response: CrashResponse,
    down_time: Duration,
    // Whether each start has an ID of its own.
    start_ids: bool,
    restart_count: u32,
    // The open connections, by their order.
    connections: BTreeMap<u64, TcpStream>,
    connection_count: u64,
    // The number of the last connection that the endpoint has left open without a word.
    last_silent: Option<u64>,
    down_until: Option<Instant>,
    // Whether the endpoint has come back and is not registered yet.
    returned: bool,
    crashed_at: Vec<Instant>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            parts: BTreeSet::new(),
            response: CrashResponse::default(),
            down_time: DOWN_TIME,
            start_ids: false,
            restart_count: 0,
            connections: BTreeMap::new(),
            connection_count: 0,
            last_silent: None,
            down_until: None,
            returned: false,
            crashed_at: Vec::new(),
        }
    }
}

impl Endpoint {
    /// Sets how long the endpoint is down after a crash.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn set_down_time(&self, time: Duration) {
        self.crashes.lock().unwrap().down_time = time;
    }

    /// Gives each start an ID of its own, of the endpoint's and the number of restarts after crashes.
    /// Requests for another start are not run.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn use_start_ids(&self) {
        self.crashes.lock().unwrap().start_ids = true;
    }

    // Responds to a request for another start of the endpoint, and returns whether it is one.
    pub(super) fn reject_misdirected(
        &self,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<bool> {
        let (start_ids, restarts) = {
            let crashes = self.crashes.lock().unwrap();
            (crashes.start_ids, crashes.restart_count)
        };
        let own = format!("{}-{restarts}", self.id);
        let target = request.header("siskinyoke-target-instance");
        if !start_ids || target.is_none_or(|it| it == own) {
            return Ok(false);
        }
        let id = request.header("siskinyoke-request-id").unwrap_or("");
        write!(
            out,
            "HTTP/1.1 421 Misdirected\r\nSiskinyoke-Request-Id: {id}\r\n\
             Siskinyoke-Not-Executed: 1\r\ncontent-length: 0\r\n\r\n"
        )?;
        Ok(true)
    }

    /// Sets the parts under which the endpoint crashes, by their IDs in the header, and what it
    /// sends before that.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn set_poisoned_parts(&self, parts: &[&str], response: CrashResponse) {
        let mut crashes = self.crashes.lock().unwrap();
        crashes.parts = parts.iter().map(|it| (*it).to_owned()).collect();
        crashes.response = response;
    }

    /// Returns when it crashed.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn crash_times(&self) -> Vec<Instant> {
        self.crashes.lock().unwrap().crashed_at.clone()
    }

    /// Returns whether it is down after a crash.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn is_down(&self) -> bool {
        self.crashes.lock().unwrap().down_until.is_some()
    }

    /// Returns whether it has come back from a crash under a new start since the last call; its
    /// entry in the store has to be written then.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn take_return(&self) -> bool {
        std::mem::take(&mut self.crashes.lock().unwrap().returned)
    }

    // Serves connections, and refuses them while the endpoint is down.
    pub(super) fn listen(&self, mut listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            let down_until = self.crashes.lock().unwrap().down_until;
            let Some(until) = down_until else {
                self.spawn_connection(stream);
                continue;
            };
            drop((stream, listener));
            thread::sleep(until.saturating_duration_since(Instant::now()));
            listener = self.listen_again();
            self.restart();
            let mut crashes = self.crashes.lock().unwrap();
            crashes.down_until = None;
            crashes.restart_count += 1;
            crashes.returned = true;
        }
    }

    // Crashes if a request has a poisoned part or path, and returns whether it did.
    pub(super) fn crash_on(
        &self,
        number: u64,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<bool> {
        let response = {
            let crashes = self.crashes.lock().unwrap();
            if !crashes.is_poisoned(request) {
                return Ok(false);
            }
            crashes.response
        };
        self.requests.lock().unwrap().push(request.clone());
        work(request);
        self.write_last_response(response, request, out)?;
        thread::sleep(CRASH_DELAY);
        self.crash();
        self.stay_silent_after(number);
        Ok(true)
    }

    // Never returns if the endpoint has gone silent since a connection was opened.
    pub(super) fn stay_silent_after(&self, number: u64) {
        let last = self.crashes.lock().unwrap().last_silent;
        while last.is_some_and(|it| number <= it) {
            thread::park();
        }
    }

    fn write_last_response(
        &self,
        response: CrashResponse,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> std::io::Result<()> {
        let head = self.signed_head(request);
        let event_stream = "content-type: text/event-stream\r\n";
        match response {
            CrashResponse::Chunked => write!(
                out,
                "{head}{event_stream}transfer-encoding: chunked\r\n\r\n"
            ),
            CrashResponse::Unmarked => write!(out, "{head}{event_stream}\r\n"),
            CrashResponse::ServerError => {
                let head = head.replace("200 OK", "500 Failed");
                write!(out, "{head}content-length: 6\r\n\r\nfailed")
            }
            CrashResponse::Nothing | CrashResponse::Silence => Ok(()),
        }
    }

    fn crash(&self) {
        let mut crashes = self.crashes.lock().unwrap();
        if crashes.down_until.is_some() {
            return;
        }
        let now = Instant::now();
        crashes.crashed_at.push(now);
        crashes.down_until = Some(now + crashes.down_time);
        if crashes.response == CrashResponse::Silence {
            crashes.keep_connections();
        } else {
            crashes.close_connections();
        }
        drop(crashes);
        // Lets the thread that accepts connections close its socket.
        drop(TcpStream::connect(self.address));
    }

    fn spawn_connection(&self, stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let number = {
            let mut crashes = self.crashes.lock().unwrap();
            crashes.connection_count += 1;
            let number = crashes.connection_count;
            crashes.connections.insert(number, copy);
            number
        };
        let endpoint = self.clone();
        thread::spawn(move || {
            // Some tests close the connection during a request, so errors are expected.
            drop(endpoint.serve(number, stream));
            endpoint.crashes.lock().unwrap().connections.remove(&number);
        });
    }

    fn listen_again(&self) -> TcpListener {
        loop {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return listener;
            }
            thread::sleep(BIND_INTERVAL);
        }
    }
}

impl Crashes {
    // Leaves all connections open, over which nothing is sent any more.
    fn keep_connections(&mut self) {
        self.last_silent = Some(self.connection_count);
        std::mem::forget(std::mem::take(&mut self.connections));
    }

    /// Closes all connections, as the end of the process does.
    pub(super) fn close_connections(&mut self) {
        for stream in std::mem::take(&mut self.connections).into_values() {
            // It may be closed already.
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    fn is_poisoned(&self, request: &ReceivedRequest) -> bool {
        request.line_contains(POISONED_PATH)
            || request.prompt_parts().any(|it| self.parts.contains(it))
    }
}

impl ReceivedRequest {
    /// Returns the IDs of the parts of its prompt.
    pub fn prompt_parts(&self) -> impl Iterator<Item = &str> {
        let header = self.header(PROMPT_PARTS_HEADER).unwrap_or("");
        header.split(',').filter_map(|it| it.split(':').next())
    }
}
