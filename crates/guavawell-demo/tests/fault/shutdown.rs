//! Graceful shutdown.

use guavawell_fleet::router::DrainReport;
use guavawell_load::history::TryEnd;

use crate::env::FaultEnv;
use crate::env::run;
use crate::load::FaultLoad;
use crate::load::assert_all_answered;

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
