//! Where in an event stream a body ends.

/// Where in an event stream a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamPosition {
    /// Before the first event of the response, which may go on with a stream.
    Start,
    /// After an event, of a stream whose last event looks like any other.
    BetweenEvents,
    /// Before the event that ends every stream, and not inside another one.
    BeforeLastEvent,
    /// After the event that ends every stream.
    AfterLastEvent,
    /// In a line that belongs to no event.
    InsideComment,
    /// After a part of an event.
    InsideEvent,
}
