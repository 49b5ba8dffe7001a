//! Every interleaving of a few routers that claim, seal and release one id
//! over a table whose answers are lost and whose writes may arrive late.

mod world;

use world::Bug;
use world::SearchResult;
use world::search;

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
