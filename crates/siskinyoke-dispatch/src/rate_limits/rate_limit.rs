//! One endpoint's rate limit, and this instance's token bucket for it.

use siskinyoke_base::Millis;

/// Minimum rate at which an endpoint gets requests, so that responses show when its limit rises.
const MIN_RATE_PER_SECOND: f64 = 0.25;

/// Capacity of the token bucket, as a time span at its rate.
const BURST_SECONDS: f64 = 0.1;

/// Minimum capacity of the token bucket, which applies at low rates.
const MIN_CAPACITY_TOKENS: f64 = 1.5;

/// Minimum time since a limit was last announced before a response without one lifts it.
///
/// An overloaded endpoint may not announce its limit in every response, and responses may arrive
/// out of order.
const LIFT_DELAY: Millis = Millis(1_000);

/// One endpoint's rate limit and this instance's token bucket.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimit {
    // Requests a second over all instances, `None` once the limit is lifted.
    rate: Option<f64>,
    // When a response last announced or lifted the limit, here or at a peer.
    observed_at: Millis,
    // When this instance learned of the rate.
    changed_at: Millis,
    // This instance's share in requests a second, `None` until it is first computed.
    instance_rate: Option<f64>,
    // The shard's share in requests a second.
    shard_rate: f64,
    // Tokens available at `refilled_at`.
    level: f64,
    refilled_at: Millis,
}

impl RateLimit {
    /// Creates a limit from an observation, with `initial_level` tokens from 0 to 1.
    pub(super) fn new(
        now: Millis,
        observed_at: Millis,
        rate: Option<f64>,
        initial_level: f64,
    ) -> Self {
        Self {
            rate: rate.map(|it| it.max(MIN_RATE_PER_SECOND)),
            observed_at,
            changed_at: now,
            instance_rate: None,
            shard_rate: 0.0,
            level: initial_level,
            refilled_at: now,
        }
    }

    /// Returns the limit over all instances in requests a second, `None` once it is lifted.
    pub(super) fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Returns when a response last announced or lifted the limit.
    pub(super) fn observed_at(&self) -> Millis {
        self.observed_at
    }

    /// Returns when this instance learned of the rate.
    pub(super) fn changed_at(&self) -> Millis {
        self.changed_at
    }

    /// Returns the shard's share in requests a second, `None` once the limit is lifted.
    pub(super) fn shard_rate(&self) -> Option<f64> {
        self.rate.map(|_| self.shard_rate)
    }

    /// Applies a newer observation to a limit in force.
    pub(super) fn update(&mut self, now: Millis, observed_at: Millis, rate: f64) {
        let rate = Some(rate.max(MIN_RATE_PER_SECOND));
        if self.rate != rate {
            self.rate = rate;
            self.changed_at = now;
        }
        self.observed_at = observed_at;
    }

    /// Returns whether a response without a limit, to a request sent at `sent_at`, lifts the limit.
    pub(super) fn lifted_by(&self, now: Millis, sent_at: Millis) -> bool {
        self.rate.is_some()
            && sent_at > self.observed_at
            && now.since(self.observed_at) >= LIFT_DELAY
    }

    /// Sets the shares of this instance and its shard, and refills the bucket at the previous rate.
    ///
    /// An instance that becomes a holder starts without tokens, because the previous holder may
    /// just have used them.
    pub(super) fn set_rates(&mut self, now: Millis, instance_rate: f64, shard_rate: f64) {
        self.shard_rate = shard_rate;
        let previous = self
            .instance_rate
            .replace(instance_rate)
            .unwrap_or(instance_rate);
        let capacity = (instance_rate * BURST_SECONDS).max(MIN_CAPACITY_TOKENS);
        let gained = previous * now.since(self.refilled_at).as_secs();
        self.level = (self.level + gained).min(capacity);
        if previous <= 0.0 && instance_rate > 0.0 {
            self.level = 0.0;
        }
        self.refilled_at = now;
    }

    /// Returns how many requests may be sent now, `None` once the limit is lifted.
    #[expect(clippy::cast_possible_truncation, reason = "a bucket holds few tokens")]
    #[expect(clippy::cast_sign_loss, reason = "the level is never negative")]
    pub(super) fn tokens(&self) -> Option<u32> {
        self.rate?;
        Some(if self.instance_rate.unwrap_or(0.0) > 0.0 {
            self.level as u32
        } else {
            0
        })
    }

    /// Takes a token for a request that is sent.
    pub(super) fn take_token(&mut self) {
        self.level = (self.level - 1.0).max(0.0);
    }
}
