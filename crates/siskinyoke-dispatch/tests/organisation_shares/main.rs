//! Organisations that compete for slots, and what their callers get.

#[path = "../common/mod.rs"]
mod common;
mod fleet;

use self::common::core;
use self::common::report;
use self::common::request;
use self::common::seeds;
use self::fleet::Fleet;
use self::fleet::Network;
use self::fleet::SLOTS;
use self::fleet::Sender;
use self::fleet::Served;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::organisation_shares::fair_level::Claim;
use siskinyoke_dispatch::organisation_shares::fair_level::fair_level;
use siskinyoke_dispatch::organisation_shares::share_weights::WeightSource;
use siskinyoke_dispatch::report::ServiceShareRows;
use siskinyoke_dispatch::report::short_hash;

/// The bound for organisations that ask for less than their share.
const MAX_QUIET_REFUSED: f64 = 0.05;

/// The time within which an organisation of any size is served.
const MAX_UNSERVED_MS: u64 = 5_000;

/// How much more than another one with the same share an organisation may get by repeating.
const MAX_GAIN: f64 = 1.2;

const LOUD: [usize; 2] = [0, 1];

// Two loud organisations and twelve quiet ones in one tier, which usually keep a part of the slots
// busy; the loud ones ask for a multiple of their usual.
fn senders(usual_load: f64, factor: f64) -> Vec<Sender> {
    let usual_slots = usual_load * f64::from(u32::try_from(SLOTS).unwrap()) / 14.0;
    let quiet = Sender {
        tier: 1,
        usual_slots,
        factor: 1.0,
        urgent_ratio: 0.0,
        repeats: false,
    };
    let mut senders = vec![quiet; 14];
    for loud in LOUD {
        senders[loud].factor = factor;
    }
    senders
}

fn played(seed: u64, weights: WeightSource, network: Network, senders: &[Sender]) -> Fleet {
    let mut fleet = Fleet::new(seed, weights, network, senders);
    fleet.play(5_000, 12_000);
    fleet
}

fn quiet_refused(fleet: &Fleet) -> f64 {
    refused_ratio(&fleet.served[LOUD.len()..])
}

fn refused_ratio(served: &[Served]) -> f64 {
    let tries: usize = served.iter().map(|it| it.tries).sum();
    let refused: usize = served.iter().map(|it| it.refused).sum();
    ratio(refused as u64, tries as u64)
}

// Guards against refusing all organisations of a tier alike while two of them ask for six times
// their usual.
#[test]
fn organisations_below_their_share_are_served_while_others_ask_for_more() {
    for seed in seeds(0..3) {
        for network in [Network::ONE, Network::TWELVE] {
            let fleet = played(seed, WeightSource::Rates, network, &senders(0.75, 6.0));
            let refused = quiet_refused(&fleet);
            let count = network.instances;
            assert!(
                refused < MAX_QUIET_REFUSED,
                "seed {seed}, {count} instances: {refused} refused"
            );
        }
    }
}

// Instances restart, are partitioned and lose a third of their reports, or half of them are of a
// version that knows no shares. Guards against serving the quiet organisations worse than without
// shares.
#[test]
fn faults_and_earlier_versions_leave_nobody_worse_off() {
    for seed in seeds(0..3) {
        let faults = Network {
            faults: true,
            loss: 0.3,
            ..Network::TWELVE
        };
        let mixed = Network {
            earlier: 6,
            ..Network::TWELVE
        };
        for (name, network) in [("faults", faults), ("mixed", mixed)] {
            let [old, new] = [WeightSource::Off, WeightSource::Rates]
                .map(|weights| quiet_refused(&played(seed, weights, network, &senders(0.75, 6.0))));
            assert!(
                new < old,
                "seed {seed}, {name}: {new} refused, {old} without shares"
            );
        }
    }
}

// Guards against slots that stay free for organisations that do not use them.
#[test]
fn no_slot_is_idle_while_requests_wait() {
    for seed in seeds(0..3) {
        for (name, network) in [("one", Network::ONE), ("twelve", Network::TWELVE)] {
            let [old, new] = [WeightSource::Off, WeightSource::Rates]
                .map(|weights| played(seed, weights, network, &senders(0.75, 6.0)));
            let [old, new] = [old, new].map(|it| used_ratio(&it));
            assert!(
                new >= 0.95 && new >= old - 0.01,
                "seed {seed}, {name}: {new} of the slots in use, {old} without shares"
            );
        }
    }
}

// Guards against any change of decisions while slots are not short.
#[test]
fn decisions_stay_as_they_are_without_contention() {
    for seed in seeds(0..3) {
        for network in [Network::ONE, Network::TWELVE] {
            let [old, new] = [WeightSource::Off, WeightSource::Rates]
                .map(|weights| played(seed, weights, network, &senders(0.5, 1.0)).decisions);
            assert!(old == new, "seed {seed}: decisions differ");
        }
    }
}

// Guards against shares that go before the tier.
#[test]
fn shares_apply_within_a_tier() {
    for seed in seeds(0..3) {
        let mut senders = senders(0.75, 6.0);
        for sender in &mut senders[8..] {
            sender.tier = 0;
        }
        let fleet = played(seed, WeightSource::Rates, Network::TWELVE, &senders);
        let refused = quiet_refused(&fleet);
        assert!(refused < MAX_QUIET_REFUSED, "seed {seed}: {refused}");
        // A loud organisation of the upper tier goes before all of the lower one.
        senders[0].tier = 0;
        senders[0].factor = 30.0;
        let fleet = played(seed, WeightSource::Rates, Network::TWELVE, &senders);
        let [upper, lower] = [&fleet.served[8..], &fleet.served[2..8]].map(refused_ratio);
        assert!(upper < 0.1 && lower > 0.5, "seed {seed}: {upper} {lower}");
    }
}

// Guards against deferrable requests that go before urgent ones, and against refusing the urgent
// requests of all organisations alike.
#[test]
fn urgent_requests_go_first_and_are_divided_by_share() {
    for seed in seeds(0..3) {
        let mut senders = senders(0.75, 6.0);
        for sender in &mut senders {
            sender.urgent_ratio = 0.5;
        }
        senders[0].factor = 12.0;
        senders[1].factor = 12.0;
        let fleet = played(seed, WeightSource::Rates, Network::TWELVE, &senders);
        let quiet = &fleet.served[LOUD.len()..];
        let urgent = quiet.iter().map(|it| it.urgent).sum::<usize>();
        let refused = quiet.iter().map(|it| it.urgent_refused).sum::<usize>();
        let urgent_refused = ratio(refused as u64, urgent as u64);
        assert!(
            urgent_refused < MAX_QUIET_REFUSED && refused_ratio(quiet) > urgent_refused,
            "seed {seed}: {urgent_refused} of the urgent requests refused"
        );
    }
}

// Guards against dividing the rest by who asks for more.
#[test]
fn organisations_above_their_share_divide_the_rest_by_weight() {
    for seed in seeds(0..3) {
        let mut senders = senders(0.75, 6.0);
        senders[0].usual_slots *= 2.0;
        senders[0].factor = 10.0;
        senders[1].factor = 20.0;
        let fleet = played(seed, WeightSource::Rates, Network::TWELVE, &senders);
        let ratio = time_ratio(&fleet.served[0], &fleet.served[1]);
        assert!((1.6..=2.4).contains(&ratio), "seed {seed}: {ratio} to 1");
        let fleet = played(seed, WeightSource::Equal, Network::TWELVE, &senders);
        let ratio = time_ratio(&fleet.served[0], &fleet.served[1]);
        assert!((0.8..=1.25).contains(&ratio), "seed {seed}: {ratio} to 1");
    }
}

// Guards against callers that gain slots by repeating refused requests at once. Slots that are left
// over are used in order of arrival, and are a small part of the shares.
#[test]
fn repeating_at_once_gains_nothing() {
    for seed in seeds(0..3) {
        let mut senders = senders(0.75, 6.0);
        senders[0].repeats = true;
        let fleet = played(seed, WeightSource::Rates, Network::TWELVE, &senders);
        let ratio = time_ratio(&fleet.served[0], &fleet.served[1]);
        assert!(ratio <= MAX_GAIN, "seed {seed}: {ratio} times the slots");
        let refused = quiet_refused(&fleet);
        assert!(refused < MAX_QUIET_REFUSED, "seed {seed}: {refused}");
    }
}

// Guards against an organisation whose share is below one slot that is never served.
#[test]
fn an_organisation_of_any_size_is_served() {
    for seed in seeds(0..3) {
        let mut senders = senders(0.75, 6.0);
        senders.push(Sender {
            usual_slots: 0.001,
            factor: 2_000.0,
            ..senders[0]
        });
        for network in [Network::ONE, Network::TWELVE] {
            let fleet = played(seed, WeightSource::Rates, network, &senders);
            let small = fleet.served.last().unwrap();
            assert!(
                small.tries > 50 && small.longest_gap < MAX_UNSERVED_MS,
                "seed {seed}: {small:?}"
            );
        }
    }
}

// Guards against a report to a single instance that leaves all peers without share rows until they
// are due again, and against sending the rows more often for it.
#[test]
fn peers_receive_share_rows_in_time_whatever_is_sent_to_others() {
    let mut core = core("i", 1);
    let routed = core.route(Millis(0), request("/safe/x")).unwrap();
    core.admit(Millis(0), &routed, 1).unwrap();
    let (mut last_rows, mut longest_gap, mut sent) = (1_000, 0, 0);
    for now in (1_000..6_000).step_by(20) {
        core.receive_report(Millis(now), shortage_report(now));
        for _ in 0..3 {
            let unicast = core.unicast_report(Millis(now));
            assert!(unicast.info.is_some());
            sent += usize::from(!unicast.shares.is_empty());
        }
        if !core.next_report(Millis(now), false).shares.is_empty() {
            longest_gap = longest_gap.max(now - last_rows);
            last_rows = now;
            sent += 1;
        }
    }
    longest_gap = longest_gap.max(6_000 - last_rows);
    assert_eq!((longest_gap, sent), (400, 13));
}

#[test]
fn the_fair_level_divides_what_satisfied_organisations_leave() {
    let claim = |offered, weight| Claim { offered, weight };
    let claims = vec![claim(10.0, 1.0), claim(100.0, 1.0), claim(100.0, 2.0)];
    let level = fair_level(100.0, claims.clone());
    assert!((level - 30.0).abs() < 1e-9, "{level}");
    assert!(fair_level(210.0, claims).is_infinite());
    assert!(fair_level(0.0, Vec::new()).is_infinite());
    assert!(fair_level(0.0, vec![claim(1.0, 1.0)]) < 1e-9);
}

// Returns the report of a peer whose slots are short.
fn shortage_report(number: u64) -> Report {
    let shares = ServiceShareRows {
        service: short_hash("lm"),
        short_tiers: vec![1],
        rows: Vec::new(),
    };
    Report {
        shares: vec![shares],
        ..report("p", number)
    }
}

fn used_ratio(fleet: &Fleet) -> f64 {
    ratio(fleet.used_slots as u64, fleet.usable_slots as u64)
}

fn time_ratio(one: &Served, other: &Served) -> f64 {
    ratio(one.slot_time, other.slot_time)
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
