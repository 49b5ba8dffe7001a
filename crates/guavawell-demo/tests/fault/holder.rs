//! Holders and witnesses killed or paused.

use std::time::Duration;

use guavawell_core::request::billing::fold_records;
use guavawell_demo::fleet::FleetSettings;
use guavawell_fleet::journal::read_journal;
use guavawell_load::history::TryEnd;
use smol::Timer;

use crate::env::FaultEnv;
use crate::env::outage;
use crate::env::run;
use crate::env::settings;
use crate::load::FaultLoad;
use crate::load::assert_all_answered;
use crate::load::streams;

/// Longer than every timer that a test's router has for its peers, and than
/// the gossip's suspicion.
const PAST_EVERY_TIMER: Duration = Duration::from_secs(9);

/// Looks in which a holder that reaches another zone may move its witness there:
/// ten seconds, fifty reviews of the slot, or more where the machine is busy.
const MOVE_LOOKS: usize = 400;

/// Looks at the journal before a request counts as never billed.
const MAX_LOOKS: usize = 300;

/// Waits until as many requests as were answered whole have a record.
async fn wait_recorded(env: &FaultEnv) {
    let histories = env.histories();
    let is_whole = |end: &TryEnd| matches!(end, TryEnd::Whole);
    let answered = histories
        .iter()
        .filter(|history| is_whole(&history.end))
        .count();
    let mut found = 0;
    for _ in 0..MAX_LOOKS {
        let records = read_journal(&env.fleet.objects(), None).await;
        found = fold_records(records.expect("a readable journal"))
            .charges
            .len();
        if found >= answered {
            return;
        }
        Timer::after(Duration::from_millis(200)).await;
    }
    panic!("{found} of {answered} answered requests have a record");
}

fn zone_load(env: &FaultEnv, tag: &'static str) -> FaultLoad {
    FaultLoad {
        tag,
        targets: env.zone(0),
        requests: 60,
        profiles: streams(32),
        ..FaultLoad::default()
    }
}

#[test]
fn a_router_killed_with_streams_open_costs_no_answer_and_no_second_charge() {
    run(async {
        let mut env = FaultEnv::start().await;
        let victim = env.bystander(0);
        let load = env.begin(FaultLoad::default());
        env.wait_ended(15).await;
        env.fleet.kill(victim);
        load.await;
        env.assert_served(60);
        env.assert_kept().await;
    });
}

#[test]
fn a_holder_killed_with_streams_open_costs_no_answer_and_no_second_charge() {
    run(async {
        let mut env = FaultEnv::start().await;
        let victim = env.holder(0);
        let load = env.begin(FaultLoad::default());
        env.wait_ended(15).await;
        env.fleet.kill(victim);
        load.await;
        env.assert_served(60);
        env.assert_kept().await;
    });
}

#[test]
fn a_holder_paused_beyond_every_timer_spends_nothing_twice() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(zone_load(&env, "warm")).await;
        let holder = env.holder(0);
        let tenure = env.money_slot(0).tenure;
        let load = env.begin(zone_load(&env, "paused"));
        env.wait_runs(70).await;
        env.fleet.pause(holder);
        env.wait("the witness takes over", |env| {
            env.money_slot(0).tenure > tenure
        })
        .await;
        Timer::after(PAST_EVERY_TIMER).await;
        env.fleet.resume(holder);
        assert_all_answered(&load.await, 60);
        assert_all_answered(&env.load(zone_load(&env, "after")).await, 60);
        env.assert_kept().await;
    });
}

#[test]
fn a_witness_killed_stops_nobody() {
    run(async {
        let mut env = FaultEnv::start().await;
        let witness = env.witness(0);
        let epoch = env.money_slot(0).epoch;
        let load = env.begin(zone_load(&env, "load"));
        env.wait_ended(10).await;
        env.fleet.kill(witness);
        assert_all_answered(&load.await, 60);
        env.wait("another witness is named", |env| {
            let row = env.money_slot(0);
            row.epoch > epoch && row.witness.is_some()
        })
        .await;
        env.assert_exact().await;
    });
}

#[test]
fn holder_and_witness_killed_freeze_their_grant_and_overspend_nothing() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(zone_load(&env, "warm")).await;
        let (holder, witness) = (env.holder(0), env.witness(0));
        let tenure = env.money_slot(0).tenure;
        env.fleet.kill(holder);
        env.fleet.kill(witness);
        env.wait("the slot is begun anew", |env| {
            env.money_slot(0).tenure > tenure
        })
        .await;
        assert_all_answered(&env.load(zone_load(&env, "after")).await, 60);
        env.assert_kept().await;
        assert!(env.frozen() > 0, "the former grant is frozen");
    });
}

#[test]
fn what_a_dead_pair_had_granted_is_billed_by_the_router_that_ran_it() {
    run(async {
        let mut env = FaultEnv::start_with(FleetSettings {
            routers: 3,
            ..settings()
        })
        .await;
        let (holder, witness) = (env.holder(0), env.witness(0));
        let routers = env.fleet.routers.iter().enumerate();
        let mut others = routers
            .filter(|(index, router)| router.zone == 0 && *index != holder && *index != witness);
        let runner = others.next().expect("a third router").0;
        let load = env.begin(FaultLoad {
            targets: env.router(runner),
            requests: 24,
            profiles: streams(64),
            ..FaultLoad::default()
        });
        env.wait_runs(6).await;
        env.fleet.kill(holder);
        env.fleet.kill(witness);
        assert_all_answered(&load.await, 24);
        wait_recorded(&env).await;
    });
}

#[test]
fn one_router_killed_after_another_costs_no_answer() {
    run(async {
        let mut env = FaultEnv::start_with(FleetSettings {
            routers: 3,
            ..settings()
        })
        .await;
        let load = env.begin(FaultLoad {
            requests: 90,
            ..FaultLoad::default()
        });
        env.wait_ended(15).await;
        env.fleet.kill(env.holder(0));
        env.wait_ended(40).await;
        let next = env.holder(1);
        env.fleet.kill(next);
        load.await;
        env.assert_served(90);
        env.assert_kept().await;
    });
}

/// Longer than a router asks for one reservation, with room for its release to
/// be on its way.
const PAST_ONE_ASK: Duration = Duration::from_millis(2_800);

/// Guards against callers who hear for good that another try of their id runs: a
/// holder that was paused while nobody could take over took up what its askers had
/// given back before.
#[test]
fn an_id_whose_reservation_was_given_up_at_a_paused_holder_runs_in_the_end() {
    run(async {
        let mut env = FaultEnv::start_with(FleetSettings {
            routers: 3,
            engines: 1,
            ..settings()
        })
        .await;
        for tag in ["first", "second", "third"] {
            let load = env.begin(FaultLoad {
                max_tries: 40,
                ..zone_load(&env, tag)
            });
            Timer::after(Duration::from_millis(300)).await;
            env.platform_faults(outage(true));
            env.fleet.pause(env.holder(0));
            Timer::after(PAST_ONE_ASK).await;
            env.platform_faults(outage(false));
            env.fleet.heal();
            assert_all_answered(&load.await, 60);
        }
        env.assert_kept().await;
    });
}

/// Gives the holder time to move its witness to another zone, then kills the
/// holder and the witness at home, and waits until the slot is held again.
async fn kill_pair_at_home(env: &mut FaultEnv) {
    let (holder, witness) = (env.holder(0), env.witness(0));
    let tenure = env.money_slot(0).tenure;
    for _ in 0..MOVE_LOOKS {
        if env.fleet.routers[env.witness(0)].zone != 0 {
            break;
        }
        Timer::after(Duration::from_millis(25)).await;
    }
    env.fleet.kill(holder);
    env.fleet.kill(witness);
    env.wait("the slot is begun anew", |env| {
        env.money_slot(0).tenure > tenure
    })
    .await;
}

/// Guards against a zone that takes holder and witness with it: the witness was
/// named in the own zone before the holder knew any other.
#[test]
fn a_witness_named_before_other_zones_were_known_does_not_die_with_the_zone() {
    run(async {
        let mut env = FaultEnv::start_with(FleetSettings {
            zones: 1,
            ..settings()
        })
        .await;
        let first = env.witness(0);
        assert_eq!(env.fleet.routers[first].zone, 0, "the only choice");
        env.fleet.start_router(1).await.expect("a router");
        kill_pair_at_home(&mut env).await;
    });
}

/// Guards against a zone that takes holder and witness with it: the witness was
/// named in the own zone while a partition kept the others out of reach.
#[test]
fn a_witness_named_during_a_partition_does_not_die_with_the_zone() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.fleet.cut(0, 1);
        env.wait("the witness is in the own zone", |env| {
            let witness = env.money_slot(0).witness;
            witness.is_some_and(|life| env.fleet.routers[env.index(&life.instance)].zone == 0)
        })
        .await;
        env.fleet.heal();
        kill_pair_at_home(&mut env).await;
    });
}
