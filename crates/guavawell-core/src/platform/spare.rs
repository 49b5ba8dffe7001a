//! What may wait writes no oftener than a small share of the platform allows.

use super::rate::PlatformRate;
use crate::clock::ClockSpan;

/// The part of a share that work which can wait may take: an eighth each for
/// segments of the journal and for reports of settled use.
const SPARE_DIVISOR: u64 = 8;

/// How long a journal's segments may stay open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentWait {
    /// While the share is large.
    pub least: ClockSpan,
    /// However small the share is.
    pub most: ClockSpan,
}

impl SegmentWait {
    /// The wait at which `slots` journals write `spare` at most.
    #[must_use]
    pub fn at(&self, spare: PlatformRate, slots: usize) -> ClockSpan {
        let slots = u64::try_from(slots).unwrap_or(u64::MAX);
        let milli = spare.as_milli().max(1);
        let millis = slots.saturating_mul(1_000_000).div_ceil(milli);
        let longest = self.most.max(self.least);
        ClockSpan::from_millis(millis).clamp(self.least, longest)
    }
}

/// The rate at which work that can wait is sent at most.
#[must_use]
pub const fn spare_rate(share: PlatformRate) -> PlatformRate {
    share.part(1, SPARE_DIVISOR)
}
