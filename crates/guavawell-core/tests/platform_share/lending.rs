//! Tests of fair shares, fleet sizes and segment times with exact numbers.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::platform::FleetSize;
use guavawell_core::platform::PlatformRate;
use guavawell_core::platform::SegmentInterval;
use guavawell_core::platform::SizeInputs;
use guavawell_core::platform::SizePolicy;
use guavawell_core::platform::fair_share;

const fn rate(milli: u64) -> PlatformRate {
    PlatformRate::from_milli(milli)
}

#[test]
fn small_demands_are_met_in_full_and_large_ones_get_equal_parts() {
    let pool = rate(100);
    let cases: [(u64, &[u64], u64); 7] = [
        (0, &[50], 0),
        (10, &[], 100),
        (10, &[200], 10),
        (200, &[10], 90),
        (200, &[10, 300], 45),
        (20, &[20], 50),
        (50, &[0, 0, 50], 50),
    ];
    for (own, others, expected) in cases {
        let others: Vec<PlatformRate> = others.iter().copied().map(rate).collect();
        let part = fair_share(pool, rate(own), &others);
        assert_eq!(part, rate(expected), "{own} beside {others:?}");
    }
}

#[test]
fn parts_never_add_up_to_more_than_the_pool() {
    let mut random = 1_u64;
    for _ in 0..2_000 {
        let demands: Vec<PlatformRate> = (0..7)
            .map(|_| {
                random = random.wrapping_mul(6_364_136_223_846_793_005) + 1;
                rate((random >> 33) % 300)
            })
            .collect();
        let pool = rate(500);
        let sum: u64 = (0..demands.len())
            .map(|place| {
                let mut others = demands.clone();
                let own = others.remove(place);
                fair_share(pool, own, &others).as_milli()
            })
            .sum();
        assert!(sum <= 500, "{demands:?}: {sum}");
    }
}

#[test]
fn the_fleet_size_grows_at_once_and_falls_slowly() {
    let at = |seconds: u64| ClockTime::from_millis(seconds * 1_000);
    let signs = |live, listed| SizeInputs { live, listed };
    let mut size = FleetSize::new(SizePolicy::default(), at(0));
    size.observe(signs(1, Some(1)), at(1));
    assert_eq!(size.routers(), 16);
    size.observe(signs(6, Some(6)), at(11));
    assert_eq!(size.routers(), 6);
    size.observe(signs(6, Some(390)), at(12));
    assert_eq!(size.routers(), 390);
    size.observe(signs(56, None), at(72));
    assert!(size.routers() > 380, "{}", size.routers());
    size.observe(signs(56, Some(56)), at(132));
    assert!((300..320).contains(&size.routers()), "{}", size.routers());
}

#[test]
fn segments_stay_open_longer_with_a_small_share_and_many_slots() {
    let wait = SegmentInterval {
        min: ClockSpan::from_millis(5_000),
        max: ClockSpan::from_millis(60_000),
    };
    assert_eq!(wait.for_rate(rate(8_250), 8).as_millis(), 5_000);
    assert_eq!(wait.for_rate(rate(125), 2).as_millis(), 16_000);
    assert_eq!(wait.for_rate(rate(125), 8).as_millis(), 60_000);
    assert_eq!(wait.for_rate(rate(0), 1).as_millis(), 60_000);
}
