//! Serves requests over a connection until it ends, and closes it only where no bytes of a further
//! request have been received.

use std::error::Error;
use std::future::poll_fn;
use std::io::Result;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use http::Request;
use http::Response;
use http::Version;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::clock::BootClock;
use crate::connection_activity::ConnectionActivity;
use crate::connection_limits::CloseReason;
use crate::connection_limits::ConnectionLimits;
use crate::tracked_body::OpenRequest;
use crate::tracked_body::TrackedBody;
use crate::tracked_stream::TrackedStream;
use siskinyoke_base::Clock;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;

/// Size of the read buffer, which bounds request heads whatever limit is configured.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// By how much a head may be larger than is configured until it is known to be too large, as spaces
/// around its values do not count.
const HEAD_TOLERANCE_BYTES: usize = 1024;

/// How long the rest of a head that is too large is received, so that its client gets the response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection of a client that is kept for further requests.
pub struct KeptConnection<'a, L, R> {
    limits: L,
    // Returns the response to a head that is refused.
    refusal: R,
    // Wakes the connection when `drain_end` becomes known.
    shutdown: &'a Notify,
    activity: Rc<ConnectionActivity>,
}

impl<'a, L, R> KeptConnection<'a, L, R>
where
    L: Fn() -> ConnectionLimits,
    R: Fn(Code) -> Response<Vec<u8>>,
{
    /// Returns a connection that is bound by the limits in force at each time.
    ///
    /// `refusal` builds the response to a head that is refused.
    pub fn new(
        limits: L,
        refusal: R,
        shutdown: &'a Notify,
        activity: Rc<ConnectionActivity>,
    ) -> Self {
        Self {
            limits,
            refusal,
            shutdown,
            activity,
        }
    }

    /// Serves requests until the connection ends.
    ///
    /// Returns why this instance closed it, unless the client or a response ended it. What went
    /// wrong with the connection is not told, as the outcome of each request is logged separately.
    ///
    /// # Errors
    ///
    /// The error of the system call that tells whether bytes have been received.
    pub async fn serve<S, B>(self, stream: TcpStream, service: S) -> Result<Option<CloseReason>>
    where
        S: Service<Request<Incoming>, Response = Response<B>>,
        S::Error: Into<Box<dyn Error + Send + Sync>>,
        B: Body + Unpin + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).half_close(false);
        let stream = TrackedStream::new(stream, self.activity.clone());
        let service = tracked(service, self.activity.clone());
        let mut serving = builder.serve_connection(TokioIo::new(stream), service);
        loop {
            let reason = tokio::select! {
                biased;
                _ = &mut serving => return Ok(None),
                reason = self.closing_due() => reason,
                () = self.activity.close_requested() => CloseReason::NoRoom,
                () = self.shutdown.notified() => continue,
            };
            if self.activity.is_busy() && self.activity.blocked_since().is_none() {
                self.activity.withdraw_close();
                continue;
            }
            let parts = serving.into_parts();
            let mut stream = parts.io.into_inner();
            if self.activity.is_busy() {
                stream.discard_unread()?;
                return Ok(Some(reason));
            }
            stream.unread(parts.read_buf);
            if self.may_close(&stream, reason).await? {
                self.close(stream, reason).await;
                return Ok(Some(reason));
            }
            self.activity.withdraw_close();
            serving = builder.serve_connection(TokioIo::new(stream), parts.service);
        }
    }

    // Closes a connection without a whole request.
    async fn close(&self, mut stream: TrackedStream, reason: CloseReason) {
        let code = match reason {
            CloseReason::HeadTooLarge => Some(Code::HeadTooLarge),
            CloseReason::HeadTimeout => Some(Code::SlowSender),
            CloseReason::NoRoom => stream.has_unread_request().then_some(Code::SlowSender),
            CloseReason::Idle | CloseReason::Drain | CloseReason::Unread => None,
        };
        if let Some(code) = code {
            refuse(&stream, &(self.refusal)(code));
        }
        // The client may have closed it already.
        drop(stream.shutdown().await);
        if reason == CloseReason::HeadTooLarge {
            // Bytes that are not received would reset the connection before the client has read the
            // response.
            let mut sink = tokio::io::sink();
            let discarded = tokio::io::copy(&mut stream, &mut sink);
            drop(timeout(DISCARD_TIMEOUT, discarded).await);
        }
    }

    // Returns whether the connection may be closed, given what has been received. If not, bytes that
    // the operating system holds are ready to be read.
    async fn may_close(&self, stream: &TrackedStream, reason: CloseReason) -> Result<bool> {
        let head_begun = stream.has_unread_request();
        if reason == CloseReason::HeadTooLarge || (reason == CloseReason::NoRoom && head_begun) {
            return Ok(true);
        }
        if stream.has_pending_bytes()? {
            stream.readable().await?;
            self.activity.confirm_head(BootClock.now());
            return Ok(false);
        }
        if head_begun {
            self.activity.confirm_head(BootClock.now());
        } else {
            self.activity.discard_head();
        }
        Ok(head_begun == (reason == CloseReason::HeadTimeout))
    }

    // Completes when the connection is to be closed if nothing has been received.
    async fn closing_due(&self) -> CloseReason {
        let mut timer = pin!(sleep_until(Instant::now()));
        let mut armed_for = None;
        poll_fn(|context| {
            loop {
                let Some((time, reason)) = self.closing_time() else {
                    return Poll::Pending;
                };
                let remaining = time.since(BootClock.now());
                if remaining == Millis::ZERO {
                    return Poll::Ready(reason);
                }
                // A timer that ends too early is set again then, which is cheaper than to set it
                // after each request.
                if armed_for.is_none_or(|it| it > time) {
                    armed_for = Some(time);
                    timer.as_mut().reset(Instant::now() + remaining.into());
                }
                if timer.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                armed_for = None;
            }
        })
        .await
    }

    // Returns when the connection is to be closed if nothing more is received, and why.
    fn closing_time(&self) -> Option<(Millis, CloseReason)> {
        if self.activity.is_busy() {
            let since = self.activity.blocked_since()?;
            return Some((since + (self.limits)().unread, CloseReason::Unread));
        }
        let limits = (self.limits)();
        if self.activity.head_bytes() > limits.head_bytes + HEAD_TOLERANCE_BYTES {
            return Some((Millis::ZERO, CloseReason::HeadTooLarge));
        }
        let idle_end = self.activity.idle_end(limits.idle);
        let head_since = self.activity.head_since();
        let head = head_since.map(|it| (it + limits.head, CloseReason::HeadTimeout));
        if self.activity.is_head_confirmed() {
            return head;
        }
        let idle = Some((idle_end, CloseReason::Idle));
        let drain = limits.drain_end.map(|it| (it, CloseReason::Drain));
        let times = [head, idle, drain].into_iter().flatten();
        times.min_by_key(|it| it.0)
    }
}

// Sends a response as the last one of a connection, if the socket has room for it.
fn refuse(stream: &TrackedStream, response: &Response<Vec<u8>>) {
    let status = response.status();
    let length = response.body().len();
    let mut bytes = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n").into_bytes();
    for (name, value) in response.headers() {
        let name = name.as_str().as_bytes();
        bytes.extend([name, b": ", value.as_bytes(), b"\r\n"].concat());
    }
    bytes.extend_from_slice(b"connection: close\r\n\r\n");
    bytes.extend_from_slice(response.body());
    // The client may have closed the connection already.
    drop(stream.send_now(&bytes));
}

// Returns a service that records its requests and responses.
fn tracked<S, B>(
    service: S,
    activity: Rc<ConnectionActivity>,
) -> impl Service<Request<Incoming>, Response = Response<TrackedBody<B>>, Error = S::Error>
where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Unpin,
{
    service_fn(move |request: Request<Incoming>| {
        let open = OpenRequest::new(activity.clone());
        let activity = activity.clone();
        let version = request.version();
        let response = service.call(request);
        async move {
            let response = response.await?;
            let version = response.version().min(version);
            // HTTP/1.0 has no chunks.
            let has_length = response.body().size_hint().exact().is_some();
            activity.response_started(version == Version::HTTP_10 && !has_length);
            Ok(response.map(|body| TrackedBody::new(body, open)))
        }
    })
}
