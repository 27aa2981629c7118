//! Reads an endpoint's answer and passes it on: whole, as it comes, or event by event.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::Head;
use super::Job;
use super::Step;
use super::progress::Progress;
use crate::answer::AnswerBody;
use crate::connection::Connection;
use crate::permit::Permit;
use crate::pool;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::stall_timeout::STREAM_STALL_TIMEOUT;

/// Bytes of a whole answer that are held before they are passed on.
///
/// Held back, an answer that breaks off can still be asked for again or fail cleanly.
const WHOLE: usize = 1024 * 1024;

impl Job {
    pub(super) async fn whole(
        &mut self,
        endpoint: &Arc<Endpoint>,
        start: Millis,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Step {
        let (parts, mut body) = response.into_parts();
        let mut held = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Step::Again(Outcome::ConnectionLost);
            };
            held.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
            if held.len() > WHOLE {
                return self.relay(&parts, held.freeze(), body, start).await;
            }
        }
        pool::reuse(&self.shell, endpoint, &parts.headers, connection);
        let mut answer = Response::new(AnswerBody::Whole(Some(held.freeze())));
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = self.translate(&parts);
        self.answer = Some(answer);
        // Where a stream has begun, only the rest of its events can end it.
        if parts.status.is_server_error() || self.caller.head.is_none() {
            return Step::Again(Outcome::Failed);
        }
        let took = self.shell.now().since(start);
        Step::Finished(Outcome::Completed {
            to_first_part: took,
            total: took,
            parts: 0,
            longest_pause: Millis::ZERO,
        })
    }

    // Passes an answer on as it comes that is too long to be held. What was passed on cannot be
    // taken back, so no other endpoint may go on when it breaks.
    async fn relay(
        &mut self,
        parts: &http::response::Parts,
        held: Bytes,
        mut body: Incoming,
        start: Millis,
    ) -> Step {
        let first = self.shell.now().since(start);
        self.pass_on(parts, held).await;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Step::Cut;
            };
            let piece = frame.into_data().unwrap_or_default();
            self.pass_on(parts, piece).await;
        }
        let took = self.shell.now().since(start);
        Step::Finished(Outcome::Completed {
            to_first_part: first,
            total: took,
            parts: 0,
            longest_pause: Millis::ZERO,
        })
    }

    pub(super) async fn stream(
        &mut self,
        endpoint: &Arc<Endpoint>,
        permit: &Permit,
        start: Millis,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Step {
        let (parts, mut body) = response.into_parts();
        let mut seen = Progress::default();
        let mut silence = permit.stall_timeout();
        loop {
            let before = self.events.count();
            let frame = {
                let mut next = pin!(body.frame());
                match timeout(silence.into(), &mut next).await {
                    Ok(frame) => frame,
                    Err(_) if permit.spare() => return self.abandon(Outcome::Stalled),
                    Err(_) => next.await,
                }
            };
            let piece = match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let Some(whole) = self.events.push(&data) else {
                        continue;
                    };
                    whole
                }
                Some(Err(_)) => return self.abandon(Outcome::ConnectionLost),
                None => break,
            };
            if seen.first.is_none() {
                permit.began();
            }
            seen.passed(self.shell.now(), self.events.count() - before);
            silence = STREAM_STALL_TIMEOUT;
            self.pass_on(&parts, piece).await;
        }
        let rest = self.events.finish();
        self.pass_on(&parts, rest).await;
        pool::reuse(&self.shell, endpoint, &parts.headers, connection);
        let took = self.shell.now().since(start);
        Step::Finished(Outcome::Completed {
            to_first_part: seen.first.map_or(took, |it| it.since(start)),
            total: took,
            parts: seen.parts,
            longest_pause: seen.pause,
        })
    }

    fn abandon(&mut self, outcome: Outcome) -> Step {
        self.events.abandon();
        Step::Again(outcome)
    }

    // A caller that is gone closes the channel, which ends the job; so a failed send needs no word.
    async fn pass_on(&mut self, parts: &http::response::Parts, piece: Bytes) {
        if let Some(head) = self.caller.head.take() {
            let headers = self.translate(parts);
            drop(head.send(Head::Stream(parts.status, headers)));
        }
        if !piece.is_empty() {
            let parts = self.events.count() - self.progress.parts;
            self.progress.passed(self.shell.now(), parts);
            drop(self.caller.pieces.send(Some(piece)).await);
        }
    }
}
