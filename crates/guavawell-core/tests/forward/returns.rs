//! What is known of returned zones, for every order in which true statements arrive.
//!
//! The model: a sequence of evacuations and returns of one zone. What a statement
//! proves of the last return then holds on, whatever is told afterwards.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ReturnSource;
use guavawell_core::forward::ZoneEvacuations;
use guavawell_core::forward::ZoneReturn;
use guavawell_core::forward::ZoneReturns;
use guavawell_core::forward::ZoneState;

use crate::support::START;
use crate::support::zone;

/// Revisions between which the zone is evacuated: it begins at the first and ends
/// at the second.
type Evacuation = (u64, u64);

/// A return as told, with its source.
type Statement = (u64, ReturnSource);

/// Most statements of a sequence.
const MAX_STATEMENTS: usize = 3;

/// A return of zone z1, learned at a time that grows with the revision.
fn zone_return(revision: u64) -> ZoneReturn {
    ZoneReturn {
        zone: zone("z1"),
        revision,
        at: time_of(revision),
    }
}

fn time_of(revision: u64) -> ClockTime {
    START + ClockSpan::from_millis(100 * revision)
}

/// The last return up to a revision.
fn last_return(evacuations: &[Evacuation], revision: u64) -> Option<u64> {
    let ends = evacuations.iter().map(|(_, end)| *end);
    ends.filter(|end| *end <= revision).max()
}

fn is_evacuated(evacuations: &[Evacuation], revision: u64) -> bool {
    evacuations
        .iter()
        .any(|(begin, end)| (*begin..*end).contains(&revision))
}

/// All true statements up to a revision.
fn statements(evacuations: &[Evacuation], newest: u64) -> Vec<Statement> {
    let exact = evacuations
        .iter()
        .flat_map(|(_, end)| [(*end, ReturnSource::Store), (*end, ReturnSource::Instance)]);
    let mut all: Vec<Statement> = exact.collect();
    for after in (1..newest).filter(|after| is_evacuated(evacuations, *after)) {
        let later = after + 1..=newest;
        for revision in later.filter(|revision| !is_evacuated(evacuations, *revision)) {
            all.push((revision, ReturnSource::StoreList { after }));
            all.push((revision, ReturnSource::InstanceList { after }));
        }
    }
    all
}

/// Checks every sequence of statements that continues `told`.
fn check_all(evacuations: &[Evacuation], all: &[Statement], told: &mut Vec<Statement>) {
    let mut returns = ZoneReturns::default();
    for (revision, source) in told.iter() {
        returns.add(zone_return(*revision), *source);
    }
    let proved = told.iter().filter_map(|(revision, source)| match source {
        ReturnSource::Store | ReturnSource::History | ReturnSource::Instance => Some(*revision),
        ReturnSource::StoreList { .. } | ReturnSource::InstanceList { .. } => {
            last_return(evacuations, *revision)
        }
    });
    if let Some(proved) = proved.max() {
        // The entry is older than the return.
        let believed = returns.taken_back_at(&zone("z1"), proved - 1);
        assert!(
            believed.is_some_and(|at| at >= time_of(proved)),
            "{evacuations:?}: after {told:?} the return at {proved} is unknown: {returns:?}"
        );
    }
    if told.len() < MAX_STATEMENTS {
        for statement in all {
            told.push(*statement);
            check_all(evacuations, all, told);
            told.pop();
        }
    }
}

fn check_evacuations(evacuations: &[Evacuation]) {
    let newest = evacuations.iter().map(|(_, end)| end + 2).max();
    let all = statements(evacuations, newest.unwrap_or_default());
    check_all(evacuations, &all, &mut Vec::new());
}

#[test]
fn one_return_is_believed_in_any_order_of_statements() {
    check_evacuations(&[(2, 5)]);
}

// Guards against the exact revision of an earlier return that replaces a list's
// later one, of which it says nothing.
#[test]
fn the_last_of_two_returns_is_believed_in_any_order_of_statements() {
    check_evacuations(&[(2, 4), (5, 7)]);
}

// Guards against an earlier exact return that hides a later one: an instance that is
// up to date tells its list, and one that is behind tells the return that it knows.
#[test]
fn an_earlier_return_of_an_instance_does_not_replace_the_list_of_another() {
    let mut returns = ZoneReturns::default();
    returns.add(zone_return(12), ReturnSource::InstanceList { after: 3 });
    returns.add(zone_return(5), ReturnSource::Instance);
    // The zone was evacuated again at 6, and returned at 10.
    let believed = returns.taken_back_at(&zone("z1"), 8);
    assert!(believed.is_some(), "{returns:?}");
}

// Guards against a return read from the store that is lost because another instance
// told a later one, which the store's next response does not know yet or denies.
#[test]
fn a_return_of_the_store_outlasts_a_later_one_of_an_instance() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.replace(&[], 3);
    evacuations.note_return(zone_return(5));
    evacuations.learn_return(ZoneReturn {
        revision: u64::MAX,
        ..zone_return(9)
    });
    evacuations.apply_changes(&[], 8);
    assert_eq!(evacuations.last_return(&zone("z1")), Some(&zone_return(5)));
    assert_eq!(evacuations.stored_returns(), [zone_return(5)]);
}

// Guards against a return that is never passed on although the store has told it:
// another instance told it first.
#[test]
fn a_return_that_the_store_confirms_is_passed_on() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.replace(&[], 3);
    evacuations.learn_return(zone_return(5));
    let removed = ZoneState {
        zone: zone("z1"),
        evacuated: false,
        revision: 5,
    };
    let change = evacuations.apply_changes(&[removed], 6);
    assert_eq!(change.ended, [zone("z1")]);
    let later = ZoneReturn {
        at: time_of(7),
        ..zone_return(5)
    };
    evacuations.note_return(later);
    assert_eq!(evacuations.stored_returns(), [zone_return(5)]);
}

// Guards against servers that count as warm because a late response of the store,
// from before a return, drops what another instance told of it.
#[test]
fn a_response_from_before_a_return_does_not_hide_it() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.replace(&[], 3);
    evacuations.learn_return(zone_return(9));
    evacuations.apply_changes(&[], 6);
    let believed = evacuations.returns().taken_back_at(&zone("z1"), 2);
    assert!(believed.is_some(), "{evacuations:?}");
}

// Guards against a false return that counts for as long as it says: the store answers
// linearizably, so a response that was asked for after a return is of its revision at
// least.
#[test]
fn a_response_that_was_asked_for_after_a_false_return_refutes_it() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.replace(&[], 3);
    evacuations.learn_return(zone_return(9));
    evacuations.apply_changes(&[], 6);
    let before = time_of(9).before(ClockSpan::from_millis(1));
    for (asked_at, is_believed) in [(before, true), (time_of(9), false)] {
        evacuations.returns_mut().refute_told(asked_at, 6);
        let believed = evacuations.returns().taken_back_at(&zone("z1"), 2);
        assert_eq!(believed.is_some(), is_believed, "{evacuations:?}");
    }
}

// Guards against a return that is forgotten when the store reaches it without naming
// the row, and against a response that refutes what it has reached.
#[test]
fn a_told_return_that_the_store_reaches_stays_known() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.replace(&[], 3);
    evacuations.learn_return(zone_return(9));
    evacuations.apply_changes(&[], 6);
    evacuations.apply_changes(&[], 9);
    evacuations.returns_mut().refute_told(time_of(20), 9);
    assert_eq!(evacuations.last_return(&zone("z1")), Some(&zone_return(9)));
    assert!(!evacuations.learn_return(zone_return(9)));
}

// Guards against a false return that hides true ones, and against one that is news
// again each time that it is told.
#[test]
fn a_return_that_is_set_aside_hides_no_other() {
    let mut evacuations = ZoneEvacuations::default();
    let false_return = ZoneReturn {
        revision: u64::MAX,
        ..zone_return(4)
    };
    evacuations.replace(&[], 3);
    assert!(evacuations.learn_return(false_return.clone()));
    evacuations.apply_changes(&[], 6);
    assert!(!evacuations.learn_return(false_return));
    assert!(evacuations.learn_return(zone_return(9)));
    let believed = evacuations.returns().taken_back_at(&zone("z1"), 8);
    assert_eq!(believed, Some(time_of(9)));
    assert!(evacuations.note_return(zone_return(12)));
    assert_eq!(evacuations.last_return(&zone("z1")), Some(&zone_return(12)));
}
