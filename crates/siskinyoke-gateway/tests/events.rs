//! Splitting of streams into events.

use arbtest::arbtest;

use siskinyoke_gateway::events::EventBuffer;

// An endpoint fails in the middle of an event, and another resumes after the last complete one. If
// the partial event were kept, it would be merged with data from the second endpoint.
#[test]
fn a_partial_event_is_discarded_with_its_endpoint() {
    let mut events = EventBuffer::default();
    let complete = events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(&complete[..], b"id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some("1"));
    events.discard_partial();
    let next = events.push(b"id: 2\ndata: b\n\n").unwrap();
    assert_eq!(&next[..], b"id: 2\ndata: b\n\n");
    assert_eq!(events.last_id(), Some("2"));
}

#[test]
fn trailing_bytes_of_a_complete_stream_are_forwarded() {
    let mut events = EventBuffer::default();
    assert!(events.push(b"data: x").is_none());
    assert_eq!(&events.take_rest()[..], b"data: x");
}

#[test]
fn the_bytes_and_last_event_of_a_stream_do_not_depend_on_its_chunks() {
    let text = (0..20).fold(String::new(), |text, id| {
        text + &format!("id: {id}\r\ndata: {id}\r\n\r\n")
    });
    arbtest(|u| {
        let mut events = EventBuffer::default();
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (chunk, next) = rest.split_at(u.int_in_range(1..=rest.len())?);
            out.extend(events.push(chunk).unwrap_or_default());
            rest = next;
        }
        out.extend(events.take_rest());
        assert_eq!(out, text.as_bytes());
        assert_eq!(events.last_id(), Some("19"));
        Ok(())
    });
}
