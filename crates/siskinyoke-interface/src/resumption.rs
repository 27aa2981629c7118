//! Whether a request goes on with a stream.

use http::HeaderMap;
use http::HeaderName;

use crate::headers::header_text;

/// Whether a request goes on with a stream that an earlier attempt of its caller began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Resumption<'a> {
    /// It does not.
    #[default]
    None,
    /// It does, and does not name the attempt that began the stream.
    Unnamed,
    /// It goes on with the stream that the attempt with this ID began.
    Named(&'a str),
}

impl<'a> Resumption<'a> {
    /// Decodes the headers that name the attempt and the last event received from it.
    pub fn decode(
        headers: &'a HeaderMap,
        resumed_id: &HeaderName,
        last_event: &HeaderName,
    ) -> Self {
        match header_text(headers, resumed_id).map(str::trim) {
            Some(id) if !id.is_empty() => Self::Named(id),
            _ if headers.contains_key(last_event) => Self::Unnamed,
            _ => Self::None,
        }
    }

    /// Returns the ID of the attempt that began the stream, if it is named.
    pub fn named_id(self) -> Option<&'a str> {
        match self {
            Self::Named(id) => Some(id),
            Self::None | Self::Unnamed => None,
        }
    }
}
