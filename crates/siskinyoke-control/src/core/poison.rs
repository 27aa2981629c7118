//! The core's dealings with requests that may crash endpoints.

use super::Core;
use super::filters::RETRY_SOON;
use super::roster::Roster;
use crate::Action;
use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Suspect;
use siskinyoke_policy::Finish;
use siskinyoke_policy::WorkId;
use siskinyoke_policy::quarantine::InFlight;
use siskinyoke_policy::quarantine::Verdict;
use siskinyoke_policy::quarantine::WARNED;

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
            self.warn(request.digest, endpoint);
        }
    }

    /// Asks all peers to wait with a content until the cause of a break is known here.
    ///
    /// Guards against a caller that sends its request again through another instance as soon as
    /// it fails: the cause is known a quarter of a second later, and until then each instance
    /// would let the content take down an endpoint of its own.
    fn warn(&mut self, digest: [u8; 32], endpoint: &EndpointId) {
        let suspect = Suspect {
            digest,
            deaths: Vec::new(),
            cleared: None,
            trial: Some((endpoint.clone(), WARNED)),
        };
        self.tell_all(&[suspect]);
    }

    /// Tells peers that have just come, or come back, of all suspects.
    ///
    /// Guards against a content that is refused everywhere but by an instance which started, or
    /// was cut off, when the news went round: it would take down two more endpoints there.
    pub(super) fn tell_newcomers(
        &mut self,
        now: Millis,
        changes: &[(Option<MemberRecord>, MemberRecord)],
    ) {
        let suspects = self.quarantine.snapshot(now);
        if suspects.is_empty() {
            return;
        }
        for (before, after) in changes {
            let known = before.as_ref().is_some_and(|before| {
                before.incarnation == after.incarnation && before.state == MemberState::Live
            });
            if after.state == MemberState::Live && !known {
                let suspects = suspects.clone();
                self.out
                    .send(&after.instance, Message::Suspects { suspects });
            }
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
            if self.is_drained(&endpoint) {
                self.scheduler.finished(now, id, Finish::Cancelled);
                self.again(now, id, &End::new(Code::NoEndpoint).after(RETRY_SOON));
            } else {
                self.start_run(now, id, &endpoint);
            }
        }
    }

    /// Tells whether an endpoint was drained, or removed, while a job waited for its place on it.
    fn is_drained(&self, endpoint: &EndpointId) -> bool {
        let doc = self.view.doc.endpoints.get(endpoint);
        doc.is_none_or(|doc| doc.leaving)
    }

    /// Tells news of suspects to all peers at once.
    pub(super) fn tell_suspects(&mut self, now: Millis) {
        let suspects = self.quarantine.news(now);
        if !suspects.is_empty() {
            self.tell_all(&suspects);
        }
    }

    fn tell_all(&mut self, suspects: &[Suspect]) {
        for record in self.members.others() {
            let suspects = suspects.to_vec();
            self.out
                .send(&record.instance, Message::Suspects { suspects });
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
