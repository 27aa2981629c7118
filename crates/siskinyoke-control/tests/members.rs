//! Stories of members on a network in virtual time.

use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Envelope;
use siskinyoke_base::message::MemberDigest;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Resource;
use siskinyoke_measure::Network;
use siskinyoke_measure::network::listed;
use siskinyoke_measure::network::record;

/// Longer than it takes any fleet here to know itself.
const SETTLE: Millis = Millis::from_secs(60);

fn name(number: usize) -> InstanceId {
    Network::name(number)
}

fn live_counts(network: &Network) -> Vec<usize> {
    let counts = network.nodes().map(|node| node.members.live().count());
    counts.collect()
}

fn settled(count: usize, seed: u64) -> Network {
    let mut network = Network::fleet(count, seed);
    network.run(SETTLE);
    assert_eq!(live_counts(&network), vec![count; count]);
    network
}

fn digest_of(sender: &MemberRecord, others: &[MemberRecord]) -> Envelope {
    let mut members = vec![sender.clone()];
    members.extend_from_slice(others);
    Envelope {
        from: sender.instance.clone(),
        incarnation: sender.incarnation,
        revision: 1,
        message: Message::Members(MemberDigest {
            members,
            ping: true,
        }),
    }
}

#[test]
fn fleets_of_any_size_come_to_know_themselves() {
    for count in [1, 2, 3, 8, 32, 64] {
        settled(count, 7);
    }
}

/// A caller is told an address that answers no more.
/// An instance loses its power; nothing announces it, and the instance list shows it for minutes.
/// Only missing answers can tell.
#[test]
fn a_dead_member_is_found_although_the_list_still_shows_it() {
    let mut network = settled(8, 1);
    network.kill(&name(3));
    network.run(Millis::from_secs(10));
    assert_eq!(network.seen_as(&name(3), MemberState::Gone), 7);
    assert_eq!(live_counts(&network), vec![7; 7]);
}

/// Work that runs well is answered "unknown", as its owner is taken for dead.
/// One message in ten is lost for minutes; no process has failed.
/// A single missing answer is not a death.
#[test]
fn lost_messages_alone_kill_nobody() {
    let mut network = settled(32, 2);
    network.loss = 0.1;
    network.run(Millis::from_secs(300));
    let changes = network.nodes().flat_map(|node| &node.changes);
    let gone = changes.filter(|(_, after)| after.state == MemberState::Gone);
    assert_eq!(gone.count(), 0);
}

/// Callers are sent away from instances that are well, and shared limits change hands.
/// The network hitches for less than half a second; one heartbeat each way gets lost.
#[test]
fn a_short_hitch_makes_no_suspect() {
    for seed in 0..20 {
        let mut network = settled(8, seed);
        network.loss = 1.0;
        network.run(Millis(400));
        network.loss = 0.0;
        network.run(Millis::from_secs(10));
        for number in 0..8 {
            assert!(
                !network
                    .states_of(&name(number))
                    .contains(&MemberState::Suspect)
            );
        }
    }
}

/// All answers turn to "unknown" at once on one instance.
/// Its process stood still for 20 s and woke; every heartbeat it had sent is overdue.
/// The pause was its own: it may call none of the others dead.
#[test]
fn a_frozen_member_that_wakes_doubts_itself_first() {
    for seed in 0..20 {
        let mut network = settled(8, seed);
        network.freeze(&name(2));
        network.run(Millis::from_secs(20));
        assert_eq!(network.seen_as(&name(2), MemberState::Gone), 7);
        let before = network.node(&name(2)).changes.len();
        network.thaw(&name(2));
        network.run(Millis::from_secs(20));
        let news = &network.node(&name(2)).changes[before..];
        assert_eq!(news, []);
        assert_eq!(live_counts(&network), vec![8; 8]);
    }
}

/// Callers' tickets name a start that will never answer, and wait for it.
/// An instance dies and is started again at once, with a new certificate and a low counter.
/// Its old start must count as gone, everywhere, and the new one as live.
#[test]
fn a_new_start_replaces_the_old_one_at_once() {
    let mut network = settled(32, 4);
    let old = network.members(&name(5)).own().incarnation;
    network.kill(&name(5));
    let new = network.start(&name(5), Vec::new());
    network.run(Millis::from_secs(8));
    for node in network.nodes() {
        let held = node.members.get(&name(5)).expect("it is listed");
        assert_eq!((held.incarnation, held.state), (new, MemberState::Live));
        assert!(node.members.own().instance == name(5) || node.members.is_gone(old));
        assert!(!node.members.is_gone(new));
    }
}

/// A stopping instance gets new work again and drops it.
/// It announced that it leaves; then a digest with a higher counter arrives that says "live", as
/// a peer gone wrong or an old digest may. Leaving is never unsaid.
#[test]
fn leaving_is_never_unsaid() {
    let mut network = settled(8, 5);
    let mut stale = network.members(&name(1)).own().clone();
    network.leave(&name(1));
    network.run(Millis::from_secs(4));
    assert_eq!(network.seen_as(&name(1), MemberState::Leaving), 7);
    stale.beat += 1000;
    let sender = network.members(&name(2)).own().clone();
    network.inject(&name(0), digest_of(&sender, &[stale]));
    network.run(Millis::from_secs(4));
    assert_eq!(network.seen_as(&name(1), MemberState::Leaving), 7);
    let changes = network.nodes().flat_map(|node| &node.changes);
    let unsaid = changes.filter(|(before, after)| {
        let left = before
            .as_ref()
            .is_some_and(|b| b.state == MemberState::Leaving);
        left && after.state < MemberState::Leaving
    });
    assert_eq!(unsaid.count(), 0);
    for node in network.nodes() {
        let named = node.members.addresses_for_callers();
        assert!(named.iter().all(|record| record.instance != name(1)));
    }
}

/// Two instances of one name answer for each other's requests.
/// One was frozen, its replacement started meanwhile, and the first one wakes and speaks up.
/// Nobody takes it back, and the replacement stays.
#[test]
fn a_replaced_start_that_wakes_is_not_taken_back() {
    let mut network = settled(8, 6);
    let old = network.members(&name(4)).own().clone();
    network.kill(&name(4));
    let new = network.start(&name(4), Vec::new());
    network.run(Millis::from_secs(20));
    for other in [0, 1, 2, 3, 5, 6, 7] {
        network.inject(&name(other), digest_of(&old, &[]));
    }
    network.run(Millis::from_secs(8));
    for node in network.nodes() {
        let held = node.members.get(&name(4)).expect("it is listed");
        assert_eq!(held.incarnation, new);
    }
    assert!(!network.members(&name(4)).superseded());
}

/// The first of two instances of one name goes on giving out tickets.
/// It was frozen and replaced, wakes, and hears from a peer of its successor.
/// It learns that it must leave.
#[test]
fn a_start_that_was_replaced_learns_it() {
    let mut network = settled(8, 16);
    let own = network.members(&name(4)).own().clone();
    let mut successor = record(&name(4), Incarnation(99));
    successor.beat = own.beat + 1000;
    let sender = network.members(&name(2)).own().clone();
    network.inject(&name(4), digest_of(&sender, &[successor]));
    network.run(Millis(10));
    assert!(network.members(&name(4)).superseded());
}

/// An instance serves under rules that were changed an hour ago.
/// It is cut off from its peers and from the platform, but not from callers.
/// It must know that it is cut off, judge nobody, and be found again afterwards.
#[test]
fn an_isolated_member_knows_it_and_judges_nobody() {
    let mut network = settled(8, 8);
    let before = network.node(&name(6)).changes.len();
    network.cut(&name(6), 1);
    network.run(Millis::from_secs(30));
    assert!(network.members(&name(6)).isolated(network.now));
    let judged = &network.node(&name(6)).changes[before..];
    let gone = judged
        .iter()
        .filter(|(_, after)| after.state == MemberState::Gone);
    assert_eq!(gone.count(), 0);
    assert!(!network.members(&name(0)).isolated(network.now));
    network.cut(&name(6), 0);
    network.run(Millis::from_secs(30));
    assert_eq!(live_counts(&network), vec![8; 8]);
}

/// One region's instances do not see the other's any more after the line is back.
/// Both sides took each other for gone and forgot each other's heartbeats.
/// The instance list still names all, and now and then one is tried again.
#[test]
fn regions_find_each_other_again_after_an_hour() {
    let mut network = settled(16, 9);
    for number in 8..16 {
        network.cut(&name(number), 1);
    }
    network.run(Millis::from_secs(3600));
    assert_eq!(live_counts(&network), vec![8; 16]);
    for number in 8..16 {
        network.cut(&name(number), 0);
    }
    network.run(Millis::from_secs(30));
    assert_eq!(live_counts(&network), vec![16; 16]);
}

/// A new instance stays without work for as long as the platform is out.
/// The list cannot be read when it starts; its settings name two of its peers.
/// It learns the others from those.
#[test]
fn a_daemon_that_starts_in_an_outage_learns_from_its_seeds() {
    let mut network = settled(8, 10);
    network.platform = false;
    network.kill(&name(7));
    network.start(&name(7), vec![listed(&name(0)), listed(&name(1))]);
    network.run(Millis::from_secs(20));
    assert_eq!(network.members(&name(7)).live().count(), 8);
}

/// An instance that was away for a minute stays without work until the platform is back.
/// It starts anew in an outage, without seeds, under a new certificate. Its peers hold it as
/// gone with the old one; they try its listed address, and there take the certificate it shows.
#[test]
fn a_gone_member_that_comes_back_in_an_outage_is_found() {
    let mut network = settled(8, 17);
    network.platform = false;
    network.kill(&name(7));
    network.run(Millis::from_secs(60));
    assert_eq!(network.seen_as(&name(7), MemberState::Gone), 7);
    network.start(&name(7), Vec::new());
    network.run(Millis::from_secs(40));
    assert_eq!(live_counts(&network), vec![8; 8]);
}

/// An instance that the platform is taking away is still named to callers.
/// The list says "leaving", the daemon itself has not noticed yet.
#[test]
fn an_instance_listed_as_leaving_is_named_to_no_caller() {
    let mut network = settled(8, 11);
    network.list[2].leaving = true;
    network.run(Millis::from_secs(6));
    assert_eq!(network.seen_as(&name(2), MemberState::Leaving), 7);
    assert!(network.members(&name(2)).recalled());
}

#[test]
fn what_a_daemon_sends_does_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for count in [8, 32, 128] {
        let mut network = settled(count, 12);
        network.reset_traffic();
        network.run(Millis::from_secs(60));
        let sent: u64 = network.nodes().map(|node| node.traffic.messages).sum();
        rates.push(sent / count as u64);
    }
    let (least, most) = (rates.iter().min(), rates.iter().max());
    let (least, most) = (least.expect("three sizes"), most.expect("three sizes"));
    assert!(most - least <= 2, "messages a minute: {rates:?}");
}

#[test]
fn reads_of_the_list_by_the_whole_fleet_do_not_grow() {
    for count in [8, 32, 128] {
        let mut network = settled(count, 13);
        network.reset_traffic();
        network.run(Millis::from_secs(120));
        let calls: u64 = network.nodes().map(|node| node.traffic.calls).sum();
        assert!(calls <= 120 * 5, "{count} nodes: {calls} calls in 120 s");
    }
}

#[test]
fn all_members_choose_the_same_allocator() {
    let network = settled(8, 14);
    for number in 0..50 {
        let endpoint = EndpointId::new(&format!("engine-{number}"));
        let resource = Resource::Endpoint(endpoint);
        let mut chosen = network
            .nodes()
            .map(|node| node.members.allocator(&resource));
        let first = chosen.next().flatten();
        assert!(first.is_some());
        assert!(chosen.all(|choice| choice == first));
    }
}

/// A peer gone wrong makes up names until memory runs out.
#[test]
fn made_up_members_are_bounded() {
    let mut network = settled(3, 15);
    let sender = network.members(&name(1)).own().clone();
    for round in 0..100u64 {
        let made_up = (0..50).map(|number| {
            let instance = InstanceId::new(&format!("made-up-{round}-{number}"));
            record(&instance, Incarnation(round * 50 + number))
        });
        let made_up: Vec<MemberRecord> = made_up.collect();
        network.inject(&name(0), digest_of(&sender, &made_up));
    }
    network.run(Millis(10));
    assert!(network.members(&name(0)).peers().count() <= 2048);
}
