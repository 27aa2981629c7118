//! Reports sent to peers and received from them.

use std::sync::Arc;

use crate::Endpoint;
use crate::Report;
use crate::core::Core;
use crate::peers::Received;
use crate::quota::ReportingPeer;
use crate::report::InstanceInfo;
use crate::report::ServiceShareRows;
use siskinyoke_base::Millis;

/// Maximum number of quarantined requests in one report, so that it fits into a datagram. Where there
/// are more, they are reported in turn.
const MAX_REPORTED_QUARANTINE: usize = 8;

/// How long a changed quota use or rate limit is included in every report.
///
/// Single reports may be lost, but not five in a row; full reports include unchanged values too.
const CHANGE_REPORT_PERIOD: Millis = Millis(250);

/// How much longer than this instance a peer may have run and still count as started with it.
const START_SKEW: Millis = Millis(1_500);

impl Core {
    /// Handles a peer's report, and returns whether it is the first one of a peer's process.
    pub fn receive_report(&mut self, now: Millis, report: Report) -> bool {
        let mut in_shard = true;
        if let Some(info) = &report.info {
            if info.name == self.identity.name {
                return false;
            }
            self.apply_info(now, info);
            in_shard = self.in_shard(&info.name);
            if in_shard {
                self.advertised.extend(info.peers.iter().cloned());
            }
        }
        // Like the information above, this is only ever added to what is known, so it counts in an
        // outdated report too.
        self.receive_canary_reports(now, &report.canaries);
        if in_shard {
            return self.receive_peer_report(now, report);
        }
        self.merge_observations(now, &report);
        self.peers.remove(report.incarnation);
        false
    }

    // Handles the report of an instance of this shard, unless it is outdated, and returns whether it
    // is the first one of a process.
    fn receive_peer_report(&mut self, now: Millis, report: Report) -> bool {
        let received = self.peers.classify(now, &report);
        if received == Received::Ignored {
            return false;
        }
        let incarnation = report.incarnation;
        if let Received::NewProcess(Some(previous)) = received {
            self.quotas.forget_peer(previous);
            self.scheduler.forget_peer_shares(previous);
        }
        self.merge_observations(now, &report);
        self.receive_canary_slices(now, &report);
        self.scheduler.record_peer_speeds(&report.running);
        self.scheduler.record_peer_intervals(&report.part_intervals);
        self.scheduler.receive_shares(now, incarnation, &report);
        let quota_used = report.quota_used.clone();
        let age = Millis(report.age);
        let no_older = age <= self.age(now) + START_SKEW;
        self.peers.receive(now, report);
        let peer = ReportingPeer {
            incarnation,
            age: no_older.then_some(age),
            fleet_share: self.peers.instance_share(),
        };
        self.quotas.record_peer_usage(now, peer, &quota_used);
        matches!(received, Received::NewProcess(_))
    }

    // Merges the observations that a report dates by their age when it was sent. In an outdated
    // report they would seem newer than later ones and replace them.
    fn merge_observations(&mut self, now: Millis, report: &Report) {
        self.record_peer_limits(now, &report.limits);
        self.record_peer_rejection_limits(now, report);
        self.part_quarantine.merge(now, &report.prompt_parts);
        self.quarantine.merge_sound(now, &report.sound_requests);
        self.merge_silences(now, &report.silent_attempts);
    }

    /// Records that an endpoint's response to a request sent at `sent_at` said that the endpoint is
    /// leaving, and returns whether that was not known yet.
    pub fn announce_departure(
        &mut self,
        now: Millis,
        endpoint: &Endpoint,
        sent_at: Millis,
    ) -> bool {
        self.registry
            .announce_departure(now, endpoint.key(), sent_at)
    }

    /// Returns the endpoints that peers reported as leaving since the last call.
    pub fn take_reported_departures(&mut self) -> Vec<Arc<Endpoint>> {
        let keys = std::mem::take(&mut self.reported_departures);
        let known = keys.into_iter().filter_map(|key| self.registry.find(key));
        known.cloned().collect()
    }

    pub(super) fn apply_info(&mut self, now: Millis, info: &InstanceInfo) {
        for key in &info.leaving_endpoints {
            if self.registry.record_departure(now, *key) {
                self.reported_departures.push(*key);
            }
        }
        // Peers report crashes once their links are proven to work.
        self.quarantine.merge_crashes(now, &info.quarantine);
    }

    /// Builds the next report to peers, including rarely changing information if `full` is set.
    pub fn next_report(&mut self, now: Millis, full: bool) -> Report {
        let shares = self.scheduler.share_rows(now);
        self.build_report(now, full, shares)
    }

    /// Builds a full report that is sent to one instance only, outside the reports to all peers.
    ///
    /// It has no share rows: these are due to all peers at once, and would be missing from the next
    /// report to them.
    pub fn unicast_report(&mut self, now: Millis) -> Report {
        self.build_report(now, true, Vec::new())
    }

    fn build_report(&mut self, now: Millis, full: bool, shares: Vec<ServiceShareRows>) -> Report {
        self.report_number += 1;
        let since = if full {
            Millis::ZERO
        } else {
            Millis(now.0.saturating_sub(CHANGE_REPORT_PERIOD.0))
        };
        Report {
            incarnation: self.identity.incarnation,
            age: self.age(now).0,
            number: self.report_number,
            ready: self.ready(now),
            shutting_down: self.is_shutting_down(),
            configuration: self.configuration_version(),
            revision_number: self.store_view.revision.number,
            store_reachable: self.store_view.reachable,
            running: self.scheduler.endpoint_usage(),
            waiting: self.reported_queues(now),
            quota_used: self.quotas.usage(since),
            limits: self.scheduler.rate_limits().report_rows(now, since),
            canaries: self.canary_reports(now),
            info: full.then(|| self.reported_info(now)),
            era: self.store_view.revision.era,
            relay: Some(self.relay_report()),
            rejection_limits: self.scheduler.rejection_limits().report_rows(now, since),
            shares,
            canary_slices: self.canary_slices(now),
            prompt_parts: if full {
                self.part_rows(now)
            } else {
                Vec::new()
            },
            sound_requests: if full {
                self.quarantine
                    .next_sound_rows(now, MAX_REPORTED_QUARANTINE)
            } else {
                Vec::new()
            },
            part_intervals: if full {
                self.scheduler.interval_rows()
            } else {
                Vec::new()
            },
            size_shares: if full {
                self.scheduler.size_shares().rows(now)
            } else {
                Vec::new()
            },
            silent_attempts: if full || self.silent_attempts.has_since(since) {
                self.silent_attempts.next_rows(now)
            } else {
                Vec::new()
            },
        }
    }

    fn reported_info(&mut self, now: Millis) -> InstanceInfo {
        InstanceInfo {
            quarantine: self.reported_crashes(now, MAX_REPORTED_QUARANTINE),
            ..self.instance_info(now)
        }
    }

    // Returns what this instance says of itself, without requests in quarantine.
    pub(super) fn instance_info(&self, now: Millis) -> InstanceInfo {
        InstanceInfo {
            name: self.identity.name.clone(),
            location: self.identity.location.clone(),
            leaving_endpoints: self.registry.recent_departures(now),
            quarantine: Vec::new(),
            peers: self.reported_peers(now),
        }
    }

    // Returns the time since the first configuration was applied, which reports carry as the age of
    // this process.
    pub(super) fn age(&self, now: Millis) -> Millis {
        self.configured_at.map_or(Millis::ZERO, |at| now.since(at))
    }
}
