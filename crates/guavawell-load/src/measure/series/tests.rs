//! Long runs stay in bounded memory and lose no count.

use std::time::Duration;

use super::MAX_BUCKETS;
use super::TimeSeries;

#[test]
fn a_long_run_keeps_every_count_in_few_buckets() {
    let mut series = TimeSeries::default();
    for second in 0..5_000 {
        series.record(second, Some(Duration::from_secs(3)), 2);
    }
    let mut short = TimeSeries::default();
    short.record(10, None, 0);
    series.merge(&short);
    let points = series.points();
    assert!(points.len() <= MAX_BUCKETS);
    assert!(points[0].p99_micros.abs_diff(3_000_000) <= 30_000);
    assert_eq!(points.iter().map(|p| p.answered).sum::<u64>(), 5_000);
    assert_eq!(points.iter().map(|p| p.tokens).sum::<u64>(), 10_000);
    assert_eq!(points.iter().map(|p| p.failed).sum::<u64>(), 1);
}
