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
use siskinyoke_policy::Finish;
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

    /// Ends a job that the quarantine refuses, or keeps its place for it until it may start.
    ///
    /// Guards innocent requests that were on an endpoint when another crashed it: they wait for
    /// each other or for a copy of theirs, and ended here they would count as having run.
    pub(super) fn held_back(&mut self, now: Millis, id: WorkId, endpoint: &EndpointId) {
        let Some(job) = self.jobs.get(&id) else {
            return self.scheduler.finished(now, id, Finish::Cancelled);
        };
        let place = (endpoint.clone(), now + PARK_GAP);
        self.parked.insert(id, place);
        if let Verdict::Refused { after } = self.quarantine.verdict(now, &job.digest) {
            self.end(now, id, End::new(Code::Quarantined).after(after));
        } else if now >= job.deadline && !job.resolved.protected {
            self.end(now, id, End::new(Code::Late).after(RETRY_SOON));
        }
    }

    /// Lets jobs that wait for the quarantine try again.
    fn unpark(&mut self, now: Millis) {
        let due: Vec<(WorkId, EndpointId)> = self
            .parked
            .extract_if(.., |_, (_, at)| now >= *at)
            .map(|(id, (endpoint, _))| (id, endpoint))
            .collect();
        for (id, endpoint) in due {
            self.start_run(now, id, &endpoint);
        }
    }

    /// Tells news of suspects to all peers at once.
    pub(super) fn tell_suspects(&mut self, now: Millis) {
        let suspects = self.quarantine.news(now);
        if suspects.is_empty() {
            return;
        }
        let others = self.members.others();
        let peers: Vec<_> = others
            .into_iter()
            .map(|record| record.instance.clone())
            .collect();
        for peer in peers {
            let suspects = suspects.clone();
            self.out.send(&peer, Message::Suspects { suspects });
        }
    }

    /// Lets waiting jobs try again, and tries endpoints that broke off.
    pub(super) fn watch_suspects(&mut self, now: Millis) {
        self.quarantine.tick(now);
        self.unpark(now);
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

/// How long a job waits before the quarantine is asked again whether it may start, in
/// milliseconds; a plain service's call takes about as long.
const PARK_GAP: Millis = Millis(50);

/// How long to wait for word of a connection that was tried, before it is tried again.
const PROBE_GAP: Millis = Millis::from_secs(1);
