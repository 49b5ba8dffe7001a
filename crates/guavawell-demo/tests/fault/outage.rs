//! The platform away, slow, or losing its answers.

use guavawell_load::history::RefusalOutcome;
use guavawell_standin::fault::FaultChange;

use crate::env::FaultEnv;
use crate::env::outage;
use crate::env::run;
use crate::load::FaultLoad;
use crate::load::assert_all_answered;
use crate::load::once;
use crate::load::streams;

fn lost(answers: u64) -> FaultChange {
    FaultChange {
        lose_answers: Some(answers),
        ..FaultChange::default()
    }
}

fn streaming(tag: &'static str) -> FaultLoad {
    FaultLoad {
        tag,
        requests: 40,
        profiles: streams(16),
        ..FaultLoad::default()
    }
}

#[test]
fn an_outage_of_the_platform_cuts_no_stream_and_loses_no_charge() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(streaming("warm")).await;
        env.platform_faults(outage(true));
        assert_all_answered(&env.load(streaming("out")).await, 40);
        env.platform_faults(outage(false));
        env.assert_exact().await;
    });
}

#[test]
fn the_same_outage_twice_is_no_worse_than_once() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(streaming("warm")).await;
        for tag in ["first", "second"] {
            env.platform_faults(outage(true));
            assert_all_answered(&env.load(streaming(tag)).await, 40);
            env.platform_faults(outage(false));
        }
        env.assert_exact().await;
    });
}

#[test]
fn without_the_platform_a_non_idempotent_request_is_refused_with_retry_and_not_run() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(streaming("warm")).await;
        env.platform_faults(outage(true));
        let out = FaultLoad {
            tag: "out",
            requests: 8,
            max_tries: 1,
            profiles: once(8),
            ..FaultLoad::default()
        };
        env.load(out.clone()).await;
        assert_eq!(env.refused(RefusalOutcome::Retry), 8);
        env.platform_faults(outage(false));
        let again = FaultLoad {
            max_tries: 60,
            ..out
        };
        assert_all_answered(&env.load(again).await, 8);
        env.assert_exact().await;
    });
}

#[test]
fn answers_lost_after_the_write_charge_nothing_twice() {
    run(async {
        let mut env = FaultEnv::start().await;
        let load = env.begin(FaultLoad::default());
        for _ in 0..5 {
            env.platform_faults(lost(2));
            env.wait("answers are lost", |env| {
                env.fleet.platform.faults().lose_answers == 0
            })
            .await;
        }
        assert_all_answered(&load.await, 60);
        env.assert_exact().await;
    });
}

#[test]
fn a_claim_whose_answer_is_lost_runs_at_most_once_also_when_retried_elsewhere() {
    run(async {
        let mut env = FaultEnv::start().await;
        env.load(streaming("warm")).await;
        let claims = FaultLoad {
            tag: "claim",
            targets: env.router(env.bystander(0)),
            requests: 10,
            callers: 1,
            max_tries: 1,
            profiles: once(8),
        };
        env.platform_faults(lost(3));
        let first = env.begin(claims.clone());
        let second = env.begin(FaultLoad {
            targets: env.router(env.holder(0)),
            ..claims.clone()
        });
        first.await;
        second.await;
        env.load(FaultLoad {
            targets: env.zone(1),
            ..claims
        })
        .await;
        env.assert_kept().await;
        let ran = env.runs().into_iter().filter(|run| {
            run.request
                .as_deref()
                .is_some_and(|id| id.starts_with("claim-"))
        });
        assert_eq!(ran.count(), 10, "each ran, and none twice");
    });
}
