//! The report as text.

use std::fmt::Write;

use super::LatencyReport;
use super::LoadReport;
use super::RequestCounts;
use crate::history::TryEnd;
use crate::measure::EndCount;
use crate::measure::LatencySummary;

/// The report as text, for people.
#[must_use]
pub fn report_text(report: &LoadReport) -> String {
    let mut out = String::new();
    write_counts(&mut out, report);
    write_ends(&mut out, "Ends of requests", &report.counts.ends);
    write_ends(&mut out, "Ends of tries", &report.try_ends);
    if report.profiles.len() > 1 {
        write_profiles(&mut out, report);
    }
    write_budgets(&mut out, report);
    write_latencies(&mut out, "Whole answers", &report.whole);
    write_latencies(&mut out, "Answers cut in the middle", &report.cut);
    out
}

fn line(out: &mut String, text: std::fmt::Arguments<'_>) {
    out.write_fmt(text).expect("a string takes every write");
    out.push('\n');
}

fn write_counts(out: &mut String, report: &LoadReport) {
    let counts = &report.counts;
    line(
        out,
        format_args!("seed {}, {} ms", report.seed, report.elapsed_ms),
    );
    for (name, count) in count_rows(counts) {
        line(out, format_args!("  {name:<24} {count:>10}"));
    }
    let rate = report.answered_per_second;
    line(
        out,
        format_args!("  {:<24} {rate:>10.1}", "answered a second"),
    );
}

fn count_rows(counts: &RequestCounts) -> [(&'static str, u64); 10] {
    [
        ("requests", counts.requests),
        ("tries", counts.tries),
        ("answered whole", counts.answered),
        ("  after retries", counts.answered_after_retries),
        ("wrong answers", counts.wrong),
        ("refused", counts.refused),
        ("incomplete", counts.incomplete),
        ("unreachable", counts.unreachable),
        ("shed by this client", counts.shed),
        ("tokens answered", counts.completion_tokens),
    ]
}

fn write_ends(out: &mut String, title: &str, ends: &[EndCount]) {
    if ends.is_empty() {
        return;
    }
    line(out, format_args!("{title}"));
    for row in ends {
        line(
            out,
            format_args!("  {:<40} {:>10}", end_text(&row.end), row.count),
        );
    }
}

fn end_text(end: &TryEnd) -> String {
    match end {
        TryEnd::Whole => "whole".into(),
        TryEnd::Wrong { why } => format!("wrong: {why}"),
        TryEnd::Refused { outcome, reason } => format!("refused {outcome} {reason}"),
        TryEnd::Incomplete { why } => format!("incomplete: {why}"),
        TryEnd::Unreachable => "unreachable".into(),
        TryEnd::Shed => "shed".into(),
    }
}

fn write_profiles(out: &mut String, report: &LoadReport) {
    line(
        out,
        format_args!(
            "{:<22} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "Profiles", "requests", "answered", "refused", "cut", "wrong"
        ),
    );
    for profile in &report.profiles {
        let counts = &profile.counts;
        line(
            out,
            format_args!(
                "  {:<20} {:>9} {:>9} {:>9} {:>9} {:>9}",
                profile.name,
                counts.requests,
                counts.answered,
                counts.refused,
                counts.incomplete,
                counts.wrong
            ),
        );
    }
}

fn write_budgets(out: &mut String, report: &LoadReport) {
    if report.budgets.is_empty() {
        return;
    }
    line(
        out,
        format_args!(
            "{:<22} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "Budgets", "left", "used", "overspend", "refused", "falsely"
        ),
    );
    for row in &report.budgets {
        line(
            out,
            format_args!(
                "  {:<20} {:>9} {:>9} {:>9} {:>9} {:>9}",
                row.budget.as_str(),
                row.left,
                row.used,
                row.overspend,
                row.refused,
                row.refused_falsely
            ),
        );
    }
}

fn write_latencies(out: &mut String, title: &str, latencies: &LatencyReport) {
    if latencies.total.count == 0 {
        return;
    }
    line(
        out,
        format_args!(
            "{:<26} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
            title, "count", "p50", "p90", "p95", "p99", "p99.9", "max"
        ),
    );
    write_row(out, "first token", &latencies.first_token);
    write_row(out, "between tokens", &latencies.between_tokens);
    write_row(out, "whole", &latencies.total);
}

fn write_row(out: &mut String, name: &str, summary: &LatencySummary) {
    if summary.count == 0 {
        return;
    }
    let mut row = format!("  {name:<24} {:>9}", summary.count);
    for quantile in &summary.quantiles {
        write!(row, " {:>9}", duration_text(quantile.micros)).expect("a string takes every write");
    }
    line(out, format_args!("{row}"));
}

/// Microseconds in the unit that reads best.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "figures for reading only")]
pub fn duration_text(micros: u64) -> String {
    match micros {
        0..1_000 => format!("{micros} us"),
        1_000..1_000_000 => format!("{:.2} ms", micros as f64 / 1e3),
        _ => format!("{:.2} s", micros as f64 / 1e6),
    }
}
