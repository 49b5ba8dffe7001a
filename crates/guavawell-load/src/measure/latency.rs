//! Latency histograms, in microseconds.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use super::micros;

/// Significant decimal digits kept by the histograms.
const DIGITS: u8 = 3;

/// The quantiles that a report gives.
pub const QUANTILES: [f64; 6] = [0.5, 0.9, 0.95, 0.99, 0.999, 1.0];

/// Latencies of one class of answers.
#[derive(Clone)]
pub struct LatencySet {
    first: Histogram<u64>,
    between: Histogram<u64>,
    total: Histogram<u64>,
}

impl Default for LatencySet {
    fn default() -> Self {
        Self {
            first: new_histogram(),
            between: new_histogram(),
            total: new_histogram(),
        }
    }
}

/// A histogram that grows with its values.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("a constant precision")
}

/// Records a span in a histogram that grows with its values.
///
/// `saturating_record` would not let the histogram grow: it holds every value
/// at the little range that a new histogram has.
pub(crate) fn record_span(histogram: &mut Histogram<u64>, span: Duration) {
    histogram
        .record(micros(span))
        .expect("the histogram grows with its values");
}

impl LatencySet {
    /// Records one answer that was due at `from`.
    pub(crate) fn record(&mut self, from: Instant, ended: Instant, parts: &[Instant]) {
        record_span(&mut self.total, ended.duration_since(from));
        if let Some(first) = parts.first() {
            record_span(&mut self.first, first.duration_since(from));
        }
        for pair in parts.windows(2) {
            record_span(&mut self.between, pair[1].duration_since(pair[0]));
        }
    }

    /// Adds another set.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (mine, theirs) in [
            (&mut self.first, &other.first),
            (&mut self.between, &other.between),
            (&mut self.total, &other.total),
        ] {
            mine.add(theirs)
                .expect("both histograms grow with their values");
        }
    }

    /// Time to first token.
    #[must_use]
    pub fn first(&self) -> LatencySummary {
        LatencySummary::of(&self.first)
    }

    /// Time between tokens.
    #[must_use]
    pub fn between(&self) -> LatencySummary {
        LatencySummary::of(&self.between)
    }

    /// From the time due to the answer's end.
    #[must_use]
    pub fn total(&self) -> LatencySummary {
        LatencySummary::of(&self.total)
    }
}

/// One quantile.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct QuantileRow {
    /// From 0 to 1.
    pub quantile: f64,
    /// The latency, in microseconds.
    pub micros: u64,
}

/// A histogram's figures.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct LatencySummary {
    /// Recorded values.
    pub count: u64,
    /// Their mean, in microseconds.
    pub mean_micros: f64,
    /// Their quantiles; empty where nothing was recorded.
    pub quantiles: Vec<QuantileRow>,
}

impl LatencySummary {
    fn of(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Self::default();
        }
        let row = |quantile: f64| QuantileRow {
            quantile,
            micros: histogram.value_at_quantile(quantile),
        };
        Self {
            count: histogram.len(),
            mean_micros: histogram.mean(),
            quantiles: QUANTILES.iter().copied().map(row).collect(),
        }
    }

    /// The latency at a quantile of [`QUANTILES`], in microseconds.
    #[must_use]
    pub fn at(&self, quantile: f64) -> Option<u64> {
        let near = |row: &&QuantileRow| (row.quantile - quantile).abs() < 1e-9;
        self.quantiles.iter().find(near).map(|row| row.micros)
    }
}

#[cfg(test)]
mod tests;
