//! A straight line through what was seen, the newest counting most.

/// How much a new observation counts once there are enough of them.
///
/// A fiftieth follows the last fifty: an instance sees as many requests of a busy service in one to three
/// seconds, and fewer leave the slope to chance, as prompts differ a hundredfold.
const WEIGHT: f64 = 0.02;

/// How many times the expected value an observation counts for at most.
///
/// One answer that waited for seconds behind others would tilt the line for all.
const OUTLIER: f64 = 4.0;

/// The smallest value that is cut off as an outlier.
const SMALL: f64 = 100.0;

/// A straight line through what was seen, the newest counting most.
///
/// It holds the running means of what a least-squares fit needs.
#[derive(Debug, Clone, Copy)]
pub struct Regression {
    seen: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Regression {
    /// Makes a line through two points, which count as one observation.
    pub fn through(one: (f64, f64), other: (f64, f64)) -> Self {
        let mean = |of: fn((f64, f64)) -> f64| f64::midpoint(of(one), of(other));
        Self {
            seen: 1.0,
            x: mean(|it| it.0),
            y: mean(|it| it.1),
            xx: mean(|it| it.0 * it.0),
            xy: mean(|it| it.0 * it.1),
        }
    }

    /// Takes note of a point.
    pub fn saw(&mut self, x: f64, y: f64) {
        let y = y.min((self.at(x) * OUTLIER).max(SMALL));
        self.seen += 1.0;
        let weight = (1.0 / self.seen).max(WEIGHT);
        let follow = |mean: &mut f64, value: f64| *mean += (value - *mean) * weight;
        follow(&mut self.x, x);
        follow(&mut self.y, y);
        follow(&mut self.xx, x * x);
        follow(&mut self.xy, x * y);
    }

    /// Returns the line's value, which never falls as `x` grows.
    pub fn at(&self, x: f64) -> f64 {
        (self.y + self.slope() * (x - self.x)).max(0.0)
    }

    /// Returns how much the value grows with each unit of `x`.
    pub fn slope(&self) -> f64 {
        let spread = self.xx - self.x * self.x;
        if spread < 1.0 {
            return 0.0;
        }
        ((self.xy - self.x * self.y) / spread).max(0.0)
    }
}
