//! This instance's part in rollouts: canary samples, phase changes and status writes.

use std::sync::Arc;

use crate::EndpointKey;
use crate::Outcome;
use crate::Report;
use crate::ScheduledRequest;
use crate::core::Core;
use crate::core::routing::unit_fraction;
use crate::latency_model::LatencyModel;
use crate::report::CanaryReport;
use crate::report::CanarySlices;
use crate::report::short_hash;
use crate::report::short_revision;
use crate::rollout::Order;
use crate::rollout::Phase;
use crate::rollout::ResponseSample;
use crate::rollout::Rollout;
use crate::rollout::State;
use crate::stable_hash;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;

/// Multiple of the expected time from which a response counts as bad.
///
/// Endpoints of one version differ up to threefold; those of a bad one take several times as long.
const SLOWDOWN_RATIO: u64 = 3;

/// Minimum excess over the expected time for a response to count as bad; shorter delays come from
/// pauses of a process.
const MIN_SLOWDOWN: Millis = Millis(50);

/// A change of a rollout's phase, and so of how its service's traffic is split between versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PhaseChange {
    /// The service's name.
    pub service: Arc<str>,
    /// The version ordered by the rollout.
    pub version: Arc<str>,
    /// The phase the rollout is in now.
    pub phase: Phase,
}

/// A rollout status that this instance has to write to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusWrite {
    /// The rollout order.
    pub order: Order,
    /// The state to write.
    pub state: State,
    /// Expected revision of the stored status, or zero if none must exist.
    pub status_revision: Revision,
    /// Expected revision of the stored order, or zero if it was withdrawn.
    ///
    /// Guards against a delayed write taking effect after the same version was ordered again.
    pub order_revision: Revision,
}

impl Core {
    /// Advances rollouts to their phase at `now`, and returns those that changed phase.
    pub fn advance_rollouts(&mut self, now: Millis) -> Vec<PhaseChange> {
        let changed = self.registry.advance_rollouts(now);
        let rollouts = self.registry.rollouts();
        let changed = rollouts.filter(|it| changed.contains(&it.order().service));
        changed
            .map(|it| PhaseChange {
                service: it.order().service.clone(),
                version: it.order().version.clone(),
                phase: it.phase(),
            })
            .collect()
    }

    /// Returns the rollout statuses that this instance has to write to the store.
    ///
    /// Statuses are written by the instance of each shard that watches the store, one shard after
    /// another.
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
        let writes =
            !due.is_empty() && !self.is_shutting_down() && self.watcher(now) == self.identity.name;
        if writes { due } else { Vec::new() }
    }

    pub(super) fn begin_rollout(&mut self, now: Millis, order: Order) {
        let hash = stable_hash(&(self.identity.incarnation, short_revision(order.revision)));
        self.registry.apply_order(now, order, unit_fraction(hash));
    }

    // Handles the canary reports of a peer. The state that they report of a rollout applies to all
    // shards.
    pub(super) fn receive_canary_reports(&mut self, now: Millis, canaries: &[CanaryReport]) {
        for canary in canaries {
            if let Some(rollout) = self.rollout_by_hash(canary.service) {
                rollout.record_report(now, canary);
            }
        }
    }

    // Records the responses that a peer of this shard has counted.
    pub(super) fn receive_canary_slices(&mut self, now: Millis, report: &Report) {
        for slices in &report.canary_slices {
            if let Some(rollout) = self.rollout_by_hash(slices.service) {
                rollout.record_slices(now, report.incarnation, slices);
            }
        }
    }

    pub(super) fn canary_reports(&self, now: Millis) -> Vec<CanaryReport> {
        let rollouts = self.registry.rollouts().filter(|it| it.has_report());
        rollouts.map(|it| it.canary_report(now)).collect()
    }

    pub(super) fn canary_slices(&self, now: Millis) -> Vec<CanarySlices> {
        let rollouts = self.registry.rollouts().filter(|it| it.is_comparing());
        rollouts.map(|it| it.canary_slices(now)).collect()
    }

    fn rollout_by_hash(&mut self, service: u32) -> Option<&mut Rollout> {
        let mut rollouts = self.registry.rollouts_mut();
        rollouts.find(|it| short_hash(&it.order().service) == service)
    }

    // Records a response as a sample while the versions of its service are compared.
    pub(super) fn record_sample(
        &mut self,
        now: Millis,
        request: &ScheduledRequest,
        outcome: Outcome,
    ) {
        let Some(key) = request.tried.last() else {
            return;
        };
        let Some(new) = self.is_new_version(&request.service, *key) else {
            return;
        };
        let latencies = self.scheduler.latency_model(&request.service);
        let Some(bad) = is_bad_response(outcome, request, latencies) else {
            return;
        };
        let sample = ResponseSample {
            route: short_hash(&request.route.name),
            new,
            bad,
            endpoint: key.short_key(),
        };
        if let Some(rollout) = self.registry.rollout(&request.service) {
            rollout.record_response(now, sample);
        }
    }

    // Returns whether an endpoint runs the new version, or `None` if its service's versions are not
    // compared.
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

// Returns whether a response counts against its endpoint's version, or `None` if it does not count.
fn is_bad_response(
    outcome: Outcome,
    request: &ScheduledRequest,
    latencies: LatencyModel,
) -> Option<bool> {
    match outcome {
        Outcome::Failed
        | Outcome::Invalid
        | Outcome::ConnectionLost
        | Outcome::Mismatched
        | Outcome::Stalled => Some(true),
        Outcome::Completed {
            total, parts: 0, ..
        } => Some(is_slow(total, latencies.mean_service_time())),
        Outcome::Completed {
            first_latency,
            total,
            parts,
            ..
        } => {
            let late = is_slow(first_latency, latencies.first_part_time(&request.tokens));
            let expected_rest = latencies.remaining_time(f64::from(parts));
            Some(late || is_slow(total.since(first_latency), expected_rest))
        }
        Outcome::Full
        | Outcome::Misdirected
        | Outcome::ConnectFailed
        | Outcome::RelayFailed
        | Outcome::Unverified
        | Outcome::LinkLost
        | Outcome::Cancelled => None,
    }
}

fn is_slow(duration: Millis, expected: Millis) -> bool {
    duration.0 > expected.0 * SLOWDOWN_RATIO && duration > expected + MIN_SLOWDOWN
}
