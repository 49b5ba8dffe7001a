//! What one client thread measures, and how threads add up.
//!
//! Owns the counts. What is worth counting is decided by the client threads.

mod latency;
mod series;

use std::time::Duration;
use std::time::Instant;

use crate::client::Exchange;
use crate::history::RequestHistory;
use crate::history::TryEnd;

pub use latency::LatencySet;
pub use latency::LatencySummary;
pub use latency::QuantileRow;
pub use series::SeriesPoint;
pub(crate) use series::TimeSeries;

/// How often something ended in one way.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct EndCount {
    /// The way.
    #[serde(flatten)]
    pub end: TryEnd,
    /// How often.
    pub count: u64,
}

/// Counts of one profile.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProfileMeasurement {
    pub(crate) ends: Vec<EndCount>,
    pub(crate) retried_answers: u64,
    pub(crate) tries: u64,
    pub(crate) tokens: u64,
}

/// Everything one client thread measured.
#[derive(Default)]
pub(crate) struct Measurement {
    pub(crate) whole: LatencySet,
    pub(crate) cut: LatencySet,
    pub(crate) series: TimeSeries,
    pub(crate) profiles: Vec<ProfileMeasurement>,
    pub(crate) try_ends: Vec<EndCount>,
}

impl Measurement {
    pub(crate) fn new(profiles: usize) -> Self {
        Self {
            profiles: vec![ProfileMeasurement::default(); profiles],
            ..Self::default()
        }
    }

    /// Measures one try, counted from `from`.
    pub(crate) fn record_try(&mut self, from: Instant, answer: &Exchange) {
        add_end(&mut self.try_ends, &answer.end, 1);
        let began = !answer.part_times.is_empty();
        let set = match answer.end {
            TryEnd::Whole => &mut self.whole,
            _ if began => &mut self.cut,
            _ => return,
        };
        set.record(from, Instant::now(), &answer.part_times);
    }

    /// Measures a finished request.
    pub(crate) fn record_end(
        &mut self,
        profile: usize,
        due: Instant,
        second: u64,
        history: &RequestHistory,
    ) {
        let tokens = history.usage().map_or(0, |usage| usage.completion_tokens);
        let counts = &mut self.profiles[profile];
        add_end(&mut counts.ends, &history.end, 1);
        counts.tries += history.tries.len() as u64;
        let whole = history.end == TryEnd::Whole;
        if whole {
            counts.tokens += tokens;
            counts.retried_answers += u64::from(history.tries.len() > 1);
        }
        self.series
            .record(second, whole.then(|| due.elapsed()), tokens);
    }

    /// Measures an arrival that was never sent.
    pub(crate) fn record_shed(&mut self, profile: usize) {
        add_end(&mut self.profiles[profile].ends, &TryEnd::Shed, 1);
    }

    /// Adds another thread's measurements.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.whole.merge(&other.whole);
        self.cut.merge(&other.cut);
        self.series.merge(&other.series);
        merge_ends(&mut self.try_ends, &other.try_ends);
        for (mine, theirs) in self.profiles.iter_mut().zip(&other.profiles) {
            merge_ends(&mut mine.ends, &theirs.ends);
            mine.retried_answers += theirs.retried_answers;
            mine.tries += theirs.tries;
            mine.tokens += theirs.tokens;
        }
    }
}

/// Adds `count` to an end in a list sorted by end.
pub(crate) fn add_end(ends: &mut Vec<EndCount>, end: &TryEnd, count: u64) {
    match ends.binary_search_by(|known| known.end.cmp(end)) {
        Ok(place) => ends[place].count += count,
        Err(place) => ends.insert(
            place,
            EndCount {
                end: end.clone(),
                count,
            },
        ),
    }
}

/// Adds one list of ends to another.
pub(crate) fn merge_ends(ends: &mut Vec<EndCount>, others: &[EndCount]) {
    for other in others {
        add_end(ends, &other.end, other.count);
    }
}

/// A span in whole microseconds.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
