//! A router against an engine asked directly, in turns within one run.

use std::fmt::Write;
use std::net::SocketAddr;

use guavawell_core::clock::ClockSpan;
use serde::Serialize;

use crate::hooks::LoadHooks;
use crate::plan::ArrivalMode;
use crate::plan::LoadPlan;
use crate::plan::RequestProfile;
use crate::plan::RetryPolicy;
use crate::plan::TargetKind;
use crate::report::LoadReport;
use crate::report::duration_text;
use crate::runner::LoadError;
use crate::runner::run;

/// What to compare and how.
#[derive(Clone, Debug)]
pub struct ComparePlan {
    /// The router's address for callers.
    pub router: SocketAddr,
    /// The engine's address.
    pub engine: SocketAddr,
    /// Connections that send back to back.
    pub connections: usize,
    /// Time for each side, over all its turns.
    pub time: ClockSpan,
    /// Turns that each side takes.
    pub rounds: u64,
    /// Client threads.
    pub threads: usize,
    /// Start of every request id.
    pub tag: Box<str>,
    /// The request sent.
    pub profile: RequestProfile,
}

/// Figures of one side in one turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CompareSide {
    /// Requests answered whole.
    pub answered: u64,
    /// Requests that ended otherwise.
    pub failed: u64,
    /// Requests answered whole, a second.
    pub per_second: f64,
    /// Median time to first token, in microseconds.
    pub p50_micros: u64,
    /// Its 99th percentile, in microseconds.
    pub p99_micros: u64,
}

impl CompareSide {
    fn of(report: &LoadReport) -> Self {
        let first = &report.whole.first_token;
        Self {
            answered: report.counts.answered,
            failed: report.counts.requests - report.counts.answered,
            per_second: report.answered_per_second,
            p50_micros: first.at(0.5).unwrap_or_default(),
            p99_micros: first.at(0.99).unwrap_or_default(),
        }
    }
}

/// One turn of both sides.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct CompareRound {
    /// The engine asked directly.
    pub engine: CompareSide,
    /// The router before it.
    pub router: CompareSide,
}

/// The whole comparison: every turn, and each figure's median over the turns.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CompareReport {
    /// The turns in their order.
    pub rounds: Vec<CompareRound>,
    /// Medians over the turns.
    pub median: CompareRound,
    /// Added median time to first token, in microseconds.
    pub added_p50_micros: i64,
    /// Added 99th percentile of time to first token, in microseconds.
    pub added_p99_micros: i64,
}

/// Runs the comparison. Blocks the calling thread.
///
/// # Errors
///
/// As [`run`].
pub fn compare(plan: &ComparePlan) -> Result<CompareReport, LoadError> {
    let rounds = plan.rounds.max(1);
    let mut results = Vec::new();
    for round in 0..rounds {
        let engine = run(
            side_plan(plan, TargetKind::Engine, round),
            LoadHooks::default(),
        )?;
        let router = run(
            side_plan(plan, TargetKind::Router, round),
            LoadHooks::default(),
        )?;
        results.push(CompareRound {
            engine: CompareSide::of(&engine),
            router: CompareSide::of(&router),
        });
    }
    let median = CompareRound {
        engine: median_side(results.iter().map(|round| round.engine).collect()),
        router: median_side(results.iter().map(|round| round.router).collect()),
    };
    Ok(CompareReport {
        rounds: results,
        median,
        added_p50_micros: difference(median.router.p50_micros, median.engine.p50_micros),
        added_p99_micros: difference(median.router.p99_micros, median.engine.p99_micros),
    })
}

fn side_plan(plan: &ComparePlan, kind: TargetKind, round: u64) -> LoadPlan {
    let target = match kind {
        TargetKind::Engine => plan.engine,
        TargetKind::Router => plan.router,
    };
    let turn = plan.time.as_millis() / plan.rounds.max(1);
    LoadPlan {
        targets: Box::new([target]),
        target_kind: kind,
        arrival: ArrivalMode::Closed {
            connections: plan.connections,
        },
        duration: Some(ClockSpan::from_millis(turn.max(1))),
        threads: plan.threads,
        seed: round + 1,
        tag: format!("{}-{round}", plan.tag).into(),
        retry: RetryPolicy {
            max_tries: 1,
            ..RetryPolicy::default()
        },
        profiles: Box::new([plan.profile.clone()]),
        ..LoadPlan::default()
    }
}

fn median_side(mut sides: Vec<CompareSide>) -> CompareSide {
    let middle = sides.len() / 2;
    let mut median = CompareSide {
        answered: sides.iter().map(|side| side.answered).sum(),
        failed: sides.iter().map(|side| side.failed).sum(),
        ..CompareSide::default()
    };
    sides.sort_by(|a, b| a.per_second.total_cmp(&b.per_second));
    median.per_second = sides[middle].per_second;
    sides.sort_by_key(|side| side.p50_micros);
    median.p50_micros = sides[middle].p50_micros;
    sides.sort_by_key(|side| side.p99_micros);
    median.p99_micros = sides[middle].p99_micros;
    median
}

fn difference(router: u64, engine: u64) -> i64 {
    router.cast_signed() - engine.cast_signed()
}

/// The comparison as text, for people.
#[must_use]
pub fn compare_text(report: &CompareReport) -> String {
    let mut out = format!(
        "{:<16} {:>12} {:>9} {:>8} {:>12} {:>12}\n",
        "", "answered/s", "answered", "failed", "first p50", "first p99"
    );
    for (index, round) in report.rounds.iter().enumerate() {
        write_side(&mut out, &format!("engine {}", index + 1), &round.engine);
        write_side(&mut out, &format!("router {}", index + 1), &round.router);
    }
    write_side(&mut out, "engine median", &report.median.engine);
    write_side(&mut out, "router median", &report.median.router);
    writeln!(
        out,
        "added to first token: p50 {} us, p99 {} us",
        report.added_p50_micros, report.added_p99_micros
    )
    .expect("a string takes every write");
    out
}

fn write_side(out: &mut String, name: &str, side: &CompareSide) {
    writeln!(
        out,
        "{:<16} {:>12.1} {:>9} {:>8} {:>12} {:>12}",
        name,
        side.per_second,
        side.answered,
        side.failed,
        duration_text(side.p50_micros),
        duration_text(side.p99_micros)
    )
    .expect("a string takes every write");
}
