//! Zones cut off from each other and from the platform.

use guavawell_core::id::TokenCount;
use guavawell_demo::fleet::FleetSettings;

use crate::env::FaultEnv;
use crate::env::run;
use crate::env::settings;
use crate::load::FaultLoad;
use crate::load::assert_all_answered;
use crate::load::once;
use crate::load::streams;

/// A budget that a few dozen requests exhaust.
fn poor() -> FleetSettings {
    FleetSettings {
        paid: TokenCount::new(2_000),
        ..settings()
    }
}

fn burst(env: &FaultEnv, tag: &'static str, zone: usize) -> FaultLoad {
    FaultLoad {
        tag,
        targets: env.zone(zone),
        requests: 80,
        max_tries: 3,
        profiles: streams(32),
        ..FaultLoad::default()
    }
}

#[test]
fn a_long_partition_with_a_top_up_on_one_side_overspends_nothing() {
    run(async {
        let mut env = FaultEnv::start_with(poor()).await;
        let warm = FaultLoad {
            requests: 8,
            profiles: streams(8),
            ..FaultLoad::default()
        };
        env.load(warm).await;
        env.fleet.isolate(1);
        let near = env.begin(burst(&env, "near", 0));
        let far = env.begin(burst(&env, "far", 1));
        near.await;
        far.await;
        env.top_up("partition-1", 3_000).await;
        let topped = env.load(burst(&env, "topped", 0)).await;
        assert!(topped.answered > 0, "the top-up is spent on its side");
        env.load(burst(&env, "still", 1)).await;
        env.fleet.heal();
        env.top_up("healed-1", 20_000).await;
        let healed = FaultLoad {
            tag: "healed",
            targets: env.zone(1),
            requests: 20,
            profiles: streams(8),
            ..FaultLoad::default()
        };
        assert_all_answered(&env.load(healed).await, 20);
        env.assert_kept().await;
    });
}

#[test]
fn a_zone_alone_goes_on_serving_from_grant_and_float() {
    run(async {
        let mut env = FaultEnv::start().await;
        let warm = FaultLoad {
            targets: env.zone(1),
            profiles: streams(16),
            ..FaultLoad::default()
        };
        assert_all_answered(&env.load(warm).await, 60);
        env.fleet.isolate(1);
        let alone = FaultLoad {
            tag: "alone",
            targets: env.zone(1),
            requests: 20,
            profiles: streams(8),
            ..FaultLoad::default()
        };
        assert_all_answered(&env.load(alone).await, 20);
        env.fleet.heal();
        env.assert_kept().await;
    });
}

#[test]
fn a_zone_alone_refuses_a_non_idempotent_request_without_running_it() {
    run(async {
        let mut env = FaultEnv::start().await;
        let warm = FaultLoad {
            targets: env.zone(1),
            ..FaultLoad::default()
        };
        env.load(warm).await;
        env.fleet.isolate(1);
        let alone = FaultLoad {
            tag: "alone",
            targets: env.zone(1),
            requests: 6,
            max_tries: 1,
            profiles: once(8),
            ..FaultLoad::default()
        };
        let report = env.load(alone.clone()).await;
        assert_eq!(report.answered, 0, "{}", report.text);
        env.fleet.heal();
        let again = FaultLoad {
            max_tries: 60,
            ..alone
        };
        assert_all_answered(&env.load(again).await, 6);
        env.assert_kept().await;
    });
}
