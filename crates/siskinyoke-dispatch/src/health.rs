//! What this instance has seen of an endpoint: whether it answers, and how fast.

use crate::Outcome;
use siskinyoke_base::Millis;

/// How much a new observation counts in a running mean.
///
/// A tenth follows a change within some ten requests, half a second of work on a busy endpoint.
const SMOOTHING_RATIO: f64 = 0.1;

/// How long an endpoint that could not be reached rests at first.
///
/// About the time in which a crashed process is noticed by all; it doubles with each strike.
const MIN_BACKOFF: Millis = Millis(200);

/// The longest rest: the usual time in which a crashed endpoint is back.
const MAX_BACKOFF: Millis = Millis(2_000);

/// How long an endpoint rests that said it had no room: a fifth of a usual run.
const FULL_BACKOFF: Millis = Millis(40);

/// How long an address rests that another endpoint has taken over: the entry follows in that time.
const MOVED_BACKOFF: Millis = Millis(3_000);

/// What this instance has seen of one endpoint.
#[derive(Debug, Clone)]
pub struct Health {
    backoff_until: Millis,
    failure_streak: u32,
    failure_ratio: f64,
    speed_factor: f64,
    observations: f64,
    stall_ratio: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            backoff_until: Millis::ZERO,
            failure_streak: 0,
            failure_ratio: 0.0,
            speed_factor: 1.0,
            observations: 0.0,
            stall_ratio: 0.0,
        }
    }
}

impl Health {
    /// Takes note of how a stay ended.
    pub fn record_outcome(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            Outcome::Completed { .. } => self.record_success(),
            Outcome::Failed => self.failure_ratio += (1.0 - self.failure_ratio) * SMOOTHING_RATIO,
            Outcome::Full => self.back_off_until(now + FULL_BACKOFF),
            Outcome::Misdirected => self.back_off_until(now + MOVED_BACKOFF),
            Outcome::ConnectFailed | Outcome::Stalled => self.record_unresponsive(now),
            Outcome::ConnectionLost => self.record_broken(now),
            Outcome::Cancelled => {}
        }
    }

    /// Returns whether the endpoint rests.
    pub fn in_backoff(&self, now: Millis) -> bool {
        now < self.backoff_until
    }

    /// Returns the part of its requests that failed lately.
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Returns how long it takes for the same work, as a multiple of what is usual in its service.
    pub fn speed_factor(&self) -> f64 {
        self.speed_factor
    }

    /// Returns the part of its streams that paused for too long lately.
    pub fn stall_ratio(&self) -> f64 {
        self.stall_ratio
    }

    /// Takes note whether a stream paused for too long.
    pub fn record_stall(&mut self, long: bool) {
        self.stall_ratio += (f64::from(u8::from(long)) - self.stall_ratio) * SMOOTHING_RATIO;
    }

    /// Returns how many times its pace was observed.
    pub fn observations(&self) -> f64 {
        self.observations
    }

    /// Takes note that something took a multiple of what is usual in its service.
    ///
    /// The first observations count more, so that a slow endpoint shows with its first answers.
    pub fn record_speed(&mut self, pace: f64) {
        self.observations += 1.0;
        let weight = (1.0 / (self.observations + 1.0)).max(SMOOTHING_RATIO);
        self.speed_factor += (pace - self.speed_factor) * weight;
    }

    fn record_success(&mut self) {
        self.failure_streak = 0;
        self.failure_ratio -= self.failure_ratio * SMOOTHING_RATIO;
    }

    // A single broken answer is often a fault of that answer; only a second one in a row
    // says that the endpoint is down, and resting a sound one wastes its slots.
    fn record_broken(&mut self, now: Millis) {
        self.failure_ratio += (1.0 - self.failure_ratio) * SMOOTHING_RATIO;
        self.failure_streak += 1;
        if self.failure_streak >= 2 {
            self.back_off(now);
        }
    }

    fn record_unresponsive(&mut self, now: Millis) {
        self.failure_ratio += (1.0 - self.failure_ratio) * SMOOTHING_RATIO;
        self.failure_streak += 1;
        self.back_off(now);
    }

    fn back_off(&mut self, now: Millis) {
        let doubled = MIN_BACKOFF.0 << self.failure_streak.saturating_sub(1).min(6);
        self.back_off_until(now + Millis(doubled.min(MAX_BACKOFF.0)));
    }

    fn back_off_until(&mut self, until: Millis) {
        self.backoff_until = self.backoff_until.max(until);
    }
}
