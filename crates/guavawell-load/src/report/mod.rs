//! The closing report: figures, and their forms as text, JSON and SVG.
//!
//! It measures nothing and leaves no failure out.

mod plot;
mod text;

use serde::Serialize;

use crate::budget::BudgetReport;
use crate::history::IncompleteCause;
use crate::history::TryEnd;
use crate::measure::EndCount;
use crate::measure::LatencySet;
use crate::measure::LatencySummary;
use crate::measure::Measurement;
use crate::measure::ProfileMeasurement;
use crate::measure::SeriesPoint;
use crate::measure::merge_ends;
use crate::runner::RunShared;

pub use plot::plot_svg;
pub use text::duration_text;
pub use text::report_text;

/// Counts over a number of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestCounts {
    /// Requests, those shed included.
    pub requests: u64,
    /// Tries sent for them.
    pub tries: u64,
    /// Answered whole, and right by the check.
    pub answered: u64,
    /// Of these, after more than one try.
    pub answered_after_retries: u64,
    /// Answered whole, but wrong by the check.
    pub wrong: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Last try cut off in the middle.
    pub incomplete: u64,
    /// No target accepted a connection.
    pub unreachable: u64,
    /// Never sent, since too many were under way.
    pub shed: u64,
    /// Tokens of whole answers.
    pub completion_tokens: u64,
    /// Every way to end, with its count.
    pub ends: Vec<EndCount>,
}

impl RequestCounts {
    fn of(profile: &ProfileMeasurement) -> Self {
        let mut counts = Self {
            tries: profile.tries,
            answered_after_retries: profile.retried_answers,
            completion_tokens: profile.tokens,
            ends: profile.ends.clone(),
            ..Self::default()
        };
        for row in &profile.ends {
            counts.requests += row.count;
            let sum = match row.end {
                TryEnd::Whole => &mut counts.answered,
                TryEnd::Wrong { .. } => &mut counts.wrong,
                TryEnd::Refused { .. } => &mut counts.refused,
                TryEnd::Incomplete { .. } => &mut counts.incomplete,
                TryEnd::Unreachable => &mut counts.unreachable,
                TryEnd::Shed => &mut counts.shed,
            };
            *sum += row.count;
        }
        counts
    }

    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.tries += other.tries;
        self.answered += other.answered;
        self.answered_after_retries += other.answered_after_retries;
        self.wrong += other.wrong;
        self.refused += other.refused;
        self.incomplete += other.incomplete;
        self.unreachable += other.unreachable;
        self.shed += other.shed;
        self.completion_tokens += other.completion_tokens;
        merge_ends(&mut self.ends, &other.ends);
    }

    /// How often a request ended by this cause of an incomplete answer.
    #[must_use]
    pub fn incomplete_by(&self, cause: IncompleteCause) -> u64 {
        let wanted = TryEnd::Incomplete { why: cause };
        let row = self.ends.iter().find(|row| row.end == wanted);
        row.map_or(0, |row| row.count)
    }
}

/// Counts of one profile of the mix.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ProfileReport {
    /// The profile's name.
    pub name: Box<str>,
    /// Its counts.
    #[serde(flatten)]
    pub counts: RequestCounts,
}

/// Latencies of one class of answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Time to first token.
    pub first_token: LatencySummary,
    /// Time between tokens.
    pub between_tokens: LatencySummary,
    /// From the time due to the end.
    pub total: LatencySummary,
}

impl LatencyReport {
    fn of(set: &LatencySet) -> Self {
        Self {
            first_token: set.first(),
            between_tokens: set.between(),
            total: set.total(),
        }
    }
}

/// A run's closing report.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// Seed of the run.
    pub seed: u64,
    /// From the start to the last answer, in milliseconds.
    pub elapsed_ms: u64,
    /// Requests answered whole, a second.
    pub answered_per_second: f64,
    /// Counts over all requests.
    pub counts: RequestCounts,
    /// Counts of each profile, in the plan's order.
    pub profiles: Vec<ProfileReport>,
    /// What callers received of each budget that the plan names.
    pub budgets: Vec<BudgetReport>,
    /// Every way a single try ended.
    pub try_ends: Vec<EndCount>,
    /// Latencies of whole answers; of a retried one, each try by itself.
    pub whole: LatencyReport,
    /// Latencies of streams that began and were cut or refused in the middle.
    pub cut: LatencyReport,
    /// Throughput and latency over time.
    pub series: Vec<SeriesPoint>,
}

impl LoadReport {
    pub(crate) fn build(shared: &RunShared, measurements: &[Measurement]) -> Self {
        let plan = &shared.plan;
        let elapsed_ms = shared.elapsed_ms().max(1);
        let mut sum = Measurement::new(plan.profiles.len());
        for measurement in measurements {
            sum.merge(measurement);
        }
        let mut counts = RequestCounts::default();
        let mut profiles = Vec::with_capacity(plan.profiles.len());
        for (profile, measured) in plan.profiles.iter().zip(&sum.profiles) {
            let own = RequestCounts::of(measured);
            counts.add(&own);
            profiles.push(ProfileReport {
                name: profile.name.clone(),
                counts: own,
            });
        }
        Self {
            seed: plan.seed,
            elapsed_ms,
            answered_per_second: per_second(counts.answered, elapsed_ms),
            counts,
            profiles,
            budgets: shared.budgets.reports(),
            try_ends: sum.try_ends,
            whole: LatencyReport::of(&sum.whole),
            cut: LatencyReport::of(&sum.cut),
            series: sum.series.points(),
        }
    }

    /// The report as one JSON object, indented.
    ///
    /// # Panics
    ///
    /// Never: every field is plain.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("plain fields always serialise")
    }
}

/// A count over milliseconds as a rate a second.
#[expect(clippy::cast_precision_loss, reason = "figures for reading only")]
fn per_second(count: u64, millis: u64) -> f64 {
    count as f64 * 1_000.0 / millis as f64
}
