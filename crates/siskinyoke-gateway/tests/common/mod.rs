//! Fixtures shared by the tests of this crate.

use std::rc::Rc;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::core::Identity;
use siskinyoke_dispatch::quota::QuotaPolicy;
use siskinyoke_gateway::log_writer::LogWriter;
use siskinyoke_gateway::settings::Settings;
use siskinyoke_gateway::shell::Shell;

/// Settings of an instance that speaks the platform's protocol.
#[allow(dead_code, reason = "some test files need others")]
pub const PLATFORM_SETTINGS: &str = r#"{ "interface": "platform", "instance": "i0", "ip": "127.0.0.1", "centre": "a",
    "listen": { "callers": "127.0.0.1:1", "health": "127.0.0.1:2", "directory": "127.0.0.1:3",
                "peers": "127.0.0.1:4" },
    "store": "127.0.0.1:5", "memory_mb": 16, "metrics": 1,
    "bounds": { "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 54, "quota_window_s": 8,
                "quota_overage": 0.1, "quota_slack": 0, "keep_s": 5 } }"#;

/// Returns the state of an instance with these settings.
pub fn shell(settings: &str) -> Rc<Shell> {
    let settings = Settings::parse(settings).unwrap();
    let identity = Identity {
        name: settings.instance.clone(),
        location: settings.location(),
        incarnation: 1,
        retry_ratio: 0.2,
        retry_slack: 54.0,
        max_exposure: 0.1,
        settling_time: Millis(3_000),
        share_weights: settings.shares,
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
