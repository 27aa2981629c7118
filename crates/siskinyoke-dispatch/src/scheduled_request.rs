//! Requests as the scheduler sees them, and their order in a queue.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Endpoint;
use crate::EndpointKey;
use crate::PromptParts;
use crate::Route;
use crate::TokenCounts;
use crate::VersionKey;
use crate::organisation_shares::share_class::ShareClass;
use siskinyoke_base::Millis;

/// Identifies an admitted request within an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Priority of a request; lower values are served first.
///
/// The organisation's priority is compared before the route's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u16);

impl Priority {
    /// Combines the priorities of organisation and route.
    pub fn new(organisation: Option<u8>, route: u8) -> Self {
        let first = organisation.unwrap_or(route);
        Self(u16::from(first) << 8 | u16::from(route))
    }

    /// Returns the tier: the organisation's priority or, if it has none, the route's.
    pub fn tier(self) -> u8 {
        self.0.to_be_bytes()[0]
    }

    /// Returns the priority of the route.
    pub fn route(self) -> u8 {
        self.0.to_be_bytes()[1]
    }
}

/// Precedence of queued requests; lower values go first.
///
/// The tier is compared first, then the priority of the route, then the organisation's use of its
/// share of the slots: urgent requests go first, whoever sends them. Those that can still meet their
/// latency target go before late ones.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u32", into = "u32")]
pub struct QueueOrder {
    tier: u8,
    route_priority: u8,
    share_class: ShareClass,
    late: bool,
}

/// The bits of an encoded order that mark requests which are not within their share.
///
/// Instances of versions that know no shares read such an order as one after all others.
const MARGINAL_BIT: u32 = 1 << 30;
const ABOVE_BIT: u32 = 1 << 31;

impl QueueOrder {
    /// Combines a priority, the class of the organisation's use of its share, and whether the
    /// response would miss its latency target.
    pub fn new(priority: Priority, share_class: ShareClass, late: bool) -> Self {
        let [tier, route_priority] = priority.0.to_be_bytes();
        Self {
            tier,
            route_priority,
            share_class,
            late,
        }
    }

    /// Returns the order of requests that are within their organisations' shares, and otherwise the
    /// same.
    #[must_use]
    pub fn within_share(self) -> Self {
        Self {
            share_class: ShareClass::Within,
            ..self
        }
    }

    /// Returns the class of the organisations' use of their shares.
    pub fn share_class(self) -> ShareClass {
        self.share_class
    }
}

impl From<u32> for QueueOrder {
    fn from(value: u32) -> Self {
        let [_, _, tier, route_priority] =
            ((value & !(ABOVE_BIT | MARGINAL_BIT)) >> 1).to_be_bytes();
        let share_class = if value & ABOVE_BIT != 0 {
            ShareClass::Above
        } else if value & MARGINAL_BIT != 0 {
            ShareClass::Marginal
        } else {
            ShareClass::Within
        };
        Self {
            tier,
            route_priority,
            share_class,
            late: value & 1 != 0,
        }
    }
}

impl From<QueueOrder> for u32 {
    fn from(order: QueueOrder) -> Self {
        let priority = u16::from_be_bytes([order.tier, order.route_priority]);
        let share_bits = match order.share_class {
            ShareClass::Within => 0,
            ShareClass::Marginal => MARGINAL_BIT,
            ShareClass::Above => ABOVE_BIT,
        };
        share_bits | Self::from(priority) << 1 | Self::from(order.late)
    }
}

/// A queued or running request.
#[derive(Debug, Clone)]
pub struct ScheduledRequest {
    /// The service that runs it.
    pub service: Arc<str>,
    /// Its route.
    pub route: Arc<Route>,
    /// Its priority.
    pub priority: Priority,
    /// When it arrived.
    pub arrived: Millis,
    /// Arrival time by which it is sorted among requests of the same order; earlier than the actual
    /// one for short requests, which are given a head start.
    pub virtual_arrival: Millis,
    /// When its queue timeout begins: at its arrival or, once its stream has begun, when it was last
    /// queued.
    pub wait_start: Millis,
    /// When its caller stops waiting or the timeout of its route ends.
    pub deadline: Millis,
    /// Its token counts.
    pub tokens: TokenCounts,
    /// Hash of its content, the same for each retry of the same request.
    pub fingerprint: u64,
    /// The parts of its prompt that other requests may share.
    pub prompt_parts: PromptParts,
    /// Endpoints it was sent to, including those that could not be reached.
    pub tried: Vec<EndpointKey>,
    /// Number of these endpoints that were reached.
    pub attempts: u32,
    /// The hash of its organisation's name, if that is known.
    pub organisation: Option<u32>,
    /// How much of its share of the slots its organisation uses.
    pub share_class: ShareClass,
    /// Whether its response would miss its latency target; it is served after those that can meet
    /// theirs.
    pub late: bool,
    /// Whether it was admitted only because another shard may lend a slot for it.
    pub needs_loan: bool,
    /// Whether it is selected for the canary version or runs on it.
    pub canary: bool,
    /// The version at which its stream began; no other may go on with it.
    pub version: Option<VersionKey>,
}

impl ScheduledRequest {
    /// Returns its precedence in the queue.
    pub fn queue_order(&self) -> QueueOrder {
        QueueOrder::new(self.priority, self.share_class, self.late)
    }

    /// Returns the request as it is queued again after an attempt that ended.
    ///
    /// The caller of a stream that has begun waits for its next event, and not since its arrival.
    #[must_use]
    pub(crate) fn requeued(self, now: Millis) -> Self {
        let has_begun = self.version.is_some();
        Self {
            wait_start: if has_begun { now } else { self.wait_start },
            late: false,
            needs_loan: false,
            canary: false,
            ..self
        }
    }

    /// Returns whether the version of an endpoint may run it.
    pub fn may_run_at(&self, endpoint: &Endpoint) -> bool {
        let version = self.version;
        version.is_none_or(|it| it == endpoint.version_key())
    }
}
