//! Division of slot time by weight between organisations that ask for different amounts.

/// What an organisation asks for, and its weight.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// The slot time that it asks for.
    pub offered: f64,
    /// Its weight; positive.
    pub weight: f64,
}

impl Claim {
    /// Returns what organisations ask for together.
    pub fn sum(claims: &[Self]) -> Self {
        Self {
            offered: claims.iter().map(|it| it.offered).sum(),
            weight: claims.iter().map(|it| it.weight).sum(),
        }
    }

    /// Returns what it asks for per weight.
    pub fn per_weight(self) -> f64 {
        self.offered / self.weight
    }
}

/// Returns the slot time per weight up to which every claim can be met when `total` is divided:
/// each organisation gets at most what it asks for, and those that are not satisfied get the same
/// amount per weight.
///
/// The level is infinite if `total` covers all claims.
pub fn fair_level(total: f64, mut claims: Vec<Claim>) -> f64 {
    claims.sort_unstable_by(|a, b| a.per_weight().total_cmp(&b.per_weight()));
    let mut remaining = total;
    let mut weight: f64 = claims.iter().map(|it| it.weight).sum();
    for claim in claims {
        let level = remaining / weight;
        if claim.per_weight() > level {
            return level.max(0.0);
        }
        remaining -= claim.offered;
        weight -= claim.weight;
    }
    f64::INFINITY
}
