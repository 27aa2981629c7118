//! Requests that arrive before the first configuration, simulated in virtual time.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::cold_start;

/// Simulated clients per case.
const CLIENT_COUNT: u64 = 400;

/// How long clients wait for a response.
const DEADLINES_MS: [u64; 3] = [1_000, 5_000, 15_000];

/// How an instance handles requests that arrive before the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Holds the request for part of its deadline.
    Hold,
    /// Refuses the request immediately.
    Refuse,
}

/// The result of one client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientOutcome {
    /// Served, after this time.
    Served(Millis),
    /// Refused twice, with no retry left.
    Lost,
}

/// Simulates a client with one retry that arrives after a restart of all instances.
///
/// The instance receives its configuration `configured` after its start. The client retries
/// after the requested delay, but at most after a third of its remaining time, like the platform's
/// callers.
fn simulate_client(
    policy: Policy,
    arrived: Millis,
    deadline: Millis,
    configured: Millis,
) -> ClientOutcome {
    let mut sent_at = arrived;
    for _ in 0..2 {
        let remaining = (arrived + deadline).since(sent_at);
        let hold = match policy {
            Policy::Hold => cold_start::hold_timeout(Some(remaining)),
            Policy::Refuse => Millis::ZERO,
        };
        if configured <= sent_at + hold {
            return ClientOutcome::Served(configured.max(sent_at).since(arrived));
        }
        let refused_at = sent_at + hold;
        let remaining = (arrived + deadline).since(refused_at);
        let retry_after = cold_start::retry_after(refused_at);
        sent_at = refused_at + retry_after.min(Millis(remaining.0 / 3));
    }
    ClientOutcome::Lost
}

fn count_lost(policy: Policy, deadline: u64, configured: Millis) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(deadline);
    let outcomes = (0..CLIENT_COUNT).map(|_| {
        let arrived = Millis(rng.random_range(0..configured.0));
        simulate_client(policy, arrived, Millis(deadline), configured)
    });
    outcomes.filter(|it| *it == ClientOutcome::Lost).count() as u64
}

// All instances restart under full load, and the store does not respond for a moment. Guards
// against refusing every request at once: clients would retry too early and be lost.
#[test]
fn holding_serves_every_client_through_a_short_store_outage() {
    for configured in [200, 500, 1_000] {
        for deadline in &DEADLINES_MS[1..] {
            assert_eq!(
                count_lost(Policy::Hold, *deadline, Millis(configured)),
                0,
                "clients lost with a deadline of {deadline} ms, configured after {configured} ms"
            );
        }
    }
    // 500 ms is half of the shortest deadline: at least three quarters of the clients are served.
    assert!(count_lost(Policy::Hold, DEADLINES_MS[0], Millis(500)) <= CLIENT_COUNT / 4);
}

// Compares the clients lost when requests are held with those lost when they are refused at once.
#[test]
fn holding_serves_more_than_refusing_at_once() {
    for configured in [500, 1_000, 2_000] {
        for deadline in DEADLINES_MS {
            let [held_lost, refused_lost] = [Policy::Hold, Policy::Refuse]
                .map(|policy| count_lost(policy, deadline, Millis(configured)));
            assert!(
                held_lost <= refused_lost,
                "deadline of {deadline} ms, configured after {configured} ms: \
                 {held_lost} lost by holding, {refused_lost} by refusing"
            );
        }
    }
    let configured = Millis(1_000);
    assert!(
        count_lost(Policy::Refuse, DEADLINES_MS[0], configured)
            > count_lost(Policy::Hold, DEADLINES_MS[0], configured)
    );
}

// Guards against holding a request for most of its deadline: its client would learn of the refusal
// too late to retry elsewhere.
#[test]
fn no_request_is_held_for_more_than_a_quarter_of_its_time() {
    for deadline in [0, 1, 400, 1_000, 5_000, 600_000] {
        let hold = cold_start::hold_timeout(Some(Millis(deadline)));
        assert!(
            hold.0 * 4 <= deadline,
            "held for {hold} with a deadline of {deadline} ms"
        );
        assert!(
            hold <= Millis(1_500),
            "held for {hold} with a deadline of {deadline} ms"
        );
    }
    assert!(cold_start::hold_timeout(None) <= Millis(500));
}

// Guards against short retry delays in a long outage: the retries would be refused as well.
#[test]
fn retry_after_grows_with_the_length_of_the_store_outage() {
    let delays: Vec<_> = [0, 300, 700, 1_500, 60_000]
        .map(|age| cold_start::retry_after(Millis(age)))
        .to_vec();
    assert!(delays.is_sorted(), "retry delays: {delays:?}");
    assert!(delays[0] >= Millis(100), "retry delays: {delays:?}");
    assert_eq!(delays[2], Millis(700));
    assert!(delays[4] <= Millis(2_000), "retry delays: {delays:?}");
}
