//! Racing operators, lost answers, pages that are there already.

use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::page::ManifestPages;
use guavawell_fleet::config::AcceptOutcome;
use guavawell_standin::fault::FaultChange;

use crate::support::TestPlatform;
use crate::support::manifest;
use crate::support::proposal;

fn accepted(outcome: &AcceptOutcome) -> u64 {
    match outcome {
        AcceptOutcome::Accepted(row) => row.version.get(),
        other => panic!("not accepted: {other:?}"),
    }
}

fn conflict_with(outcome: &AcceptOutcome) -> &str {
    match outcome {
        AcceptOutcome::Conflict(conflict) => &conflict.current.as_ref().expect("a row").who,
        other => panic!("no conflict: {other:?}"),
    }
}

#[test]
fn of_racing_operators_one_is_accepted() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        let (anna, ben) = (manifest(3, 1), manifest(3, 2));
        let anna = Box::pin(test.accept("anna", 0, &anna));
        let ben = Box::pin(test.accept("ben", 0, &ben));
        let (first, second) = futures::future::join(anna, ben).await;
        let current = test
            .store
            .current()
            .await
            .expect("readable")
            .row
            .expect("a row");
        assert_eq!(current.version, ManifestVersion::new(1));
        let (winner, loser) = match &first {
            AcceptOutcome::Accepted(_) => (&first, &second),
            _ => (&second, &first),
        };
        assert_eq!(accepted(winner), 1);
        assert_eq!(conflict_with(loser), &*current.who);
    });
}

#[test]
fn a_lost_answer_after_the_write_is_an_acceptance() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        let manifest = manifest(3, 1);
        test.accept("anna", 0, &manifest).await;
        // The same pages again, so that the transaction is the next write.
        test.platform.set_faults(FaultChange {
            lose_answers: Some(1),
            ..FaultChange::default()
        });
        assert_eq!(accepted(&test.accept("anna", 1, &manifest).await), 2);
        assert_eq!(
            test.platform.faults().lose_answers,
            0,
            "the answer was lost"
        );
        assert!(test.platform.row("version/3").is_none());
    });
}

#[test]
fn a_write_that_was_lost_before_it_took_effect_is_sent_again() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        let manifest = manifest(3, 1);
        test.accept("anna", 0, &manifest).await;
        test.platform.set_faults(FaultChange {
            refuse_writes: Some(2),
            ..FaultChange::default()
        });
        assert_eq!(accepted(&test.accept("anna", 1, &manifest).await), 2);
        assert_eq!(test.platform.faults().refuse_writes, 0);
    });
}

#[test]
fn a_lost_answer_of_the_slower_operator_is_a_conflict() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        let pages = ManifestPages::of(&manifest(3, 1));
        let before = test.store.current().await.expect("readable");
        let row = proposal("anna", 0, &pages)
            .on_top_of(None)
            .expect("nothing in force");
        test.accept("ben", 0, &manifest(3, 2)).await;
        test.platform.set_faults(FaultChange {
            lose_answers: Some(1),
            ..FaultChange::default()
        });
        let outcome = test
            .store
            .commit(row, before.revision)
            .await
            .expect("an outcome");
        assert_eq!(conflict_with(&outcome), "ben");
    });
}

#[test]
fn a_lost_answer_is_an_acceptance_even_after_the_next_version() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        let pages = ManifestPages::of(&manifest(3, 1));
        let before = test.store.current().await.expect("readable");
        let row = proposal("anna", 0, &pages)
            .on_top_of(None)
            .expect("nothing in force");
        // Anna's write took effect, its answer was lost, and Ben went on top.
        let first = test
            .store
            .commit(row.clone(), before.revision)
            .await
            .expect("an outcome");
        assert_eq!(accepted(&first), 1);
        test.accept("ben", 1, &manifest(3, 2)).await;
        let again = test
            .store
            .commit(row, before.revision)
            .await
            .expect("an outcome");
        assert_eq!(accepted(&again), 1);
        let current = test
            .store
            .current()
            .await
            .expect("readable")
            .row
            .expect("a row");
        assert_eq!((current.version.get(), &*current.who), (2, "ben"));
    });
}

#[test]
fn an_outage_accepts_nothing() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        test.outage(true);
        assert!(test.try_accept("anna", 0, &manifest(3, 1)).await.is_err());
        test.outage(false);
        assert_eq!(test.store.current().await.expect("readable").row, None);
    });
}

#[test]
fn a_change_of_one_organisation_writes_three_pages() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        let mut manifest = manifest(500, 1);
        test.accept("anna", 0, &manifest).await;
        let before = test.platform.object_paths("guavawell/manifest/").len();
        manifest.organisations[7].weight = 9;
        test.accept("anna", 1, &manifest).await;
        let after = test.platform.object_paths("guavawell/manifest/").len();
        assert_eq!(after - before, 3, "root, branch and page");
    });
}

#[test]
fn every_accepted_version_stays_in_the_history() {
    smol::block_on(async {
        let test = TestPlatform::start().await;
        for base in 0..3 {
            test.accept("anna", base, &manifest(2, 1)).await;
        }
        for version in 1..=3 {
            let version = ManifestVersion::new(version);
            let row = test
                .store
                .history(version)
                .await
                .expect("readable")
                .expect("a row");
            assert_eq!(row.version, version);
        }
    });
}
