//! Callers whose requests share a part of their prompts that crashes endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::endpoint::crash::PROMPT_PARTS_HEADER;
use crate::stream::StreamRequest;

/// The part that the requests of all callers begin with.
pub const FIRST_PART: &str = "f1";

/// The part that crashes endpoints.
pub const POISONED_PART: &str = "bad0";

/// The pause of a caller after each request.
const PAUSE: Duration = Duration::from_millis(300);

/// Returns the header with the parts of a prompt: the shared ones, and one of its own.
pub fn parts_header(shared: &[&str], id: &str) -> String {
    let own = id.bytes().fold(1_u64, |it, byte| {
        it.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    let own = format!("{own:x}");
    let parts = shared.iter().copied().chain([own.as_str()]);
    let parts: Vec<_> = parts.map(|it| format!("{it}:50")).collect();
    format!("{PROMPT_PARTS_HEADER}: {}\r\n", parts.join(","))
}

/// Sends requests with the poisoned part to random instances while `active` is set, until `stop` is
/// set. No two of them are alike.
pub fn run_caller(
    seed: u64,
    caller: u64,
    instances: &[SocketAddr],
    active: &Arc<AtomicBool>,
    stop: &Arc<AtomicBool>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + caller);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(PAUSE.mul_f64(rng.random_range(0.5..1.5)));
        let Some(instance) = instances.choose(&mut rng) else {
            return;
        };
        if !active.load(Ordering::Relaxed) {
            continue;
        }
        number += 1;
        let request = StreamRequest {
            id: &format!("s{seed}p{caller}n{number}"),
            path: "/stream/versioned",
            shared_parts: &[FIRST_PART, POISONED_PART],
            resumes: None,
            max_events: usize::MAX,
        };
        request.send(*instance);
    }
}
