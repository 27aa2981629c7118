//! Response bodies: buffered ones, and streams that may be truncated.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::Response;
use http::header;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use quick_error::quick_error;
use tokio::sync::mpsc::Receiver;
use tokio::sync::oneshot::Sender;

use crate::relay::RelayedBody;

/// Size of the parts in which a body is passed on.
const PART_BYTES: usize = 16 * 1024;

quick_error! {
    /// A response stream that cannot be completed.
    ///
    /// It makes the server close the connection without the final chunk, so that the caller can
    /// tell that the response is truncated.
    #[derive(Debug)]
    pub enum TruncatedError {
        /// The endpoint failed, and no other endpoint could resume the response.
        Truncated {
            display("response truncated: the endpoint failed and no other could resume it")
        }
    }
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A buffered body.
    Full(Option<Bytes>),
    /// Chunks sent by a job; `None` marks the end of a complete response.
    ///
    /// If the job ends without that mark, for whatever reason, the response must not look
    /// complete to the caller.
    Stream(Receiver<Option<Bytes>>),
    /// A buffered body that is passed on in parts. The sender is dropped once the last part has
    /// been passed on, or the connection is closed.
    Transfer(Bytes, Sender<()>),
    /// The body of a response that is relayed to a peer.
    Relayed(Box<RelayedBody>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Self::Relayed(body) => body
                .poll_chunk(context)
                .map_err(|_| TruncatedError::Truncated),
            Self::Transfer(bytes, _) if bytes.is_empty() => Poll::Ready(None),
            Self::Transfer(bytes, _) => {
                let part = bytes.split_to(bytes.len().min(PART_BYTES));
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
            Self::Stream(receiver) => receiver.poll_recv(context).map(|chunk| match chunk {
                Some(Some(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(None) => None,
                None => Some(Err(TruncatedError::Truncated)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Transfer(bytes, _) => bytes.is_empty(),
            Self::Stream(_) => false,
            Self::Relayed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(0))
            }
            Self::Transfer(bytes, _) => {
                SizeHint::with_exact(u64::try_from(bytes.len()).unwrap_or(0))
            }
            Self::Stream(_) => SizeHint::default(),
            Self::Relayed(body) => body.size_hint(),
        }
    }
}

/// Builds a response with a line of text.
pub fn text(status: http::StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Some(Bytes::from(format!("{text}\n")))));
    *response.status_mut() = status;
    response
}

/// Builds a response with a JSON body.
pub fn json(body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Some(body.into())));
    let value = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Converts a response with a buffered body.
pub fn from_buffered(response: Response<Vec<u8>>) -> Response<ResponseBody> {
    response.map(|body| ResponseBody::Full(Some(body.into())))
}
