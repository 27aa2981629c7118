//! Speed of an endpoint.

/// Speed of an endpoint: the time to the first part of its responses, and the time from one part to
/// the next.
///
/// The first consists mostly of fixed costs and waiting, which hardly differ between endpoints. The
/// second differs as much as their hardware does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointSpeed {
    /// Its service time for the same work, as a multiple of the expected one.
    pub factor: f64,
    /// Its mean time between two parts of a response, in ms, if that was observed.
    pub part_interval: Option<f64>,
}

impl EndpointSpeed {
    /// Returns the lowest factor and the lowest part interval among these speeds.
    pub fn fastest_of(speeds: impl IntoIterator<Item = Self>) -> Option<Self> {
        speeds.into_iter().reduce(|one, other| {
            let intervals = [one.part_interval, other.part_interval];
            Self {
                factor: one.factor.min(other.factor),
                part_interval: intervals.into_iter().flatten().reduce(f64::min),
            }
        })
    }
}
