//! Forwards an endpoint's response to the caller: buffered, chunk by chunk, or event by event.

use std::pin::pin;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::AttemptEnd;
use super::Job;
use super::REQUEST_BYTES;
use super::ResponseHead;
use super::ResponseStart;
use super::progress::Progress;
use super::stall;
use crate::body_end::BodyEnd;
use crate::counted_buffer::CountedBuffer;
use crate::memory_budget::MemoryBudget;
use crate::memory_budget::OutOfMemoryError;
use crate::permit::Permit;
use crate::pool::PooledConnection;
use crate::response;
use crate::response::ResponseBody;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::stall_timeout::STREAM_STALL_TIMEOUT;

/// Maximum size of a response that is buffered before it is forwarded.
///
/// A buffered response that breaks off can still be retried or replaced by an error response.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// The size up to which a response may use all memory for clients, so that usual responses do not
/// wait behind large ones.
const SMALL_RESPONSE_BYTES: usize = 16 * 1024;

/// What the connection to an endpoint holds while its response is passed on.
const ENDPOINT_CONNECTION_BYTES: usize = 32 * 1024;

/// How much memory a buffer that grows takes, as a multiple of its content.
const BUFFER_RATIO: usize = 2;

/// Maximum size of an event of a stream. Larger ones are taken for a fault of the endpoint.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

impl Job {
    // Buffers a response without forwarding it; one that is too large, or for which there is no
    // memory, is relayed instead.
    pub(super) async fn buffer_response(
        &mut self,
        start: Millis,
        head: ResponseHead,
        mut body: Incoming,
        connection: PooledConnection,
    ) -> AttemptEnd {
        let mut buffered = self.response_buffer(&body);
        // After a stream has started, only the rest of its events can complete it.
        let resumes = self.caller.start.is_none();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return AttemptEnd::Retry(Outcome::ConnectionLost);
            };
            let data = frame.into_data().unwrap_or_default();
            connection.connection.body_received(data.len());
            let added = match &mut buffered {
                Ok(buffer) => buffer.extend(&data),
                Err(err) => Err(*err),
            };
            let length = buffered.as_ref().map_or(0, CountedBuffer::len);
            if added.is_err() || length > MAX_BUFFERED_BYTES {
                if resumes {
                    return AttemptEnd::Retry(Outcome::Failed);
                }
                let rest = if added.is_err() { data } else { Bytes::new() };
                let buffered = buffered.map_or_else(|_| Bytes::new(), CountedBuffer::freeze);
                let parts = [buffered, rest];
                return self.relay(&head, parts, body, &connection, start).await;
            }
        }
        if self.end_plain(&head, &connection) == BodyEnd::BrokenOff {
            return AttemptEnd::Retry(Outcome::Invalid);
        }
        let buffered = buffered.map_or_else(|_| Bytes::new(), CountedBuffer::freeze);
        self.shell.pool.reuse(&head.parts.headers, connection);
        let headers = self.response_headers(&head);
        let body = ResponseBody::buffered(buffered, head.framing);
        let response = response::forwarded(head.parts.status, headers, body, head.framing);
        self.response = Some(response);
        if head.parts.status.is_server_error() || resumes {
            return AttemptEnd::Retry(Outcome::Failed);
        }
        let took = self.shell.now().since(start);
        AttemptEnd::Finished(Outcome::Completed {
            first_latency: took,
            total: took,
            parts: 0,
            longest_pause: Millis::ZERO,
        })
    }

    // Records what the end of a response other than a stream says.
    fn end_plain(&mut self, head: &ResponseHead, connection: &PooledConnection) -> BodyEnd {
        let sent = !connection.connection.has_unsent_bytes();
        let end = BodyEnd::of_plain(head.framing, sent);
        self.progress.body_end = Some(end);
        end
    }

    // Returns a buffer for a response whose memory is counted.
    fn response_buffer(&self, body: &Incoming) -> Result<CountedBuffer, OutOfMemoryError> {
        let size = body.size_hint();
        let expected = usize::try_from(size.lower()).unwrap_or(usize::MAX);
        let is_small = size.exact().is_some() && expected <= SMALL_RESPONSE_BYTES;
        let budget: &MemoryBudget = if is_small {
            &self.shell.clients.memory
        } else {
            &self.shell.clients.responses
        };
        let capacity = if expected > MAX_BUFFERED_BYTES {
            0
        } else {
            expected
        };
        CountedBuffer::with_capacity(budget, capacity)
    }

    // Forwards a response that is too large to buffer, chunk by chunk. Forwarded data cannot be
    // taken back, so the request is not retried if the connection breaks.
    async fn relay(
        &mut self,
        head: &ResponseHead,
        [buffered, rest]: [Bytes; 2],
        mut body: Incoming,
        connection: &PooledConnection,
        start: Millis,
    ) -> AttemptEnd {
        let first = self.shell.now().since(start);
        self.start_response(head);
        self.hold_received(rest.len()).await;
        if !buffered.is_empty() {
            self.caller.chunks.send_counted(buffered).await;
        }
        self.forward(head, rest).await;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return AttemptEnd::Truncated;
            };
            let chunk = frame.into_data().unwrap_or_default();
            connection.connection.body_received(chunk.len());
            self.forward(head, chunk).await;
        }
        if self.end_plain(head, connection) == BodyEnd::BrokenOff {
            return AttemptEnd::Truncated;
        }
        let took = self.shell.now().since(start);
        AttemptEnd::Finished(Outcome::Completed {
            first_latency: first,
            total: took,
            parts: 0,
            longest_pause: Millis::ZERO,
        })
    }

    // Forwards complete events as they arrive. A stream that breaks or stalls is resumed at another
    // endpoint if a retry is allowed.
    pub(super) async fn stream_response(
        &mut self,
        permit: &Permit,
        start: Millis,
        head: ResponseHead,
        mut body: Incoming,
        connection: PooledConnection,
    ) -> AttemptEnd {
        let mut progress = Progress::default();
        let mut stall_timeout = permit.stall_timeout();
        loop {
            let before = self.events.event_count();
            let frame = {
                let mut next = pin!(body.frame());
                match timeout(stall_timeout.into(), &mut next).await {
                    Ok(frame) => frame,
                    Err(_) => match stall::wait_or_move(permit, next).await {
                        Ok(frame) => frame,
                        Err(slot) => {
                            self.discard_partial();
                            return AttemptEnd::Moved(slot);
                        }
                    },
                }
            };
            let chunk = match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    connection.connection.body_received(data.len());
                    match self.events.push(&data) {
                        Some(complete) => complete,
                        None if self.events.partial_len() > MAX_EVENT_BYTES => {
                            return self.retry_stream(Outcome::Invalid);
                        }
                        None => {
                            self.hold_received(self.events.partial_len()).await;
                            continue;
                        }
                    }
                }
                Some(Err(_)) => return self.retry_stream(Outcome::ConnectionLost),
                None => break,
            };
            let new_events = self.events.event_count() - before;
            if progress.first_part.is_none() && new_events > 0 {
                permit.first_part_received();
                self.announce_stream(before);
            }
            progress.record_parts(self.shell.now(), new_events);
            stall_timeout = STREAM_STALL_TIMEOUT;
            let received = chunk.len() + self.events.partial_len();
            self.hold_received(received).await;
            self.forward(&head, chunk).await;
        }
        let sent = !connection.connection.has_unsent_bytes();
        let body_end = BodyEnd::of_stream(head.framing, self.events.position(), sent);
        self.progress.body_end = Some(body_end);
        if body_end == BodyEnd::BrokenOff {
            // An endpoint that responds before it has read the request has not crashed under it.
            let outcome = if sent {
                Outcome::ConnectionLost
            } else {
                Outcome::Invalid
            };
            return self.retry_stream(outcome);
        }
        let rest = self.events.take_rest();
        self.forward(&head, rest).await;
        self.shell.pool.reuse(&head.parts.headers, connection);
        let took = self.shell.now().since(start);
        AttemptEnd::Finished(Outcome::Completed {
            first_latency: progress.first_part.map_or(took, |it| it.since(start)),
            total: took,
            parts: progress.parts,
            longest_pause: progress.longest_pause,
        })
    }

    // Tells other instances at which version the stream began, before its first event is forwarded.
    fn announce_stream(&self, events_before: u32) {
        if events_before == 0
            && let Some(key) = self.stream_key
            && let Some(endpoint) = &self.last_endpoint
        {
            let version = endpoint.version_key();
            self.shell.stream_lookup.announce(key, version);
        }
    }

    fn retry_stream(&mut self, outcome: Outcome) -> AttemptEnd {
        self.discard_partial();
        AttemptEnd::Retry(outcome)
    }

    // Waits for the memory that passing on takes, given the size of what has been received and not
    // passed on.
    async fn hold_received(&mut self, bytes: usize) {
        let needed = REQUEST_BYTES + ENDPOINT_CONNECTION_BYTES + BUFFER_RATIO * bytes;
        let missing = needed.saturating_sub(self.memory.bytes());
        if missing > 0 {
            let budget = &self.shell.clients.memory;
            let reserved = budget.reserve_when_available(missing).await;
            self.memory.merge(reserved);
        }
    }

    fn discard_partial(&mut self) {
        self.progress.partial_bytes = self.events.partial_len();
        self.events.discard_partial();
    }

    // Sends the start of the response unless it was sent already.
    fn start_response(&mut self, head: &ResponseHead) {
        if let Some(sender) = self.caller.start.take() {
            let headers = self.response_headers(head);
            let start = ResponseStart::Stream(head.parts.status, headers, head.framing);
            drop(sender.send(start));
        }
    }

    // A caller that disconnects closes the channel, which ends the job.
    async fn forward(&mut self, head: &ResponseHead, chunk: Bytes) {
        self.start_response(head);
        if !chunk.is_empty() {
            let new_parts = self.events.event_count() - self.progress.parts;
            self.progress.record_parts(self.shell.now(), new_parts);
            self.caller.chunks.send(&chunk).await;
        }
    }
}
