//! Whole routers before a platform with a limit.

mod support;

use std::time::Duration;

use guavawell_core::platform::PlatformRate;
use guavawell_core::request::billing::fold_records;
use guavawell_demo::fleet::FleetRouter;
use guavawell_demo::fleet::FleetSettings;
use guavawell_fleet::router::RouterHandle;
use guavawell_fleet::settings::WriteRate;
use guavawell_standin::platform::InstanceEntry;
use smol::Timer;

use crate::support::BilledFleet;

const BUDGET: u64 = 40;
/// Looks at the shares before they count as not divided.
const MAX_LOOKS: usize = 300;

fn settings() -> FleetSettings {
    let mut settings = FleetSettings {
        shards: 1,
        ..FleetSettings::default()
    };
    settings.router.platform.fleet_writes_per_second = WriteRate::new(BUDGET);
    settings
}

fn shares(test: &BilledFleet) -> Vec<PlatformRate> {
    test.fleet.live().map(RouterHandle::write_share).collect()
}

/// Until the platform lists them, each router reckons with sixteen.
fn list_routers(test: &BilledFleet) {
    let routers = test.fleet.routers.iter();
    let entry = |router: &FleetRouter| InstanceEntry {
        instance: router.id.to_string().into(),
        zone: format!("zone-{}", router.zone).into(),
        address: router.gossip.to_string().into(),
        terminating: false,
    };
    test.fleet
        .platform
        .set_instances(routers.map(entry).collect());
}

#[test]
fn four_routers_divide_the_budget_and_stay_below_the_limit() {
    smol::block_on(async {
        let mut test = BilledFleet::start_with(settings()).await;
        // All may have saved up two seconds' worth.
        test.fleet.platform.set_caps(4 * BUDGET, 0);
        list_routers(&test);
        let floor = PlatformRate::per_second(BUDGET / 2 / 4);
        for look in 0..=MAX_LOOKS {
            let shares = shares(&test);
            let sum = shares
                .iter()
                .fold(PlatformRate::ZERO, |sum, one| sum.plus(*one));
            assert!(sum <= PlatformRate::per_second(BUDGET), "{shares:?}");
            if shares.iter().all(|share| *share >= floor) {
                break;
            }
            assert!(look < MAX_LOOKS, "{shares:?}");
            Timer::after(Duration::from_millis(200)).await;
        }
        test.load(200, "within").await;
        let fold = fold_records(test.records_of(200).await);
        assert_eq!(fold.charges.len(), 200);
        assert_eq!(test.fleet.platform.counts().capped, 0);
        test.fleet.stop();
    });
}

#[test]
fn a_platform_that_takes_less_than_the_budget_loses_no_charge() {
    smol::block_on(async {
        let mut test = BilledFleet::start_with(settings()).await;
        test.fleet.platform.set_caps(BUDGET / 4, 0);
        test.load(60, "beyond").await;
        let fold = fold_records(test.records_of(60).await);
        assert_eq!((fold.charges.len(), fold.refunds.len()), (60, 0));
        test.fleet.stop();
    });
}
