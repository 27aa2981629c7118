//! An endpoint in virtual time that counts what it ran.

use std::collections::BTreeMap;

use siskinyoke_base::Millis;
use siskinyoke_control::DispatchSpec;
use siskinyoke_control::core::DispatchNews;

/// An endpoint that streams numbered events, or answers whole, and counts every run by name.
#[derive(Debug, Clone)]
pub struct FakeEndpoint {
    /// Whether it refuses connections.
    pub down: bool,
    /// Whether it takes requests and never answers.
    pub frozen: bool,
    /// Break the next answers after this many events.
    pub break_after: Option<u32>,
    /// Time to the first event.
    pub first: Millis,
    /// Time between events.
    pub gap: Millis,
    /// Events of an answer.
    pub events: u32,
    /// Until when nothing listens there, as its process died and comes back.
    pub dead: Millis,
    /// The contents that its process died of.
    pub deaths: Vec<String>,
    /// How often each request was run, by its body; resumes count, as they are dispatches.
    pub runs: BTreeMap<String, u32>,
}

impl Default for FakeEndpoint {
    fn default() -> Self {
        Self {
            down: false,
            frozen: false,
            break_after: None,
            first: Millis(50),
            gap: Millis(10),
            events: 3,
            dead: Millis::ZERO,
            deaths: Vec::new(),
            runs: BTreeMap::new(),
        }
    }
}

impl FakeEndpoint {
    /// Tells whether anything listens there.
    pub fn listens(&self, now: Millis) -> bool {
        !self.down && now >= self.dead
    }

    /// Notes that the process died.
    pub fn die(&mut self, now: Millis, body: String) {
        self.dead = now + RELOAD;
        self.deaths.push(body);
    }

    /// Takes a request; returns the news of it, each with its delay.
    pub fn take(&mut self, now: Millis, spec: &DispatchSpec) -> Vec<(Millis, DispatchNews)> {
        if !self.listens(now) {
            let news = DispatchNews::Unreachable {
                detail: "connection refused".into(),
                refused: true,
            };
            return vec![(Millis(1), news)];
        }
        let body = String::from_utf8_lossy(&spec.head.body).into_owned();
        *self.runs.entry(body).or_default() += 1;
        if self.frozen {
            return vec![(spec.limit, DispatchNews::TimedOut)];
        }
        let content = String::from("text/event-stream");
        let stream = spec.head.stream;
        let mut out = vec![(
            self.first,
            DispatchNews::Head {
                status: 200,
                content,
                stream,
            },
        )];
        let mut at = self.first;
        for number in spec.resume..self.events {
            if self.break_after.is_some_and(|limit| number >= limit) {
                let detail = String::from("connection reset");
                out.push((at, DispatchNews::Broken { detail }));
                return out;
            }
            at += self.gap;
            out.push((
                at,
                DispatchNews::Piece(piece(spec.head.body.as_ref(), number)),
            ));
        }
        out.push((at, DispatchNews::Whole));
        out
    }
}

/// How long an engine takes to load its model again after its process died.
const RELOAD: Millis = Millis::from_secs(15);

/// How contents begin that crash each endpoint which runs them.
pub const POISON: &str = "poison";

/// Returns an answer's event: it shows whose answer it is and which place it has.
pub fn piece(body: &[u8], number: u32) -> bytes::Bytes {
    let text = String::from_utf8_lossy(body);
    format!("{text}#{number}").into()
}
