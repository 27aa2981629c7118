//! What the end of a response body says about the response.

use crate::framing::Framing;
use crate::stream_position::StreamPosition;

/// What the end of a response body says about the response.
///
/// This is decided here alone, for every body that ends without an error:
///
/// | end of the body | marked | not marked |
/// |---|---|---|
/// | of a stream, inside an event | broken off | broken off |
/// | of a stream, before the event that ends every stream | broken off | broken off |
/// | of a stream, after the event that ends every stream | complete | complete |
/// | of a stream, inside a comment | complete | broken off |
/// | of a stream, before the first event | complete | broken off |
/// | of a stream, between two events | complete | unconfirmed |
/// | of any other response | complete | unconfirmed |
/// | as the last two, before the request was sent in whole | complete | broken off |
///
/// An endpoint may respond before it has read the whole request. Where it also closes the connection,
/// it resets it once more of the request arrives, so an end in order proves nothing before that.
///
/// The first event is that of the response: one that goes on with a stream and has none looks like
/// an endpoint that stopped after its head.
///
/// Not every protocol has an event that ends every stream. A body that ends with an error, such as
/// a reset or fewer bytes than stated, has broken off.
///
/// The end of a complete or unconfirmed response is passed on as the first endpoint of the response
/// marks ends, whichever endpoint sent its last part: with a final chunk after a head that stated
/// chunks, and with the end of the caller's connection otherwise. After a response that broke off
/// the final chunk is missing, or the connection is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The response is complete.
    Complete,
    /// The endpoint ended its connection without a reset, which is how it says that the response is
    /// complete. Unlike a mark, that is also what a crash can look like, so it clears no endpoint
    /// and no request of one.
    Unconfirmed,
    /// The response broke off. It is resumed or retried where that is allowed; otherwise the
    /// caller's connection ends in a way that shows it.
    BrokenOff,
}

impl BodyEnd {
    /// Returns what the end of a stream says, where its body ends without an error. `sent` says
    /// whether the request had been sent in whole.
    pub fn of_stream(framing: Framing, position: StreamPosition, sent: bool) -> Self {
        match (position, framing) {
            (StreamPosition::InsideEvent | StreamPosition::BeforeLastEvent, _)
            | (StreamPosition::InsideComment | StreamPosition::Start, Framing::Connection) => {
                Self::BrokenOff
            }
            (StreamPosition::BetweenEvents, Framing::Connection) => Self::of_plain(framing, sent),
            (StreamPosition::AfterLastEvent, _) | (_, Framing::Length | Framing::Chunked) => {
                Self::Complete
            }
        }
    }

    /// Returns what the end of a response other than a stream says, where its body ends without an
    /// error. `sent` says whether the request had been sent in whole.
    pub fn of_plain(framing: Framing, sent: bool) -> Self {
        match framing {
            Framing::Length | Framing::Chunked => Self::Complete,
            Framing::Connection if sent => Self::Unconfirmed,
            Framing::Connection => Self::BrokenOff,
        }
    }

    /// Returns its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Unconfirmed => "unconfirmed",
            Self::BrokenOff => "broken_off",
        }
    }
}
