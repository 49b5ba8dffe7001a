//! A fault during the recovery from another.

use guavawell_demo::fleet::FleetSettings;
use guavawell_standin::fault::FaultChange;

use crate::env::FaultEnv;
use crate::env::run;
use crate::env::settings;
use crate::load::FaultLoad;
use crate::load::assert_all_answered;
use crate::load::streams;

fn zone_load(env: &FaultEnv, tag: &'static str) -> FaultLoad {
    FaultLoad {
        tag,
        targets: env.zone(0),
        requests: 60,
        profiles: streams(32),
        ..FaultLoad::default()
    }
}

fn outage(is_out: bool) -> FaultChange {
    FaultChange {
        outage: Some(is_out),
        ..FaultChange::default()
    }
}

#[test]
fn a_router_killed_during_a_takeover_overspends_nothing() {
    run(async {
        let mut env = FaultEnv::start_with(FleetSettings {
            routers: 3,
            ..settings()
        })
        .await;
        env.load(zone_load(&env, "warm")).await;
        let load = env.begin(zone_load(&env, "load"));
        env.wait_ended(65).await;
        let (holder, witness) = (env.holder(0), env.witness(0));
        let tenure = env.money_slot(0).tenure;
        env.fleet.kill(holder);
        env.wait("a takeover", |env| env.money_slot(0).tenure > tenure)
            .await;
        env.fleet.kill(witness);
        assert_all_answered(&load.await, 60);
        env.assert_kept().await;
    });
}

#[test]
fn an_outage_during_a_takeover_only_delays_it() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(zone_load(&env, "warm")).await;
        let holder = env.holder(0);
        let tenure = env.money_slot(0).tenure;
        env.platform_faults(outage(true));
        env.fleet.kill(holder);
        let load = env.begin(zone_load(&env, "load"));
        env.wait("tries are refused", |env| {
            env.fleet.platform.counts().reads > 0
        })
        .await;
        smol::Timer::after(std::time::Duration::from_secs(2)).await;
        env.platform_faults(outage(false));
        env.wait("a takeover", |env| env.money_slot(0).tenure > tenure)
            .await;
        assert_all_answered(&load.await, 60);
        env.assert_kept().await;
    });
}

#[test]
fn a_takeover_whose_answer_is_lost_is_read_back() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(zone_load(&env, "warm")).await;
        let tenure = env.money_slot(0).tenure;
        env.fleet.kill(env.holder(0));
        env.platform_faults(FaultChange {
            lose_answers: Some(6),
            ..FaultChange::default()
        });
        let load = env.begin(zone_load(&env, "load"));
        env.wait("a takeover", |env| env.money_slot(0).tenure > tenure)
            .await;
        assert_all_answered(&load.await, 60);
        env.assert_kept().await;
    });
}

#[test]
fn a_second_partition_during_the_heal_of_the_first_overspends_nothing() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(FaultLoad::default()).await;
        let load = env.begin(FaultLoad {
            tag: "parted",
            requests: 150,
            profiles: streams(32),
            ..FaultLoad::default()
        });
        for zone in [1, 0] {
            env.fleet.isolate(zone);
            smol::Timer::after(std::time::Duration::from_millis(1_500)).await;
            env.fleet.heal();
            smol::Timer::after(std::time::Duration::from_millis(200)).await;
        }
        assert_all_answered(&load.await, 150);
        env.assert_kept().await;
    });
}
