//! Memory limit of request bodies.

mod common;

const SETTINGS_JSON: &str = r#"{ "instance": "i", "ip": "127.0.0.1", "centre": "a", "metrics": 1,
    "listen": { "callers": "127.0.0.1:1", "health": "127.0.0.1:2", "directory": "127.0.0.1:3",
                "peers": "127.0.0.1:4" },
    "store": "127.0.0.1:5", "memory_mb": 16,
    "bounds": { "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 54, "quota_window_s": 8,
                "quota_overage": 0.1, "quota_slack": 110000, "keep_s": 5 } }"#;

const MIB: usize = 1024 * 1024;

// Guards against hundreds of queued requests with large bodies, each within its own limit, that
// exhaust the memory of the process: its crash would interrupt every request it serves.
#[test]
fn queued_bodies_use_at_most_a_quarter_of_the_memory() {
    let shell = common::shell(SETTINGS_JSON);
    let first = shell.clients.bodies.reserve(3 * MIB);
    assert!(first.is_ok());
    assert!(shell.clients.bodies.reserve(2 * MIB).is_err());
    drop(first);
    assert!(shell.clients.bodies.reserve(2 * MIB).is_ok());
}
