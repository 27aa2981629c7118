//! Splitting of streams into events.

use arbtest::arbtest;

use siskinyoke_gateway::body_end::BodyEnd;
use siskinyoke_gateway::events::EventBuffer;
use siskinyoke_gateway::framing::Framing;

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

// Returns what the end of a stream says, for each framing.
fn ends(stream: &[u8]) -> [BodyEnd; 3] {
    let mut events = EventBuffer::default();
    drop(events.push(stream));
    let framings = [Framing::Length, Framing::Chunked, Framing::Connection];
    framings.map(|it| BodyEnd::of_stream(it, events.position(), true))
}

// Guards against taking a stream that broke off for a complete one, however its end is marked.
#[test]
fn a_stream_that_ends_inside_an_event_has_broken_off() {
    for rest in [
        "d",
        "data: 2",
        "data: 2\n",
        "data: 2\r\n",
        "data: 2\r\n\r",
        ": comment\nid: 2\n",
        "event: x\n: comment\n",
    ] {
        let stream = format!("id: 1\ndata: 1\n\n{rest}");
        assert_eq!(ends(stream.as_bytes()), [BodyEnd::BrokenOff; 3], "{rest:?}");
        assert_eq!(ends(rest.as_bytes()), [BodyEnd::BrokenOff; 3], "{rest:?}");
    }
}

// Guards against marking the end of a stream that only its endpoint knows.
#[test]
fn a_stream_that_ends_between_events_is_complete_only_if_its_end_is_marked() {
    let marked = [BodyEnd::Complete, BodyEnd::Complete];
    for rest in ["", ": comment\n", ": comment\r\n\r\n", "\n"] {
        for event in ["data: 1\n\n", "data: 1\r\n\r\n", "data: 1\n\r\n"] {
            let stream = format!("{event}{rest}");
            let ends = ends(stream.as_bytes());
            assert_eq!(ends[..2], marked, "{stream:?}");
            assert_eq!(ends[2], BodyEnd::Unconfirmed, "{stream:?}");
        }
    }
    for stream in [
        "",
        ": comment\n\n",
        "\u{feff}: comment\n",
        "data: 1\n\n: comm",
    ] {
        let ends = ends(stream.as_bytes());
        assert_eq!(ends[..2], marked, "{stream:?}");
        assert_eq!(ends[2], BodyEnd::BrokenOff, "{stream:?}");
    }
}

// The endpoint that resumes a stream stops after its head. Guards against taking the events of the
// endpoint before for its own.
#[test]
fn a_response_without_events_completes_a_resumed_stream_only_if_its_end_is_marked() {
    for (rest, end) in [
        ("", BodyEnd::BrokenOff),
        (": comment\n\n", BodyEnd::BrokenOff),
        ("data: 2\n\n", BodyEnd::Unconfirmed),
    ] {
        let mut events = EventBuffer::default();
        drop(events.push(b"data: 1\n\ndata: 2"));
        events.discard_partial();
        drop(events.push(rest.as_bytes()));
        let position = events.position();
        let unmarked = BodyEnd::of_stream(Framing::Connection, position, true);
        assert_eq!(unmarked, end, "{rest:?}");
        let marked = BodyEnd::of_stream(Framing::Chunked, position, true);
        assert_eq!(marked, BodyEnd::Complete, "{rest:?}");
    }
}

// Guards against taking a stream that broke off between two events for a complete one.
#[test]
fn a_stream_with_a_last_event_is_complete_after_it_and_broken_off_before() {
    for (stream, end) in [
        ("", BodyEnd::BrokenOff),
        ("data: 1\n\n", BodyEnd::BrokenOff),
        ("data: [DONE]\n\n: comm", BodyEnd::Complete),
        ("data: 1\n\n: comment\n\n", BodyEnd::BrokenOff),
        ("data: [DONE]", BodyEnd::BrokenOff),
        ("data: 1\n\ndata: [DONE]\n\n", BodyEnd::Complete),
        ("data: 1\r\n\r\ndata:[DONE]\r\n\r\n", BodyEnd::Complete),
        ("data: [DONE]\n\n", BodyEnd::Complete),
    ] {
        let mut events = EventBuffer::with_last_event(Some("[DONE]"));
        drop(events.push(stream.as_bytes()));
        for framing in [Framing::Length, Framing::Chunked, Framing::Connection] {
            let actual = BodyEnd::of_stream(framing, events.position(), true);
            assert_eq!(actual, end, "{stream:?} {framing:?}");
        }
    }
}

#[test]
fn a_comment_after_the_last_event_of_a_complete_stream_is_forwarded() {
    let mut events = EventBuffer::default();
    assert!(events.push(b"data: x\n\n: comment").is_some());
    assert_eq!(events.event_count(), 1);
    assert_eq!(&events.take_rest()[..], b": comment");
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
