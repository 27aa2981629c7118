//! Quarantine of requests and prompt parts that crash the endpoints that run them.

use std::collections::BTreeSet;

use crate::EndpointKey;
use crate::Outcome;
use crate::PromptPart;
use crate::PromptParts;
use crate::Refusal;
use crate::RefusalReason;
use crate::ScheduledRequest;
use crate::Ticket;
use crate::core::Core;
use crate::core::RoutedRequest;
use crate::crash_list::Crash;
use crate::crash_list::CrashState;
use crate::part_quarantine::PartChange;
use crate::report::PartRow;
use crate::report::SilentAttemptRow;
use crate::scheduler::Decision;
use crate::scheduler::RunningAttempt;
use crate::silent_attempts::SilentAttempt;
use crate::stable_hash;
use crate::stall_timeout::STREAM_STALL_TIMEOUT;
use crate::uncleared_runs::Run;
use siskinyoke_base::Millis;

/// Retry delay for requests that crashed endpoints; long, so that they cannot crash more of them.
const QUARANTINE_RETRY_AFTER: Millis = Millis::from_secs(30);

/// How long an endpoint has to send a response for its parts to count as sound although it broke
/// off later. A part that crashes endpoints does so as the response begins.
const SOUND_RESPONSE_PERIOD: Millis = Millis(1_000);

/// How long an endpoint that has ended may be listed: a request that is sent to a listed endpoint
/// shows that it was alive that long before.
const MAX_LISTED_TIME: Millis = Millis::from_secs(5);

impl Core {
    /// Returns the prompt parts that were quarantined or released since the last call.
    pub fn take_part_changes(&mut self) -> Vec<PartChange> {
        self.part_quarantine.take_changes()
    }

    /// Records that the end of a running request's response does not say whether it is complete, so
    /// that it is no evidence for the parts of its prompt.
    pub fn response_unconfirmed(&mut self, ticket: Ticket) {
        self.scheduler.response_unconfirmed(ticket);
    }

    // Returns whether a request must not be sent to endpoints. One request is let through where the
    // trial of a quarantined part is due.
    pub(super) fn may_crash_endpoints(
        &mut self,
        now: Millis,
        request: &RoutedRequest,
        fingerprint: u64,
    ) -> bool {
        self.update_evidence(now);
        let parts = &request.prompt_parts;
        let explained = self.part_quarantine.explained_crashes(parts);
        let doubt = self.links.doubted_since(&request.service);
        let quarantine = &self.quarantine;
        if quarantine.is_quarantined(now, fingerprint, doubt, explained) {
            return true;
        }
        let found: Vec<PromptPart> = self.part_quarantine.quarantined_parts(parts).collect();
        match found[..] {
            [] => false,
            [part] if self.is_trial_instance(part) => {
                let quarantine = &mut self.part_quarantine;
                !quarantine.try_start_trial(now, part, fingerprint)
            }
            _ => true,
        }
    }

    // Returns whether a request that has run must not be sent to another endpoint.
    pub(super) fn is_retry_quarantined(&mut self, now: Millis, request: &ScheduledRequest) -> bool {
        self.update_evidence(now);
        let parts = &self.part_quarantine;
        let explained = parts.explained_crashes(&request.prompt_parts);
        let doubt = self.links.doubted_since(&request.service);
        self.quarantine
            .is_quarantined(now, request.fingerprint, doubt, explained)
            || self
                .part_quarantine
                .is_refused(&request.prompt_parts, request.fingerprint)
    }

    // Refuses the waiting requests that are in quarantine by now.
    pub(super) fn refuse_quarantined(&mut self, now: Millis) -> Vec<Decision> {
        self.update_evidence(now);
        if self.quarantine.is_empty(now) && self.part_quarantine.is_empty() {
            return Vec::new();
        }
        let Self {
            quarantine,
            part_quarantine: parts,
            links,
            scheduler,
            ..
        } = self;
        let refused = scheduler.cancel_matching(|it| {
            let doubt = links.doubted_since(&it.service);
            let explained = parts.explained_crashes(&it.prompt_parts);
            quarantine.is_quarantined(now, it.fingerprint, doubt, explained)
                || parts.is_refused(&it.prompt_parts, it.fingerprint)
        });
        let refused = refused.into_iter();
        refused.map(|it| Decision::Refuse(it, refusal())).collect()
    }

    // Records what the end of an attempt says of the request and of the parts of its prompt.
    pub(super) fn record_evidence(
        &mut self,
        now: Millis,
        request: &ScheduledRequest,
        attempt: RunningAttempt,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::ConnectionLost => {
                self.record_crash(now, &Self::run(now, request, attempt), attempt.endpoint);
                if is_sound(now, attempt) {
                    self.part_quarantine
                        .record_sound(now, &request.prompt_parts);
                }
                self.record_endpoint_failure(now, attempt.endpoint);
            }
            Outcome::Completed { .. } if attempt.confirmed => {
                self.quarantine.record_sound(now, request.fingerprint);
                self.part_quarantine
                    .record_sound(now, &request.prompt_parts);
                self.record_endpoint_response(attempt);
            }
            Outcome::Completed { .. } | Outcome::Failed | Outcome::Invalid => {
                self.record_endpoint_response(attempt);
                self.record_uncleared(Self::run(now, request, attempt), attempt);
            }
            Outcome::Full => self.record_endpoint_response(attempt),
            Outcome::Mismatched | Outcome::LinkLost | Outcome::Stalled | Outcome::Cancelled => {
                let run = Run {
                    silent: true,
                    ..Self::run(now, request, attempt)
                };
                self.record_uncleared(run, attempt);
            }
            // The address belongs to a later start.
            Outcome::Misdirected => self.record_endpoint_end(now, attempt.endpoint),
            Outcome::ConnectFailed | Outcome::RelayFailed | Outcome::Unverified => {}
        }
    }

    fn record_uncleared(&mut self, run: Run, attempt: RunningAttempt) {
        let endpoint = attempt.endpoint.short_key();
        self.uncleared_runs.record(endpoint, run);
    }

    // Records that an endpoint responded to a request, and so has not crashed since. At an address that
    // a later start has taken over, that one responds.
    pub(super) fn record_endpoint_response(&mut self, attempt: RunningAttempt) {
        let has_evidence = !self.quarantine.is_clear() || !self.uncleared_runs.is_empty();
        if has_evidence && self.registry.is_superseded(attempt.endpoint) {
            return;
        }
        let endpoint = attempt.endpoint.short_key();
        self.quarantine.record_response(endpoint, attempt.sent_at);
        self.part_quarantine
            .record_response(endpoint, attempt.sent_at);
        self.uncleared_runs
            .record_response(endpoint, attempt.sent_at);
    }

    // Records that a connection to an endpoint broke or could not be established. Requests that ended
    // there shortly before may have crashed it.
    pub(super) fn record_endpoint_failure(&mut self, now: Millis, key: EndpointKey) {
        for run in self.uncleared_runs.take_failed(now, key.short_key()) {
            self.record_crash(now, &run, key);
        }
    }

    /// Takes the requests in quarantine that this instance has to write to the store, from which
    /// processes learn them after all instances have been killed. The instance that watches the store
    /// writes them.
    pub fn take_unsaved_quarantine(&mut self, now: Millis) -> Vec<(u64, Vec<u32>)> {
        let writes = !self.is_shutting_down() && self.reaches_store();
        if !writes || self.watcher(now) != self.identity.name {
            return Vec::new();
        }
        let doubt = self.links.earliest_doubt();
        let explained = self.part_quarantine.all_explained_crashes();
        self.quarantine.take_unsaved(now, doubt, explained)
    }

    /// Records requests in quarantine that the store holds.
    pub fn restore_quarantine(&mut self, now: Millis, requests: &[(u64, Vec<u32>)]) {
        self.quarantine.merge_crashes(now, requests);
    }

    /// Records that the process of an endpoint has ended, as its address refuses connections or belongs
    /// to another one. Requests that ended there shortly before, or wait there, may have crashed it,
    /// unless it has announced that it leaves.
    pub fn record_endpoint_end(&mut self, now: Millis, key: EndpointKey) {
        if self.registry.has_departed(key) {
            return;
        }
        let mut runs = self.uncleared_runs.take_refused(now, key.short_key());
        let mut waiting = self.scheduler.unanswered(now);
        waiting.retain(|it| it.1.endpoint == key);
        runs.extend(waiting.iter().map(|it| Self::run(now, &it.0, it.1)));
        for run in runs {
            self.record_silence(now, &run, key.short_key());
        }
    }

    /// Takes the attempts under which endpoints fell silent that were found gone since the last call.
    pub fn take_silent_attempts(&mut self) -> Vec<SilentAttempt> {
        self.silent_attempts.take_new()
    }

    /// Blames the endpoints that are gone by now on the requests that ended there since the last change
    /// of the listed endpoints.
    pub(super) fn record_late_silences(&mut self, now: Millis) {
        if !self.uncleared_runs.is_empty() {
            let known = self.registry.unfailed_starts();
            self.record_gone(now, |endpoint| !known.contains(&endpoint));
        }
    }

    // Blames the endpoints that are gone on requests that ended there, and on those that have waited
    // for a response for long: some endpoints are removed before they have served their last requests.
    fn record_silences(&mut self, now: Millis, known: &BTreeSet<u32>) {
        let is_gone = |endpoint| !known.contains(&endpoint);
        self.record_gone(now, is_gone);
        for (request, attempt) in self.scheduler.unanswered(now.since(STREAM_STALL_TIMEOUT)) {
            let endpoint = attempt.endpoint.short_key();
            if is_gone(endpoint) {
                self.record_silence(now, &Self::run(now, &request, attempt), endpoint);
            }
        }
    }

    // Adds the attempts that a peer reports, except at endpoints that have responded since.
    pub(super) fn merge_silences(&mut self, now: Millis, rows: &[SilentAttemptRow]) {
        for row in rows {
            let crash = crash_from_row(now, row);
            let responded = self.part_quarantine.last_response(row.endpoint);
            if responded.is_none_or(|sent_at| sent_at <= crash.at) {
                self.quarantine.record_silence(now, row.fingerprint, crash);
                self.part_quarantine.record_silence(now, &row.parts, crash);
            }
        }
    }

    pub(super) fn part_rows(&self, now: Millis) -> Vec<PartRow> {
        self.part_quarantine
            .report_rows(now, self.links.earliest_doubt())
    }

    // Records that an endpoint seems to have crashed under a request. Lost links break requests at
    // several endpoints at once, so the links are probed before the request is blamed.
    fn record_crash(&mut self, now: Millis, run: &Run, key: EndpointKey) {
        let endpoint = key.short_key();
        if self.quarantine.record_crash(now, run.fingerprint, endpoint) {
            self.links.record_crashes(now, &run.service, key);
        }
        self.part_quarantine.record_crash(now, &run.parts, endpoint);
    }

    // Counts the crashes of endpoints that are known by now to have failed, and decides which prompt
    // parts are in quarantine.
    fn update_evidence(&mut self, now: Millis) {
        for service in self.take_shared_losses(now) {
            let all = self.registry.all().filter(|it| it.service == service);
            let keys: Vec<EndpointKey> = all.map(|it| it.key()).collect();
            self.confirm_failures(now, &keys);
        }
        let generation = self.registry.generation();
        let changed = std::mem::replace(&mut self.confirmed_generation, generation) != generation;
        let (_, running) = self.scheduler.request_counts();
        let may_confirm =
            running > 0 || !(self.quarantine.is_clear() && self.uncleared_runs.is_empty());
        let confirms = changed && may_confirm;
        if !confirms && !self.part_quarantine.is_due(now) {
            return;
        }
        let known = self.registry.unfailed_starts();
        let is_gone = |endpoint| !known.contains(&endpoint);
        if confirms {
            self.record_silences(now, &known);
            self.quarantine.confirm(is_gone);
        }
        let doubt = self.links.earliest_doubt();
        self.part_quarantine.update(now, doubt, is_gone);
    }

    // Blames endpoints that are gone on the requests that ended there last.
    fn record_gone(&mut self, now: Millis, is_gone: impl Fn(u32) -> bool) {
        for (endpoint, run) in self.uncleared_runs.take_gone(now, is_gone) {
            if run.silent {
                self.record_silence(now, &run, endpoint);
                continue;
            }
            let at = run.ended_at;
            self.quarantine.record_crash(at, run.fingerprint, endpoint);
            self.part_quarantine.record_crash(at, &run.parts, endpoint);
        }
    }

    // Records that an endpoint fell silent under a request and is gone.
    fn record_silence(&mut self, now: Millis, run: &Run, endpoint: u32) {
        let responded = self.part_quarantine.last_response(endpoint);
        let listed = run.sent_at.since(MAX_LISTED_TIME);
        let crash = Crash {
            endpoint,
            alive_at: responded.unwrap_or(Millis::ZERO).max(listed),
            sent_at: run.sent_at,
            at: run.ended_at,
            gone_at: now,
            alone: true,
            state: CrashState::Silent,
        };
        let attempt = SilentAttempt {
            fingerprint: run.fingerprint,
            parts: run.parts.clone(),
            crash,
        };
        if !self.silent_attempts.insert(attempt) {
            return;
        }
        self.quarantine.record_silence(now, run.fingerprint, crash);
        self.part_quarantine.record_failed_trials(&run.parts);
        self.part_quarantine.record_silence(now, &run.parts, crash);
    }

    // Counts the crashes of endpoints that no instance has links to.
    fn confirm_failures(&mut self, now: Millis, endpoints: &[EndpointKey]) {
        for key in endpoints {
            self.record_endpoint_failure(now, *key);
        }
        let failed = |endpoint| endpoints.iter().any(|it| it.short_key() == endpoint);
        self.quarantine.confirm(failed);
        self.part_quarantine.confirm(failed);
    }

    // Returns what is kept of a request that ended at an endpoint.
    fn run(now: Millis, request: &ScheduledRequest, attempt: RunningAttempt) -> Run {
        let parts = if is_sound(now, attempt) {
            PromptParts::default()
        } else {
            request.prompt_parts.clone()
        };
        Run {
            fingerprint: request.fingerprint,
            service: request.service.clone(),
            parts,
            sent_at: attempt.responded_at.unwrap_or(attempt.sent_at),
            ended_at: now,
            silent: false,
        }
    }

    // Returns whether this instance, of all that are listed, tries requests with a quarantined part:
    // several trials at the same time would crash several endpoints.
    fn is_trial_instance(&self, part: PromptPart) -> bool {
        let rank = |name: &str| stable_hash(&(name, part));
        let own = rank(&self.identity.name);
        self.fleet_members().into_iter().all(|it| rank(it) <= own)
    }
}

fn crash_from_row(now: Millis, row: &SilentAttemptRow) -> Crash {
    Crash {
        endpoint: row.endpoint,
        alive_at: now.since(Millis(row.alive_age.into())),
        sent_at: now.since(Millis(row.sent_age.into())),
        at: now.since(Millis(row.age.into())),
        gone_at: now.since(Millis(row.gone_age.into())),
        alone: true,
        state: CrashState::Silent,
    }
}

// Returns whether an endpoint has sent a response for so long that the parts of its prompt count as
// sound.
fn is_sound(now: Millis, attempt: RunningAttempt) -> bool {
    let responded_at = attempt.responded_at;
    responded_at.is_some_and(|at| now.since(at) >= SOUND_RESPONSE_PERIOD)
}

pub(super) fn refusal() -> Refusal {
    Refusal {
        reason: RefusalReason::Quarantined,
        retry_after: QUARANTINE_RETRY_AFTER,
    }
}
