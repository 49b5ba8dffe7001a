//! Conversions between integer counts and floating-point numbers, for ranges in
//! which they are exact or saturate.

/// Converts a count to a floating-point number. This is exact for the counts used
/// here, which are far below 2^53.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
#[must_use]
pub const fn fraction(count: u64) -> f64 {
    count as f64
}

/// Converts a floating-point number to a count: rounded down, and zero if negative.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
#[must_use]
pub const fn whole(fraction: f64) -> u64 {
    fraction as u64
}
