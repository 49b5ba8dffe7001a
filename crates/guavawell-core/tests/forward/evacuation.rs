//! Servers of evacuated zones and of other regions get no requests.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ChoiceError;
use guavawell_core::forward::EvacuationChange;
use guavawell_core::forward::EvacuationList;
use guavawell_core::forward::HomeRegions;
use guavawell_core::forward::ServerConstraints;
use guavawell_core::forward::ServerObstacle;
use guavawell_core::forward::ZoneEvacuations;
use guavawell_core::forward::ZoneRegions;
use guavawell_core::forward::ZoneReturn;
use guavawell_core::forward::ZoneState;
use guavawell_core::id::RegionId;

use crate::support::START;
use crate::support::choose_with;
use crate::support::constraints;
use crate::support::entry;
use crate::support::instance;
use crate::support::server;
use crate::support::service;
use crate::support::table;
use crate::support::zone;

fn state(name: &str, evacuated: bool, revision: u64) -> ZoneState {
    ZoneState {
        zone: zone(name),
        evacuated,
        revision,
    }
}

fn region(name: &str) -> RegionId {
    name.parse().expect("a valid id")
}

#[test]
fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let mut table = table(8);
    let (service, own) = (service(), instance(0));
    let constraints = constraints(&service, &own);
    let change = table
        .evacuations_mut()
        .apply_changes(&[state("z1", true, 5)], 5);
    assert_eq!(change.began, [zone("z1")]);
    for part in 0..100 {
        let pick = choose_with(&table, constraints, part, START).expect("a server in z2");
        let entry = table.get(&pick.server).expect("listed");
        assert_eq!(entry.zone, zone("z2"));
    }
    let entry = &table.servers()[0];
    let obstacle = table.obstacle(entry, &constraints, START);
    assert_eq!(obstacle, Some(ServerObstacle::Evacuated));
    table
        .evacuations_mut()
        .apply_changes(&[state("z2", true, 6)], 6);
    let refused = choose_with(&table, constraints, 1, START);
    assert_eq!(refused.err(), Some(ChoiceError::Evacuated));
    let change = table
        .evacuations_mut()
        .apply_changes(&[state("z1", false, 7), state("z2", false, 8)], 8);
    assert_eq!(change.ended, [zone("z1"), zone("z2")]);
    assert!(choose_with(&table, constraints, 1, START).is_ok());
}

// Guards against a state that goes back: polls of the store overlap, and an older
// response may be read after a newer one.
#[test]
fn an_older_response_changes_nothing() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.apply_changes(&[state("z1", true, 5)], 5);
    evacuations.apply_changes(&[state("z1", false, 9)], 9);
    let change = evacuations.apply_changes(&[state("z1", true, 5)], 6);
    assert!(change.began.is_empty());
    evacuations.apply_changes(&[state("z2", true, 12)], 12);
    let change = evacuations.replace(&[], 11);
    assert!(change.ended.is_empty());
    assert_eq!(evacuations.zones(), [zone("z2")]);
    let change = evacuations.replace(&[], 13);
    assert_eq!(change.ended, [zone("z2")]);
}

// Guards against servers that an instance takes for warm: it did not run while their
// zone was evacuated and taken back, and the changes hold only the row's removal.
#[test]
fn an_evacuation_that_went_by_unnoticed_has_ended() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.replace(&[], 4);
    let change = evacuations.apply_changes(&[state("z1", false, 9)], 9);
    assert_eq!(change.ended, [zone("z1")]);
    let change = evacuations.apply_changes(&[state("z1", false, 9)], 10);
    assert!(change.ended.is_empty());
}

// An instance that the store turns away learns of an evacuation from another one.
// The store's next response decides, whatever the other instance has sent.
#[test]
fn a_list_of_another_instance_counts_until_the_store_answers() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.replace(&[], 5);
    let list = |revision: u64| EvacuationList {
        revision,
        zones: vec![zone("z1")],
    };
    assert!(evacuations.learn(list(4), START).began.is_empty());
    assert_eq!(evacuations.learn(list(9), START).began, [zone("z1")]);
    assert!(evacuations.stored_list().zones.is_empty());
    assert_eq!(evacuations.replace(&[], 10).ended, [zone("z1")]);
    assert!(evacuations.learn(list(10), START).began.is_empty());
}

// Guards against requests to a zone that is evacuated: a late response of the store,
// from before the evacuation, drops what another instance told of it.
#[test]
fn a_response_from_before_an_evacuation_does_not_hide_it() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.replace(&[], 5);
    let list = EvacuationList {
        revision: 9,
        zones: vec![zone("z1")],
    };
    assert_eq!(evacuations.learn(list, START).began, [zone("z1")]);
    assert_eq!(evacuations.apply_changes(&[], 6).ended, []);
    let earlier = START.before(ClockSpan::from_millis(1));
    assert_eq!(evacuations.refute_told(earlier, 6).ended, []);
    assert!(evacuations.contains(&zone("z1")));
    let change = evacuations.apply_changes(&[state("z1", true, 9)], 9);
    assert_eq!(change, EvacuationChange::default());
}

// Guards against a false list of another instance that counts for as long as it says.
#[test]
fn a_response_that_was_asked_for_after_a_false_list_refutes_it() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.replace(&[], 5);
    let list = EvacuationList {
        revision: u64::MAX,
        zones: vec![zone("z1")],
    };
    evacuations.learn(list, START);
    assert_eq!(evacuations.apply_changes(&[], 6).ended, []);
    assert_eq!(evacuations.refute_told(START, 6).ended, [zone("z1")]);
    assert_eq!(evacuations.known_revision(), 6);
}

/// A return of zone z1.
fn zone_return(revision: u64, at: ClockTime) -> ZoneReturn {
    ZoneReturn {
        zone: zone("z1"),
        revision,
        at,
    }
}

// Guards against a return that is no longer passed on, though it was read from the
// store, because another instance knew its time better.
#[test]
fn a_return_read_from_the_store_is_passed_on_with_the_time_that_an_instance_told() {
    let mut evacuations = ZoneEvacuations::default();
    assert!(evacuations.note_return(zone_return(9, START + ClockSpan::from_millis(400))));
    assert!(evacuations.learn_return(zone_return(9, START)));
    assert_eq!(evacuations.stored_returns(), [zone_return(9, START)]);
}

// Guards against a false return of another instance that hides all later ones.
#[test]
fn a_false_return_of_another_instance_does_not_outlast_the_stores_response() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.replace(&[], 5);
    evacuations.learn_return(zone_return(u64::MAX, START));
    evacuations.replace(&[], 8);
    let later = zone_return(9, START + ClockSpan::from_millis(400));
    assert!(evacuations.note_return(later.clone()));
    assert_eq!(evacuations.last_return(&zone("z1")), Some(&later));
    assert_eq!(evacuations.stored_returns(), [later]);
}

#[test]
fn home_regions_of_route_and_organisation_both_apply() {
    let (here, there) = (region("here"), region("there"));
    let mut table = guavawell_core::forward::ServerTable::new(ZoneRegions::new(vec![
        (zone("z1"), here.clone()),
        (zone("z2"), there.clone()),
    ]));
    for (number, name) in ["z1", "z2", "z3"].into_iter().enumerate() {
        let mut server = entry(server(number));
        server.zone = zone(name);
        table.upsert(server);
    }
    let (service, own) = (service(), instance(0));
    let both = [here.clone(), there.clone()];
    let pick = |route: &[RegionId], organisation: &[RegionId]| {
        let constraints = ServerConstraints {
            homes: HomeRegions {
                route,
                organisation,
            },
            ..constraints(&service, &own)
        };
        let picked = |part| choose_with(&table, constraints, part, START).ok();
        let mut zones: Vec<String> = (0..60)
            .filter_map(picked)
            .map(|pick| table.get(&pick.server).expect("listed").zone.to_string())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    };
    assert_eq!(pick(&[], &[]), ["z1", "z2", "z3"]);
    assert_eq!(pick(&both, &[]), ["z1", "z2"]);
    assert_eq!(pick(&both, std::slice::from_ref(&there)), ["z2"]);
    assert_eq!(pick(std::slice::from_ref(&here), &[there]), [""; 0]);
    assert_eq!(pick(&[region("elsewhere")], &[]), [""; 0]);
}
