//! The two deployments at their sizes of today: endpoints, organisations, tiers and kinds of work.

use crate::engine::EngineSpec;
use siskinyoke_base::CallClass;
use siskinyoke_base::DataCentre;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;
use siskinyoke_policy::EndpointSpec;
use siskinyoke_policy::PresetSpec;
use siskinyoke_policy::TierWeights;

/// Entry instances.
pub const INSTANCES: usize = 8;

/// Organisations.
pub const ORGANISATIONS: usize = 5;

/// A deployment.
#[derive(Debug, Clone)]
pub struct Site {
    /// Its name.
    pub name: &'static str,
    /// One-way delay between data centres.
    pub distance: Millis,
    /// Endpoints of the model, then of the plain service.
    pub engines: Vec<EngineSpec>,
    /// Kinds of work.
    pub kinds: Vec<Kind>,
    /// The ordinary preset.
    pub ordinary: PresetSpec,
    /// The preset for peaks.
    pub peak: PresetSpec,
}

/// A kind of work.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// The model or service.
    pub target: ModelId,
    /// Rank of its tier.
    pub rank: u8,
    /// Whether its tier is protected.
    pub protected: bool,
    /// How often it may be dispatched.
    pub class: CallClass,
    /// Whether its need is for the first piece.
    pub stream: bool,
    /// Time to a useful answer.
    pub need: Millis,
    /// The least and the most tokens of a prompt.
    pub prompt: (u32, u32),
    /// The least and the most tokens of an answer.
    pub output: (u32, u32),
    /// Tokens of the prompt that an organisation's requests share.
    pub shared: u32,
    /// Part of the target's capacity that it takes at load 1.
    pub part: f64,
}

impl Kind {
    /// Returns the average tokens of an answer.
    pub fn mean_output(&self) -> f64 {
        f64::midpoint(f64::from(self.output.0), f64::from(self.output.1))
    }
}

impl Site {
    /// Makes Muscat: long prompts, and wasted prefill weighs most.
    pub fn muscat() -> Self {
        let centres = ["muscat-a", "muscat-b", "muscat-c"];
        let distance = Millis(1);
        let kinds = vec![
            Kind {
                prompt: (1500, 6000),
                output: (300, 600),
                need: Millis::from_secs(5),
                part: 0.4,
                ..Kind::marking("marking")
            },
            Kind::query("paragraph", Millis::from_secs(2)),
            Kind::deferrable("exercise"),
            Kind::booking("portal", 0.3),
        ];
        Self {
            name: "muscat",
            distance,
            engines: engines(centres, distance, "portal"),
            kinds,
            ordinary: preset("ordinary", 0.9, [0.0, 0.0, 0.0], 400),
            peak: preset("peak", 0.9, [0.3, 0.1, 0.0], 400),
        }
    }

    /// Makes Cairo: long answers, and goodput by tier weighs most.
    pub fn cairo() -> Self {
        let centres = ["heliopolis", "dokki", "maadi"];
        let distance = Millis(2);
        let kinds = vec![
            Kind {
                prompt: (800, 2000),
                output: (300, 800),
                need: Millis::from_secs(40),
                stream: false,
                part: 0.4,
                ..Kind::marking("draft")
            },
            Kind::query("question", Millis::from_secs(2)),
            Kind::deferrable("reconciliation"),
            Kind::booking("desk", 0.3),
        ];
        Self {
            name: "cairo",
            distance,
            engines: engines(centres, distance, "desk"),
            kinds,
            ordinary: preset("ordinary", 0.2, [0.0, 0.0, 0.0], 400),
            peak: preset("peak", 0.2, [0.3, 0.1, 0.0], 400),
        }
    }

    /// Returns the tokens (or calls) a second that all endpoints of a target give together.
    pub fn capacity(&self, target: &ModelId) -> f64 {
        let offering = self.engines.iter();
        let offering = offering.filter(|engine| engine.endpoint.targets.contains(target));
        offering.map(EngineSpec::decode).sum()
    }
}

impl Kind {
    fn marking(name: &'static str) -> Self {
        Self {
            name,
            target: ModelId::new("model"),
            rank: 0,
            protected: true,
            class: CallClass::Idempotent,
            stream: true,
            need: Millis::ZERO,
            prompt: (0, 0),
            output: (0, 0),
            shared: 512,
            part: 0.0,
        }
    }

    fn query(name: &'static str, need: Millis) -> Self {
        Self {
            name,
            target: ModelId::new("model"),
            rank: 1,
            protected: false,
            class: CallClass::AtMostOnce,
            stream: true,
            need,
            prompt: (40, 120),
            output: (20, 60),
            shared: 0,
            part: 0.2,
        }
    }

    fn deferrable(name: &'static str) -> Self {
        Self {
            name,
            target: ModelId::new("model"),
            rank: 2,
            protected: false,
            class: CallClass::Idempotent,
            stream: true,
            need: Millis::from_secs(20),
            prompt: (1000, 3000),
            output: (200, 400),
            shared: 512,
            part: 0.4,
        }
    }

    fn booking(service: &'static str, part: f64) -> Self {
        Self {
            name: "booking",
            target: ModelId::new(service),
            rank: 1,
            protected: false,
            class: CallClass::NonIdempotent,
            stream: false,
            need: Millis::from_secs(1),
            prompt: (0, 0),
            output: (1, 1),
            shared: 0,
            part,
        }
    }
}

fn engines(centres: [&str; 3], distance: Millis, service: &str) -> Vec<EngineSpec> {
    let mut engines = Vec::new();
    for (group, (speed, prefill, slots)) in [(80, 8000, 16), (50, 5000, 12), (30, 3000, 8)]
        .into_iter()
        .enumerate()
    {
        for number in 0..4 {
            let centre = centres[(group + number) % 3];
            let name = format!("engine-{}", number * 3 + group);
            // One of the middle engines batches half of what its operators believe.
            let true_slots = if group == 1 && number == 3 {
                slots / 2
            } else {
                slots
            };
            engines.push(EngineSpec {
                endpoint: EndpointSpec {
                    id: EndpointId::new(&name),
                    centre: DataCentre::new(centre),
                    distance,
                    targets: vec![ModelId::new("model")],
                    slots,
                    speed,
                    prefill,
                },
                slots: true_slots,
                cache: 2000,
            });
        }
    }
    for (number, centre) in centres.into_iter().enumerate() {
        engines.push(EngineSpec {
            endpoint: EndpointSpec {
                id: EndpointId::new(&format!("{service}-{number}")),
                centre: DataCentre::new(centre),
                distance,
                targets: vec![ModelId::new(service)],
                slots: 16,
                speed: 20,
                prefill: 100_000,
            },
            slots: 16,
            cache: 0,
        });
    }
    engines
}

fn preset(name: &str, prefill: f64, reserves: [f64; 3], queue: u32) -> PresetSpec {
    let tiers = reserves.map(|reserve| TierWeights {
        reserve,
        open: true,
    });
    PresetSpec {
        name: name.to_owned(),
        tiers: tiers.to_vec(),
        prefill_weight: prefill,
        shift: 0.1,
        queue,
    }
}
