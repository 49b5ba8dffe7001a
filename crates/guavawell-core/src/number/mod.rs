//! Conversions between counts and fractions, where neither can go wrong.

/// A count as a fraction. Counts here are far below 2^53, above which a
/// fraction would be inexact.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
#[must_use]
pub const fn fraction(count: u64) -> f64 {
    count as f64
}

/// A fraction as a count: rounded down, and zero where it is negative.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
#[must_use]
pub const fn whole(fraction: f64) -> u64 {
    fraction as u64
}
