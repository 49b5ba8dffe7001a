//! Search for the changes that a store still keeps.

use guavawell_core::forward::HistorySearch;

/// Runs a search against a store that keeps the changes after `kept`. Returns the
/// revision after which changes are known in the end, and the number of queries.
fn search(from: u64, newest: u64, kept: u64) -> (u64, u32) {
    let mut search = HistorySearch::new(from, newest);
    let mut queries = 0;
    while let Some(revision) = search.next_query() {
        queries += 1;
        if revision >= kept {
            search.found(revision);
        } else {
            search.gone(revision);
        }
    }
    (search.known_after(), queries)
}

#[test]
fn one_query_suffices_if_all_changes_are_kept() {
    assert_eq!(search(242, 9_604, 0), (242, 1));
}

#[test]
fn nothing_is_queried_if_all_changes_are_known() {
    assert_eq!(search(10, 10, 0), (10, 0));
    assert_eq!(search(11, 10, 0), (10, 0));
}

// A store drops its history: the changes that it still has are found all the same.
#[test]
fn the_oldest_kept_change_is_found() {
    for kept in [243, 244, 1_000, 5_000, 9_602, 9_603] {
        let (known_after, queries) = search(242, 9_604, kept);
        assert_eq!(known_after, kept);
        assert!(queries <= 16, "{queries}");
    }
    assert_eq!(search(242, 9_604, 9_604).0, 9_604);
}

// The number of queries is bounded, however far apart the revisions are.
#[test]
fn a_search_over_many_revisions_ends() {
    let (known_after, queries) = search(0, u64::MAX, u64::MAX - 1);
    assert_eq!(queries, 16);
    assert_eq!(known_after, u64::MAX);
}
