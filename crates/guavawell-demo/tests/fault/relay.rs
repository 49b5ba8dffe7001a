//! Routers that lost the platform and let others carry their exchanges.

use guavawell_core::id::TokenCount;
use guavawell_demo::fleet::FleetSettings;
use guavawell_fleet::router::CarryCounts;
use guavawell_fleet::router::RouterHandle;
use guavawell_load::history::RefusalOutcome;
use guavawell_standin::fault::FaultChange;

use crate::env::FaultEnv;
use crate::env::run;
use crate::env::settings;
use crate::load::FaultLoad;
use crate::load::assert_all_answered;
use crate::load::once;
use crate::load::streams;

/// Holders whose stock is that of a few requests, so that they refill often.
fn thin(paid: u64) -> FleetSettings {
    let mut settings = FleetSettings {
        paid: TokenCount::new(paid),
        ..settings()
    };
    settings.router.slots.grant_seconds = 1;
    settings.router.slots.grant_requests = 2;
    settings
}

fn warm(env: &FaultEnv, zone: usize) -> FaultLoad {
    FaultLoad {
        tag: "warm",
        targets: env.zone(zone),
        requests: 12,
        profiles: streams(8),
        ..FaultLoad::default()
    }
}

/// Non-idempotent requests.
fn claims(env: &FaultEnv, tag: &'static str, zone: usize) -> FaultLoad {
    FaultLoad {
        tag,
        targets: env.zone(zone),
        requests: 30,
        profiles: once(8),
        ..FaultLoad::default()
    }
}

/// What peers asked of all routers so far.
fn carried(env: &FaultEnv) -> CarryCounts {
    let counts = env.fleet.live().map(RouterHandle::carry_counts);
    counts.fold(CarryCounts::default(), |sum, counts| CarryCounts {
        asked: sum.asked + counts.asked,
        declined: sum.declined + counts.declined,
    })
}

fn assert_ran_once(env: &FaultEnv, tag: &str, requests: usize) {
    let runs = env.runs();
    let runs = runs.iter().filter_map(|run| run.request.as_deref());
    let ran = runs.filter(|id| id.starts_with(tag)).count();
    assert_eq!(ran, requests, "each `{tag}` request ran, and none twice");
}

#[test]
fn a_holder_cut_off_at_the_end_of_its_grant_goes_on_serving_and_refilling() {
    run(async {
        let mut env = FaultEnv::start_with(thin(20_000)).await;
        env.load(warm(&env, 0)).await;
        let holder = env.holder(0);
        let tenure = env.money_slot(0).tenure;
        env.fleet.cut_platform_of(holder);
        let cut = FaultLoad {
            tag: "cut",
            targets: env.router(holder),
            requests: 120,
            profiles: streams(64),
            ..FaultLoad::default()
        };
        assert_all_answered(&env.load(cut).await, 120);
        // Settled while the holder is still cut off.
        env.assert_exact().await;
        assert_eq!(env.money_slot(0).tenure, tenure, "nobody took the slot");
        assert!(carried(&env).asked > 0, "peers carried");
    });
}

#[test]
fn non_idempotent_requests_at_a_cut_off_router_run_once_with_answers_lost() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(warm(&env, 0)).await;
        let cut = env.bystander(0);
        env.fleet.cut_platform_of(cut);
        let first = env.begin(FaultLoad {
            targets: env.router(cut),
            ..claims(&env, "claim", 0)
        });
        for ended in [15, 20, 25] {
            env.wait_ended(ended).await;
            env.platform_faults(FaultChange {
                lose_answers: Some(2),
                ..FaultChange::default()
            });
        }
        first.await;
        env.load(claims(&env, "claim", 0)).await;
        env.assert_kept().await;
        env.assert_served(42);
        assert_ran_once(&env, "claim-", 30);
    });
}

#[test]
fn a_zone_long_cut_from_the_platform_spends_a_top_up_and_overspends_nothing() {
    run(async {
        let mut env = FaultEnv::start_with(thin(2_000)).await;
        env.load(warm(&env, 1)).await;
        env.fleet.cut_platform(1);
        let spend = |env: &FaultEnv, tag, zone| FaultLoad {
            tag,
            targets: env.zone(zone),
            requests: 80,
            max_tries: 3,
            profiles: streams(32),
            ..FaultLoad::default()
        };
        let near = env.begin(spend(&env, "near", 0));
        let far = env.begin(spend(&env, "far", 1));
        near.await;
        far.await;
        env.top_up("cut-1", 20_000).await;
        let topped = FaultLoad {
            max_tries: 60,
            ..spend(&env, "topped", 1)
        };
        assert_all_answered(&env.load(topped).await, 80);
        assert_all_answered(&env.load(claims(&env, "claim", 1)).await, 30);
        env.assert_exact().await;
        env.fleet.heal();
        assert_all_answered(&env.load(claims(&env, "healed", 1)).await, 30);
        env.assert_exact().await;
    });
}

#[test]
fn a_carrier_killed_in_the_middle_runs_nothing_twice() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(warm(&env, 1)).await;
        env.fleet.cut_platform(1);
        let load = env.begin(claims(&env, "claim", 1));
        env.wait_ended(20).await;
        let carrier = env.bystander(0);
        env.fleet.kill(carrier);
        load.await;
        env.assert_kept().await;
        env.assert_served(42);
        assert_ran_once(&env, "claim-", 30);
    });
}

#[test]
fn links_healed_and_cut_in_the_middle_run_nothing_twice() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(warm(&env, 1)).await;
        let load = env.begin(claims(&env, "claim", 1));
        for ended in [14, 20, 26, 32] {
            env.fleet.cut_platform(1);
            env.wait_ended(ended).await;
            env.fleet.heal();
        }
        assert_all_answered(&load.await, 30);
        env.assert_exact().await;
        assert_ran_once(&env, "claim-", 30);
    });
}

#[test]
fn without_the_platform_for_anybody_requests_are_refused_as_ever_and_relays_stay_few() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(warm(&env, 0)).await;
        // Both zones would relay through each other.
        env.fleet.cut_platform(0);
        env.fleet.cut_platform(1);
        let before = carried(&env);
        let out = FaultLoad {
            requests: 300,
            max_tries: 1,
            ..claims(&env, "out", 0)
        };
        env.load(out).await;
        assert_eq!(env.refused(RefusalOutcome::Retry), 300);
        let after = carried(&env);
        let asked = after.asked - before.asked;
        assert_eq!(asked, after.declined - before.declined, "nothing loops");
        assert!(asked < 150, "{asked} relays for 300 requests");
        env.fleet.heal();
        let again = FaultLoad {
            requests: 300,
            ..claims(&env, "out", 0)
        };
        assert_all_answered(&env.load(again).await, 300);
        env.assert_exact().await;
    });
}
