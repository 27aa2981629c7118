//! What clients get while instances that started do not know a configuration yet, played in virtual time.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::cold_start;

/// How many clients of each kind are played.
const CLIENTS: u64 = 400;

/// The kinds of request: how long a client waits, in ms.
const DEADLINES: [u64; 3] = [1_000, 5_000, 15_000];

/// What an instance does with a request that arrives before the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// It holds the request for a part of the client's time.
    Hold,
    /// It rejects the request at once.
    Reject,
}

/// What became of one client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Served, after so long.
    Served(Millis),
    /// Rejected twice; it has no retry left.
    Lost,
}

/// A client that arrives at some time after a restart of all instances, with one retry.
///
/// The configuration is known `known` after the start of the instance. The client keeps to the time that it is
/// told, up to a third of what it has left, as the platform's callers do.
fn play(way: Way, arrived: Millis, deadline: Millis, known: Millis) -> End {
    let mut at = arrived;
    for _ in 0..2 {
        let left = (arrived + deadline).since(at);
        let hold = match way {
            Way::Hold => cold_start::hold_timeout(Some(left)),
            Way::Reject => Millis::ZERO,
        };
        if known <= at + hold {
            return End::Served(known.max(at).since(arrived));
        }
        let rejected = at + hold;
        let left = (arrived + deadline).since(rejected);
        let after = cold_start::retry_after(rejected);
        at = rejected + after.min(Millis(left.0 / 3));
    }
    End::Lost
}

fn lost(way: Way, deadline: u64, known: Millis) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(deadline);
    let ends = (0..CLIENTS).map(|_| {
        let arrived = Millis(rng.random_range(0..known.0));
        play(way, arrived, Millis(deadline), known)
    });
    ends.filter(|it| *it == End::Lost).count() as u64
}

// All instances stop under full load. The store is silent for half a second more, and every request is rejected;
// its client comes back too early and is rejected for good.
#[test]
fn a_short_silence_of_the_store_costs_no_client_its_answer() {
    for known in [200, 500, 1_000] {
        for deadline in &DEADLINES[1..] {
            assert_eq!(
                lost(Way::Hold, *deadline, Millis(known)),
                0,
                "{deadline} after {known}"
            );
        }
    }
    // Half a second is half of a short deadline; most of these clients are served as well.
    assert!(lost(Way::Hold, DEADLINES[0], Millis(500)) <= CLIENTS / 4);
}

// Rejecting at once loses clients where holding does not.
#[test]
fn holding_serves_more_than_rejecting_at_once() {
    for known in [500, 1_000, 2_000] {
        for deadline in DEADLINES {
            let [held, rejected] =
                [Way::Hold, Way::Reject].map(|way| lost(way, deadline, Millis(known)));
            assert!(
                held <= rejected,
                "{deadline} after {known}: {held} and {rejected}"
            );
        }
    }
    let known = Millis(1_000);
    assert!(lost(Way::Reject, DEADLINES[0], known) > lost(Way::Hold, DEADLINES[0], known));
}

// A held request that has waited for most of its client's time is lost for certain, and the client learns it last.
#[test]
fn no_request_is_held_for_more_than_a_quarter_of_its_time() {
    for deadline in [0, 1, 400, 1_000, 5_000, 600_000] {
        let hold = cold_start::hold_timeout(Some(Millis(deadline)));
        assert!(hold.0 * 4 <= deadline, "{deadline}: {hold}");
        assert!(hold <= Millis(1_500), "{deadline}: {hold}");
    }
    assert!(cold_start::hold_timeout(None) <= Millis(500));
}

// In a long outage clients that are told to come back at once do so for nothing.
#[test]
fn rejected_clients_are_sent_away_for_longer_the_longer_the_store_is_silent() {
    let told: Vec<_> = [0, 300, 700, 1_500, 60_000]
        .map(|age| cold_start::retry_after(Millis(age)))
        .to_vec();
    assert!(told.is_sorted(), "{told:?}");
    assert!(told[0] >= Millis(100), "{told:?}");
    assert_eq!(told[2], Millis(700));
    assert!(told[4] <= Millis(2_000), "{told:?}");
}
