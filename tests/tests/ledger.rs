//! What the ledger keeps past its time.

use siskinyoke_base::Identity;
use siskinyoke_base::Incarnation;
use siskinyoke_base::Millis;
use siskinyoke_control::ledger::Ledger;
use siskinyoke_control::ledger::LedgerLimits;
use siskinyoke_control::ledger::Standing;
use siskinyoke_policy::WorkId;

/// A request runs for longer than its ticket may be used. A late resend of it arrives when its
/// record would be dropped; without the record it would run a second time.
#[test]
fn work_under_way_keeps_its_record() {
    let limits = LedgerLimits {
        entries: 10,
        bytes: 100,
    };
    let mut ledger = Ledger::new(limits);
    let identity = Identity {
        organisation: "school".into(),
        owner: Incarnation(1),
        key: String::from("k1"),
    };
    ledger.open(&identity, [0; 32], Millis(1_000));
    ledger.set(&identity, Standing::Running(WorkId(1)));
    ledger.expire(Millis(2_000));
    assert!(ledger.get(&identity).is_some(), "dropped while it runs");
    ledger.set(&identity, Standing::Idle);
    ledger.expire(Millis(60_000));
    assert!(ledger.get(&identity).is_none(), "kept for ever");
}
