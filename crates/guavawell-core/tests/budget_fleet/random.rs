//! A seeded source of numbers.

/// A seeded generator (xorshift), so that every run is the same.
#[derive(Clone, Debug)]
pub struct SeededRandom(u64);

impl SeededRandom {
    pub const fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// A number below `limit`.
    pub const fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }
}
