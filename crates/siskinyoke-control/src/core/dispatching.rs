//! Endpoints' side of the core: dispatches, their news, retries and resumes.

use super::Core;
use super::accounting::carries_text;
use super::ending::Past;
use super::event::DispatchNews;
use super::filters::RETRY_SOON;
use super::job::Job;
use super::job::Run;
use crate::Action;
use crate::DispatchId;
use crate::DispatchSpec;
use crate::configuration::EndpointDoc;
use crate::usage::Cause;
use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;
use siskinyoke_base::message::Part;
use siskinyoke_policy::Finish;
use siskinyoke_policy::WorkId;
use siskinyoke_policy::quarantine::Verdict;

impl Core {
    /// Sends a job to an endpoint.
    pub(super) fn start_run(&mut self, now: Millis, id: WorkId, endpoint: &EndpointId) {
        if !self.may_start(now, id, endpoint) {
            return self.held_back(now, id, endpoint);
        }
        let dispatch = DispatchId(self.number());
        let Some(job) = self.jobs.get_mut(&id) else {
            return self.scheduler.finished(now, id, Finish::Cancelled);
        };
        let Some(doc) = endpoint_doc(&self.view.doc.endpoints, job, endpoint) else {
            job.avoid.push(endpoint.clone());
            self.scheduler.finished(now, id, Finish::Unreachable);
            return self.again(now, id, &End::new(Code::NoEndpoint).after(RETRY_SOON));
        };
        // A stream that has begun can only go on where its events can be skipped.
        if job.events > 0 && !doc.resume {
            self.scheduler.finished(now, id, Finish::Cancelled);
            return self.end(now, id, End::new(Code::Broken));
        }
        let spec = DispatchSpec {
            dispatch,
            endpoint: endpoint.clone(),
            address: doc.address.clone(),
            name: job.name(id),
            head: job.head.clone(),
            resume: job.events,
            limit: self.settings.run,
        };
        job.last = Some(endpoint.clone());
        job.run = Some(Run {
            dispatch,
            endpoint: endpoint.clone(),
        });
        self.runs.insert(dispatch, id);
        self.out.push(Action::Dispatch(Box::new(spec)));
    }

    /// Cancels a job on its endpoint for more urgent work.
    pub(super) fn cancel_run(&mut self, now: Millis, id: WorkId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(run) = job.run.take() else {
            if self.parked.remove(&id).is_some() {
                self.scheduler.finished(now, id, Finish::Cancelled);
                self.again(now, id, &End::new(Code::Shed).after(RETRY_SOON));
            }
            return;
        };
        job.past = Past::Dispatched;
        job.attempts += 1;
        self.quarantine.ended(now, &job.digest);
        self.runs.remove(&run.dispatch);
        self.out.push(Action::Cancel {
            dispatch: run.dispatch,
        });
        self.scheduler.finished(now, id, Finish::Cancelled);
        self.account_wasted_run(id, Cause::Cancelled);
        self.again(now, id, &End::new(Code::Cancelled).after(RETRY_SOON));
    }

    /// Takes news of a dispatch; news of one that was given up are passed over.
    pub(super) fn dispatch_news(&mut self, now: Millis, dispatch: DispatchId, news: DispatchNews) {
        let Some(id) = self.runs.get(&dispatch).copied() else {
            return;
        };
        match news {
            DispatchNews::Unreachable { detail, refused } => {
                if refused && let Some(endpoint) = self.endpoint_of(id) {
                    self.quarantine.refused(now, &endpoint);
                }
                let end = End::new(Code::NoEndpoint).after(RETRY_SOON).detail(detail);
                self.failed(now, id, dispatch, Finish::Unreachable, &end);
            }
            DispatchNews::Broken { detail } => {
                if let Some(endpoint) = self.endpoint_of(id) {
                    self.suspect(now, id, &endpoint);
                }
                let end = End::new(Code::Broken).detail(detail);
                self.failed(now, id, dispatch, Finish::Broken, &end);
            }
            DispatchNews::TimedOut => {
                self.failed(now, id, dispatch, Finish::Broken, &End::new(Code::TimedOut));
            }
            DispatchNews::Head {
                status,
                content,
                stream,
            } => {
                let part = Part::Head {
                    status,
                    content,
                    stream,
                };
                self.head(now, id, dispatch, part);
            }
            DispatchNews::Piece(bytes) => {
                self.scheduler.first_piece(now, id);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.first.get_or_insert(now);
                }
                self.part(id, Part::Piece(bytes));
            }
            DispatchNews::Whole => self.whole(now, id, dispatch),
        }
    }

    /// Takes the head of an answer.
    ///
    /// Where the listeners have a stream's head already, a second one is dropped; if it begins
    /// something else than that stream, an error's page for instance, it counts as broken off.
    fn head(&mut self, now: Millis, id: WorkId, dispatch: DispatchId, part: Part) {
        if let Some(endpoint) = self.endpoint_of(id) {
            self.quarantine.reached(now, &endpoint);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.past = Past::Dispatched;
        if job.streaming && job.seq > 0 {
            if job.parts.first() != Some(&part) {
                self.out.push(Action::Cancel { dispatch });
                let end = End::new(Code::Broken).detail("the stream could not be resumed");
                self.failed(now, id, dispatch, Finish::Broken, &end);
            }
            return;
        }
        job.parts.clear();
        job.streaming = matches!(part, Part::Head { stream: true, .. });
        self.part(id, part);
    }

    /// Holds a part of an answer, and gives it on at once if the answer is a stream.
    fn part(&mut self, id: WorkId, part: Part) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.streaming {
            job.parts.push(part);
            return;
        }
        let seq = job.seq;
        job.seq += 1;
        if let Part::Piece(bytes) = &part {
            job.events += 1;
            job.tokens += u32::from(carries_text(bytes));
        }
        let listeners = job.listeners.clone();
        // Without a key nobody can come back for the answer, so only its count is kept.
        if job.identity.is_some() || matches!(part, Part::Head { .. }) {
            job.parts.push(part.clone());
        }
        for listener in listeners {
            self.give(&listener, part.clone(), seq);
        }
    }

    fn whole(&mut self, now: Millis, id: WorkId, dispatch: DispatchId) {
        self.runs.remove(&dispatch);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.run = None;
        job.past = Past::Dispatched;
        let output = job.events;
        self.quarantine.completed(now, &job.digest);
        let code = if job.status() >= 400 {
            Code::EndpointError
        } else {
            Code::Complete
        };
        self.scheduler
            .finished(now, id, Finish::Complete { output });
        self.end(now, id, End::new(code));
    }

    fn failed(&mut self, now: Millis, id: WorkId, dispatch: DispatchId, how: Finish, end: &End) {
        self.runs.remove(&dispatch);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if how == Finish::Unreachable {
            job.misses += 1;
        } else {
            job.past = Past::Dispatched;
            job.attempts += 1;
        }
        if let Some(run) = job.run.take()
            && !job.avoid.contains(&run.endpoint)
        {
            job.avoid.push(run.endpoint);
        }
        // Guards against a run apart that ends without a break, as where the endpoint was down
        // already: while it counts as under way its own request would wait for it.
        if end.code != Code::Broken {
            self.quarantine.ended(now, &job.digest);
        }
        self.scheduler.finished(now, id, how);
        if how == Finish::Broken {
            self.account_wasted_run(id, Cause::Broken);
        }
        self.again(now, id, end);
    }

    /// Returns the endpoint that a job runs on.
    fn endpoint_of(&self, id: WorkId) -> Option<EndpointId> {
        let run = self.jobs.get(&id)?.run.as_ref()?;
        Some(run.endpoint.clone())
    }

    /// Lets a job wait for another dispatch, or ends it where none is allowed.
    ///
    /// At-most-once work goes again only if it provably never left; a stream that its caller
    /// has in part goes on only where an endpoint can resume it.
    pub(super) fn again(&mut self, now: Millis, id: WorkId, end: &End) {
        let attempts = self.settings.attempts;
        let misses = self.settings.misses;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let allowed = job.past != Past::Dispatched || job.repeatable();
        let resumable = job.events == 0 || job.avoid_unable();
        if !allowed || !resumable || job.attempts >= attempts || job.misses >= misses {
            return self.end(now, id, end.clone());
        }
        if job.events > 0 {
            // The caller waits for the next event rather than the first.
            job.deadline = now + job.resolved.need;
        }
        if !job.streaming {
            job.parts.clear();
        }
        let verdict = self.quarantine.verdict(now, &job.digest);
        if let Verdict::Refused { after } = verdict {
            return self.end(now, id, End::new(Code::Quarantined).after(after));
        }
        let work = job.work(id, verdict != Verdict::Free);
        self.scheduler.arrive(now, work);
    }
}

/// Finds an endpoint by the job's revision, or by the one in force if it is newer than the job.
fn endpoint_doc<'a>(
    newest: &'a std::collections::BTreeMap<EndpointId, EndpointDoc>,
    job: &'a Job,
    endpoint: &EndpointId,
) -> Option<&'a EndpointDoc> {
    newest
        .get(endpoint)
        .or_else(|| job.view.doc.endpoints.get(endpoint))
}
