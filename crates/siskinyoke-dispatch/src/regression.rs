//! Linear regression in which newer observations weigh more.

/// The smallest weight of a new observation; the first ones weigh more.
///
/// A fiftieth averages over about the last fifty, as many requests of a busy service as an instance
/// observes in one to three seconds. With fewer the slope is unreliable, as prompts differ a
/// hundredfold.
const MIN_WEIGHT: f64 = 0.02;

/// The multiple of the predicted value at which an observation is clipped.
///
/// A single response that was delayed for seconds behind others would skew all predictions.
const OUTLIER_RATIO: f64 = 4.0;

/// The smallest value at which observations are clipped.
const MIN_OUTLIER_MS: f64 = 100.0;

/// A least-squares fit of a line, in which newer observations weigh more.
///
/// It keeps exponential moving averages of the terms of the fit.
#[derive(Debug, Clone, Copy)]
pub struct LinearRegression {
    samples: f64,
    mean_x: f64,
    mean_y: f64,
    mean_xx: f64,
    mean_xy: f64,
}

impl LinearRegression {
    /// Creates a line through two points, which together count as one observation.
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

    /// Records an observation.
    pub fn record(&mut self, x: f64, y: f64) {
        let y = y.min((self.predict(x) * OUTLIER_RATIO).max(MIN_OUTLIER_MS));
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_WEIGHT);
        let update = |mean: &mut f64, value: f64| *mean += (value - *mean) * weight;
        update(&mut self.mean_x, x);
        update(&mut self.mean_y, y);
        update(&mut self.mean_xx, x * x);
        update(&mut self.mean_xy, x * y);
    }

    /// Returns the predicted value, which never decreases with `x`.
    pub fn predict(&self, x: f64) -> f64 {
        (self.mean_y + self.slope() * (x - self.mean_x)).max(0.0)
    }

    /// Returns the slope of the line, which is never negative.
    pub fn slope(&self) -> f64 {
        let variance = self.mean_xx - self.mean_x * self.mean_x;
        if variance < 1.0 {
            return 0.0;
        }
        ((self.mean_xy - self.mean_x * self.mean_y) / variance).max(0.0)
    }
}
