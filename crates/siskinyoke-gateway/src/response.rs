//! Response bodies: buffered ones, and streams that may be truncated.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use quick_error::quick_error;
use tokio::sync::oneshot::Sender;

use crate::chunk_channel::ChunkReceiver;
use crate::framing::Framing;
use crate::held_bytes;
use crate::memory_budget::MemoryBudget;
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

/// Chunks sent by a job; `None` marks the end of the response.
///
/// If the job ends without that mark, for whatever reason, the response must not look complete to
/// the caller.
#[derive(Debug)]
pub struct ChunkStream {
    receiver: ChunkReceiver,
    // Whether the chunks before a missing mark have been written.
    flushed: bool,
}

impl ChunkStream {
    /// Returns the chunks of a receiver.
    pub fn new(receiver: ChunkReceiver) -> Self {
        Self {
            receiver,
            flushed: false,
        }
    }

    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        match ready!(self.receiver.poll_recv(context)) {
            Some(Some(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(None) => Poll::Ready(None),
            // The server writes what it has buffered while a body is pending, but not after an
            // error.
            None if !self.flushed => {
                self.flushed = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            None => Poll::Ready(Some(Err(TruncatedError::Truncated))),
        }
    }
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A buffered body.
    Full(Option<Bytes>),
    /// A buffered body of a response whose endpoint stated no length.
    Unmarked(Option<Bytes>),
    /// Chunks sent by a job.
    Stream(ChunkStream),
    /// A buffered body that is passed on in parts. The sender is dropped once the last part has
    /// been passed on, or the connection is closed.
    Transfer(Bytes, Sender<()>),
    /// The body of a response that is relayed to a peer.
    Relayed(Box<RelayedBody>),
}

impl ResponseBody {
    /// Returns a buffered body whose end is marked as the endpoint marked it.
    pub fn buffered(bytes: Bytes, framing: Framing) -> Self {
        match framing {
            Framing::Length | Framing::Chunked => Self::Full(Some(bytes)),
            Framing::Connection => Self::Unmarked(Some(bytes)),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        match self.get_mut() {
            Self::Full(bytes) | Self::Unmarked(bytes) => {
                Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it))))
            }
            Self::Relayed(body) => body.poll_chunk(context),
            Self::Transfer(bytes, _) if bytes.is_empty() => Poll::Ready(None),
            Self::Transfer(bytes, _) => {
                let part = bytes.split_to(bytes.len().min(PART_BYTES));
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
            Self::Stream(chunks) => chunks.poll_chunk(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) | Self::Unmarked(bytes) => bytes.is_none(),
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
            Self::Unmarked(_) | Self::Stream(_) => SizeHint::default(),
            Self::Relayed(body) => body.size_hint(),
        }
    }
}

/// Builds a response that is forwarded with its end marked as the endpoint marked it.
///
/// HTTP/1.0 has no chunks: a body without a length ends with its connection.
pub fn forwarded(
    status: StatusCode,
    headers: HeaderMap,
    body: ResponseBody,
    framing: Framing,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if framing == Framing::Connection {
        *response.version_mut() = Version::HTTP_10;
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Builds a response with a line of text.
pub fn text(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Some(Bytes::from(format!("{text}\n")))));
    *response.status_mut() = status;
    response
}

/// Builds a response with a JSON body.
pub fn json(body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Some(body.into())));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Counts the buffered body of a response towards a budget until it has been written to the client's
/// connection. Where there is no memory for it, the response is an error.
pub fn counted(response: Response<ResponseBody>, memory: &MemoryBudget) -> Response<ResponseBody> {
    let (parts, body) = response.into_parts();
    let body = match body {
        ResponseBody::Full(Some(bytes)) => match memory.reserve(bytes.len()) {
            Ok(reserved) => ResponseBody::Full(Some(held_bytes::hold(bytes, reserved))),
            Err(err) => return text(StatusCode::SERVICE_UNAVAILABLE, &err.to_string()),
        },
        other => other,
    };
    Response::from_parts(parts, body)
}

/// Converts a response with a buffered body.
pub fn from_buffered(response: Response<Vec<u8>>) -> Response<ResponseBody> {
    response.map(|body| ResponseBody::Full(Some(body.into())))
}
