//! The time line as JSON lines; the last line holds the summary.

use guavawell_core::event::EventRecord;
use serde::Serialize;

use crate::merge::EventMerge;
use crate::offset::OffsetEstimate;

#[derive(Serialize)]
struct SummaryLine<'a> {
    summary: SummaryFields<'a>,
}

#[derive(Serialize)]
struct SummaryFields<'a> {
    shown: u64,
    events: u64,
    copies: u64,
    disordered: u64,
    bad_lines: u64,
    bad: Vec<BadFields>,
    clocks: &'a [OffsetEstimate],
}

#[derive(Serialize)]
struct BadFields {
    place: Box<str>,
    reason: Box<str>,
}

/// One event as one JSON object, as the log has it.
///
/// # Panics
///
/// Never: every field is plain.
#[must_use]
pub fn event_json(record: &EventRecord) -> String {
    serde_json::to_string(record).expect("plain fields always serialise")
}

/// The summary as one JSON object under the key `summary`.
///
/// # Panics
///
/// Never: every field is plain.
#[must_use]
pub fn summary_json(merge: &EventMerge, shown: u64, offsets: &[OffsetEstimate]) -> String {
    let summary = merge.summary();
    let bad = summary.bad.kept().iter().map(|bad| BadFields {
        place: merge.place_text(bad.place),
        reason: bad.reason.to_string().into(),
    });
    let line = SummaryLine {
        summary: SummaryFields {
            shown,
            events: summary.events,
            copies: summary.copies,
            disordered: summary.disordered,
            bad_lines: summary.bad.count(),
            bad: bad.collect(),
            clocks: offsets,
        },
    };
    serde_json::to_string(&line).expect("plain fields always serialise")
}
