//! Whole routers before a platform with a limit.

mod support;

use std::time::Duration;

use guavawell_core::platform::PlatformRate;
use guavawell_core::request::billing::fold_records;
use guavawell_demo::fleet::FleetRouter;
use guavawell_demo::fleet::FleetSettings;
use guavawell_demo::fleet::organisation_key;
use guavawell_fleet::router::RouterHandle;
use guavawell_fleet::settings::WriteRate;
use guavawell_load::LoadHooks;
use guavawell_load::LoadPlan;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::ChatCall;
use guavawell_load::plan::RequestProfile;
use guavawell_load::plan::RetryPolicy;
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
                .fold(PlatformRate::ZERO, |sum, one| sum.saturating_add(*one));
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

/// Calls that each need a claim, at one router.
fn claiming(test: &BilledFleet) -> LoadPlan {
    let targets: Vec<_> = test.fleet.caller_addresses().into_iter().take(1).collect();
    LoadPlan {
        targets: targets.into(),
        arrival: ArrivalMode::Closed { connections: 2 },
        duration: None,
        requests: Some(100),
        retry: RetryPolicy {
            max_tries: 40,
            ..RetryPolicy::default()
        },
        profiles: Box::new([RequestProfile {
            key: organisation_key(0).into(),
            idempotent: false,
            call: CallKind::Chat(ChatCall {
                model: "draft-7b".parse().expect("a constant id"),
                ..ChatCall::default()
            }),
            ..RequestProfile::default()
        }]),
        ..LoadPlan::default()
    }
}

#[test]
fn a_busy_router_borrows_what_its_neighbour_leaves() {
    smol::block_on(async {
        let mut settings = settings();
        settings.router.platform.fleet_writes_per_second = WriteRate::new(8);
        let mut test = BilledFleet::start_with(settings).await;
        list_routers(&test);
        // Half of the budget by four, and as much again of the zone's loan.
        let even = PlatformRate::per_second(2);
        let plan = claiming(&test);
        let load = smol::unblock(move || guavawell_load::run(plan, LoadHooks::default()));
        let load = smol::spawn(load);
        for look in 0..=MAX_LOOKS {
            if shares(&test).iter().any(|share| *share > even) {
                break;
            }
            assert!(look < MAX_LOOKS, "{:?}", shares(&test));
            Timer::after(Duration::from_millis(200)).await;
        }
        let report = load.await.expect("the load runs");
        assert_eq!(report.counts.answered, 100, "{}", report.to_json());
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
