//! A simplified simulation of an inference engine.
//!
//! It runs a batch in steps. Each step generates one token for every request whose prompt is
//! prefilled, and prefills a chunk of the first other prompt. Prompts are therefore prefilled in
//! order of arrival, which slows down the responses that are generated meanwhile. A part of a
//! response holds several tokens. Not simulated: memory, prefix caching, a queue of the engine's
//! own.

/// The duration of a step without prefill, and how much each running request adds to it.
const STEP_MS: f64 = 3.7;
const STEP_PER_REQUEST_MS: f64 = 0.08;

/// The prefill speed, and the largest number of prompt tokens that are prefilled in one step.
const PREFILL_TOKENS_PER_MS: f64 = 82.0;
const PREFILL_CHUNK_TOKENS: f64 = 2_048.0;

/// Tokens per part of a response.
const TOKENS_PER_PART: u32 = 5;

/// One request that an engine runs.
#[derive(Debug, Clone)]
pub struct Run {
    /// The index of its job.
    pub job: usize,
    /// Prompt tokens that remain to be prefilled.
    pub remaining_prefill: f64,
    /// Output tokens that remain to be generated.
    pub remaining_output: u32,
    /// When it was sent, and when the first and the latest part were emitted, in ms.
    pub sent: f64,
    pub first_part: Option<f64>,
    pub last_part: f64,
    /// The longest pause between two parts, in ms.
    pub longest_pause: f64,
    /// The number of parts so far.
    pub parts: u32,
    generated: u32,
}

impl Run {
    /// Makes a request that is sent now.
    pub fn new(job: usize, now: f64, prompt: f64, output: u32) -> Self {
        Self {
            job,
            remaining_prefill: prompt,
            remaining_output: output.max(1),
            sent: now,
            first_part: None,
            last_part: now,
            longest_pause: 0.0,
            parts: 0,
            generated: 0,
        }
    }

    fn emit_token(&mut self, now: f64) {
        self.remaining_output -= 1;
        self.generated += 1;
        if self.generated % TOKENS_PER_PART != 1 && self.remaining_output > 0 {
            return;
        }
        if self.first_part.is_some() {
            self.longest_pause = self.longest_pause.max(now - self.last_part);
        }
        self.first_part.get_or_insert(now);
        self.last_part = now;
        self.parts += 1;
    }
}

/// A simplified simulation of an inference engine.
#[derive(Debug)]
pub struct Engine {
    /// Its processing time for the same request as a multiple of the fastest engine's.
    pub slowdown: f64,
    /// Whether it accepts requests without processing them.
    pub unresponsive: bool,
    /// The requests that it runs.
    pub runs: Vec<Run>,
    clock: f64,
}

impl Engine {
    /// Makes an idle engine.
    pub fn new(slowdown: f64) -> Self {
        Self {
            slowdown,
            unresponsive: false,
            runs: Vec::new(),
            clock: 0.0,
        }
    }

    /// Runs until `now` and returns the requests that completed.
    pub fn advance(&mut self, now: f64) -> Vec<Run> {
        let mut completed = Vec::new();
        if self.runs.is_empty() || self.unresponsive {
            self.clock = now;
            return completed;
        }
        while self.clock < now {
            self.step();
            let (done, runs) = self
                .runs
                .drain(..)
                .partition(|run| run.remaining_output == 0);
            self.runs = runs;
            completed.extend::<Vec<Run>>(done);
        }
        completed
    }

    fn step(&mut self) {
        let running = f64::from(u32::try_from(self.runs.len()).expect("a batch is small"));
        let prefilling = self.runs.iter_mut().find(|run| run.remaining_prefill > 0.0);
        let chunk = prefilling.map_or(0.0, |run| {
            let chunk = run.remaining_prefill.min(PREFILL_CHUNK_TOKENS);
            run.remaining_prefill -= chunk;
            chunk
        });
        self.clock += (STEP_MS + STEP_PER_REQUEST_MS * running + chunk / PREFILL_TOKENS_PER_MS)
            * self.slowdown;
        for run in &mut self.runs {
            if run.remaining_prefill <= 0.0 && run.remaining_output > 0 {
                run.emit_token(self.clock);
            }
        }
    }
}
