//! Graceful shutdown.

use guavawell_fleet::router::DrainReport;
use guavawell_load::history::TryEnd;
use guavawell_standin::fault::FaultChange;

use crate::env::FaultEnv;
use crate::env::run;
use crate::load::FaultLoad;
use crate::load::assert_all_answered;
use crate::load::streams;

#[test]
fn a_graceful_shutdown_cuts_no_request_and_hands_every_slot_over() {
    run(async {
        let mut env = FaultEnv::start().await;
        let victim = env.holder(0);
        let load = env.begin(FaultLoad {
            requests: 120,
            ..FaultLoad::default()
        });
        env.wait_ended(20).await;
        let report = env.fleet.drain(victim).await;
        assert_eq!(report, DrainReport::default());
        assert_all_answered(&load.await, 120);
        let histories = env.histories();
        let tries = histories.iter().flat_map(|history| &history.tries);
        let cut: Vec<_> = tries
            .filter(|tried| matches!(tried.end, TryEnd::Incomplete { .. }))
            .collect();
        assert!(cut.is_empty(), "{cut:#?}");
        env.assert_exact().await;
        assert_eq!(env.frozen(), 0, "nothing freezes in a graceful shutdown");
    });
}

#[test]
fn a_leaving_holder_reports_what_runs_elsewhere_before_it_stops() {
    run(async {
        let mut env = FaultEnv::start().await;
        // Streams of more than a second, and a platform that takes its time.
        env.engine_faults(FaultChange {
            token_ms: Some(40),
            ..FaultChange::default()
        })
        .await;
        env.platform_faults(FaultChange {
            delay_ms: Some(150),
            ..FaultChange::default()
        });
        let victim = env.holder(0);
        let load = env.begin(FaultLoad {
            targets: env.router(env.bystander(0)),
            requests: 12,
            profiles: streams(32),
            ..FaultLoad::default()
        });
        env.wait_runs(6).await;
        let report = env.fleet.drain(victim).await;
        assert_eq!(report, DrainReport::default());
        assert_all_answered(&load.await, 12);
        env.assert_exact().await;
        assert_eq!(env.frozen(), 0, "nothing freezes in a graceful shutdown");
    });
}
