//! Bodies of answers to callers: whole ones, or streams that may break off.

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

quick_error! {
    /// A stream that cannot be finished.
    ///
    /// It makes the server close the connection without the end mark, so that the caller sees
    /// that its answer is not whole.
    #[derive(Debug)]
    pub enum TruncatedError {
        /// The endpoint broke off, and no other could go on.
        Truncated {
            display("the answer broke off")
        }
    }
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A whole body.
    Full(Option<Bytes>),
    /// A stream that a job feeds; nothing marks its sound end.
    ///
    /// If the job ends without that mark, for whatever reason, the answer must not look whole.
    Stream(Receiver<Option<Bytes>>),
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
            Self::Stream(receiver) => receiver.poll_recv(context).map(|chunk| match chunk {
                Some(Some(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(None) => None,
                None => Some(Err(TruncatedError::Truncated)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(0))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Makes an answer of our own with a short text.
pub fn text(status: http::StatusCode, message: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Some(Bytes::from(format!(
        "{message}\n"
    )))));
    *response.status_mut() = status;
    response
}

/// Makes an answer of our own with a JSON body.
pub fn json(body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Some(body.into())));
    let value = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Makes an answer of our own from one with a plain body.
pub fn from_buffered(response: Response<Vec<u8>>) -> Response<ResponseBody> {
    response.map(|body| ResponseBody::Full(Some(body.into())))
}
