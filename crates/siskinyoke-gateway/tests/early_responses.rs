//! Endpoints that respond before they have read the body of a request.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::endpoint::UNREAD_TIME;

/// Size of a body that no buffer between instance and endpoint holds.
const BODY_BYTES: usize = 2_000_000;

// Guards against a request that waits behind a body which its endpoint has not read.
#[test]
fn a_request_is_not_sent_behind_a_body_that_is_still_being_sent() {
    let store = Store::start();
    let configuration = configuration::text_with_body_limit(3, "k1", BODY_BYTES);
    store.put("op/config", &configuration);
    let endpoint = Endpoint::start("e1");
    store.put("servers/e1", &endpoint.entry("ready"));
    let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
    let instance = Instance::start(program, "i1", store.address).wait_until_ready();

    let body = "x".repeat(BODY_BYTES);
    let start = Instant::now();
    let early = instance.call("r1", "/once/early/unread", "", &body);
    assert!(early.ends_with("early"), "{early}");
    assert!(start.elapsed() < UNREAD_TIME, "{:?}", start.elapsed());
    // Connections are not reused at once.
    thread::sleep(Duration::from_millis(50));
    let next = instance.call("r2", "/once/a", "", "");
    assert!(next.ends_with("whole"), "{next}");
    assert!(start.elapsed() < UNREAD_TIME, "{:?}", start.elapsed());
}
