//! Every interleaving of a few routers that claim, seal and release one id
//! over a table whose answers are lost and whose writes may arrive late.

mod world;

use guavawell_core::request::claim::ClaimGoal;

use world::Bug;
use world::SearchResult;
use world::search;
use world::search_sweeps;

#[test]
fn no_interleaving_runs_an_id_twice_or_behind_a_seal() {
    let SearchResult { states, breach } = search(None);
    println!("claims: {states} states");
    assert_eq!(breach, None);
    assert!(states > 10_000, "only {states} states");
}

#[test]
fn a_refusal_without_a_seal_is_caught() {
    let result = search(Some(Bug::NotRunWithoutSeal));
    assert_eq!(result.breach, Some("ran behind a not_run"));
}

#[test]
fn a_lost_answer_taken_for_a_claim_is_caught() {
    let result = search(Some(Bug::LostCountsAsHeld));
    assert!(result.breach.is_some());
}

#[test]
fn a_second_try_without_a_read_back_is_caught() {
    let result = search(Some(Bug::OverwriteWithoutReadBack));
    assert_eq!(result.breach, Some("ran twice"));
}

#[test]
fn a_seal_written_over_another_claim_is_caught() {
    let result = search(Some(Bug::SealOverClaim));
    assert_eq!(result.breach, Some("ran behind a not_run"));
}

#[test]
fn no_interleaving_with_sweeps_runs_an_id_twice() {
    for second in [ClaimGoal::Run, ClaimGoal::Seal] {
        let SearchResult { states, breach } = search_sweeps(second, None);
        println!("claims with sweeps, second {second:?}: {states} states");
        assert_eq!(breach, None, "second {second:?}");
        assert!(states > 10_000, "only {states} states");
    }
}

#[test]
fn a_sweep_without_the_generations_check_is_caught() {
    let result = search_sweeps(ClaimGoal::Run, Some(Bug::SweepWithoutCheck));
    assert_eq!(result.breach, Some("ran twice"));
    let result = search_sweeps(ClaimGoal::Seal, Some(Bug::SweepWithoutCheck));
    assert_eq!(result.breach, Some("ran behind a not_run"));
}

#[test]
fn a_sweep_one_generation_early_is_caught() {
    let result = search_sweeps(ClaimGoal::Run, Some(Bug::SweepTooEarly));
    assert_eq!(result.breach, Some("ran twice"));
}
