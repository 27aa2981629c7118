//! Health and speed of an endpoint, as observed by this instance.

use crate::Outcome;
use crate::requested_backoff::RequestedBackoff;
use siskinyoke_base::Millis;

/// The weight of a new observation in an exponential moving average.
///
/// At a tenth, the average follows a change within about ten requests, which is half a second of
/// work on a busy endpoint.
const SMOOTHING_RATIO: f64 = 0.1;

/// The first back-off of an endpoint that cannot be reached; it doubles with each further failure.
///
/// It is about the time until every instance has noticed that a process crashed.
const MIN_BACKOFF: Millis = Millis(200);

/// The maximum back-off: the usual time until a crashed endpoint is back.
const MAX_BACKOFF: Millis = Millis(2_000);

/// The back-off of an endpoint that rejected a request because it was full: a fifth of a typical
/// service time.
const FULL_BACKOFF: Millis = Millis(40);

/// The back-off of an address that another endpoint has taken over. The endpoint's entry in the
/// store is updated within that time.
const MISDIRECTED_BACKOFF: Millis = Millis(3_000);

/// The number of abandoned streams without a response in between from which on the endpoint is
/// backed off from.
///
/// A sound endpoint may send nothing on a stream for a while. One that has hung also leaves new
/// requests without a response, for which it is backed off from at once.
const MIN_ABANDONED_STREAMS: u32 = 3;

/// Health and speed of one endpoint, as observed by this instance.
#[derive(Debug, Clone)]
pub struct Health {
    backoff_until: Millis,
    // Set from the request of a back-off until the endpoint has accepted a request after it.
    requested_backoff: Option<RequestedBackoff>,
    failure_streak: u32,
    // Since the last response of the endpoint.
    abandoned_streams: u32,
    failure_ratio: f64,
    speed_factor: f64,
    observations: f64,
    // The mean time between two parts of a response, in ms, if that was observed.
    part_interval: Option<f64>,
    stall_ratio: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            backoff_until: Millis::ZERO,
            requested_backoff: None,
            failure_streak: 0,
            abandoned_streams: 0,
            failure_ratio: 0.0,
            speed_factor: 1.0,
            observations: 0.0,
            part_interval: None,
            stall_ratio: 0.0,
        }
    }
}

impl Health {
    /// Records how an attempt ended.
    pub fn record_outcome(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            Outcome::Completed { .. } => self.record_success(),
            Outcome::Failed | Outcome::Mismatched => self.record_failure(),
            Outcome::Full => self.back_off_until(now + FULL_BACKOFF),
            Outcome::Misdirected => self.back_off_until(now + MISDIRECTED_BACKOFF),
            Outcome::ConnectFailed | Outcome::Stalled => self.record_unresponsive(now),
            Outcome::ConnectionLost | Outcome::Invalid => self.record_broken_response(now),
            // An endpoint that started again serves all but the streams that began before.
            Outcome::Cancelled | Outcome::RelayFailed | Outcome::LinkLost | Outcome::Unverified => {
            }
        }
    }

    /// Records that a stream was abandoned because the endpoint sent nothing for a while after its
    /// first part.
    pub fn record_abandoned_stream(&mut self, now: Millis) {
        self.abandoned_streams += 1;
        if self.abandoned_streams >= MIN_ABANDONED_STREAMS {
            self.record_unresponsive(now);
        } else {
            self.record_failure();
        }
    }

    /// Forgets failures, and ends the back-off after them; one that the endpoint requested stays.
    pub fn forget_failures(&mut self) {
        self.backoff_until = Millis::ZERO;
        self.failure_streak = 0;
        self.abandoned_streams = 0;
        self.failure_ratio = 0.0;
    }

    /// Returns whether the endpoint gets no new requests for the time of its back-off.
    pub fn in_backoff(&self, now: Millis) -> bool {
        self.backoff_remaining(now) > Millis::ZERO
    }

    /// Returns the time until its back-off ends, whether after failures or as it requested.
    pub fn backoff_remaining(&self, now: Millis) -> Millis {
        let after_failures = self.backoff_until.since(now);
        after_failures.max(self.requested_remaining(now))
    }

    /// Applies a back-off that the endpoint requests, and returns whether none was in progress.
    pub fn request_backoff(&mut self, now: Millis, duration: Millis) -> bool {
        let is_new = self.requested_remaining(now) == Millis::ZERO;
        let new = RequestedBackoff::new(now, duration);
        let previous = self.requested_backoff;
        self.requested_backoff = Some(previous.map_or(new, |it| it.or_later(new)));
        is_new
    }

    /// Returns the time until the back-off that the endpoint requested ends.
    pub fn requested_remaining(&self, now: Millis) -> Millis {
        let requested = self.requested_backoff;
        requested.map_or(Millis::ZERO, |it| it.remaining(now))
    }

    /// Returns whether the endpoint has accepted no request yet since it requested a back-off.
    pub fn is_half_open(&self) -> bool {
        self.requested_backoff.is_some()
    }

    /// Records that the endpoint accepted a request that was sent at `sent_at`.
    pub fn record_accepted(&mut self, sent_at: Millis) {
        self.abandoned_streams = 0;
        self.requested_backoff
            .take_if(|backoff| backoff.precedes(sent_at));
    }

    /// Returns the share of its recent requests that failed.
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Returns its service time for the same work, as a multiple of the expected one.
    pub fn speed_factor(&self) -> f64 {
        self.speed_factor
    }

    /// Returns the share of its recent streams that stalled, that is, paused for too long.
    pub fn stall_ratio(&self) -> f64 {
        self.stall_ratio
    }

    /// Records whether a stream stalled.
    pub fn record_stall(&mut self, stalled: bool) {
        self.stall_ratio += (f64::from(u8::from(stalled)) - self.stall_ratio) * SMOOTHING_RATIO;
    }

    /// Returns how many observations the speed factor is based on.
    pub fn observations(&self) -> f64 {
        self.observations
    }

    /// Records an observed time, divided by the expected one.
    ///
    /// The first observations have more weight, so that a slow endpoint is recognised from its
    /// first responses.
    pub fn record_speed(&mut self, factor: f64) {
        self.observations += 1.0;
        let weight = (1.0 / (self.observations + 1.0)).max(SMOOTHING_RATIO);
        self.speed_factor += (factor - self.speed_factor) * weight;
    }

    /// Returns the mean time between two parts of its responses, in ms, if that was observed.
    pub fn part_interval(&self) -> Option<f64> {
        self.part_interval
    }

    /// Records the mean time between two parts of a response, in ms.
    pub fn record_part_interval(&mut self, interval: f64) {
        let mean = self.part_interval.unwrap_or(interval);
        self.part_interval = Some(mean + (interval - mean) * SMOOTHING_RATIO);
    }

    fn record_success(&mut self) {
        self.failure_streak = 0;
        self.failure_ratio -= self.failure_ratio * SMOOTHING_RATIO;
    }

    fn record_failure(&mut self) {
        self.failure_ratio += (1.0 - self.failure_ratio) * SMOOTHING_RATIO;
    }

    // A single broken response is often a fault of that one alone. Only a second one in a row
    // indicates that the endpoint is down; backing off from a healthy endpoint wastes its slots.
    fn record_broken_response(&mut self, now: Millis) {
        self.record_failure();
        self.failure_streak += 1;
        if self.failure_streak >= 2 {
            self.back_off(now);
        }
    }

    fn record_unresponsive(&mut self, now: Millis) {
        self.record_failure();
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
