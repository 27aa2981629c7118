//! The body of a relayed response.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::HeaderMap;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::body_end::BodyEnd;
use crate::framing::Framing;
use crate::memory_reservation::MemoryReservation;
use crate::pool::Pool;
use crate::pool::PooledConnection;
use crate::response::TruncatedError;

/// Counts a value in a shared total until it is dropped.
#[derive(Debug)]
pub(super) struct Counted {
    total: Rc<Cell<usize>>,
    amount: usize,
}

impl Counted {
    pub(super) fn new(total: &Rc<Cell<usize>>, amount: usize) -> Self {
        total.set(total.get() + amount);
        Self {
            total: total.clone(),
            amount,
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.amount);
    }
}

/// The body of a relayed response, passed on as it arrives.
///
/// Dropping it closes the connection to the endpoint, so that the endpoint stops working on a
/// request whose sender is gone. After the whole body the connection is reused.
#[derive(Debug)]
pub struct RelayedBody {
    pub(super) incoming: Incoming,
    pub(super) framing: Framing,
    pub(super) connection: Option<PooledConnection>,
    pub(super) headers: HeaderMap,
    pub(super) pool: Rc<Pool>,
    pub(super) _in_flight: Counted,
    // Covers what is held for the response.
    pub(super) _memory: MemoryReservation,
}

impl RelayedBody {
    /// Polls for the next chunk; `Err` if the response broke off.
    pub fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        let polled = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        Poll::Ready(match polled {
            Some(Ok(frame)) => {
                self.record_received(&frame);
                Some(Ok(frame))
            }
            Some(Err(_)) => Some(Err(TruncatedError::Truncated)),
            None if self.breaks_off() => Some(Err(TruncatedError::Truncated)),
            None => {
                self.reuse_connection();
                None
            }
        })
    }

    // Returns whether an end without an error is none: only the peer knows the events of a stream.
    fn breaks_off(&self) -> bool {
        let unsent = |it: &PooledConnection| it.connection.has_unsent_bytes();
        let sent = !self.connection.as_ref().is_some_and(unsent);
        BodyEnd::of_plain(self.framing, sent) == BodyEnd::BrokenOff
    }

    /// Returns whether the whole body has been passed on.
    pub fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    /// Returns the bounds of the remaining length.
    pub fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }

    fn record_received(&self, frame: &Frame<Bytes>) {
        if let (Some(pooled), Some(data)) = (&self.connection, frame.data_ref()) {
            pooled.connection.body_received(data.len());
        }
    }

    fn reuse_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.reuse(&self.headers, connection);
        }
    }
}

impl Drop for RelayedBody {
    fn drop(&mut self) {
        // A body with a known length is not polled again after its last chunk.
        if self.incoming.is_end_stream() {
            self.reuse_connection();
        }
    }
}
