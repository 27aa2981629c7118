//! A stand-in for a server, which crashes and starts again as a whole.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Result;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// The interval of a server's writes to the store, `HeartbeatMs` in the settings of a deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The number of intervals without a write after which an entry is removed.
const SILENT_BEATS: u32 = 3;

/// How long a server closes no idle channel, as its answers state it.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// The paths of requests for streams begin with this.
const STREAM_PATH: &str = "/stream/";

/// The number of events of a stream, and the pause after each.
const STREAM_EVENTS: usize = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(10);

/// What a server is given when it is created.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Its name, with which the ids of its boots begin.
    pub name: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// How long it works on a request.
    pub work: Duration,
    /// How long after the arrival of a request it crashes under it.
    pub crash_delay: Duration,
    /// Whether it goes dark as it crashes: its channels are not closed, and nothing more comes over
    /// them.
    pub dark: bool,
    /// How long it is down after a crash.
    pub down: Duration,
    /// The texts with which the paths or the bodies of requests begin that crash it.
    pub crash_texts: Vec<String>,
}

// An entry in the store whose boot has ended.
#[derive(Debug)]
struct LapsingEntry {
    key: String,
    last_beat: Instant,
}

#[derive(Debug, Default)]
struct State {
    up: bool,
    // The id of this boot.
    id: String,
    boots: u32,
    born_ms: u64,
    // The open channels.
    channels: BTreeMap<u64, TcpStream>,
    channel_count: u64,
    last_beat: Option<Instant>,
    lapsing: Vec<LapsingEntry>,
}

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// The id of the request.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: String,
    /// When it began.
    pub at: Instant,
    /// Whether its server crashed under it.
    pub crashed: bool,
}

/// A stand-in for a server.
#[derive(Debug, Clone)]
pub struct Server {
    plan: Plan,
    address: SocketAddr,
    store: Store,
    record: Record,
    state: Arc<Mutex<State>>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Server {
    /// Starts a server, which writes its entry at the start of each boot. Its further writes follow
    /// each other in a fixed rhythm.
    pub fn start(plan: Plan, store: &Store, record: &Record) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self {
            plan,
            address: listener.local_addr()?,
            store: store.clone(),
            record: record.clone(),
            state: Arc::default(),
            runs: Arc::default(),
        };
        server.begin_boot();
        let listening = server.clone();
        thread::spawn(move || listening.listen(listener));
        let beating = server.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        Ok(server)
    }

    /// Returns the requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no thread panics").clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics")
    }

    // Begins a boot under a new id and writes its entry.
    fn begin_boot(&self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.expect("the clock is set").as_millis();
        let mut state = self.lock();
        state.up = true;
        state.boots += 1;
        state.id = format!("{}-{}", self.plan.name, state.boots);
        state.born_ms = u64::try_from(now).expect("the time fits");
        state.last_beat = Some(Instant::now());
        let key = format!("servers/{}", state.id);
        let entry = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":{},"State":"ready","ColdRemainingMs":0,"SeqNo":0,"born":{}}}"#,
            self.plan.service, self.address, self.plan.zone, self.plan.slots, state.born_ms,
        );
        drop(state);
        self.record.add(&format!("{key} written"));
        self.store.put(&key, &entry);
    }

    // Keeps the entry, and removes those of ended boots after some intervals of silence.
    fn beat(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        if state.up {
            state.last_beat = Some(now);
        }
        let silence = HEARTBEAT * SILENT_BEATS;
        let lapsed: Vec<_> = state
            .lapsing
            .extract_if(.., |it| now - it.last_beat >= silence)
            .collect();
        drop(state);
        for entry in lapsed {
            self.record
                .add(&format!("{} removed after silence", entry.key));
            self.store.remove(&entry.key);
        }
    }

    fn listen(&self, mut listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept() else {
                continue;
            };
            if self.lock().up {
                self.open_channel(stream);
                continue;
            }
            drop((stream, listener));
            thread::sleep(self.plan.down);
            listener = self.listen_again();
            self.begin_boot();
        }
    }

    fn listen_again(&self) -> TcpListener {
        loop {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return listener;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn open_channel(&self, stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let number = {
            let mut state = self.lock();
            state.channel_count += 1;
            let number = state.channel_count;
            state.channels.insert(number, copy);
            number
        };
        let server = self.clone();
        thread::spawn(move || {
            // The peer may close the channel at any time.
            drop(server.serve(stream));
            server.lock().channels.remove(&number);
        });
    }

    fn crash(&self) {
        let mut state = self.lock();
        if !state.up {
            return;
        }
        state.up = false;
        let entry = LapsingEntry {
            key: format!("servers/{}", state.id),
            last_beat: state.last_beat.expect("a boot begins with a write"),
        };
        state.lapsing.push(entry);
        let id = state.id.clone();
        let channels = std::mem::take(&mut state.channels);
        if self.plan.dark {
            // The threads that serve them stay silent.
            std::mem::forget(channels);
        } else {
            for channel in channels.into_values() {
                drop(channel.shutdown(Shutdown::Both));
            }
        }
        drop(state);
        self.record.add(&format!("{id} crashes"));
        // Lets the thread that accepts channels close its socket.
        drop(TcpStream::connect(self.address));
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(KEEP_ALIVE + Duration::from_secs(1)))?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let boot = self.lock().id.clone();
        while let Some(request) = http::read(&mut reader)? {
            self.stay_silent_after(&boot);
            self.answer(&request, &mut out)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, out: &mut TcpStream) -> Result<()> {
        let state = self.lock();
        let (own_id, born) = (state.id.clone(), state.born_ms);
        drop(state);
        if request.second_word() == "/api/report" {
            let body = format!(r#"{{"born":{born},"SeqNo":0,"Queued":0,"Active":0}}"#);
            return http::respond(out, "200 OK", "", body.as_bytes());
        }
        let id = request.header("siskinyoke-request-id").unwrap_or("");
        let echo = format!("Siskinyoke-Request-Id: {id}\r\n");
        let target = request.header("siskinyoke-target-instance");
        if target.is_some_and(|it| it != own_id) {
            let headers = format!("{echo}Siskinyoke-Not-Executed: 1\r\n");
            return http::respond(out, "421 Misdirected Request", &headers, b"");
        }
        let path = request.second_word();
        let body = String::from_utf8_lossy(&request.body);
        let crash_texts = self.plan.crash_texts.iter();
        let mut crash_texts = crash_texts.map(|it| &**it);
        let crashes = crash_texts.any(|it| path.starts_with(it) || body.starts_with(it));
        let run = Run {
            id: id.to_owned(),
            path: path.to_owned(),
            body: body.clone().into_owned(),
            at: Instant::now(),
            crashed: crashes,
        };
        self.runs.lock().expect("no thread panics").push(run);
        self.record.add(&format!("{own_id} runs {id} {path}"));
        if crashes {
            thread::sleep(self.plan.crash_delay);
            self.crash();
            self.stay_silent_after(&own_id);
            return Ok(());
        }
        thread::sleep(self.plan.work);
        self.stay_silent_after(&own_id);
        if path.starts_with(STREAM_PATH) {
            return self.answer_stream(out, &echo, &own_id);
        }
        let headers = format!(
            "{echo}Siskinyoke-Response-Seal: {}.{id}\r\nKeep-Alive: timeout={}\r\n",
            own_id,
            KEEP_ALIVE.as_secs(),
        );
        http::respond(out, "200 OK", &headers, &[b'x'; 800])?;
        out.flush()
    }

    // Never returns where a boot has ended without a word.
    fn stay_silent_after(&self, own_id: &str) {
        let state = self.lock();
        let ended = !state.up || state.id != own_id;
        drop(state);
        if self.plan.dark && ended {
            loop {
                thread::park();
            }
        }
    }

    // Answers with a series of events.
    fn answer_stream(&self, out: &mut TcpStream, echo: &str, own_id: &str) -> Result<()> {
        write!(
            out,
            "HTTP/1.1 200 OK\r\n{echo}Siskinyoke-Response-Seal: {own_id}\r\n\
             Keep-Alive: timeout={}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            KEEP_ALIVE.as_secs(),
        )?;
        for number in 1..=STREAM_EVENTS {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            write!(out, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(EVENT_PAUSE);
            self.stay_silent_after(own_id);
        }
        out.write_all(b"0\r\n\r\n")
    }
}
