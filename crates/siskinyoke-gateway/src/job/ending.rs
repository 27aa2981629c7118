//! How a request ends: what its caller is told, and what is logged and counted.

use http::Response;
use serde_json::json;

use crate::answer;
use crate::answer::AnswerBody;
use crate::job::Head;
use crate::job::Job;
use crate::permit::name;
use crate::shell::RefusedRequest;
use siskinyoke_base::Code;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::RefusalReason;

impl Job {
    pub(super) async fn finished(&mut self) -> &'static str {
        if let Some(answer) = self.answer.take()
            && self.caller.head.is_some()
        {
            self.tell(answer);
            return "answered";
        }
        // The end mark waits for its turn behind the pieces of a slow caller; without it the answer
        // looks broken off. A caller that is gone needs none.
        drop(self.caller.pieces.send(None).await);
        "streamed"
    }

    pub(super) fn refused(&mut self, refusal: Refusal) -> &'static str {
        if self.ran {
            return self.failed(Outcome::Cancelled);
        }
        self.shell.core.borrow_mut().refund(&self.pass);
        let request = RefusedRequest {
            admitted: true,
            ..RefusedRequest::routed(self.id.as_deref(), &self.pass)
        };
        self.shell.log_refusal(request, refusal);
        self.tell(answer::own(
            self.shell.interface.exchange.refusal_response(refusal),
        ));
        refusal.reason.as_str()
    }

    // No endpoint brought a whole answer, and no other may be asked.
    pub(super) fn failed(&mut self, outcome: Outcome) -> &'static str {
        if self.caller.head.is_none() {
            return "cut";
        }
        if let Some(answer) = self.answer.take() {
            self.tell(answer);
            return "endpoint_failed";
        }
        if !self.ran {
            let full = outcome == Outcome::Full;
            let reason = if full {
                RefusalReason::EndpointRejected
            } else {
                RefusalReason::NoEndpoint
            };
            return self.refused(Refusal {
                reason,
                retry_after: self.load().mean_service_time(),
            });
        }
        self.tell(self.failure(Code::Broken));
        "no_answer"
    }

    pub(super) fn expired(&mut self) {
        if self.caller.head.is_none() {
            return;
        }
        if self.ran {
            self.tell(self.failure(Code::TimedOut));
        } else {
            self.refused(Refusal {
                reason: RefusalReason::QueueTimeout,
                retry_after: self.load().mean_service_time(),
            });
        }
    }

    fn failure(&self, code: Code) -> Response<AnswerBody> {
        answer::own(self.shell.interface.exchange.error_response(code))
    }

    pub(super) fn tell(&mut self, answer: Response<AnswerBody>) {
        if let Some(head) = self.caller.head.take() {
            drop(head.send(Head::Whole(answer)));
        }
    }

    pub(super) fn trace(&self, endpoint: &Endpoint, outcome: Outcome) {
        let fields = json!({
            "id": self.id,
            "endpoint": &*endpoint.id,
            "born": endpoint.started_ms,
            "version": &*endpoint.version,
            "outcome": name(outcome),
            "since_arrival_ms": self.shell.now().since(self.pass.arrived).0,
        });
        self.shell.log("attempt", fields);
    }

    pub(super) fn note(&self, outcome: &'static str) {
        let took = self.shell.now().since(self.pass.arrived);
        self.shell
            .metrics
            .record_answer(self.pass.route.priority, outcome, took);
        let progress = &self.progress;
        let fields = json!({
            "id": self.id,
            "route": &*self.pass.route.name,
            "rank": self.pass.priority.0,
            "organisation": self.pass.organisation.as_ref().map(|it| &*it.name),
            "units": self.pass.quota_cost,
            "outcome": outcome,
            "endpoint": self.endpoint.as_ref().map(|it| it.id.to_string()),
            "prompt": self.pass.tokens.prompt,
            "output": self.pass.tokens.output,
            "waited_ms": progress.waited.0,
            "first_ms": progress.first.map(|it| it.since(self.pass.arrived).0),
            "pause_ms": progress.pause.0,
            "parts": progress.parts,
            "took_ms": took.0,
            "aim_ms": self.pass.route.latency_target.0,
            "gap_ms": self.pass.route.gap_target.0,
            "left_ms": self.pass.deadline.since(self.shell.now()).0,
            "configuration": self.shell.core.borrow().configuration_version(),
        });
        self.shell.log("answer", fields);
    }
}
