//! The merged order: causes first, whatever the clocks and the logs do.

use std::io::Cursor;

use guavawell_core::event::EventRecord;
use guavawell_timeline::merge::EventMerge;
use guavawell_timeline::offset::OffsetEstimator;
use guavawell_timeline::source::EventSource;

use crate::env::event;
use crate::env::log_of;
use crate::fleet::ProcessLog;
use crate::fleet::history;
use crate::fleet::jumble;

const SKEWS: [i64; 4] = [0, 5_000, -40, -90_000];

fn merge_of(logs: &[ProcessLog], window: usize) -> EventMerge {
    let source = |(index, log): (usize, &ProcessLog)| {
        let text = log_of(log).into_bytes();
        EventSource::new(&format!("log{index}"), Box::new(Cursor::new(text)))
    };
    EventMerge::new(logs.iter().enumerate().map(source).collect(), window)
}

fn message_of(record: &EventRecord) -> Option<&str> {
    let field = record.detail.iter().find(|field| &*field.name == "message");
    field.map(|field| &*field.value)
}

fn assert_causal(merged: &[EventRecord]) {
    for (index, record) in merged.iter().enumerate() {
        let later = &merged[index + 1..];
        let same = later
            .iter()
            .filter(|other| other.instance == record.instance);
        assert!(same.into_iter().all(|other| other.order > record.order));
        if &*record.kind == "message.received" {
            let cause = |other: &EventRecord| {
                &*other.kind == "message.sent" && message_of(other) == message_of(record)
            };
            assert!(!later.iter().any(cause), "an effect before its cause");
        }
    }
}

#[test]
fn no_event_precedes_its_cause_under_skewed_clocks_and_jumbled_logs() {
    for seed in 0..12 {
        let mut logs = history(seed, &SKEWS, 400);
        for (index, log) in (0..).zip(&mut logs) {
            jumble(log, seed + index, 8);
        }
        let mut merge = merge_of(&logs, 16);
        let merged: Vec<EventRecord> = merge.by_ref().map(|event| event.record).collect();
        assert_eq!(merged.len(), 400);
        assert_eq!(merge.summary().disordered, 0);
        assert_causal(&merged);
    }
}

#[test]
fn a_small_window_gives_the_order_of_the_whole_sort() {
    let mut logs = history(99, &SKEWS, 2_000);
    for log in &mut logs {
        jumble(log, 5, 8);
    }
    let small: Vec<EventRecord> = merge_of(&logs, 8).map(|event| event.record).collect();
    let whole = merge_of(&logs, usize::MAX).map(|event| event.record);
    assert!(whole.eq(small));
}

#[test]
fn disorder_beyond_the_window_is_counted_with_its_place() {
    let log = vec![
        event("a", 5, 1, "slot.acquired"),
        event("a", 6, 2, "slot.acquired"),
        event("a", 1, 3, "slot.acquired"),
    ];
    let mut merge = merge_of(std::slice::from_ref(&log), 1);
    assert_eq!(merge.by_ref().count(), 3);
    assert_eq!(merge.summary().disordered, 1);
    let place = merge.summary().first_disordered.expect("a place");
    assert_eq!(&*merge.place_text(place), "log0:3");
    let mut whole = merge_of(&[log], usize::MAX);
    assert_eq!(whole.by_ref().count(), 3);
    assert_eq!(whole.summary().disordered, 0);
}

#[test]
fn a_log_given_twice_counts_once() {
    let log = history(3, &[0], 50).remove(0);
    let mut merge = merge_of(&[log.clone(), log], 16);
    assert_eq!(merge.by_ref().count(), 50);
    assert_eq!(merge.summary().copies, 50);
}

#[test]
fn clock_offsets_are_estimated_from_requests_that_pass_both_ways() {
    let mut estimator = OffsetEstimator::default();
    for event in merge_of(&history(7, &SKEWS, 20_000), 16) {
        estimator.add(&event.record);
    }
    let estimates = estimator.estimates();
    assert_eq!(estimates.len(), SKEWS.len());
    let reference = estimates.iter().position(|e| e.error_ms == Some(0));
    let reference = SKEWS[reference.expect("a reference")];
    for (estimate, skew) in estimates.iter().zip(SKEWS) {
        let ahead = estimate.ahead_ms.expect("all are linked");
        let error = estimate.error_ms.expect("all are linked");
        let off = (ahead - (skew - reference)).abs();
        assert!(off <= error, "{estimate:?}: off by {off} ms");
        assert!(error <= 20, "{estimate:?}");
    }
}
