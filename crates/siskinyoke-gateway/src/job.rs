//! One request from its admission to its last byte.

mod ending;
pub mod progress;
mod reading;

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

use self::progress::Progress;
use crate::answer::AnswerBody;
use crate::attempt;
use crate::attempt::Parcel;
use crate::attempt::Reply;
use crate::events::Events;
use crate::permit::Permit;
use crate::pool;
use crate::rate_limits;
use crate::shell::SchedulingResult;
use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::core::RoutedRequest;
use siskinyoke_dispatch::latency_model::LatencyModel;
use siskinyoke_interface::Verdict;

/// The way back to the caller.
#[derive(Debug)]
pub struct Caller {
    /// Takes the head of the answer, or a whole one.
    pub head: Option<oneshot::Sender<Head>>,
    /// Takes the pieces of a stream; closed when the caller is gone.
    pub pieces: mpsc::Sender<Option<Bytes>>,
}

/// What the caller is told first.
#[derive(Debug)]
pub enum Head {
    /// A whole answer.
    Whole(Response<AnswerBody>),
    /// A stream begins.
    Stream(StatusCode, HeaderMap),
}

/// One request from its admission to its last byte.
#[derive(Debug)]
pub struct Job {
    /// What all tasks share.
    pub shell: Rc<Shell>,
    /// The request as the decisions see it.
    pub pass: RoutedRequest,
    /// The request as endpoints see it.
    pub parcel: Parcel,
    /// Its identity.
    pub id: Option<String>,
    /// The way back to the caller.
    pub caller: Caller,
    /// The events passed on so far.
    pub events: Events,
    /// Whether it may have run.
    pub ran: bool,
    /// The endpoint it was given to last.
    pub endpoint: Option<Arc<Endpoint>>,
    /// How far it has come.
    pub progress: Progress,
    /// An endpoint's whole answer; a failure is passed on if no other endpoint does better.
    pub answer: Option<Response<AnswerBody>>,
}

enum Step {
    // The answer is whole.
    Finished(Outcome),
    // The endpoint did not bring a whole answer; another might.
    Again(Outcome),
    // It broke off, and no other may go on.
    Cut,
}

impl Job {
    /// Serves the request until its answer is whole, its time is up, or its caller left.
    pub async fn run(mut self, permit: Permit, word: oneshot::Receiver<SchedulingResult>) {
        let pieces = self.caller.pieces.clone();
        let left = Duration::from(self.pass.deadline.since(self.shell.now()));
        let outcome = tokio::select! {
            biased;
            () = pieces.closed() => "caller_left",
            done = timeout(left, self.serve(permit, word)) => done.unwrap_or("late"),
        };
        if outcome == "late" {
            self.expired();
        }
        self.note(outcome);
        self.shell.decide();
    }

    async fn serve(
        &mut self,
        permit: Permit,
        word: oneshot::Receiver<SchedulingResult>,
    ) -> &'static str {
        let mut turn = (permit, word);
        loop {
            let (permit, word) = turn;
            let endpoint = match word.await {
                Ok(Ok(endpoint)) => endpoint,
                Ok(Err(refusal)) => {
                    permit.refused();
                    return self.refused(refusal);
                }
                Err(_) => return self.failed(Outcome::Cancelled),
            };
            self.progress.waited = self.shell.now().since(self.pass.arrived);
            self.shell.metrics.record_queue_wait(self.progress.waited);
            let (outcome, more) = match self.attempt(&endpoint, &permit).await {
                Step::Finished(outcome) => (outcome, false),
                Step::Again(outcome) => (outcome, true),
                Step::Cut => {
                    permit.end(Outcome::ConnectionLost, false);
                    return self.failed(Outcome::ConnectionLost);
                }
            };
            self.trace(&endpoint, outcome);
            match permit.end(outcome, more) {
                Some(ticket) => {
                    turn = (
                        Permit::new(&self.shell, ticket),
                        self.shell.add_waiter(ticket),
                    );
                    self.shell.decide();
                }
                None if more => return self.failed(outcome),
                None => return self.finished().await,
            }
        }
    }

    async fn attempt(&mut self, endpoint: &Arc<Endpoint>, permit: &Permit) -> Step {
        let start = self.shell.now();
        self.endpoint = Some(endpoint.clone());
        let ran = std::mem::replace(&mut self.ran, true);
        let shell = self.shell.clone();
        let headers = self.headers(endpoint, start);
        let reply = {
            let mut sending = pin!(attempt::send(&shell, endpoint, &self.parcel, headers));
            match timeout(permit.stall_timeout().into(), &mut sending).await {
                Ok(reply) => reply,
                Err(_) if permit.spare() => return Step::Again(Outcome::Stalled),
                Err(_) => sending.await,
            }
        };
        let (response, connection) = match reply {
            Reply::Head(response, connection) => (response, connection),
            Reply::Unreached => {
                self.ran = ran;
                return Step::Again(Outcome::ConnectFailed);
            }
            Reply::Broken => return Step::Again(Outcome::ConnectionLost),
        };
        let verdict = shell.interface.exchange.classify_response(
            response.status(),
            response.headers(),
            self.id.as_deref(),
        );
        // The others are answers of another endpoint, or to another request.
        if matches!(verdict, Verdict::Answer | Verdict::Full) {
            let named = shell.interface.exchange.rate_limit(response.headers());
            rate_limits::record(&shell, endpoint, start, verdict, named);
        }
        match verdict {
            Verdict::Foreign => Step::Again(Outcome::ConnectionLost),
            Verdict::Full | Verdict::Moved => {
                self.ran = ran;
                pool::drain(&self.shell, endpoint, response, connection);
                let full = verdict == Verdict::Full;
                Step::Again(if full {
                    Outcome::Full
                } else {
                    Outcome::Misdirected
                })
            }
            Verdict::Answer if self.pass.is_stream() && response.status().is_success() => {
                self.stream(endpoint, permit, start, response, connection)
                    .await
            }
            Verdict::Answer => self.whole(endpoint, start, response, connection).await,
        }
    }

    fn headers(&self, endpoint: &Endpoint, now: Millis) -> HeaderMap {
        let exchange = &self.shell.interface.exchange;
        let mut headers = self.parcel.headers.clone();
        exchange.set_endpoint(&mut headers, endpoint, self.pass.deadline.since(now));
        if let Some(event) = self.events.last() {
            exchange.set_last_event(&mut headers, event);
        }
        headers
    }

    fn translate(&self, parts: &http::response::Parts) -> HeaderMap {
        let exchange = &self.shell.interface.exchange;
        exchange.response_headers(parts.status, &parts.headers)
    }

    // How the service's requests fared lately.
    fn load(&self) -> LatencyModel {
        let core = self.shell.core.borrow();
        core.scheduler().latency_model(&self.pass.service)
    }
}
