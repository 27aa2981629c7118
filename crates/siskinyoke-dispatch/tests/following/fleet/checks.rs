//! The bounds that a fleet has to keep.

use crate::fleet::Fleet;
use crate::fleet::HEALTHY_PERIOD_MS;
use crate::fleet::MAX_SINGLE_SHARD;
use crate::fleet::PROPAGATION_BOUND_MS;
use crate::fleet::endpoint_revision;
use siskinyoke_base::Millis;

/// The largest fleet in which a configuration has to be in force three seconds after its
/// acknowledgement, and not four.
const MAX_MEDIUM_FLEET: usize = 100;

impl Fleet {
    // Checks that no healthy instance uses an endpoint that left longer ago than the bound.
    pub(super) fn check_departures(&mut self) {
        let size = usize::from(self.nodes.len() > MAX_SINGLE_SHARD);
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if self.now < node.healthy_since + HEALTHY_PERIOD_MS[size] {
                continue;
            }
            for endpoint in node.core.registry().eligible("lm") {
                let revision = endpoint_revision(&endpoint.id);
                let Some(left_at) = self.history.left_at(revision) else {
                    continue;
                };
                let age = self.now - left_at;
                if age > PROPAGATION_BOUND_MS[size] && self.late_departures.len() < 5 {
                    self.late_departures.push(format!(
                        "{} ms: i{index} uses {}, which left {age} ms ago",
                        self.now, endpoint.id
                    ));
                }
            }
        }
    }

    // Checks that each healthy instance has applied the configurations acknowledged longer ago than
    // the bound.
    pub(super) fn check_configurations(&mut self) {
        let size = usize::from(self.nodes.len() > MAX_SINGLE_SHARD);
        let bound = if self.nodes.len() > MAX_MEDIUM_FLEET {
            4_000
        } else {
            PROPAGATION_BOUND_MS[size]
        };
        let acknowledged_before = self.now.saturating_sub(bound);
        let expected = self.history.acknowledged_configuration(acknowledged_before);
        for (index, node) in self.nodes.iter().enumerate() {
            let healthy = self.now >= node.healthy_since + HEALTHY_PERIOD_MS[size];
            let version = node.core.configuration_version();
            if healthy && version < expected && self.late_configurations.len() < 5 {
                self.late_configurations.push(format!(
                    "{} ms: i{index} has the configuration of revision {} instead of {expected}",
                    self.now, version,
                ));
            }
        }
    }

    // Checks that each healthy instance has applied all changes that are older than the bound.
    pub(super) fn check_revisions(&mut self) {
        let size = usize::from(self.nodes.len() > MAX_SINGLE_SHARD);
        let written_before = self.now.saturating_sub(PROPAGATION_BOUND_MS[size]);
        let expected = self.history.revision_at(written_before);
        for (index, node) in self.nodes.iter().enumerate() {
            let healthy = self.now >= node.healthy_since + HEALTHY_PERIOD_MS[size];
            if healthy && node.core.store_revision().number < expected && self.violations.len() < 5
            {
                let text = format!(
                    "{} ms: i{index} is at revision {} of {expected}, watcher {}",
                    self.now,
                    node.core.store_revision().number,
                    node.core.watcher(Millis(self.now)),
                );
                self.violations.push(text);
            }
        }
    }
}
