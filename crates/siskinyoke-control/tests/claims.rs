//! Claims in the platform's service.

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use siskinyoke_base::Identity;
use siskinyoke_base::Incarnation;
use siskinyoke_base::Millis;
use siskinyoke_control::Action;
use siskinyoke_control::Context;
use siskinyoke_control::Outbox;
use siskinyoke_control::PlatformReply;
use siskinyoke_control::PlatformRequest;
use siskinyoke_control::Sender;
use siskinyoke_control::claims::Claims;
use siskinyoke_control::platform::Versioned;
use siskinyoke_control::usage::Day;

/// A school's scripts send keyed requests without tickets for months. Each leaves a claim, and
/// without a sweep the service fills up until it refuses writes. A claim of today or yesterday
/// must stay: its caller may still send again, and would otherwise run its booking twice.
#[test]
fn old_claims_are_swept_and_young_ones_stay() {
    let mut claims = Claims::new(sender());
    claims.set_day(Day(20_000));
    let values = vec![
        claim("old", 19_990),
        claim("young", 19_999),
        claim("undated", 0),
    ];
    let listed = step(Millis::from_secs(100), |cx| claims.sweep(cx));
    let [
        Action::Platform {
            op,
            request: PlatformRequest::List { .. },
        },
    ] = &listed[..]
    else {
        panic!("a sweep lists claims: {listed:?}");
    };
    let removed = step(Millis::from_secs(101), |cx| {
        assert!(claims.reply(cx, *op, &Ok(PlatformReply::Values(values))));
    });
    let keys: Vec<&str> = removed.iter().filter_map(removed_key).collect();
    assert_eq!(keys, ["old"]);
}

/// An outage of the service ends and hundreds of plain clients come back at once. Past the write
/// budget a claim is not begun, so that the service's few hundred writes a second are left to all.
#[test]
fn claims_stay_within_their_write_budget() {
    let mut claims = Claims::new(sender());
    let mut begun = 0;
    step(Millis::ZERO, |cx| {
        begun = (0..100)
            .filter(|key| claims.begin(cx, &identity(&key.to_string())))
            .count();
    });
    assert_eq!(begun, 20);
    step(Millis::from_secs(1), |cx| {
        begun = (0..100)
            .filter(|key| claims.begin(cx, &identity(&key.to_string())))
            .count();
    });
    assert_eq!(begun, 10);
}

fn step(now: Millis, act: impl FnOnce(&mut Context<'_>)) -> Vec<Action> {
    let mut out = Outbox::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    act(&mut Context {
        now,
        out: &mut out,
        rng: &mut rng,
    });
    out.take()
}

fn sender() -> Sender {
    Sender {
        instance: "a".into(),
        incarnation: Incarnation(1),
    }
}

fn identity(key: &str) -> Identity {
    Identity {
        organisation: "school".into(),
        owner: Incarnation(1),
        key: key.to_owned(),
    }
}

fn claim(key: &str, day: u32) -> Versioned {
    let doc = format!(r#"{{"instance":"b","incarnation":2,"day":{day},"nonce":3}}"#);
    Versioned {
        key: key.to_owned(),
        value: Bytes::from(doc),
        version: 1,
    }
}

fn removed_key(action: &Action) -> Option<&str> {
    match action {
        Action::Platform {
            request: PlatformRequest::Remove { key, .. },
            ..
        } => Some(key),
        _ => None,
    }
}
