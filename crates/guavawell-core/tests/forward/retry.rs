//! The allowance for retries.

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::RetryAllowance;
use guavawell_core::forward::RetryLimits;

use crate::support::START;
use crate::support::service;

#[test]
fn six_instances_together_keep_to_the_allowance_of_the_fleet_in_any_window() {
    let limits = RetryLimits::default();
    let mut instances = vec![RetryAllowance::default(); limits.instances];
    let mut sent: Vec<(u64, bool)> = Vec::new();
    let mut random = fastrand::Rng::with_seed(3);
    // Every request fails and needs a retry; the rate of requests is uneven.
    for millis in (0..60_000).step_by(10) {
        let now = START + ClockSpan::from_millis(millis);
        let burst = if millis % 20_000 < 5_000 { 3 } else { 1 };
        for _ in 0..burst {
            let instance = &mut instances[random.usize(..limits.instances)];
            instance.count_request(&service(), now, limits.window);
            sent.push((millis, false));
            if instance.take(&service(), now, &limits) {
                sent.push((millis, true));
            }
        }
    }
    let window = limits.window.as_millis();
    for begin in (0..60_000).step_by(500) {
        let inside = |(at, _): &&(u64, bool)| (begin..begin + window).contains(at);
        let retries = sent
            .iter()
            .filter(inside)
            .filter(|(_, is_retry)| *is_retry)
            .count();
        let requests = sent
            .iter()
            .filter(inside)
            .filter(|(_, is_retry)| !is_retry)
            .count();
        let max_retries = requests as u64 / 5 + 50;
        assert!(
            retries as u64 <= max_retries,
            "{retries} retries of {requests} at {begin}"
        );
    }
    assert!(sent.iter().any(|(_, is_retry)| *is_retry));
}

#[test]
fn without_requests_only_the_share_of_the_fixed_number_is_allowed() {
    let limits = RetryLimits::default();
    let mut allowance = RetryAllowance::default();
    let taken = (0..100).filter(|_| allowance.take(&service(), START, &limits));
    assert_eq!(taken.count(), 6);
}
