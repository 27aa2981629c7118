//! How the end of a response body is marked.

use http::HeaderValue;
use http::Response;
use http::header;
use hyper::body::Body;

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The length is known from the head.
    Length,
    /// The last chunk marks the end.
    Chunked,
    /// Not at all: the body ends with its connection.
    Connection,
}

impl Framing {
    /// Returns the framing of a received response.
    pub fn of<B: Body>(response: &Response<B>) -> Self {
        let encodings = response.headers().get_all(header::TRANSFER_ENCODING);
        let last = encodings.iter().next_back().map(HeaderValue::as_bytes);
        let last = last.and_then(|it| it.rsplit(|byte| *byte == b',').next());
        if response.body().size_hint().exact().is_some() {
            Self::Length
        } else if last.is_some_and(|it| it.trim_ascii().eq_ignore_ascii_case(b"chunked")) {
            Self::Chunked
        } else {
            Self::Connection
        }
    }

    /// Returns its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}
