//! How long requests of one service take, as this instance sees it.

use crate::Work;
use crate::regression::Regression;
use siskinyoke_base::Millis;

/// How much a new observation counts in a running mean.
///
/// A twentieth follows the last twenty requests of an instance, about a second under load.
const WEIGHT: f64 = 0.05;

/// The time on an endpoint that is assumed before any was seen, in ms.
const UNSEEN: f64 = 200.0;

/// The time to the first part that is assumed before any was seen, in ms: of no prompt, and of a
/// long one of so many tokens.
const FIRST: [(f64, f64); 2] = [(0.0, 50.0), (5_000.0, 100.0)];

/// The time between two parts of an answer that is assumed before any was seen, in ms.
const PIECE: f64 = 20.0;

/// How far the longest pause follows one beyond it, and falls with one below.
///
/// In balance, one in thirty lies beyond.
const RISE: f64 = 0.25;
const FALL: f64 = 0.005;

/// The parts that a token of output makes, assumed before any was seen: engines send several tokens
/// in one part.
const PARTS: f64 = 0.2;

/// How long requests of one service take, as this instance sees it.
///
/// Requests of one service differ a hundredfold in prompt and output. One mean for all of them cuts
/// long prompts off while they are read and is wrong about
/// every wait; so each request's own time is worked out from its tokens.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    stay: f64,
    first: Regression,
    piece: f64,
    // The pause between two parts that only one in thirty answers goes beyond.
    longest: f64,
    // Means of the parts that answers had, and of the tokens that had been expected of them.
    parts: f64,
    expected: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            stay: UNSEEN,
            first: Regression::through(FIRST[0], FIRST[1]),
            piece: PIECE,
            longest: PIECE,
            parts: PARTS,
            expected: 1.0,
        }
    }
}

impl Load {
    /// Takes note that the first part of an answer came after this time.
    pub fn began(&mut self, work: &Work, first: Millis) {
        self.first.saw(work.prompt, float(first));
    }

    /// Takes note of a finished stay whose answer had so many parts.
    pub fn finished(&mut self, work: &Work, first: Millis, took: Millis, parts: u32) {
        self.stay += (float(took) - self.stay) * WEIGHT;
        if parts > 1 {
            let piece = float(took.since(first)) / f64::from(parts - 1);
            self.piece += (piece - self.piece) * WEIGHT;
        }
        if work.output > 0.0 && parts > 0 {
            self.parts += (f64::from(parts) - self.parts) * WEIGHT;
            self.expected += (work.output - self.expected) * WEIGHT;
        }
    }

    /// Takes note of the longest pause in an answer, as it would be at the usual pace.
    pub fn paused(&mut self, pause: f64) {
        if pause > self.longest {
            self.longest += (pause - self.longest) * RISE;
        } else {
            self.longest -= self.longest * FALL;
        }
    }

    /// Returns how long the answers at an endpoint of the usual pace pause while it reads so many tokens.
    ///
    /// Engines put parts of the answers that they write between those of the prompts that they read; so the
    /// pause grows with the prompt, up to the longest that is seen.
    pub fn stall(&self, prompt: f64) -> f64 {
        (self.piece + self.first.slope() * prompt).min(self.longest)
    }

    /// Returns the usual time on an endpoint.
    pub fn stay(&self) -> Millis {
        millis(self.stay)
    }

    /// Returns the expected time to the first part of a request's answer.
    pub fn first_of(&self, work: &Work) -> Millis {
        millis(self.first.at(work.prompt))
    }

    /// Returns the expected time between the first and the last part of an answer of so many parts.
    pub fn rest(&self, parts: f64) -> Millis {
        millis(self.piece * (parts - 1.0).max(0.0))
    }

    /// Returns the expected time of a request on an endpoint.
    pub fn stay_of(&self, work: &Work) -> Millis {
        self.first_of(work) + self.rest(self.parts_of(work))
    }

    /// Returns the expected parts of an answer.
    pub fn parts_of(&self, work: &Work) -> f64 {
        work.output * self.parts / self.expected
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "spans stay far below 2^52 ms"
)]
#[expect(clippy::cast_sign_loss, reason = "means of positive values")]
pub(crate) fn millis(value: f64) -> Millis {
    Millis(value.max(0.0) as u64)
}

/// Returns a span in ms as a number to reckon with.
pub(crate) fn float(span: Millis) -> f64 {
    span.as_secs() * 1000.0
}
