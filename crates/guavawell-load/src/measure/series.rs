//! Throughput and latency over the time of a run, in bounded memory.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::latency::record_span;

/// Most buckets kept; past it, buckets double their width.
const MAX_BUCKETS: usize = 600;

/// Significant decimal digits of a bucket's histogram.
const DIGITS: u8 = 2;

/// One span of time.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct SeriesPoint {
    /// Seconds from the start of the run to the start of the span.
    pub second: u64,
    /// Length of the span, in seconds.
    pub width: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests that ended otherwise.
    pub failed: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Median of the whole answers' latency, in microseconds.
    pub p50_micros: u64,
    /// Its 99th percentile, in microseconds.
    pub p99_micros: u64,
}

#[derive(Clone)]
struct Bucket {
    failed: u64,
    tokens: u64,
    total: Histogram<u64>,
}

impl Bucket {
    fn new() -> Self {
        Self {
            failed: 0,
            tokens: 0,
            total: Histogram::new(DIGITS).expect("a constant precision"),
        }
    }

    fn merge(&mut self, other: &Self) {
        self.failed += other.failed;
        self.tokens += other.tokens;
        self.total
            .add(&other.total)
            .expect("both histograms grow with their values");
    }
}

/// Buckets of equal width from the start of the run on.
#[derive(Clone)]
pub(crate) struct TimeSeries {
    width: u64,
    buckets: Vec<Bucket>,
}

impl Default for TimeSeries {
    fn default() -> Self {
        Self {
            width: 1,
            buckets: Vec::new(),
        }
    }
}

impl TimeSeries {
    /// Records a request that ended in `second`; `total` if answered whole.
    pub(crate) fn record(&mut self, second: u64, total: Option<Duration>, tokens: u64) {
        let bucket = self.bucket(second);
        match total {
            Some(span) => {
                record_span(&mut bucket.total, span);
                bucket.tokens += tokens;
            }
            None => bucket.failed += 1,
        }
    }

    /// Adds another series.
    pub(crate) fn merge(&mut self, other: &Self) {
        let mut other = other.clone();
        while other.width < self.width {
            other.halve();
        }
        while self.width < other.width {
            self.halve();
        }
        for (index, bucket) in other.buckets.iter().enumerate() {
            let second = index as u64 * other.width;
            self.bucket(second).merge(bucket);
        }
    }

    /// The series as figures.
    pub(crate) fn points(&self) -> Vec<SeriesPoint> {
        let point = |(index, bucket): (usize, &Bucket)| SeriesPoint {
            second: index as u64 * self.width,
            width: self.width,
            answered: bucket.total.len(),
            failed: bucket.failed,
            tokens: bucket.tokens,
            p50_micros: bucket.total.value_at_quantile(0.5),
            p99_micros: bucket.total.value_at_quantile(0.99),
        };
        self.buckets.iter().enumerate().map(point).collect()
    }

    fn bucket(&mut self, second: u64) -> &mut Bucket {
        loop {
            let index = usize::try_from(second / self.width).unwrap_or(usize::MAX);
            if index < MAX_BUCKETS {
                if self.buckets.len() <= index {
                    self.buckets.resize_with(index + 1, Bucket::new);
                }
                return &mut self.buckets[index];
            }
            self.halve();
        }
    }

    /// Doubles the width, so that half as many buckets remain.
    fn halve(&mut self) {
        self.width *= 2;
        let old = std::mem::take(&mut self.buckets);
        for pair in old.chunks(2) {
            let mut merged = pair[0].clone();
            if let Some(second) = pair.get(1) {
                merged.merge(second);
            }
            self.buckets.push(merged);
        }
    }
}

#[cfg(test)]
mod tests;
