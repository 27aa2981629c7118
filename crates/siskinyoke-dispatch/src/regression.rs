//! A straight line through what was seen, the newest counting most.

/// How much a new observation counts once there are enough of them.
///
/// A fiftieth follows the last fifty: an instance sees as many requests of a busy service in one to three
/// seconds, and fewer leave the slope to chance, as prompts differ a hundredfold.
const MIN_WEIGHT: f64 = 0.02;

/// How many times the expected value an observation counts for at most.
///
/// One answer that waited for seconds behind others would tilt the line for all.
const OUTLIER_RATIO: f64 = 4.0;

/// The smallest value that is cut off as an outlier.
const MIN_OUTLIER_MS: f64 = 100.0;

/// A straight line through what was seen, the newest counting most.
///
/// It holds the running means of what a least-squares fit needs.
#[derive(Debug, Clone, Copy)]
pub struct LinearRegression {
    samples: f64,
    mean_x: f64,
    mean_y: f64,
    mean_xx: f64,
    mean_xy: f64,
}

impl LinearRegression {
    /// Makes a line through two points, which count as one observation.
    pub fn through(one: (f64, f64), other: (f64, f64)) -> Self {
        let mean = |of: fn((f64, f64)) -> f64| f64::midpoint(of(one), of(other));
        Self {
            samples: 1.0,
            mean_x: mean(|it| it.0),
            mean_y: mean(|it| it.1),
            mean_xx: mean(|it| it.0 * it.0),
            mean_xy: mean(|it| it.0 * it.1),
        }
    }

    /// Takes note of a point.
    pub fn record(&mut self, x: f64, y: f64) {
        let y = y.min((self.predict(x) * OUTLIER_RATIO).max(MIN_OUTLIER_MS));
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_WEIGHT);
        let follow = |mean: &mut f64, value: f64| *mean += (value - *mean) * weight;
        follow(&mut self.mean_x, x);
        follow(&mut self.mean_y, y);
        follow(&mut self.mean_xx, x * x);
        follow(&mut self.mean_xy, x * y);
    }

    /// Returns the line's value, which never falls as `x` grows.
    pub fn predict(&self, x: f64) -> f64 {
        (self.mean_y + self.slope() * (x - self.mean_x)).max(0.0)
    }

    /// Returns how much the value grows with each unit of `x`.
    pub fn slope(&self) -> f64 {
        let variance = self.mean_xx - self.mean_x * self.mean_x;
        if variance < 1.0 {
            return 0.0;
        }
        ((self.mean_xy - self.mean_x * self.mean_y) / variance).max(0.0)
    }
}
