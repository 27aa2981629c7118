//! Time in milliseconds and the clocks that supply it.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// A point in time or a span of time, in milliseconds. Addition and subtraction saturate.
///
/// Points in time count from the start of the process that read the clock, so they are not
/// comparable between processes. Messages carry spans only.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the process, or an empty span.
    pub const ZERO: Self = Self(0);

    /// Creates a span from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// Returns the span from `earlier` to this point, or zero if `earlier` is later.
    ///
    /// For two spans, returns their difference, or zero if the argument is longer.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns this span as a fractional number of seconds.
    #[expect(clippy::cast_precision_loss, reason = "spans stay far below 2^52 ms")]
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}

impl From<Millis> for Duration {
    fn from(span: Millis) -> Self {
        Self::from_millis(span.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the time since the process started; it never decreases.
    fn now(&self) -> Millis;
}

/// The operating system's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        let span = self.start.elapsed().as_millis();
        Millis(u64::try_from(span).unwrap_or(u64::MAX))
    }
}
