//! Second attempts at another server while the first token is late.

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_demo::fleet::FleetSettings;
use guavawell_fleet::settings::ShareRatio;
use guavawell_standin::fault::FaultChange;
use guavawell_standin::truth::AttemptPhase;
use guavawell_standin::truth::TruthRun;

use crate::env::FaultEnv;
use crate::env::run;
use crate::env::set_faults;
use crate::env::settings;
use crate::load::FaultLoad;
use crate::load::assert_all_answered;
use crate::load::once;
use crate::load::streams;

/// First token of a slow server, far beyond every wait of the others.
const SLOW_MILLIS: u64 = 8_000;

/// First token of a server that is late, but not for long.
const LATE_MILLIS: u64 = 600;

/// Requests of one load.
const REQUESTS: u64 = 24;

/// Retries saved up at the start.
const BURST: u64 = 20;

/// One zone with `engines` servers, whose routers hedge after 200 ms and wait
/// long before they call a connection silent.
fn hedging(engines: usize) -> FleetSettings {
    let mut settings = FleetSettings {
        zones: 1,
        engines,
        ..settings()
    };
    let routing = &mut settings.router.routing;
    routing.hedge = true;
    routing.hedge_after_ms = ClockSpan::from_millis(200);
    routing.silent_after_ms = ClockSpan::from_millis(20_000);
    settings
}

fn delay(millis: u64) -> FaultChange {
    FaultChange {
        delay_ms: Some(millis),
        ..FaultChange::default()
    }
}

fn load(tag: &'static str) -> FaultLoad {
    FaultLoad {
        tag,
        requests: REQUESTS,
        max_tries: 1,
        profiles: streams(4),
        ..FaultLoad::default()
    }
}

/// Runs of one server.
fn runs(env: &FaultEnv, engine: usize) -> Vec<TruthRun> {
    env.fleet.engines[engine].truth().runs
}

/// Most runs of one attempt, at all servers.
fn most_runs(env: &FaultEnv) -> usize {
    let runs = env.runs();
    let of = |attempt: AttemptId| runs.iter().filter(|run| run.attempt == attempt).count();
    runs.iter().map(|run| of(run.attempt)).max().unwrap_or(0)
}

/// Runs that did not end whole and were not cancelled.
fn open_runs(env: &FaultEnv) -> usize {
    let is_open =
        |run: &&TruthRun| !matches!(run.state, AttemptPhase::Done | AttemptPhase::Cancelled);
    env.runs().iter().filter(is_open).count()
}

#[test]
fn a_slow_servers_requests_are_served_by_another_and_charged_once() {
    run(async {
        let mut env = FaultEnv::start_with(hedging(2)).await;
        set_faults(&env.fleet.engines[0], delay(SLOW_MILLIS)).await;
        for tag in ["a", "b", "c", "d"] {
            assert_all_answered(&env.load(load(tag)).await, REQUESTS);
            if !runs(&env, 0).is_empty() {
                break;
            }
        }
        env.wait("the losers are cancelled", |env| open_runs(env) == 0)
            .await;
        let slow = runs(&env, 0);
        assert!(!slow.is_empty(), "the slow server was tried");
        let is_cancelled = |run: &TruthRun| run.state == AttemptPhase::Cancelled;
        assert!(slow.iter().all(is_cancelled), "{slow:#?}");
        assert_eq!(most_runs(&env), 2);
        env.assert_exact().await;
    });
}

#[test]
fn a_first_attempt_that_is_late_and_wins_is_charged_and_its_hedge_is_cancelled() {
    run(async {
        let mut settings = hedging(3);
        settings.router.routing.hedge_after_ms = ClockSpan::from_millis(1_000);
        let mut env = FaultEnv::start_with(settings).await;
        env.engine_faults(delay(1_500)).await;
        assert_all_answered(&env.load(load("late")).await, REQUESTS);
        env.wait("the losers are cancelled", |env| open_runs(env) == 0)
            .await;
        assert_eq!(most_runs(&env), 2, "one hedge a request");
        let whole = env.runs();
        let whole = whole.iter().filter(|run| run.state == AttemptPhase::Done);
        assert_eq!(whole.count() as u64, REQUESTS, "one whole run a request");
        env.assert_exact().await;
    });
}

#[test]
fn hedges_end_with_the_retry_budget() {
    run(async {
        let mut settings = hedging(2);
        settings.router.routing.retry_share = ShareRatio::clamped(0.0);
        let mut env = FaultEnv::start_with(settings).await;
        env.engine_faults(delay(LATE_MILLIS)).await;
        for tag in ["a", "b"] {
            let load = FaultLoad {
                targets: env.router(0),
                ..load(tag)
            };
            assert_all_answered(&env.load(load).await, REQUESTS);
        }
        let hedges = env.runs().len() as u64 - 2 * REQUESTS;
        assert!((1..=BURST).contains(&hedges), "{hedges} hedges");
        env.assert_exact().await;
    });
}

#[test]
fn a_hedge_at_a_dead_server_leaves_the_first_attempt_alone() {
    run(async {
        let mut env = FaultEnv::start_with(hedging(2)).await;
        set_faults(&env.fleet.engines[0], delay(LATE_MILLIS)).await;
        let crash = FaultChange {
            crash: Some(true),
            ..FaultChange::default()
        };
        set_faults(&env.fleet.engines[1], crash).await;
        assert_all_answered(&env.load(load("alone")).await, REQUESTS);
        assert_eq!(most_runs(&env), 1);
        env.assert_exact().await;
    });
}

#[test]
fn a_request_that_runs_at_most_once_is_never_hedged() {
    run(async {
        let mut env = FaultEnv::start_with(hedging(2)).await;
        env.engine_faults(delay(LATE_MILLIS)).await;
        let load = FaultLoad {
            profiles: once(4),
            ..load("once")
        };
        assert_all_answered(&env.load(load).await, REQUESTS);
        assert_eq!(env.runs().len() as u64, REQUESTS);
        env.assert_exact().await;
    });
}

#[test]
fn a_second_try_of_an_id_reads_along_with_the_winner() {
    run(async {
        let mut env = FaultEnv::start_with(hedging(2)).await;
        set_faults(&env.fleet.engines[0], delay(SLOW_MILLIS)).await;
        for tag in ["a", "b", "c", "d"] {
            let first = env.begin(load(tag));
            let second = env.begin(load(tag));
            assert_all_answered(&first.await, REQUESTS);
            assert_all_answered(&second.await, REQUESTS);
        }
        assert!(!runs(&env, 0).is_empty(), "the slow server was tried");
        env.assert_exact().await;
    });
}
