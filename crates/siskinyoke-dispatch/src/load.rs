//! How busy a service is, and how long a new request would wait.

use siskinyoke_base::Millis;

/// How much a new observation counts in a running mean.
///
/// A twentieth follows the last twenty requests of an instance, about a second under load.
const WEIGHT: f64 = 0.05;

/// The time on an endpoint that is assumed before any was seen, in ms.
const UNSEEN: f64 = 200.0;

/// How long requests of one service stay on an endpoint, as this instance sees it.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    stay: f64,
    first: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            stay: UNSEEN,
            first: UNSEEN / 4.0,
        }
    }
}

impl Load {
    /// Takes note of a finished stay.
    pub fn finished(&mut self, first: Millis, took: Millis) {
        self.stay += (took.as_secs() * 1000.0 - self.stay) * WEIGHT;
        self.first += (first.as_secs() * 1000.0 - self.first) * WEIGHT;
    }

    /// Returns the usual time on an endpoint.
    pub fn stay(&self) -> Millis {
        millis(self.stay)
    }

    /// Returns the usual time to the first part of an answer.
    pub fn first(&self) -> Millis {
        millis(self.first)
    }

    /// Estimates how long a request waits that has `ahead` others before it.
    ///
    /// `places` finish one after the other, each after the usual stay, so one is free every
    /// stay / places.
    pub fn wait(&self, ahead: usize, places: u32) -> Millis {
        if places == 0 {
            return self.stay();
        }
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        millis(self.stay * ahead / f64::from(places))
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
