//! Conversions between counts, spans and fractional numbers, in one place.

use siskinyoke_base::Millis;

/// The longest span that an estimate may give, in seconds; longer ones are all hopeless alike.
const LONGEST: f64 = 86_400.0;

/// Turns seconds into a span, bounded by a day.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of a day"
)]
pub(crate) fn millis(secs: f64) -> Millis {
    Millis((secs.clamp(0.0, LONGEST) * 1000.0).round() as u64)
}

/// Rounds down to a count.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of u32"
)]
pub(crate) fn floor(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}

/// Turns a length into a count.
pub(crate) fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

/// Returns what remains of a quantity that halves every `half`, after `span`.
pub(crate) fn decay(span: Millis, half: Millis) -> f64 {
    0.5_f64.powf(span.as_secs() / half.as_secs())
}
