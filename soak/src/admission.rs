//! The room of an endpoint that falls over when it rejects too many requests.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// How long an endpoint is down after it has fallen over.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// The time over which rejections are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What becomes of a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is run.
    Accepted,
    /// There is no room for it.
    Rejected,
    /// The endpoint is down.
    Down,
}

/// The room of an endpoint that falls over when it rejects too many requests.
#[derive(Debug, Default)]
pub struct Admission {
    /// The number of rejections in a second that it bears; `None` if it bears any number.
    pub limit: Option<u32>,
    /// How often it fell over.
    pub falls: u32,
    running: usize,
    rejections: VecDeque<Instant>,
    down_until: Option<Instant>,
}

impl Admission {
    /// Admits a request or rejects it; `slots` requests run at a time, and none wait.
    pub fn admit(&mut self, now: Instant, slots: usize) -> Verdict {
        if self.is_down(now) {
            return Verdict::Down;
        }
        if self.running < slots {
            self.running += 1;
            return Verdict::Accepted;
        }
        self.reject(now);
        Verdict::Rejected
    }

    /// Records that an admitted request has ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns whether the endpoint is down.
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    fn reject(&mut self, now: Instant) {
        self.rejections.push_back(now);
        while let Some(first) = self.rejections.front()
            && now.duration_since(*first) >= WINDOW
        {
            self.rejections.pop_front();
        }
        let bearable = self.limit.map_or(usize::MAX, |it| it as usize);
        if self.rejections.len() > bearable {
            self.falls += 1;
            self.rejections.clear();
            self.down_until = Some(now + DOWN_TIME);
        }
    }
}
