//! Random draws with a fixed seed, and percentiles.

/// A `SplitMix64` generator.
pub struct RandomDraws(pub u64);

impl RandomDraws {
    /// The next number.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let first = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let second = (first ^ (first >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        second ^ (second >> 31)
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    /// A place in a list of this length.
    pub fn place(&mut self, len: usize) -> usize {
        usize::try_from(self.below(len as u64)).unwrap_or(0)
    }

    /// An exponentially distributed span with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let unit = f64::from(u32::try_from(self.next() >> 33).unwrap_or(0)) + 1.0;
        -(unit / f64::from(1_u32 << 31)).ln() * mean
    }
}

/// Latencies of one kind.
#[derive(Clone, Debug, Default)]
pub struct LatencySamples(pub Vec<u64>);

impl LatencySamples {
    /// The value below which `percent` in 100 lie.
    pub fn percentile(&self, percent: usize) -> u64 {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        let place = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(place).copied().unwrap_or(0)
    }
}
