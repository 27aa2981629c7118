//! The core's dealings with requests that may crash endpoints.

use super::Core;
use super::filters::RETRY_SOON;
use super::roster::Roster;
use crate::Action;
use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;
use siskinyoke_base::message::Message;
use siskinyoke_policy::WorkId;
use siskinyoke_policy::quarantine::InFlight;
use siskinyoke_policy::quarantine::Verdict;

impl Core {
    /// Learns whether a connection to an endpoint that broke off can be made.
    pub(super) fn probed(&mut self, now: Millis, endpoint: &EndpointId, reached: bool) {
        self.probing.remove(endpoint);
        if reached {
            self.quarantine.reached(now, endpoint);
        } else {
            self.quarantine.refused(now, endpoint);
        }
    }

    /// Notes that a dispatch broke off; its content is held apart until the cause is known.
    pub(super) fn suspect(&mut self, now: Millis, id: WorkId, endpoint: &EndpointId) {
        if let Some(job) = self.jobs.get(&id) {
            let request = InFlight {
                digest: job.digest,
                class: job.resolved.class,
            };
            self.quarantine.broke(now, endpoint, request);
        }
    }

    /// Decides whether a job may start on an endpoint as far as the quarantine is concerned.
    pub(super) fn may_start(&mut self, now: Millis, id: WorkId, endpoint: &EndpointId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        match self.quarantine.verdict(now, &job.digest) {
            Verdict::Free => true,
            Verdict::Apart => self.quarantine.begin(now, &job.digest, endpoint),
            Verdict::Wait { .. } | Verdict::Refused { .. } => false,
        }
    }

    /// Ends a job that the quarantine did not let start.
    pub(super) fn held_back(&mut self, now: Millis, id: WorkId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let after = match self.quarantine.verdict(now, &job.digest) {
            Verdict::Refused { after } => after,
            Verdict::Wait { until } => until.since(now),
            Verdict::Free | Verdict::Apart => RETRY_SOON,
        };
        self.end(now, id, End::new(Code::Quarantined).after(after));
    }

    /// Tells news of suspects to all peers at once, and tries endpoints that broke off.
    pub(super) fn watch_suspects(&mut self, now: Millis) {
        self.quarantine.tick(now);
        let suspects = self.quarantine.news(now);
        if !suspects.is_empty() {
            let peers = self
                .members
                .others()
                .into_iter()
                .map(|record| record.instance.clone());
            for peer in peers.collect::<Vec<_>>() {
                self.out.send(
                    &peer,
                    Message::Suspects {
                        suspects: suspects.clone(),
                    },
                );
            }
        }
        for endpoint in self.quarantine.probes(now) {
            let tried = self.probing.get(&endpoint);
            if tried.is_some_and(|at| now.since(*at) < PROBE_GAP) {
                continue;
            }
            self.probing.insert(endpoint.clone(), now);
            let Some(doc) = self.view.doc.endpoints.get(&endpoint) else {
                continue;
            };
            let address = doc.address.clone();
            self.out.push(Action::Probe { endpoint, address });
        }
    }
}

/// How long to wait for word of a connection that was tried, before it is tried again.
const PROBE_GAP: Millis = Millis::from_secs(1);
