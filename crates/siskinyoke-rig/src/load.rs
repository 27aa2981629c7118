//! The loads to play, and the requests that they are made of.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::convert;
use crate::request::BLOCK;
use crate::request::Request;
use crate::site::INSTANCES;
use crate::site::Kind;
use crate::site::ORGANISATIONS;
use crate::site::Site;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;

/// How long requests arrive.
pub const SPAN: Millis = Millis::from_secs(60);

/// Usual parts of the load by organisation: a few large ones.
const USUAL_PARTS: [f64; ORGANISATIONS] = [0.35, 0.3, 0.15, 0.12, 0.08];

/// Parts of the load if one organisation sends most of it.
const HOT_PARTS: [f64; ORGANISATIONS] = [0.8, 0.05, 0.05, 0.05, 0.05];

/// How much more load the first instance gets than each other, as callers keep addresses.
const SKEW: f64 = 2.0;

/// How far an answer's estimate may lie above its true length.
const GUESS: f64 = 0.6;

/// A load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Its name.
    pub name: &'static str,
    /// Load as a part of capacity.
    pub level: f64,
    /// Whether it was kept apart while thresholds were chosen.
    pub held: bool,
    /// A burst: from, to, how many times the load.
    pub burst: Option<(Millis, Millis, f64)>,
    /// Whether one organisation and one prefix take most of the load.
    pub hot: bool,
    /// How many times longer the prompts of the first kind are.
    pub stretch: u32,
    /// Endpoints that change speed: number, from, to, part of its speed.
    pub changes: Vec<(usize, Millis, Millis, f64)>,
    /// When the preset for peaks comes into force.
    pub switch: Option<Millis>,
    /// When half of the instances are replaced.
    pub replace: Option<Millis>,
    /// Seed of the requests.
    pub seed: u64,
}

impl Load {
    /// Returns the loads by which thresholds were chosen, then those kept apart.
    pub fn all() -> Vec<Self> {
        let mut loads = Self::chosen();
        loads.extend(Self::held());
        loads
    }

    fn chosen() -> Vec<Self> {
        let secs = Millis::from_secs;
        vec![
            Self {
                burst: Some((secs(20), secs(24), 10.0)),
                ..Self::plain("burst", 0.5)
            },
            Self {
                hot: true,
                ..Self::plain("hot", 1.2)
            },
            Self {
                changes: vec![(0, secs(15), secs(120), 0.25)],
                ..Self::plain("slow", 0.7)
            },
            Self {
                changes: vec![(1, secs(20), secs(40), 0.0)],
                ..Self::plain("frozen", 0.7)
            },
            Self {
                stretch: 3,
                ..Self::plain("long", 0.7)
            },
            Self::plain("at-0.8", 0.8),
            Self::plain("at-1", 1.0),
            Self::plain("at-1.5", 1.5),
            Self::plain("at-3", 3.0),
            Self {
                switch: Some(secs(30)),
                ..Self::plain("switch", 1.5)
            },
            Self {
                replace: Some(secs(30)),
                ..Self::plain("replace", 0.8)
            },
            Self {
                burst: Some((secs(25), secs(28), 10.0)),
                hot: true,
                stretch: 2,
                changes: vec![(0, secs(15), secs(120), 0.25), (1, secs(20), secs(40), 0.0)],
                switch: Some(secs(26)),
                replace: Some(secs(30)),
                ..Self::plain("together", 0.8)
            },
        ]
    }

    fn held() -> Vec<Self> {
        let secs = Millis::from_secs;
        let mut loads = vec![
            Self {
                burst: Some((secs(10), secs(18), 6.0)),
                ..Self::plain("burst-held", 0.6)
            },
            Self {
                hot: true,
                ..Self::plain("hot-held", 2.0)
            },
            Self {
                changes: vec![(2, secs(10), secs(50), 0.3), (4, secs(30), secs(120), 0.2)],
                ..Self::plain("slow-held", 0.8)
            },
            Self {
                changes: vec![(0, secs(12), secs(30), 0.0), (5, secs(33), secs(50), 0.0)],
                ..Self::plain("frozen-held", 0.6)
            },
            Self::plain("at-1.2-held", 1.2),
            Self::plain("at-2.2-held", 2.2),
            Self {
                burst: Some((secs(35), secs(40), 5.0)),
                changes: vec![(3, secs(10), secs(30), 0.0), (6, secs(20), secs(60), 0.25)],
                replace: Some(secs(20)),
                switch: Some(secs(36)),
                ..Self::plain("together-held", 1.0)
            },
        ];
        for load in &mut loads {
            load.held = true;
            load.seed = 77;
        }
        loads
    }

    fn plain(name: &'static str, level: f64) -> Self {
        Self {
            name,
            level,
            held: false,
            burst: None,
            hot: false,
            stretch: 1,
            changes: Vec::new(),
            switch: None,
            replace: None,
            seed: 1,
        }
    }

    /// Draws the requests, in the order of their arrival.
    pub fn requests(&self, site: &Site) -> Vec<Request> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut requests = Vec::new();
        for (number, kind) in site.kinds.iter().enumerate() {
            let capacity = site.capacity(&kind.target);
            let rate = capacity * kind.part * self.level / kind.mean_output();
            self.draw(&mut rng, site, number, rate, &mut requests);
        }
        requests.sort_by_key(|request| request.arrived);
        requests
    }

    /// Draws one kind's requests at `rate` a second, as a Poisson process.
    fn draw(
        &self,
        rng: &mut ChaCha8Rng,
        site: &Site,
        number: usize,
        rate: f64,
        out: &mut Vec<Request>,
    ) {
        let peak = self.burst.map_or(1.0, |(_, _, times)| times);
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / (rate * peak);
            let arrived = convert::millis(at);
            if arrived >= SPAN {
                return;
            }
            if rng.random::<f64>() * peak < self.times(arrived) {
                out.push(self.request(rng, &site.kinds[number], number, arrived));
            }
        }
    }

    fn times(&self, at: Millis) -> f64 {
        match self.burst {
            Some((from, to, times)) if at >= from && at < to => times,
            _ => 1.0,
        }
    }

    fn request(
        &self,
        rng: &mut ChaCha8Rng,
        kind: &Kind,
        number: usize,
        arrived: Millis,
    ) -> Request {
        let parts = if self.hot { HOT_PARTS } else { USUAL_PARTS };
        let organisation = pick(rng, &parts);
        let mut weights = [1.0; INSTANCES];
        weights[0] = SKEW;
        let instance = pick(rng, &weights);
        let times = if number == 0 { self.stretch } else { 1 };
        let prompt = rng.random_range(kind.prompt.0..=kind.prompt.1) * times;
        let output = rng.random_range(kind.output.0..=kind.output.1);
        let above = 1.0 + GUESS * rng.random::<f64>();
        let hot = self.hot && organisation == 0;
        let shared = if hot { prompt * 3 / 4 } else { kind.shared };
        Request {
            organisation: OrganisationId::new(&format!("organisation-{organisation}")),
            instance,
            rank: kind.rank,
            protected: kind.protected,
            arrived,
            need: kind.need,
            stream: kind.stream,
            class: kind.class,
            target: kind.target.clone(),
            prompt,
            output,
            estimate: convert::count(f64::from(output) * above),
            prefix: prefix(rng, organisation, number, prompt, shared.min(prompt)),
        }
    }
}

/// Returns chained digests of a prompt whose leading blocks its organisation's others share.
fn prefix(
    rng: &mut ChaCha8Rng,
    organisation: usize,
    kind: usize,
    prompt: u32,
    shared: u32,
) -> Vec<u64> {
    let common = (organisation * 16 + kind + 1) as u64;
    let own: u64 = rng.random();
    (0..prompt / BLOCK)
        .map(|block| {
            let root = if block < shared / BLOCK { common } else { own };
            root.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(block)
        })
        .collect()
}

fn pick(rng: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (number, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return number;
        }
    }
    weights.len() - 1
}
