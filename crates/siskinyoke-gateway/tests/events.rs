//! Streams cut into whole events.

use arbtest::arbtest;

use siskinyoke_gateway::events::Events;

// An endpoint dies in the middle of an event, and another goes on after the last whole one. The
// half event and the other's bytes would make one event of two runs.
#[test]
fn half_an_event_goes_with_its_endpoint() {
    let mut events = Events::default();
    let whole = events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
    assert_eq!(events.last(), Some("1"));
    events.abandon();
    let next = events.push(b"id: 2\ndata: b\n\n").unwrap();
    assert_eq!(&next[..], b"id: 2\ndata: b\n\n");
    assert_eq!(events.last(), Some("2"));
}

#[test]
fn the_rest_of_a_sound_stream_is_passed_on() {
    let mut events = Events::default();
    assert!(events.push(b"data: x").is_none());
    assert_eq!(&events.finish()[..], b"data: x");
}

#[test]
fn however_a_stream_is_cut_up_its_bytes_and_last_event_stay_the_same() {
    let text = (0..20).fold(String::new(), |text, id| {
        text + &format!("id: {id}\r\ndata: {id}\r\n\r\n")
    });
    arbtest(|u| {
        let mut events = Events::default();
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (piece, next) = rest.split_at(u.int_in_range(1..=rest.len())?);
            out.extend(events.push(piece).unwrap_or_default());
            rest = next;
        }
        out.extend(events.finish());
        assert_eq!(out, text.as_bytes());
        assert_eq!(events.last(), Some("19"));
        Ok(())
    });
}
