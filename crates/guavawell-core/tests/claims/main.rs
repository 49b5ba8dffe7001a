//! Searches every interleaving of a few routers that claim, seal and release
//! one request id. Responses of the table may be lost and writes may be
//! delayed.

mod simulation;

use guavawell_core::request::claim::ClaimGoal;

use simulation::InjectedFault;
use simulation::SearchResult;
use simulation::search;
use simulation::search_with_sweeps;

#[test]
fn no_interleaving_runs_an_id_twice_or_after_a_seal() {
    let SearchResult { states, violation } = search(None);
    println!("claims: {states} states");
    assert_eq!(violation, None);
    assert!(states > 10_000, "only {states} states");
}

#[test]
fn a_refusal_without_a_seal_is_detected() {
    let result = search(Some(InjectedFault::NotRunWithoutSeal));
    assert_eq!(result.violation, Some("ran after a not_run"));
}

#[test]
fn an_unanswered_write_taken_for_a_claim_is_detected() {
    let result = search(Some(InjectedFault::UnansweredCountsAsHeld));
    assert!(result.violation.is_some());
}

#[test]
fn an_overwrite_without_a_read_back_is_detected() {
    let result = search(Some(InjectedFault::OverwriteWithoutReadBack));
    assert_eq!(result.violation, Some("ran twice"));
}

#[test]
fn a_seal_written_over_another_claim_is_detected() {
    let result = search(Some(InjectedFault::SealOverClaim));
    assert_eq!(result.violation, Some("ran after a not_run"));
}

#[test]
fn no_interleaving_with_sweeps_runs_an_id_twice() {
    for second in [ClaimGoal::Run, ClaimGoal::Seal] {
        let SearchResult { states, violation } = search_with_sweeps(second, None);
        println!("claims with sweeps, second {second:?}: {states} states");
        assert_eq!(violation, None, "second {second:?}");
        assert!(states > 10_000, "only {states} states");
    }
}

#[test]
fn a_write_without_the_generation_check_is_detected() {
    let result = search_with_sweeps(
        ClaimGoal::Run,
        Some(InjectedFault::WriteWithoutGenerationCheck),
    );
    assert_eq!(result.violation, Some("ran twice"));
    let result = search_with_sweeps(
        ClaimGoal::Seal,
        Some(InjectedFault::WriteWithoutGenerationCheck),
    );
    assert_eq!(result.violation, Some("ran after a not_run"));
}

#[test]
fn a_sweep_one_generation_early_is_detected() {
    let result = search_with_sweeps(ClaimGoal::Run, Some(InjectedFault::SweepTooEarly));
    assert_eq!(result.violation, Some("ran twice"));
}
