//! How far a request has come, for its log line.

use siskinyoke_base::Millis;

/// How far a request has come, for its log line.
///
/// Three ways to be late must be told apart afterwards: it waited here, its first part came late,
/// or its parts came with too long a pause between them.
#[derive(Debug, Default)]
pub struct Progress {
    /// How long it waited here before it was last sent.
    pub queue_time: Millis,
    /// When the first part of a stream was passed on.
    pub first_part: Option<Millis>,
    /// The longest pause between two parts.
    pub longest_pause: Millis,
    /// The parts passed on.
    pub parts: u32,
    last_part: Millis,
}

impl Progress {
    /// Takes note that so many parts are passed on.
    pub fn record_parts(&mut self, now: Millis, parts: u32) {
        if self.first_part.is_some() {
            self.longest_pause = self.longest_pause.max(now.since(self.last_part));
        }
        self.first_part.get_or_insert(now);
        self.last_part = now;
        self.parts += parts;
    }
}
