//! Memory limit of request bodies.

use std::rc::Rc;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::core::Identity;
use siskinyoke_dispatch::quota::QuotaPolicy;
use siskinyoke_gateway::log_writer::LogWriter;
use siskinyoke_gateway::memory::MemoryReservation;
use siskinyoke_gateway::settings::Settings;
use siskinyoke_gateway::shell::Shell;

const SETTINGS_JSON: &str = r#"{ "instance": "i", "ip": "127.0.0.1", "centre": "a", "metrics": 1,
    "listen": { "callers": "127.0.0.1:1", "health": "127.0.0.1:2", "directory": "127.0.0.1:3",
                "peers": "127.0.0.1:4" },
    "store": "127.0.0.1:5", "memory_mb": 16,
    "bounds": { "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 54, "quota_window_s": 8,
                "quota_overage": 0.1, "quota_slack": 110000, "keep_s": 5 } }"#;

const MIB: usize = 1024 * 1024;

fn shell() -> Rc<Shell> {
    let settings = Settings::parse(SETTINGS_JSON).unwrap();
    let identity = Identity {
        name: settings.instance.clone(),
        location: settings.location(),
        incarnation: 1,
        retry_ratio: 0.2,
        retry_slack: 54.0,
        max_exposure: 0.1,
        settling_time: Millis(3_000),
        quota_policy: QuotaPolicy {
            window: Millis(8_000),
            overage: 0.1,
            slack: 0.0,
        },
    };
    let interface = settings.interface.build();
    let log_writer = LogWriter::start(std::io::sink());
    Rc::new(Shell::new(interface, settings, identity, log_writer).unwrap())
}

// Guards against hundreds of queued requests with large bodies, each within its own limit, that
// exhaust the memory of the process: its crash would interrupt every request it serves.
#[test]
fn queued_bodies_use_at_most_a_quarter_of_the_memory() {
    let shell = shell();
    let first = MemoryReservation::try_reserve(&shell, 3 * MIB);
    assert!(first.is_some());
    assert!(MemoryReservation::try_reserve(&shell, 2 * MIB).is_none());
    drop(first);
    assert!(MemoryReservation::try_reserve(&shell, 2 * MIB).is_some());
}
