//! The time line as text.

use std::fmt::Display;
use std::fmt::Write;

use guavawell_core::event::EventRecord;

use super::time_text;
use crate::merge::EventMerge;
use crate::offset::OffsetEstimate;

/// One event as one line, without the line's end.
#[must_use]
pub fn event_text(record: &EventRecord) -> String {
    let mut line = format!(
        "{:>8}  {:<23}  {:<16}  {:<22}",
        record.order,
        time_text(record.at),
        record.instance.as_str(),
        record.kind
    );
    add_field(&mut line, "organisation", record.organisation.as_ref());
    add_field(&mut line, "budget", record.budget.as_ref());
    add_field(&mut line, "request", record.request.as_ref());
    add_field(&mut line, "attempt", record.attempt.as_ref());
    for field in &record.detail {
        add_field(&mut line, &field.name, Some(&field.value));
    }
    line.truncate(line.trim_end().len());
    line
}

fn add_field(line: &mut String, name: &str, value: Option<&impl Display>) {
    if let Some(value) = value {
        write!(line, " {name}={value}").expect("a string takes every write");
    }
}

/// What the merge met, and the clocks' offsets.
#[must_use]
pub fn summary_text(merge: &EventMerge, shown: u64, offsets: &[OffsetEstimate]) -> String {
    let summary = merge.summary();
    let mut out = format!(
        "{shown} events shown of {}, {} copies left out, {} bad lines, {} out of order\n",
        summary.events,
        summary.copies,
        summary.bad.count(),
        summary.disordered
    );
    if let Some(place) = summary.first_disordered {
        let place = merge.place_text(place);
        let hint = "widen --window, or sort whole logs with --in-memory";
        add_line(&mut out, &format!("  first out of order: {place}; {hint}"));
    }
    for bad in summary.bad.kept() {
        let place = merge.place_text(bad.place);
        add_line(&mut out, &format!("  {place}: {}", bad.reason));
    }
    let untold = summary.bad.count() - summary.bad.kept().len() as u64;
    if untold > 0 {
        add_line(&mut out, &format!("  and {untold} further bad lines"));
    }
    for offset in offsets {
        add_line(&mut out, &offset_text(offset));
    }
    out
}

fn add_line(out: &mut String, line: &str) {
    out.push_str(line);
    out.push('\n');
}

fn offset_text(offset: &OffsetEstimate) -> String {
    let name = offset.instance.as_str();
    let events = offset.events;
    match (offset.ahead_ms, offset.error_ms) {
        (Some(ahead), Some(error)) => {
            format!("  clock of {name:<16} {events:>8} events, {ahead:+} ms, within {error} ms")
        }
        _ => format!("  clock of {name:<16} {events:>8} events, offset unknown"),
    }
}
