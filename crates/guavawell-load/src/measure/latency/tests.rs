//! Latencies of every size keep their value.

use std::time::Duration;
use std::time::Instant;

use super::LatencySet;

#[test]
fn long_latencies_are_kept_within_a_thousandth() {
    let from = Instant::now();
    for micros in [0, 1, 2_047, 2_048, 500_000, 90_000_000, 7_200_000_000] {
        let mut set = LatencySet::default();
        let span = Duration::from_micros(micros);
        set.record(from, from + span, &[from + span, from + span * 2]);
        for summary in [set.total(), set.first(), set.between()] {
            let median = summary.at(0.5).expect("one value");
            assert!(
                median.abs_diff(micros) <= micros / 1_000,
                "{micros}: {median}"
            );
            assert_eq!(summary.count, 1);
        }
    }
}

#[test]
fn merged_sets_keep_the_long_latencies_of_both() {
    let from = Instant::now();
    let mut short = LatencySet::default();
    short.record(from, from + Duration::from_micros(30), &[]);
    let mut long = LatencySet::default();
    long.record(from, from + Duration::from_secs(20), &[]);
    short.merge(&long);
    assert_eq!(short.total().count, 2);
    let longest = short.total().at(1.0).expect("two values");
    assert!(longest.abs_diff(20_000_000) <= 20_000, "{longest}");
}
