//! Messages between instances of different versions of the program.

mod common;

use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_dispatch::BorrowRequest;
use siskinyoke_dispatch::Message;
use siskinyoke_dispatch::Priority;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::StreamKey;
use siskinyoke_dispatch::StreamOrigin;
use siskinyoke_dispatch::StreamQuestion;
use siskinyoke_dispatch::VersionKey;
use siskinyoke_dispatch::message::SlotRequest;
use siskinyoke_dispatch::organisation_shares::share_class::ShareClass;
use siskinyoke_dispatch::scheduled_request::QueueOrder;
use siskinyoke_gateway::gossip;

fn report(full: bool) -> Report {
    let shell = common::shell(common::PLATFORM_SETTINGS);
    let mut core = shell.core.borrow_mut();
    core.apply_updates(Millis(1), Revision::new(3, 7), Vec::new());
    core.next_report(Millis(2), full)
}

// Guards against instances of two versions that cannot read each other's reports during an upgrade.
#[test]
fn a_report_without_an_era_belongs_to_the_first_one() {
    for full in [false, true] {
        let report = report(full);
        let message = Message::Report(Box::new(report.clone()));
        let bytes = postcard::to_allocvec(&message).unwrap();
        assert_eq!(gossip::decode(&bytes).unwrap(), message);
        // What earlier versions neither send nor read comes last: sizes served, part intervals, silent
        // attempts, sound requests, parts of prompts, responses of versions under evaluation, shares,
        // rejections, what a sender relays, and the era.
        let [without_sizes @ .., 0, 0] = &*bytes else {
            panic!("does not end with an instance that knows no speeds and sizes");
        };
        assert_eq!(gossip::decode(without_sizes).unwrap(), message);
        let [without_silences @ .., 0] = without_sizes else {
            panic!("does not end with an instance that knows no silent attempts");
        };
        assert_eq!(gossip::decode(without_silences).unwrap(), message);
        let [without_parts @ .., 0, 0] = without_silences else {
            panic!("does not end with an instance that knows no parts and sound requests");
        };
        assert_eq!(gossip::decode(without_parts).unwrap(), message);
        let [rest @ .., 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0] = &*bytes else {
            panic!("does not end with an instance that relays nothing and knows no more");
        };
        let Message::Report(received) = gossip::decode(rest).unwrap() else {
            panic!("not a report");
        };
        assert_eq!(received.revision(), report.revision());
        assert_eq!(received.relay, None);
        let (era, earlier) = rest.split_last().unwrap();
        assert_eq!(*era, 3);
        let Message::Report(received) = gossip::decode(earlier).unwrap() else {
            panic!("not a report");
        };
        assert_eq!(received.revision(), 7.into());
        assert_eq!(received.info, report.info);
    }
}

#[test]
fn a_truncated_message_is_an_error() {
    let message = Message::Report(Box::new(report(true)));
    let bytes = postcard::to_allocvec(&message).unwrap();
    assert!(gossip::decode(&bytes[..bytes.len() / 2]).is_err());
    assert!(gossip::decode(&[]).is_err());
}

// Guards against borrow requests of an earlier version that are not understood, and against orders
// of requests above a share that an earlier version would take for urgent ones.
#[test]
fn earlier_versions_know_no_shares() {
    let request = SlotRequest {
        service: 1,
        stream: true,
        prompt_tokens: 2,
        output_tokens: 3,
        latency_target: 4,
        gap_target: 5,
        waited: 6,
        remaining_wait: 7,
        share_class: ShareClass::Within,
    };
    let message = Message::Borrow(8, BorrowRequest::Slot(request));
    let bytes = postcard::to_allocvec(&message).unwrap();
    let (_, earlier) = bytes.split_last().unwrap();
    assert_eq!(gossip::decode(earlier).unwrap(), message);
    let priority = Priority::new(Some(1), 2);
    let within = QueueOrder::new(priority, ShareClass::Within, true);
    assert_eq!(u32::from(within), 0x0102 << 1 | 1);
    for class in [ShareClass::Within, ShareClass::Marginal, ShareClass::Above] {
        let order = QueueOrder::new(priority, class, true);
        let encoded = u32::from(order);
        assert_eq!(QueueOrder::from(encoded), order);
        assert!(class == ShareClass::Within || encoded > u32::from(u16::MAX) << 1);
    }
}

// Messages of earlier versions keep their numbers, and the new ones come after them.
#[test]
fn messages_on_streams_are_short_and_earlier_messages_keep_their_encoding() {
    let (key, version) = (StreamKey(u64::MAX), VersionKey(u32::MAX));
    let question = StreamQuestion {
        key,
        service: u32::MAX,
        max_age: u32::MAX,
    };
    let messages = [
        (Message::Return(1), 0x03, 2),
        (Message::StreamVersions(vec![(key, version)]), 0x04, 17),
        (Message::FindStream(u32::MAX, question), 0x05, 26),
        (
            Message::StreamOrigin(u32::MAX, StreamOrigin::Version(version)),
            0x06,
            12,
        ),
    ];
    for (message, number, length) in messages {
        let bytes = postcard::to_allocvec(&message).unwrap();
        assert_eq!((bytes[0], bytes.len()), (number, length), "{message:?}");
        assert_eq!(gossip::decode(&bytes).unwrap(), message);
    }
}
