//! A response body that records when it has been passed on.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::connection_activity::ConnectionActivity;

/// A request that is being served, until it is dropped.
#[derive(Debug)]
pub struct OpenRequest(Rc<ConnectionActivity>);

impl OpenRequest {
    /// Records that a request is being served.
    pub fn new(activity: Rc<ConnectionActivity>) -> Self {
        activity.request_started();
        Self(activity)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.response_ended();
    }
}

/// A response body that keeps its request open until it is dropped.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    _request: OpenRequest,
}

impl<B> TrackedBody<B> {
    /// Wraps the body of the response to a request.
    pub fn new(body: B, request: OpenRequest) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
