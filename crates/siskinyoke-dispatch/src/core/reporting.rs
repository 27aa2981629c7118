//! What this instance tells its peers, and what it takes from them.

use crate::Report;
use crate::core::Core;
use crate::peers::Received;
use crate::report::CanaryReport;
use crate::report::InstanceInfo;
use siskinyoke_base::Millis;

/// Suspect work and addresses told in one report, so that it fits a datagram.
const MAX_REPORTED_QUARANTINE: usize = 8;

/// How long the use of an organisation, or a rate limit, stands in each report after it changed.
///
/// Some reports are lost; five in a row are not, and the rest stands in every whole report.
const CHANGE_REPORT_PERIOD: Millis = Millis(250);

/// By how much longer than this instance a peer may run and still count as no older.
const START_SKEW: Millis = Millis(1_500);

impl Core {
    /// Takes in a peer's report; returns whether the peer, or its start, is new.
    pub fn receive_report(&mut self, now: Millis, report: Report) -> bool {
        let source = report.source;
        let mut in_shard = true;
        if let Some(about) = &report.info {
            if about.name == self.identity.name {
                return false;
            }
            self.apply_info(now, about);
            in_shard = self.in_shard(&about.name);
        }
        self.receive_canaries(now, &report, in_shard);
        self.record_peer_limits(now, &report.limits);
        if !in_shard {
            self.peers.remove(source);
            return false;
        }
        let spent = report.quota_used.clone();
        self.scheduler.record_peer_speeds(&report.running);
        let young = Millis(report.age) <= self.age(now) + START_SKEW;
        match self.peers.receive(now, report) {
            Received::Ignored => return false,
            Received::NewProcess(before) => {
                if let Some(before) = before {
                    self.quotas.forget_peer(before);
                }
                self.quotas.record_peer_usage(source, young, &spent);
                return true;
            }
            Received::Update => self.quotas.record_peer_usage(source, young, &spent),
        }
        false
    }

    pub(super) fn apply_info(&mut self, now: Millis, about: &InstanceInfo) {
        for key in &about.leaving_endpoints {
            self.registry.record_departure(now, *key);
        }
        for (print, endpoints) in &about.quarantine {
            for endpoint in endpoints {
                self.quarantine.record_crash(now, *print, *endpoint);
            }
        }
    }

    /// Makes the next report to peers, with what seldom changes if `whole` is set.
    pub fn next_report(&mut self, now: Millis, whole: bool) -> Report {
        self.report_number += 1;
        let since = if whole {
            Millis::ZERO
        } else {
            Millis(now.0.saturating_sub(CHANGE_REPORT_PERIOD.0))
        };
        Report {
            source: self.identity.incarnation,
            age: self.age(now).0,
            number: self.report_number,
            ready: self.ready(),
            leaving: self.leaving,
            configuration: self.configuration_version(),
            revision: self.store_view.revision,
            store_reachable: self.store_view.reachable,
            running: self.scheduler.endpoint_usage(),
            waiting: self.scheduler.queue_summary(now),
            quota_used: self.quotas.usage(since),
            limits: self.scheduler.rate_limits().report_rows(now, since),
            canaries: self.canaries(now),
            info: whole.then(|| self.instance_info(now)),
        }
    }

    fn canaries(&self, now: Millis) -> Vec<CanaryReport> {
        let rollouts = self.registry.rollouts().filter(|it| it.has_report());
        rollouts.map(|it| it.canary_report(now)).collect()
    }

    pub(super) fn instance_info(&self, now: Millis) -> InstanceInfo {
        InstanceInfo {
            name: self.identity.name.clone(),
            location: self.identity.location.clone(),
            leaving_endpoints: self.registry.recent_departures(),
            quarantine: self.quarantine.recent_crashes(MAX_REPORTED_QUARANTINE),
            peers: self.reported_peers(now),
        }
    }

    pub(super) fn age(&self, now: Millis) -> Millis {
        self.configured_at
            .map_or(Millis::ZERO, |started| now.since(started))
    }
}
