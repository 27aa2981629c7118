//! A simulated endpoint: continuous batching, prefill in order, a prefix cache in limited memory.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::request::BLOCK;
use crate::request::Request;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_policy::EndpointSpec;
use siskinyoke_policy::LoadReport;

/// How much each neighbour in the batch slows a request: sixteen together run at ten times the
/// speed of one, as published figures of such engines lie between eight and twelve.
const CROWD: f64 = 0.04;

/// An endpoint as it truly is.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// As configured; its speeds hold for one request alone.
    pub endpoint: EndpointSpec,
    /// Requests that truly run at once.
    pub slots: u32,
    /// Blocks that its prefix cache holds.
    pub cache: usize,
}

impl EngineSpec {
    /// Returns the tokens a second of a full batch.
    pub fn decode(&self) -> f64 {
        f64::from(self.slots) * pace(&self.endpoint, self.slots as usize)
    }
}

/// A simulated endpoint.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    factor: f64,
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    cache: Map<u64, u64>,
    order: BTreeMap<u64, u64>,
    stamp: u64,
}

#[derive(Debug)]
struct Job {
    id: usize,
    prefix: Vec<u64>,
    prompt: f64,
    fresh: f64,
    computed: f64,
    output: f64,
}

/// What an engine did in one step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Progress {
    /// The first piece of an answer.
    First(usize),
    /// The end of an answer, with the prompt tokens computed for it.
    Done(usize, f64),
}

impl Engine {
    /// Makes an idle endpoint.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            factor: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: Map::default(),
            order: BTreeMap::new(),
            stamp: 0,
        }
    }

    /// Returns the endpoint as configured.
    pub fn spec(&self) -> &EndpointSpec {
        &self.spec.endpoint
    }

    /// Sets its speed as a part of the configured one; 0 freezes it.
    pub fn set_factor(&mut self, factor: f64) {
        self.factor = factor;
    }

    /// Takes a request in, as it always does.
    pub fn accept(&mut self, id: usize, request: &Request) {
        self.waiting.push_back(Job {
            id,
            prefix: request.prefix.clone(),
            prompt: f64::from(request.prompt),
            fresh: 0.0,
            computed: 0.0,
            output: f64::from(request.output),
        });
    }

    /// Drops a request; returns the prompt tokens computed for it, if it was still there.
    pub fn cancel(&mut self, id: usize) -> Option<f64> {
        if let Some(at) = self.waiting.iter().position(|job| job.id == id) {
            self.waiting.remove(at);
            return Some(0.0);
        }
        let at = self.running.iter().position(|job| job.id == id)?;
        Some(self.running.remove(at).computed)
    }

    /// Returns its load as of now.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            age: Millis::ZERO,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// Works for `span`.
    pub fn step(&mut self, span: Millis, out: &mut Vec<Progress>) {
        if self.factor <= 0.0 {
            return;
        }
        self.fill();
        let seconds = span.as_secs() * self.factor;
        let pace = pace(&self.spec.endpoint, self.running.len()) * seconds;
        self.decode(pace, out);
        self.prefill(f64::from(self.spec.endpoint.prefill) * seconds, out);
    }

    fn fill(&mut self) {
        while self.running.len() < self.spec.slots as usize {
            let Some(mut job) = self.waiting.pop_front() else {
                return;
            };
            job.fresh = (job.prompt - self.cached(&job.prefix)).max(1.0);
            self.running.push(job);
        }
    }

    fn decode(&mut self, pace: f64, out: &mut Vec<Progress>) {
        for job in &mut self.running {
            if job.fresh <= 0.0 {
                job.output -= pace;
            }
        }
        self.running.retain(|job| {
            let done = job.fresh <= 0.0 && job.output <= 0.0;
            if done {
                out.push(Progress::Done(job.id, job.computed));
            }
            !done
        });
    }

    fn prefill(&mut self, budget: f64, out: &mut Vec<Progress>) {
        let mut budget = budget;
        let mut computed = Vec::new();
        for job in &mut self.running {
            if job.fresh <= 0.0 {
                continue;
            }
            let part = job.fresh.min(budget);
            job.fresh -= part;
            job.computed += part;
            budget -= part;
            if job.fresh <= 0.0 {
                out.push(Progress::First(job.id));
                computed.push(job.prefix.clone());
            }
            if budget <= 0.0 {
                break;
            }
        }
        for prefix in computed {
            self.remember(&prefix);
        }
    }

    fn cached(&self, prefix: &[u64]) -> f64 {
        let known = prefix
            .iter()
            .take_while(|digest| self.cache.contains_key(digest));
        f64::from(BLOCK) * crate::convert::number(known.count())
    }

    fn remember(&mut self, prefix: &[u64]) {
        for digest in prefix {
            self.stamp += 1;
            if let Some(old) = self.cache.insert(*digest, self.stamp) {
                self.order.remove(&old);
            }
            self.order.insert(self.stamp, *digest);
        }
        while self.cache.len() > self.spec.cache {
            let Some((_, digest)) = self.order.pop_first() else {
                return;
            };
            self.cache.remove(&digest);
        }
    }
}

/// Returns the tokens a second of each of `batch` requests together.
fn pace(endpoint: &EndpointSpec, batch: usize) -> f64 {
    let neighbours = crate::convert::number(batch.saturating_sub(1));
    f64::from(endpoint.speed) / (1.0 + CROWD * neighbours)
}
