//! When an instance whose link is nearly full is ready, and where its load goes.
//!
//! Guards against a load that nobody takes, or that moves from one small instance to the
//! next and back.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::LinkReadiness;
use guavawell_core::forward::ReadinessSettings;

fn observed(readiness: &mut LinkReadiness, demand: f64, millis: std::ops::Range<u64>) {
    for at in millis.step_by(100) {
        readiness.observe(demand, true, ClockTime::from_millis(at));
    }
}

#[test]
fn readiness_has_hysteresis() {
    let mut readiness = LinkReadiness::new(ReadinessSettings::default());
    observed(&mut readiness, 1.3, 0..200);
    assert!(readiness.is_ready(), "a short burst is ranked");
    observed(&mut readiness, 1.3, 200..1_000);
    assert!(!readiness.is_ready());
    assert!(!readiness.ends_kept_connections(ClockTime::from_millis(1_000)));
    assert!(readiness.ends_kept_connections(ClockTime::from_millis(3_000)));
    observed(&mut readiness, 0.7, 1_000..60_000);
    assert!(!readiness.is_ready(), "kept connections still use the link");
    observed(&mut readiness, 0.3, 60_000..65_000);
    assert!(readiness.is_ready());
}

#[test]
fn an_instance_whose_link_was_full_stays_away_for_a_minute() {
    let mut readiness = LinkReadiness::new(ReadinessSettings::default());
    observed(&mut readiness, 1.3, 0..2_000);
    observed(&mut readiness, 0.0, 2_000..60_000);
    assert!(!readiness.is_ready());
    observed(&mut readiness, 0.0, 60_000..61_000);
    assert!(readiness.is_ready());
}

// Guards against an instance that never comes back, since ordinary callers use more than
// half of its link.
#[test]
fn an_instance_with_a_usual_load_comes_back_after_its_time_away() {
    let mut readiness = LinkReadiness::new(ReadinessSettings::default());
    observed(&mut readiness, 0.9, 0..400);
    assert!(!readiness.is_ready());
    observed(&mut readiness, 0.7, 400..60_000);
    assert!(!readiness.is_ready());
    observed(&mut readiness, 0.7, 60_000..61_000);
    assert!(readiness.is_ready());
}

// Guards against an instance that takes the load back because what its callers sent
// before still fills its link: no new connections come, so others have them.
#[test]
fn a_load_that_has_moved_is_not_taken_back_while_the_link_is_still_full() {
    let mut readiness = LinkReadiness::new(ReadinessSettings::default());
    for at in (0..30_000).step_by(100) {
        if at < 2_500 {
            readiness.note_connection();
        }
        readiness.observe(1.2, true, ClockTime::from_millis(at));
    }
    assert!(!readiness.is_ready());
}

#[test]
fn the_time_away_doubles_up_to_eight_times_and_is_short_again_after_a_quiet_one() {
    let mut readiness = LinkReadiness::new(ReadinessSettings::default());
    let mut now = 0;
    for holds in [1, 2, 4, 8, 8] {
        assert_eq!(away_for(&mut readiness, &mut now), holds);
        now += 30_000;
    }
    now += 60_000;
    assert_eq!(away_for(&mut readiness, &mut now), 1);
}

/// Makes the link full and then unused; returns for how many minutes the instance is away.
fn away_for(readiness: &mut LinkReadiness, now: &mut u64) -> u64 {
    observed(readiness, 1.3, *now..*now + 1_000);
    assert!(!readiness.is_ready());
    let began = *now;
    while !readiness.is_ready() {
        observed(readiness, 0.0, *now + 1_000..*now + 1_100);
        *now += 100;
    }
    (*now - began) / 59_000
}

#[test]
fn callers_come_back_once_the_load_balancer_moves_them() {
    let mut readiness = LinkReadiness::new(ReadinessSettings::default());
    let at = ClockTime::from_millis;
    assert_eq!(readiness.time_until_moved(at(0)), None);
    observed(&mut readiness, 1.3, 0..300);
    let soon = readiness.time_until_moved(at(200)).expect("not ready");
    assert!(soon.as_millis() >= 2_000, "two checks: {soon:?}");
    observed(&mut readiness, 0.3, 300..3_000);
    let later = readiness.time_until_moved(at(3_000)).expect("not ready");
    assert_eq!(later, ClockSpan::ZERO);
}

#[test]
fn callers_that_are_not_moved_are_told_what_the_link_needs() {
    let mut readiness = LinkReadiness::new(ReadinessSettings::default());
    observed(&mut readiness, 1.3, 0..3_000);
    assert!(!readiness.is_ready());
    assert_eq!(
        readiness.time_until_moved(ClockTime::from_millis(3_000)),
        None
    );
}

#[test]
fn a_link_that_stays_full_is_ready_from_time_to_time_and_does_not_flap() {
    let mut readiness = LinkReadiness::new(ReadinessSettings::default());
    let mut changes = 0;
    for at in (0..60_000).step_by(100) {
        let before = readiness.is_ready();
        readiness.note_connection();
        readiness.observe(1.5, true, ClockTime::from_millis(at));
        changes += u32::from(before != readiness.is_ready());
    }
    assert!((2..=6).contains(&changes), "{changes} changes in a minute");
}

#[test]
fn an_instance_without_others_stays_ready() {
    let mut readiness = LinkReadiness::new(ReadinessSettings::default());
    for at in (0..20_000).step_by(100) {
        readiness.observe(2.0, false, ClockTime::from_millis(at));
        assert!(readiness.is_ready());
    }
}

/// Time until the load balancer acts on a change of readiness, in milliseconds.
const BALANCER_DELAY: u64 = 2_000;

/// Offers a load to instances in a fixed order: it moves whole to the first one that was
/// ready for the load balancer, and is spread if none was. `demands` is what it needs of
/// the link of each. Returns which instance had it, in steps of 100 ms; `None` if all.
fn walk(demands: &[f64], length: u64) -> Vec<Option<usize>> {
    let settings = ReadinessSettings::default();
    let mut instances = vec![LinkReadiness::new(settings); demands.len()];
    let mut changed: Vec<(u64, bool)> = vec![(0, true); demands.len()];
    let mut seen = vec![true; demands.len()];
    let mut holders = Vec::new();
    for at in (0..length).step_by(100) {
        for (seen, (since, ready)) in seen.iter_mut().zip(&changed) {
            if at >= since + BALANCER_DELAY {
                *seen = *ready;
            }
        }
        let holder = seen.iter().position(|seen| *seen);
        for (index, instance) in instances.iter_mut().enumerate() {
            let demand = match holder {
                Some(holder) if holder == index => demands[index],
                Some(_) => 0.0,
                None => demands[index],
            };
            if demand > 0.0 {
                instance.note_connection();
            }
            instance.observe(demand, true, ClockTime::from_millis(at));
            if instance.is_ready() != changed[index].1 {
                changed[index] = (at, instance.is_ready());
            }
        }
        holders.push(holder);
    }
    holders
}

#[test]
fn a_load_walks_over_small_instances_to_a_large_one_and_stays_there() {
    let holders = walk(&[1.5, 1.5, 1.5, 1.5, 1.5, 0.3], 600_000);
    let large = Some(5);
    let reached = holders.iter().position(|holder| *holder == large);
    let reached = reached.expect("the large instance gets the load");
    assert!(reached <= 130, "reached after {reached} steps");
    let first_minute = &holders[reached..600];
    assert!(first_minute.iter().all(|holder| *holder == large));
    let held = holders.iter().filter(|holder| **holder == large).count();
    assert!(held * 10 >= holders.len() * 9, "{held} of 6000 steps");
}

#[test]
fn instances_that_are_all_full_rank_and_stay_ready() {
    let holders = walk(&[1.5, 1.5, 1.5], 60_000);
    let nobody = holders.iter().filter(|holder| holder.is_none()).count();
    // While all are away the load balancer uses all of them.
    assert!(nobody <= 200, "all away for {nobody} steps of 600");
    assert!(holders[300..].iter().all(Option::is_some));
}
