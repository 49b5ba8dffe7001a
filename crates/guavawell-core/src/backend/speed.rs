//! Measured latency of one server: smoothed, and fading without samples.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;

/// Fixed-point scale of the smoothed value.
const SCALE: u64 = 16;
/// A new sample counts one part in this many.
const SMOOTHING: u64 = 8;

/// A smoothed latency, in milliseconds.
#[derive(Debug, Default)]
pub(super) struct LatencyMean {
    /// The mean times [`SCALE`]; zero while nothing was measured.
    scaled: AtomicU64,
    /// When the last sample came, in milliseconds.
    sampled: AtomicU64,
}

impl LatencyMean {
    /// Takes one sample in.
    pub(super) fn sample(&self, latency: ClockSpan, now: ClockTime) {
        let value = latency.as_millis().max(1) * SCALE;
        let _ = self
            .scaled
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |mean| {
                Some(smooth(mean, value))
            });
        self.sampled.store(now.as_millis(), Ordering::Relaxed);
    }

    /// Takes a sample in only if it lowers the mean: a queued request tells an
    /// upper bound.
    pub(super) fn sample_bound(&self, latency: ClockSpan, now: ClockTime) {
        let mean = self.scaled.load(Ordering::Relaxed);
        if latency.as_millis() * SCALE < mean {
            self.sample(latency, now);
        }
    }

    /// The mean in milliseconds, drawn towards `guess` by the age of the last
    /// sample.
    pub(super) fn value(&self, guess: ClockSpan, half_life: ClockSpan, now: ClockTime) -> u64 {
        let guess = guess.as_millis();
        let mean = self.scaled.load(Ordering::Relaxed) / SCALE;
        if mean == 0 {
            return guess;
        }
        if mean <= guess {
            return mean;
        }
        let sampled = ClockTime::from_millis(self.sampled.load(Ordering::Relaxed));
        let age = now.since(sampled).as_millis();
        let half_life = half_life.as_millis().max(1);
        guess + (mean - guess) * half_life / (half_life + age)
    }
}

fn smooth(mean: u64, value: u64) -> u64 {
    if mean == 0 {
        return value;
    }
    (mean * (SMOOTHING - 1) + value) / SMOOTHING
}
