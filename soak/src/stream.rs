//! Callers that break streams off and take them up elsewhere.

use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::checker::Checker;
use crate::endpoint::versioned::EVENT_COUNT;
use crate::poison::FIRST_PART;
use crate::poison::parts_header;

/// What callers that take streams up request.
#[derive(Debug, Clone, Copy)]
pub struct StreamCallers {
    /// The paths of streams whose events name the version of their endpoint; the second breaks off
    /// once at its endpoint.
    paths: [&'static str; 2],
    /// The parts of the prompts that all requests share.
    shared_parts: &'static [&'static str],
    /// The share of the streams whose callers do not name them when they take them up.
    unnamed_share: f64,
    /// The age from which on a stream is not taken up; nor is one that is refused for longer.
    max_age: Duration,
}

impl StreamCallers {
    /// Callers of the service that all other callers use.
    pub const SHARED_SERVICE: Self = Self {
        paths: ["/stream/versioned", "/stream/versioned/broken"],
        shared_parts: &[FIRST_PART],
        unnamed_share: 0.0,
        max_age: Duration::MAX,
    };

    /// Callers of the service whose versions come and go. They take a stream up within the route's
    /// timeout, as a version that has been gone for longer than a stream can last is forgotten.
    pub const CHAT: Self = Self {
        paths: ["/chat/versioned", "/chat/versioned/broken"],
        shared_parts: &[],
        unnamed_share: 0.5,
        max_age: Duration::from_secs(4),
    };
}

/// The maximum number of requests for one stream.
const MAX_PARTS: usize = 5;

/// How often callers that send no requests check whether they may.
const ACTIVITY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The longest pause before a caller comes back.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// What a caller received in one response.
#[derive(Debug, Clone)]
pub struct Part {
    /// The status code, as text; empty if there was no response.
    pub status: String,
    /// The retry delay of a refusal, in seconds.
    pub retry_after: Option<f64>,
    /// The number and the version of each event.
    pub events: Vec<(u32, String)>,
}

impl Part {
    /// Parses what was received of a response.
    pub fn parse(response: &[u8]) -> Self {
        let text = String::from_utf8_lossy(response);
        let mut events = Vec::new();
        let mut version = String::new();
        let mut retry_after = None;
        // What follows the last line feed may be cut.
        let complete = text.rsplit_once('\n').map_or("", |it| it.0);
        for line in complete.lines() {
            if let Some(value) = line.strip_prefix("event: ") {
                value.clone_into(&mut version);
            } else if let Some(number) = line.strip_prefix("data: ") {
                let number = number.parse().ok();
                events.extend(number.map(|it| (it, version.clone())));
            } else if let Some(seconds) = line.strip_prefix("retry-after: ") {
                retry_after = seconds.parse().ok();
            }
        }
        Self {
            status: text.chars().skip(9).take(3).collect(),
            retry_after,
            events,
        }
    }

    /// Returns whether the last event of the stream was received.
    pub fn is_last(&self) -> bool {
        self.events.last().is_some_and(|it| it.0 == EVENT_COUNT)
    }
}

/// A request for a stream, or for the rest of one.
#[derive(Debug, Clone, Copy)]
pub struct StreamRequest<'a> {
    /// The ID of the request.
    pub id: &'a str,
    /// The path, which selects how endpoints respond.
    pub path: &'a str,
    /// The parts of its prompt that other requests share.
    pub shared_parts: &'a [&'a str],
    /// The request that began the stream, or nothing if the caller does not name it, and the last
    /// event received of it.
    pub resumes: Option<(&'a str, u32)>,
    /// The number of events after which the caller breaks off.
    pub max_events: usize,
}

impl StreamRequest<'_> {
    /// Sends the request to an instance, and returns what was received.
    pub fn send(&self, instance: SocketAddr) -> Part {
        let mut received = Vec::new();
        // What was received before an error counts.
        drop(self.receive(instance, &mut received));
        Part::parse(&received)
    }

    fn receive(&self, instance: SocketAddr, received: &mut Vec<u8>) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(instance)?;
        stream.set_read_timeout(Some(Duration::from_secs(6)))?;
        let resumption = match self.resumes {
            Some(("", event)) => format!("last-event-id: {event}\r\n"),
            Some((id, event)) => format!("resumes: {id}\r\nlast-event-id: {event}\r\n"),
            None => String::new(),
        };
        let Self { id, path, .. } = self;
        let parts = parts_header(self.shared_parts, id);
        // The bodies differ, as content that broke connections is held back for all callers.
        write!(
            stream,
            "POST {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
             siskinyoke-request-id: {id}\r\nsiskinyoke-deadline-ms: 4000\r\n\
             connection: close\r\ncontent-length: {}\r\n{parts}{resumption}\r\n{id}",
            id.len()
        )?;
        let mut buffer = [0; 2048];
        while Part::parse(received).events.len() < self.max_events {
            let length = stream.read(&mut buffer)?;
            if length == 0 {
                return Ok(());
            }
            received.extend_from_slice(&buffer[..length]);
        }
        Ok(())
    }
}

/// All parts of a stream that one caller received.
#[derive(Debug)]
pub struct StreamHistory {
    /// The ID of the request that brought the first event.
    pub id: String,
    /// The parts, in order.
    pub parts: Vec<Part>,
}

impl StreamHistory {
    /// Returns a description of each violated guarantee.
    pub fn violations(&self) -> Vec<String> {
        let events = self.parts.iter().flat_map(|it| &it.events);
        let versions: BTreeSet<&str> = events.clone().map(|it| &*it.1).collect();
        let numbers: Vec<u32> = events.map(|it| it.0).collect();
        let mut violations = Vec::new();
        if versions.len() > 1 {
            violations.push(format!(
                "{}: a stream of several versions: {:?}",
                self.id, self.parts
            ));
        }
        if numbers
            .iter()
            .zip(1..)
            .any(|(number, expected)| *number != expected)
        {
            violations.push(format!(
                "{}: events are missing or repeated: {numbers:?}",
                self.id
            ));
        }
        violations
    }

    /// Returns whether any of the requests that took the stream up was served.
    pub fn went_on(&self) -> bool {
        self.parts.iter().skip(1).any(|it| !it.events.is_empty())
    }
}

/// Begins streams at random instances while `active` is set, breaks them off and takes them up at
/// others, until `stop` is set.
pub fn run_caller(
    seed: u64,
    caller: u64,
    callers: StreamCallers,
    instances: &[SocketAddr],
    checker: &Arc<Checker>,
    active: &Arc<AtomicBool>,
    stop: &Arc<AtomicBool>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + caller);
    // Whether a stream is named is drawn apart, so that seeds keep the other choices.
    let mut name_rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + caller);
    name_rng.set_stream(1);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        if !active.load(Ordering::Relaxed) {
            thread::sleep(ACTIVITY_POLL_INTERVAL);
            continue;
        }
        number += 1;
        let name = format!("s{seed}v{caller}n{number}");
        let named = !name_rng.random_bool(callers.unnamed_share);
        let history = receive_stream(&mut rng, &name, &callers, named, instances);
        checker.add_stream(history);
    }
}

fn receive_stream(
    rng: &mut ChaCha8Rng,
    name: &str,
    callers: &StreamCallers,
    named: bool,
    instances: &[SocketAddr],
) -> StreamHistory {
    let path = callers.paths.choose(rng).unwrap_or(&callers.paths[0]);
    let mut history = StreamHistory {
        id: name.to_owned(),
        parts: Vec::new(),
    };
    let mut last_event = 0;
    let mut begun_at = Instant::now();
    for number in 0..MAX_PARTS {
        let id = format!("{name}p{number}");
        if last_event == 0 {
            history.id.clone_from(&id);
            begun_at = Instant::now();
        }
        let resumed_id = if named { &*history.id } else { "" };
        let request = StreamRequest {
            id: &id,
            path,
            shared_parts: callers.shared_parts,
            resumes: (last_event > 0).then_some((resumed_id, last_event)),
            max_events: rng.random_range(1..12),
        };
        let Some(instance) = instances.choose(rng) else {
            break;
        };
        let part = request.send(*instance);
        last_event = part.events.last().map_or(last_event, |it| it.0);
        let pause = part
            .retry_after
            .map_or(Duration::ZERO, Duration::from_secs_f64);
        let is_last = part.is_last();
        history.parts.push(part);
        let expires = last_event > 0 && begun_at.elapsed() + pause >= callers.max_age;
        if is_last || expires {
            break;
        }
        thread::sleep(pause.min(MAX_PAUSE));
    }
    history
}
