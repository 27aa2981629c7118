//! How soon a change is in force on every daemon, and what that costs the service.

use crate::world::World;
use siskinyoke_control::configuration::Change;

/// Sizes of the fleet that are compared.
const FLEETS: [usize; 3] = [3, 8, 32];

/// How long the idle system is watched, in milliseconds.
const IDLE: u64 = 120_000;

/// What "within seconds" is taken to mean here, in milliseconds.
const SECONDS: u64 = 5_000;

/// What was seen of a fleet.
struct Spread {
    calls: u64,
    last: u64,
}

// What a user would see if this failed: a preset that is switched on one daemon and not on another
// for a long while, or a service that is asked the more the larger the fleet is.
#[test]
fn a_change_spreads_within_seconds() {
    let plain = FLEETS.map(|fleet| spread(fleet, false));
    let outage = FLEETS.map(|fleet| spread(fleet, true));
    for (fleet, (plain, outage)) in FLEETS.iter().zip(plain.iter().zip(&outage)) {
        println!(
            "{fleet} daemons: in force everywhere after {} ms, {} ms when the service goes down \
             as soon as the change is accepted; {} calls to the service in {IDLE} ms",
            plain.last, outage.last, plain.calls
        );
        assert!(plain.last < SECONDS && outage.last < SECONDS);
    }
    // Three daemons all watch; from four on, the others ask the service now and then.
    let [_, eight, many] = plain;
    assert!(many.calls < 2 * eight.calls, "calls grow with the fleet");
}

fn spread(fleet: usize, outage: bool) -> Spread {
    let mut world = World::new(11);
    world.seed_service();
    for number in 0..fleet {
        world.start(&format!("d{number:02}"), false);
    }
    world.choose_watchers();
    world.run(5_000);
    let calls = world.platform.calls;
    world.run(IDLE);
    let calls = world.platform.calls - calls;
    let name = "peak".to_owned();
    world.change("d00", "switch", None, Change::SwitchPreset { name });
    // Read, swap and the swap's answer take two ways to the service and back.
    world.run(8);
    let accepted = world.now;
    if outage {
        world.platform.down = true;
        world.break_watches();
    }
    while world
        .daemons
        .values()
        .any(|daemon| daemon.controller.revision() < 2)
    {
        assert!(world.now < accepted + 60_000, "the change does not spread");
        world.run(1);
    }
    Spread {
        calls,
        last: world.now - accepted,
    }
}
