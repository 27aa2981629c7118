//! Rollouts, as this instance takes part in them.

use std::sync::Arc;

use crate::EndpointKey;
use crate::Outcome;
use crate::Report;
use crate::ScheduledRequest;
use crate::core::Core;
use crate::core::routing::unit_fraction;
use crate::latency_model::LatencyModel;
use crate::report::short_hash;
use crate::rollout::Order;
use crate::rollout::Phase;
use crate::rollout::ResponseSample;
use crate::rollout::State;
use crate::stable_hash;
use siskinyoke_base::Millis;

/// How many times longer than usual an answer takes that counts as bad.
///
/// Endpoints of one version differ threefold; those of a bad one take several times as long.
const SLOWDOWN_RATIO: u64 = 3;

/// By how much longer than usual it takes at the least: less is the noise of processes.
const MIN_SLOWDOWN: Millis = Millis(50);

/// A change of where a service's traffic goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficShift {
    /// The service.
    pub service: Arc<str>,
    /// The version that was ordered.
    pub version: Arc<str>,
    /// Where the traffic goes now.
    pub phase: Phase,
}

/// A state of an order that this instance is to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusWrite {
    /// The order.
    pub order: Order,
    /// Its state.
    pub state: State,
    /// The revision that the status must still have, 0 if there must be none.
    pub status_revision: u64,
    /// The revision that the order must still have, 0 if it was withdrawn.
    ///
    /// A write may take effect late, when the same version has been ordered again.
    pub order_revision: u64,
}

impl Core {
    /// Lets the time act on rollouts, and returns whose traffic goes elsewhere now.
    pub fn advance_rollouts(&mut self, now: Millis) -> Vec<TrafficShift> {
        let changed = self.registry.advance_rollouts(now);
        let rollouts = self.registry.rollouts();
        let changed = rollouts.filter(|it| changed.contains(&it.order().service));
        changed
            .map(|it| TrafficShift {
                service: it.order().service.clone(),
                version: it.order().version.clone(),
                phase: it.phase(),
            })
            .collect()
    }

    /// Returns the states that this instance is to write.
    ///
    /// Instances that watch the store do so, those of one shard after those of another.
    pub fn status_writes(&self, now: Millis) -> Vec<StatusWrite> {
        let rollouts = self.registry.rollouts();
        let due = rollouts.filter_map(|it| {
            Some(StatusWrite {
                order: it.order().clone(),
                state: it.due_state(now, self.shard)?,
                status_revision: it.status_revision(),
                order_revision: it.order_revision(),
            })
        });
        let due: Vec<_> = due.collect();
        let writes = !due.is_empty() && !self.leaving && self.watcher(now) == self.identity.name;
        if writes { due } else { Vec::new() }
    }

    pub(super) fn begin_rollout(&mut self, now: Millis, order: Order) {
        let draw = stable_hash(&(self.identity.incarnation, order.revision));
        self.registry.apply_order(now, order, unit_fraction(draw));
    }

    // Reports of other shards count for no endpoint, but what they know of a rollout counts for all.
    pub(super) fn receive_canaries(&mut self, now: Millis, report: &Report, shard: bool) {
        for canary in &report.canaries {
            let mut rollouts = self.registry.rollouts_mut();
            let rollout = rollouts.find(|it| short_hash(&it.order().service) == canary.service);
            if let Some(rollout) = rollout {
                rollout.record_report(now, report.source, canary, shard);
            }
        }
    }

    // Counts the answer of a service while the versions of its endpoints are compared.
    pub(super) fn record_sample(
        &mut self,
        now: Millis,
        pending: &ScheduledRequest,
        outcome: Outcome,
    ) {
        let Some(key) = pending.tried.last() else {
            return;
        };
        let Some(new) = self.is_new_version(&pending.service, *key) else {
            return;
        };
        let load = self.scheduler.latency_model(&pending.service);
        let Some(bad) = is_bad_answer(outcome, pending, load) else {
            return;
        };
        let sample = ResponseSample {
            route: short_hash(&pending.route.name),
            new,
            bad,
            endpoint: key.short(),
        };
        if let Some(rollout) = self.registry.rollout(&pending.service) {
            rollout.record_response(now, sample);
        }
    }

    // Whether an endpoint is of the new version, where its service's versions are compared.
    fn is_new_version(&mut self, service: &str, key: EndpointKey) -> Option<bool> {
        let rollout = self.registry.rollout(service)?;
        if !rollout.is_comparing() {
            return None;
        }
        let version = rollout.order().version.clone();
        let endpoint = self.registry.all().find(|it| it.key() == key)?;
        Some(endpoint.version == version)
    }
}

// Whether an answer speaks against its endpoint's version; nothing if it says nothing of it.
fn is_bad_answer(outcome: Outcome, pending: &ScheduledRequest, load: LatencyModel) -> Option<bool> {
    match outcome {
        Outcome::Failed | Outcome::ConnectionLost | Outcome::Stalled => Some(true),
        Outcome::Completed {
            total, parts: 0, ..
        } => Some(is_slow(total, load.mean_service_time())),
        Outcome::Completed {
            to_first_part,
            total,
            parts,
            ..
        } => {
            let late = is_slow(to_first_part, load.first_part_time(&pending.tokens));
            let rest = load.remaining_time(f64::from(parts));
            Some(late || is_slow(total.since(to_first_part), rest))
        }
        Outcome::Full | Outcome::Misdirected | Outcome::ConnectFailed | Outcome::Cancelled => None,
    }
}

fn is_slow(took: Millis, usual: Millis) -> bool {
    took.0 > usual.0 * SLOWDOWN_RATIO && took > usual + MIN_SLOWDOWN
}
