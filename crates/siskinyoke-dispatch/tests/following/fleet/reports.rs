//! The reports that instances send to each other.

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::common::instance_number;
use crate::fleet::CROSS_SHARD_RECEIVERS;
use crate::fleet::FAILED_PEER_BACKOFF_MS;
use crate::fleet::Faults;
use crate::fleet::Fetch;
use crate::fleet::Fleet;
use crate::fleet::InFlightReport;
use crate::fleet::configurations;
use siskinyoke_base::Millis;

impl Fleet {
    pub(super) fn send_reports(&mut self, index: usize, full: bool) {
        let report = self.nodes[index].core.next_report(Millis(self.now), full);
        let listed = self.nodes[index].core.other_instances();
        let (shard_peers, others): (Vec<_>, Vec<_>) = listed.partition(|row| row.1);
        let shard_peers: Vec<usize> = shard_peers
            .iter()
            .map(|row| instance_number(row.0))
            .collect();
        let others: Vec<usize> = others.iter().map(|row| instance_number(row.0)).collect();
        let selected = others
            .choose_multiple(&mut self.rng, CROSS_SHARD_RECEIVERS)
            .copied();
        let to: Vec<usize> = shard_peers
            .into_iter()
            .chain(selected.filter(|_| full))
            .collect();
        for to in to {
            let lost = self.faults == Faults::Mixed && self.rng.random_bool(0.05);
            if lost || self.is_cut(index, to) {
                continue;
            }
            let due = self.now + self.rng.random_range(1..30);
            let report = report.clone();
            self.in_flight.push(InFlightReport {
                due,
                from: index,
                to,
                report,
            });
        }
    }

    pub(super) fn deliver_reports(&mut self) {
        let now = self.now;
        let (arrived, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|it| it.due <= now);
        self.in_flight = later;
        for delivery in arrived {
            let node = &mut self.nodes[delivery.to];
            if node.frozen_until > now {
                continue;
            }
            let revision = delivery.report.revision().number;
            let version = delivery.report.configuration;
            node.core.receive_report(Millis(now), delivery.report);
            let avoided = node
                .failed_fetch
                .is_some_and(|it| it.0 == delivery.from && now < it.1 + FAILED_PEER_BACKOFF_MS);
            let address = configurations::address(delivery.from);
            node.core.record_peer_configuration(Millis(now), version);
            node.sources.record(Millis(now), address, version);
            let is_newer = node.core.record_peer_revision(Millis(now), revision.into());
            if is_newer && !avoided && node.fetch.is_none() {
                let delay = if node.watch.is_some() { 150 } else { 30 };
                node.fetch = Some(Fetch {
                    due: now + delay,
                    from: delivery.from,
                    transfer: None,
                });
            }
        }
    }
}
