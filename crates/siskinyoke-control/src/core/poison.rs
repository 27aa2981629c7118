//! The core's dealings with requests that may crash endpoints.

use super::Core;
use super::filters::RETRY_SOON;
use super::job::Job;
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
            self.warn(request.digest);
        }
    }

    /// Asks all peers to wait with a content until the cause of a break is known here.
    ///
    /// Guards against a caller that sends its request again through another instance as soon as
    /// it fails: the cause is known a quarter of a second later, and until then each instance
    /// would let the content take down an endpoint of its own.
    fn warn(&mut self, digest: [u8; 32]) {
        let suspect = Suspect {
            digest,
            deaths: Vec::new(),
            cleared: None,
            trial: Some(WARNED),
        };
        self.tell_suspects(&[suspect]);
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

    fn tell_suspects(&mut self, suspects: &[Suspect]) {
        for record in self.members.others() {
            let suspects = suspects.to_vec();
            self.out
                .send(&record.instance, Message::Suspects { suspects });
        }
    }

    /// Notes that a run told nothing of its content.
    ///
    /// Guards against a suspect that waits half a minute for its own run apart, which is over: it
    /// shows where an endpoint that is down or silent was chosen for that run.
    pub(super) fn trial_ended(&mut self, id: WorkId) {
        if let Some(job) = self.jobs.get(&id) {
            self.quarantine.ended(&job.digest);
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

    /// Tells whether a job that may start runs apart from others like it.
    pub(super) fn is_apart(&self, now: Millis, id: WorkId) -> bool {
        let job = self.jobs.get(&id);
        job.is_some_and(|job| self.quarantine.verdict(now, &job.digest) != Verdict::Free)
    }

    /// Keeps a job waiting that the quarantine did not let start, or ends it.
    ///
    /// Guards against innocent work lost with a poisonous request: all that ran beside it is
    /// suspect and runs apart, one at a time on each endpoint, and would be given up here while
    /// another one of them runs.
    pub(super) fn held_back(&mut self, now: Millis, id: WorkId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let refused = matches!(
            self.quarantine.verdict(now, &job.digest),
            Verdict::Refused { .. }
        );
        if refused || !job.repeatable() || now >= job.deadline {
            return self.quarantined(now, id);
        }
        self.held.insert(id);
    }

    /// Lets jobs that were held back go on, as far as the quarantine has room for them now.
    pub(super) fn resume_held(&mut self, now: Millis) {
        for id in std::mem::take(&mut self.held) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let verdict = self.quarantine.verdict(now, &job.digest);
            let apart = verdict == Verdict::Apart;
            if apart && self.has_room_apart(job) || verdict == Verdict::Free {
                let work = job.work(id, apart);
                self.scheduler.arrive(now, work);
            } else {
                self.held_back(now, id);
            }
        }
    }

    /// Tells whether an endpoint that a job may run on has no other suspect of this instance's.
    fn has_room_apart(&self, job: &Job) -> bool {
        let running = |id: &EndpointId| {
            let runs = self.jobs.values().filter_map(|job| job.run.as_ref());
            runs.filter(|run| run.apart).any(|run| run.endpoint == *id)
        };
        let target = job.head.route.target();
        let all = self.view.doc.endpoints.iter();
        let mut fit = all.filter(|(id, doc)| {
            !doc.leaving && doc.targets.contains(target) && !job.avoid.contains(id)
        });
        fit.any(|(id, _)| !running(id))
    }

    /// Ends a job that the quarantine does not let run in time.
    fn quarantined(&mut self, now: Millis, id: WorkId) {
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
            self.tell_suspects(&suspects);
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

/// The age of the run that a warning tells of: peers wait for half a minute from its beginning,
/// so this leaves the three seconds within which the cause of a break is found or given up.
const WARNED: Millis = Millis::from_secs(27);
