//! Orders to engines, from the configuration through a daemon to the engine.

use std::thread;
use std::time::Duration;

use serde_json::json;

use siskinyoke_standin::fleet::Fleet;
use siskinyoke_standin::fleet::MODEL;

/// An operator writes that the fast engine should run version v2 of the model with an adapter. One
/// daemon of three takes the pool's lease and gives the orders, each with its fencing number; the
/// others give none. Two holders would mix their orders, which the engine's history shows.
#[test]
fn one_daemon_brings_an_engine_to_its_plan() {
    let fleet = Fleet::start(3).expect("the fleet comes up");
    let mut configuration = fleet.configuration();
    configuration["pools"] = json!({
        "language": {
            "endpoints": {
                "fast": { "models": { MODEL: { "version": "v2", "adapters": { "arabic": "v1" } } } },
            },
            "limit": 1000,
        },
    });
    fleet
        .apply_after(1, &configuration)
        .expect("the change is accepted");
    let wanted = json!({ MODEL: { "version": "v2", "adapters": { "arabic": "v1" } } });
    let reached = || {
        let state = fleet.engines[0].orders();
        json!(state.state.models) == wanted
    };
    // The lease, the longest order and a look at the engine go before the first order.
    let done = (0..600).any(|_| {
        thread::sleep(Duration::from_millis(50));
        reached()
    });
    let state = fleet.engines[0].orders();
    assert!(done, "the engine never reached its plan: {state:?}");
    let fences: Vec<u64> = state.history.iter().map(|body| body.fence).collect();
    assert_eq!(state.history.len(), 2, "{state:?}");
    assert!(
        fences.iter().all(|fence| *fence == fences[0] && *fence > 0),
        "{state:?}"
    );
    assert!(fleet.engines[1].orders().history.is_empty());
    fleet.leave();
}
