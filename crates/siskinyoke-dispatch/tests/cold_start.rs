//! What clients get while instances that started do not know a configuration yet, played in virtual time.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::cold_start;

/// How many clients of each kind are played.
const CLIENT_COUNT: u64 = 400;

/// The kinds of request: how long a client waits, in ms.
const DEADLINES_MS: [u64; 3] = [1_000, 5_000, 15_000];

/// What an instance does with a request that arrives before the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// It holds the request for a part of the client's time.
    Hold,
    /// It rejects the request at once.
    Reject,
}

/// What became of one client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientOutcome {
    /// Served, after so long.
    Served(Millis),
    /// Rejected twice; it has no retry left.
    Lost,
}

/// A client that arrives at some time after a restart of all instances, with one retry.
///
/// The configuration is known `known` after the start of the instance. The client keeps to the time that it is
/// told, up to a third of what it has left, as the platform's callers do.
fn simulate_client(way: Policy, arrived: Millis, deadline: Millis, known: Millis) -> ClientOutcome {
    let mut at = arrived;
    for _ in 0..2 {
        let left = (arrived + deadline).since(at);
        let hold = match way {
            Policy::Hold => cold_start::hold_timeout(Some(left)),
            Policy::Reject => Millis::ZERO,
        };
        if known <= at + hold {
            return ClientOutcome::Served(known.max(at).since(arrived));
        }
        let rejected = at + hold;
        let left = (arrived + deadline).since(rejected);
        let after = cold_start::retry_after(rejected);
        at = rejected + after.min(Millis(left.0 / 3));
    }
    ClientOutcome::Lost
}

fn count_lost(way: Policy, deadline: u64, known: Millis) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(deadline);
    let ends = (0..CLIENT_COUNT).map(|_| {
        let arrived = Millis(rng.random_range(0..known.0));
        simulate_client(way, arrived, Millis(deadline), known)
    });
    ends.filter(|it| *it == ClientOutcome::Lost).count() as u64
}

// All instances stop under full load. The store is silent for half a second more, and every request is rejected;
// its client comes back too early and is rejected for good.
#[test]
fn holding_serves_every_client_through_a_short_store_outage() {
    for known in [200, 500, 1_000] {
        for deadline in &DEADLINES_MS[1..] {
            assert_eq!(
                count_lost(Policy::Hold, *deadline, Millis(known)),
                0,
                "{deadline} after {known}"
            );
        }
    }
    // Half a second is half of a short deadline; most of these clients are served as well.
    assert!(count_lost(Policy::Hold, DEADLINES_MS[0], Millis(500)) <= CLIENT_COUNT / 4);
}

// Rejecting at once loses clients where holding does not.
#[test]
fn holding_serves_more_than_rejecting_at_once() {
    for known in [500, 1_000, 2_000] {
        for deadline in DEADLINES_MS {
            let [held, rejected] =
                [Policy::Hold, Policy::Reject].map(|way| count_lost(way, deadline, Millis(known)));
            assert!(
                held <= rejected,
                "{deadline} after {known}: {held} and {rejected}"
            );
        }
    }
    let known = Millis(1_000);
    assert!(
        count_lost(Policy::Reject, DEADLINES_MS[0], known)
            > count_lost(Policy::Hold, DEADLINES_MS[0], known)
    );
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
fn retry_after_grows_with_the_length_of_the_store_outage() {
    let told: Vec<_> = [0, 300, 700, 1_500, 60_000]
        .map(|age| cold_start::retry_after(Millis(age)))
        .to_vec();
    assert!(told.is_sorted(), "{told:?}");
    assert!(told[0] >= Millis(100), "{told:?}");
    assert_eq!(told[2], Millis(700));
    assert!(told[4] <= Millis(2_000), "{told:?}");
}
