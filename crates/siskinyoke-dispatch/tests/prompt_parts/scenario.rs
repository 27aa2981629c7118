//! What happens to a fleet.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The number of instances of the largest fleet.
const MAX_INSTANCES: usize = 24;

/// The faults beside the requests that crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    /// None but single lost reports.
    None,
    /// Instances restart and lose links and reports; endpoints break off responses and die.
    Mixed,
    /// Endpoints break off responses and live on.
    Resets,
    /// Several endpoints die at the same moment, again and again.
    MassCrashes,
    /// Instances are killed and lose their links.
    Instances,
}

/// A part that crashes endpoints, and the requests that bear it.
#[derive(Debug, Clone, Copy)]
pub struct PoisonedPart {
    /// The index of the route.
    pub route: usize,
    /// Its position in the prompt.
    pub position: usize,
    /// The requests a second, over all instances.
    pub rate: f64,
    /// When the first one comes, in ms.
    pub from: u64,
}

/// What happens to a fleet.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The number of instances.
    pub instances: usize,
    /// The parts that crash endpoints.
    pub poisoned: Vec<PoisonedPart>,
    /// When requests with such parts stop, in ms.
    pub until: u64,
    /// The other faults.
    pub faults: Faults,
}

impl Scenario {
    /// Draws a scenario with one or two parts that crash endpoints.
    pub fn poisoned(seed: u64, faults: Faults) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        let instances = draw_instances(&mut rng);
        let count = if rng.random_bool(0.25) { 2 } else { 1 };
        let poisoned = (0..count).map(|_| PoisonedPart {
            route: rng.random_range(0..3),
            position: [1, 1, 1, 1, 2, 0][rng.random_range(0..6)],
            rate: rng.random_range(2.0..6.0),
            from: rng.random_range(5_000..8_000),
        });
        let poisoned = poisoned.collect();
        let is_long = instances < MAX_INSTANCES && rng.random_bool(0.05);
        let until = if is_long { 60_000 } else { 20_000 };
        Self {
            instances,
            poisoned,
            until,
            faults,
        }
    }

    /// Draws a scenario without parts that crash endpoints.
    pub fn sound(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        let faults = [
            Faults::Resets,
            Faults::MassCrashes,
            Faults::Instances,
            Faults::Mixed,
        ];
        Self {
            instances: draw_instances(&mut rng),
            poisoned: Vec::new(),
            until: 15_000,
            faults: faults[rng.random_range(0..4)],
        }
    }
}

fn draw_instances(rng: &mut ChaCha8Rng) -> usize {
    match rng.random_range(0..30) {
        0 => MAX_INSTANCES,
        1..15 => 8,
        _ => 3,
    }
}
