//! Runs an admitted request until its response is complete.

mod completion;
mod forwarding;
pub mod progress;
mod stall;

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use self::progress::Progress;
use crate::announcements;
use crate::assigned_slot::AssignedSlot;
use crate::attempt;
use crate::attempt::EndpointRequest;
use crate::body_end::BodyEnd;
use crate::chunk_channel::ChunkSender;
use crate::endpoint_client::Reply;
use crate::endpoint_client::Reuse;
use crate::events::EventBuffer;
use crate::framing::Framing;
use crate::memory_reservation::MemoryReservation;
use crate::permit::Permit;
use crate::pool::PoolKey;
use crate::response::ResponseBody;
use crate::shell::SchedulingResult;
use crate::shell::Shell;
use crate::signals;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::StreamKey;
use siskinyoke_dispatch::core::RoutedRequest;
use siskinyoke_interface::ResponseClass;
use siskinyoke_interface::headers;

/// What is reserved for an admitted request beside its body and its response.
pub const REQUEST_BYTES: usize = 16 * 1024;

/// Channels for the response to the caller.
#[derive(Debug)]
pub struct CallerChannel {
    /// Takes the start of the response, once.
    pub start: Option<oneshot::Sender<ResponseStart>>,
    /// Takes the chunks of a streamed response; closed when the caller disconnects.
    pub chunks: ChunkSender,
}

/// Start of a response.
#[derive(Debug)]
pub enum ResponseStart {
    /// A complete response.
    Complete(Response<ResponseBody>),
    /// Status and headers of a streamed response, and how its end is marked.
    Stream(StatusCode, HeaderMap, Framing),
}

/// An admitted request.
#[derive(Debug)]
pub struct Job {
    /// State shared by all tasks.
    pub shell: Rc<Shell>,
    /// The request as seen by the scheduler.
    pub routed: RoutedRequest,
    /// The request as sent to endpoints.
    pub outgoing: EndpointRequest,
    /// Identifier given by the caller.
    pub id: Option<String>,
    /// Identifier of the request that began the stream with which this one goes on.
    pub resumed_id: Option<String>,
    /// Whether it goes on with a stream that its caller takes up.
    pub takes_up: bool,
    /// Key of the stream, if its caller may take that up elsewhere.
    pub stream_key: Option<StreamKey>,
    /// Channels for the response to the caller.
    pub caller: CallerChannel,
    /// Events of the streamed response.
    pub events: EventBuffer,
    /// Whether an endpoint may have run the request.
    pub maybe_executed: bool,
    /// The endpoint of the last attempt.
    pub last_endpoint: Option<Arc<Endpoint>>,
    /// Progress of the response.
    pub progress: Progress,
    /// Buffered response of an endpoint; an error response is forwarded if no other endpoint
    /// succeeds.
    pub response: Option<Response<ResponseBody>>,
    /// What is reserved for the request itself.
    pub memory: MemoryReservation,
}

// The head of an endpoint's response.
struct ResponseHead {
    parts: http::response::Parts,
    framing: Framing,
}

enum AttemptEnd {
    // The response is complete.
    Finished(Outcome),
    // The endpoint returned no complete response; another one may be tried.
    Retry(Outcome),
    // The attempt stalled and was ended; the next one uses this slot.
    Moved(AssignedSlot),
    // The response broke off after it was partly forwarded, so it cannot be retried.
    Truncated,
}

impl Job {
    /// Serves the request until its response is complete, its deadline passes, or its caller
    /// disconnects.
    pub async fn run(mut self, permit: Permit, decision: oneshot::Receiver<SchedulingResult>) {
        let chunks = self.caller.chunks.clone();
        let shell = self.shell.clone();
        let remaining = Duration::from(self.routed.deadline.since(self.shell.now()));
        let outcome = tokio::select! {
            biased;
            () = chunks.closed() => "caller_left",
            result = timeout(remaining, self.serve(permit, decision)) => result.unwrap_or("late"),
            () = shutdown_ended(&shell) => "late",
        };
        if outcome == "late" {
            self.time_out();
        }
        self.record_end(outcome);
        self.shell.decide();
    }

    // Runs attempts until one completes or no retry is allowed; returns the outcome for the log.
    async fn serve(
        &mut self,
        permit: Permit,
        decision: oneshot::Receiver<SchedulingResult>,
    ) -> &'static str {
        let mut slot = match self.wait_for_slot(permit, decision).await {
            Ok(slot) => slot,
            Err(outcome) => return outcome,
        };
        loop {
            let AssignedSlot { permit, endpoint } = slot;
            self.progress.queue_time = self.shell.now().since(self.routed.arrived);
            self.progress.expected = permit.expected_time();
            self.shell
                .metrics
                .record_queue_wait(self.progress.queue_time);
            let (outcome, retry) = match self.attempt(&endpoint, &permit).await {
                AttemptEnd::Finished(outcome) => (outcome, false),
                AttemptEnd::Retry(outcome) => (outcome, true),
                AttemptEnd::Moved(next) => {
                    permit.disarm();
                    self.log_attempt(&endpoint, Outcome::Stalled);
                    self.shell.decide();
                    slot = next;
                    continue;
                }
                AttemptEnd::Truncated => {
                    permit.end_attempt(Outcome::ConnectionLost, false).ok();
                    return self.fail(Outcome::ConnectionLost);
                }
            };
            self.log_attempt(&endpoint, outcome);
            if self.progress.body_end == Some(BodyEnd::Unconfirmed) {
                permit.response_unconfirmed();
            }
            let ticket = match permit.end_attempt(outcome, retry) {
                Ok(ticket) => ticket,
                Err(denial) if retry => {
                    self.log_retry_denial("attempt", denial.as_str());
                    return self.fail(outcome);
                }
                Err(_) => return self.finish(),
            };
            let permit = Permit::new(&self.shell, ticket);
            let decision = self.shell.add_waiter(ticket);
            self.shell.decide();
            slot = match self.wait_for_slot(permit, decision).await {
                Ok(slot) => slot,
                Err(outcome) => return outcome,
            };
        }
    }

    // Waits until a queued request is assigned a slot; returns the outcome for the log if it is
    // refused.
    async fn wait_for_slot(
        &mut self,
        permit: Permit,
        decision: oneshot::Receiver<SchedulingResult>,
    ) -> Result<AssignedSlot, &'static str> {
        match decision.await {
            Ok(Ok(endpoint)) => Ok(AssignedSlot { permit, endpoint }),
            Ok(Err(refusal)) => {
                permit.disarm();
                Err(self.refuse(refusal))
            }
            Err(_) => Err(self.fail(Outcome::Cancelled)),
        }
    }

    async fn attempt(&mut self, endpoint: &Arc<Endpoint>, permit: &Permit) -> AttemptEnd {
        let start = self.shell.now();
        let reuse = self.connection_reuse();
        let executed_before = self.maybe_executed;
        self.last_endpoint = Some(endpoint.clone());
        self.progress.relay = None;
        self.progress.framing = None;
        self.progress.body_end = None;
        self.progress.partial_bytes = 0;
        let shell = self.shell.clone();
        let reply = match self.send(endpoint, permit, reuse).await {
            Ok(reply) => reply,
            Err(slot) => return AttemptEnd::Moved(slot),
        };
        let (response, connection) = match reply {
            Reply::Head(response, connection) => (response, connection),
            Reply::ConnectFailed | Reply::ConnectRefused => {
                self.maybe_executed = executed_before;
                return AttemptEnd::Retry(Outcome::ConnectFailed);
            }
            Reply::RelayFailed => {
                self.maybe_executed = executed_before;
                return AttemptEnd::Retry(Outcome::RelayFailed);
            }
            Reply::Unverified(_) => {
                self.maybe_executed = executed_before;
                return AttemptEnd::Retry(Outcome::Unverified);
            }
            Reply::Mismatched => return AttemptEnd::Retry(Outcome::Mismatched),
            Reply::LinkLost => return AttemptEnd::Retry(Outcome::LinkLost),
            Reply::ConnectionLost => return AttemptEnd::Retry(Outcome::ConnectionLost),
        };
        if !is_final(response.status()) {
            return AttemptEnd::Retry(Outcome::Invalid);
        }
        let framing = Framing::of(&response);
        self.progress.framing = Some(framing);
        let class = shell.interface.exchange.classify_response(
            response.status(),
            response.headers(),
            self.id.as_deref(),
        );
        self.progress.relay = match connection.key {
            PoolKey::Relay(address) => Some(address),
            PoolKey::Endpoint(_) => None,
        };
        announcements::record(&shell, endpoint, start, class, &response);
        match class {
            ResponseClass::Mismatched => AttemptEnd::Retry(Outcome::Mismatched),
            ResponseClass::Rejected | ResponseClass::Misdirected => {
                self.maybe_executed = executed_before;
                self.shell.pool.drain_body(response, connection);
                let rejected = class == ResponseClass::Rejected;
                AttemptEnd::Retry(if rejected {
                    Outcome::Full
                } else {
                    Outcome::Misdirected
                })
            }
            ResponseClass::Valid => {
                let is_stream = self.is_event_stream(&response, framing);
                let (parts, body) = response.into_parts();
                let head = ResponseHead { parts, framing };
                if is_stream {
                    self.stream_response(permit, start, head, body, connection)
                        .await
                } else {
                    self.buffer_response(start, head, body, connection).await
                }
            }
        }
    }

    // Sends the request to an endpoint and waits for the response head. If the attempt stalls, returns
    // a slot at another endpoint instead, as soon as there is one.
    async fn send(
        &mut self,
        endpoint: &Arc<Endpoint>,
        permit: &Permit,
        reuse: Reuse,
    ) -> Result<Reply, AssignedSlot> {
        let shell = self.shell.clone();
        // Nothing is sent before the endpoint has confirmed its start, so the stall timeout begins
        // then.
        let connection = match attempt::connect_verified(&shell, endpoint, reuse).await {
            Ok(connection) => connection,
            Err(reply) => return Ok(reply),
        };
        self.maybe_executed = true;
        let start = shell.now();
        let headers = self.request_headers(endpoint, start);
        let request = self.outgoing.with_headers(headers);
        let mut sending = pin!(async {
            match connection {
                Some(connection) => attempt::send_over(&shell, endpoint, request, connection).await,
                None => attempt::send(&shell, endpoint, request, reuse).await,
            }
        });
        if let Ok(reply) = timeout(permit.stall_timeout().into(), &mut sending).await {
            return Ok(reply);
        }
        attempt::record_overdue(&shell, endpoint, start);
        stall::wait_or_move(permit, sending).await
    }

    // Returns which connections to an endpoint the next attempt may be sent over.
    fn connection_reuse(&self) -> Reuse {
        if self.takes_up || self.events.event_count() > 0 {
            return Reuse::Verified;
        }
        Reuse::denied_if(self.last_endpoint.is_some())
    }

    // A response of unstated type may be one, unless its length is known from the head.
    fn is_event_stream(&self, response: &Response<Incoming>, framing: Framing) -> bool {
        let stated = headers::is_event_stream(response.headers());
        self.routed.is_stream()
            && response.status().is_success()
            && stated.unwrap_or(framing != Framing::Length)
    }

    fn request_headers(&self, endpoint: &Endpoint, now: Millis) -> HeaderMap {
        let exchange = &self.shell.interface.exchange;
        let mut headers = self.outgoing.headers.clone();
        exchange.set_endpoint(&mut headers, endpoint, self.routed.deadline.since(now));
        if let Some(event) = self.events.last_id() {
            exchange.set_last_event(&mut headers, event);
        }
        headers
    }

    fn response_headers(&self, head: &ResponseHead) -> HeaderMap {
        let exchange = &self.shell.interface.exchange;
        exchange.response_headers(head.parts.status, &head.parts.headers)
    }
}

// Returns whether a status may be that of a response to a request. The HTTP client accepts all numbers
// of three digits.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

// Completes when this instance shuts down and ends the requests that still run.
async fn shutdown_ended(shell: &Shell) {
    let shutdown = signals::shutdown(shell).await;
    sleep(shutdown.end.since(shell.now()).into()).await;
}
