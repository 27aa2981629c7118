//! Conversions between counts, spans and fractional numbers.

use siskinyoke_base::Millis;

/// Turns a length into a number.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn number(len: usize) -> f64 {
    len as f64
}

/// Rounds a number down to an index.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "negative numbers and overflow end at the bounds"
)]
pub fn index(value: f64) -> usize {
    value as usize
}

/// Rounds a number down to a count.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "negative numbers and overflow end at the bounds"
)]
pub fn count(value: f64) -> u32 {
    value as u32
}

/// Turns seconds into a span.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "negative numbers and overflow end at the bounds"
)]
pub fn millis(secs: f64) -> Millis {
    Millis((secs * 1000.0) as u64)
}
