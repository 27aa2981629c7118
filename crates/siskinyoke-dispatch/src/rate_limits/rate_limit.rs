//! What is known of one endpoint's rate limit, and this instance's token bucket for it.

use siskinyoke_base::Millis;

/// The fewest requests a second that an endpoint is given, so that its answers show when it takes more.
const MIN_RATE_PER_SECOND: f64 = 0.25;

/// The time for which tokens are gathered where a second brings many, and the most tokens otherwise.
const BURST_SECONDS: f64 = 0.1;
const MIN_CAPACITY_TOKENS: f64 = 1.5;

/// How long the last naming must be past before an answer without one lifts the limit.
///
/// Not every answer of an endpoint in need may name it, and answers overtake each other.
const LIFT_DELAY: Millis = Millis(1_000);

/// What is known of one endpoint's rate limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimit {
    // Requests a second over all instances; none once the limit is lifted.
    rate: Option<f64>,
    // When an answer last said so, to this instance or to a peer.
    observed_at: Millis,
    // When this instance came to know of the rate.
    changed_at: Millis,
    // The requests a second that are this instance's, and its shard's; none before that was worked out.
    instance_rate: Option<f64>,
    shard_rate: f64,
    // Tokens, and when they were counted.
    level: f64,
    refilled_at: Millis,
}

impl RateLimit {
    /// Takes in what an answer said; the bucket begins at `phase`, from 0 to 1.
    pub(super) fn new(now: Millis, at: Millis, rate: Option<f64>, phase: f64) -> Self {
        Self {
            rate: rate.map(|it| it.max(MIN_RATE_PER_SECOND)),
            observed_at: at,
            changed_at: now,
            instance_rate: None,
            shard_rate: 0.0,
            level: phase,
            refilled_at: now,
        }
    }

    /// Returns the requests a second over all instances, none once the limit is lifted.
    pub(super) fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Returns when an answer last said so.
    pub(super) fn observed_at(&self) -> Millis {
        self.observed_at
    }

    /// Returns when this instance came to know of the rate.
    pub(super) fn changed_at(&self) -> Millis {
        self.changed_at
    }

    /// Returns the requests a second that are this instance's shard's, none where there is no limit.
    pub(super) fn shard_rate(&self) -> Option<f64> {
        self.rate.map(|_| self.shard_rate)
    }

    /// Takes in a later word on a limit that is in force.
    pub(super) fn update(&mut self, now: Millis, at: Millis, rate: f64) {
        let rate = Some(rate.max(MIN_RATE_PER_SECOND));
        if self.rate != rate {
            self.rate = rate;
            self.changed_at = now;
        }
        self.observed_at = at;
    }

    /// Returns whether an answer without a limit lifts it, by when its request was sent.
    pub(super) fn lifted_by(&self, now: Millis, sent: Millis) -> bool {
        self.rate.is_some() && sent > self.observed_at && now.since(self.observed_at) >= LIFT_DELAY
    }

    /// Sets the requests a second that are this instance's of its shard's, and counts the tokens that have come since.
    ///
    /// An instance that comes to hold a part begins without tokens: another has just used them.
    pub(super) fn set_rates(&mut self, now: Millis, part: f64, shard: f64) {
        self.shard_rate = shard;
        let before = self.instance_rate.replace(part).unwrap_or(part);
        let most = (part * BURST_SECONDS).max(MIN_CAPACITY_TOKENS);
        let gained = before * now.since(self.refilled_at).as_secs();
        self.level = (self.level + gained).min(most);
        if before <= 0.0 && part > 0.0 {
            self.level = 0.0;
        }
        self.refilled_at = now;
    }

    /// Returns how many requests may be sent now, none where there is no limit.
    #[expect(clippy::cast_possible_truncation, reason = "a bucket holds few tokens")]
    #[expect(clippy::cast_sign_loss, reason = "the level is never below zero")]
    pub(super) fn tokens(&self) -> Option<u32> {
        self.rate?;
        Some(if self.instance_rate.unwrap_or(0.0) > 0.0 {
            self.level as u32
        } else {
            0
        })
    }

    /// Takes the token of a request that is sent.
    pub(super) fn take_token(&mut self) {
        self.level = (self.level - 1.0).max(0.0);
    }
}
