//! Ends requests: sends the final response and records the outcome in logs and metrics.
//!
//! Methods that end a request return the name of its outcome.

use http::Response;
use serde_json::json;

use crate::body_end::BodyEnd;
use crate::framing::Framing;
use crate::job::Job;
use crate::job::ResponseStart;
use crate::permit::outcome_name;
use crate::response;
use crate::response::ResponseBody;
use crate::shell::RefusalInfo;
use crate::shell::share_fields;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::RefusalReason;

impl Job {
    pub(super) fn finish(&mut self) -> &'static str {
        if let Some(response) = self.response.take()
            && self.caller.start.is_some()
        {
            self.send_response(response);
            return "answered";
        }
        self.caller.chunks.finish();
        "streamed"
    }

    pub(super) fn refuse(&mut self, refusal: Refusal) -> &'static str {
        if self.maybe_executed {
            self.log_retry_denial("queue", refusal.reason.as_str());
            return self.fail(Outcome::Cancelled);
        }
        self.shell.core.borrow_mut().refund(&self.routed);
        let request = RefusalInfo {
            admitted: true,
            ..RefusalInfo::routed(self.id.as_deref(), &self.routed)
        };
        self.shell.log_refusal(request, refusal);
        self.send_response(response::from_buffered(
            self.shell.interface.exchange.refusal_response(refusal),
        ));
        refusal.reason.as_str()
    }

    // Called when no endpoint returned a complete response and no other may be tried.
    pub(super) fn fail(&mut self, outcome: Outcome) -> &'static str {
        if self.caller.start.is_none() {
            return "cut";
        }
        if let Some(response) = self.response.take() {
            self.send_response(response);
            return "endpoint_failed";
        }
        if !self.maybe_executed {
            let full = outcome == Outcome::Full;
            let reason = if full {
                RefusalReason::EndpointRejected
            } else {
                RefusalReason::NoEndpoint
            };
            return self.refuse(Refusal {
                reason,
                retry_after: self.rejected_retry_after(),
            });
        }
        self.send_response(self.error_response(Code::Broken));
        "no_answer"
    }

    pub(super) fn time_out(&mut self) {
        if self.caller.start.is_none() {
            return;
        }
        if self.maybe_executed {
            self.send_response(self.error_response(Code::TimedOut));
        } else {
            self.refuse(Refusal {
                reason: RefusalReason::QueueTimeout,
                retry_after: self.rejected_retry_after(),
            });
        }
    }

    fn rejected_retry_after(&self) -> Millis {
        self.shell.core.borrow().rejected_retry_after(
            self.shell.now(),
            &self.routed.service,
            self.outgoing.fingerprint,
        )
    }

    fn error_response(&self, code: Code) -> Response<ResponseBody> {
        response::from_buffered(self.shell.interface.exchange.error_response(code))
    }

    pub(super) fn send_response(&mut self, response: Response<ResponseBody>) {
        if let Some(sender) = self.caller.start.take() {
            drop(sender.send(ResponseStart::Complete(response)));
        }
    }

    pub(super) fn log_attempt(&self, endpoint: &Endpoint, outcome: Outcome) {
        let parts = self.routed.prompt_parts.iter();
        let parts: Vec<String> = parts.map(|it| it.to_string()).collect();
        let fields = json!({
            "id": self.id,
            "resumes": self.resumed_id,
            "last_event": self.events.last_id(),
            "endpoint": &*endpoint.id,
            "born": endpoint.started_ms,
            "version": &*endpoint.version,
            "outcome": outcome_name(outcome),
            "relay": self.progress.relay.map(|it| it.to_string()),
            "framing": self.progress.framing.map(Framing::as_str),
            "end": self.progress.body_end.map(BodyEnd::as_str),
            "partial_bytes": self.progress.partial_bytes,
            "prompt_parts": (outcome == Outcome::ConnectionLost).then_some(parts),
            "since_arrival_ms": self.shell.now().since(self.routed.arrived).0,
        });
        self.shell.log("attempt", fields);
    }

    // Logs why a request that an endpoint may have run is not retried: `stage` says whether its last
    // attempt ended, or its retry was refused in the queue.
    pub(super) fn log_retry_denial(&self, stage: &str, reason: &str) {
        let now = self.shell.now();
        let core = self.shell.core.borrow();
        let (endpoints, backing_off) = core.endpoint_counts(now, &self.routed.service);
        let (waiting, running) = core.scheduler().request_counts();
        let fields = json!({
            "id": self.id,
            "resumes": self.resumed_id,
            "stage": stage,
            "reason": reason,
            "begun": self.caller.start.is_none(),
            "last_event": self.events.last_id(),
            "endpoint": self.last_endpoint.as_ref().map(|it| &*it.id),
            "endpoints": endpoints,
            "backing_off": backing_off,
            "waiting": waiting,
            "running": running,
            "since_arrival_ms": now.since(self.routed.arrived).0,
            "left_ms": self.routed.deadline.since(now).0,
        });
        drop(core);
        self.shell.log("retry_denied", fields);
    }

    pub(super) fn record_end(&self, outcome: &'static str) {
        let took = self.shell.now().since(self.routed.arrived);
        self.shell
            .metrics
            .record_response(self.routed.route.priority, outcome, took);
        let progress = &self.progress;
        let fields = json!({
            "id": self.id,
            "resumes": self.resumed_id,
            "route": &*self.routed.route.name,
            "rank": self.routed.priority.0,
            "organisation": self.routed.organisation.as_ref().map(|it| &*it.name),
            "units": self.routed.quota_cost,
            "outcome": outcome,
            "endpoint": self.last_endpoint.as_ref().map(|it| it.id.to_string()),
            "prompt": self.routed.tokens.prompt,
            "output": self.routed.tokens.output,
            "waited_ms": progress.queue_time.0,
            "share": share_fields(&self.shell.core.borrow(), self.shell.now(), &self.routed),
            "first_ms": progress.first_part.map(|it| it.since(self.routed.arrived).0),
            "pause_ms": progress.longest_pause.0,
            "parts": progress.parts,
            "expected_ms": progress.expected.map(|it| it.chosen.0),
            "fastest_ms": progress.expected.map(|it| it.fastest.0),
            "took_ms": took.0,
            "aim_ms": self.routed.route.latency_target.0,
            "gap_ms": self.routed.route.gap_target.0,
            "left_ms": self.routed.deadline.since(self.shell.now()).0,
            "configuration": self.shell.core.borrow().configuration_version(),
        });
        self.shell.log("answer", fields);
    }
}
