//! Servers that fall over if they reject too much: what each instance may send.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ChoiceError;
use guavawell_core::forward::FleetView;
use guavawell_core::forward::RequestRate;
use guavawell_core::forward::ServerConstraints;
use guavawell_core::forward::ServerFragility;
use guavawell_core::forward::ServerTable;
use guavawell_core::forward::fleet_part;
use guavawell_core::id::InstanceId;

use crate::support::START;
use crate::support::choose_with;
use crate::support::constraints;
use crate::support::instance;
use crate::support::server;
use crate::support::service;
use crate::support::table;

fn later(millis: u64) -> ClockTime {
    START + ClockSpan::from_millis(millis)
}

fn rate(text: &str) -> RequestRate {
    text.parse().expect("a rate")
}

fn members(count: usize) -> Vec<InstanceId> {
    (0..count).map(instance).collect()
}

fn view<'a>(own: &'a InstanceId, members: &'a [InstanceId]) -> FleetView<'a> {
    FleetView {
        own,
        members,
        is_recent: true,
    }
}

#[test]
fn the_parts_of_all_instances_add_up_to_the_whole() {
    for count in [1, 3, 6, 24, 95] {
        let members = members(count);
        for total in [0, 1, 6, 64, 128] {
            for number in 0..5 {
                let id = server(number).id;
                let parts = members
                    .iter()
                    .map(|own| fleet_part(total, &id, view(own, &members)));
                assert_eq!(parts.sum::<u64>(), total);
            }
        }
    }
    let own = instance(0);
    assert_eq!(fleet_part(6, &server(1).id, view(&own, &[])), 0);
}

// Whatever the fleet sends beyond the parts of its instances is rejected: that may not
// be more than the server survives in any second.
#[test]
fn what_may_be_rejected_stays_below_what_the_server_survives() {
    for count in [1, 3, 6, 24, 95] {
        let members = members(count);
        for (text, survives) in [("1", 1), ("2", 2), ("3", 3), ("5", 5), ("12", 12)] {
            let id = server(7).id;
            let mut risks = Vec::new();
            for own in &members {
                let mut fragility = ServerFragility::default();
                for millis in (0..5_000).step_by(20) {
                    let now = later(millis);
                    if fragility.may_risk(rate(text), &id, view(own, &members), now) {
                        fragility.note_risk(now);
                        risks.push(millis);
                    }
                }
            }
            assert!(!risks.is_empty());
            for start in &risks {
                let within = risks
                    .iter()
                    .filter(|at| (*start..start + 1_000).contains(at));
                let within = within.count();
                assert!(within <= survives, "{count}, {text}: {within}");
            }
        }
    }
}

/// A table whose first server states that it is fragile.
fn fragile_table(count: usize) -> ServerTable {
    let mut table = table(count);
    let entry = table.get_mut(&server(0)).expect("listed");
    assert!(entry.fragility.state(START, Some(rate("1"))));
    table
}

// Servers have 8 slots, and 4 instances use 2 of each. What one server states holds for
// its service.
#[test]
fn an_instance_keeps_to_its_part_of_all_servers_of_the_service() {
    let members = members(4);
    let service = service();
    let mut risky = 0;
    for own in &members {
        let constraints = ServerConstraints {
            fleet: view(own, &members),
            ..constraints(&service, own)
        };
        let mut table = fragile_table(3);
        let mut sent = 0;
        let error = loop {
            match choose_with(&table, constraints, sent, START) {
                Ok(pick) => {
                    risky += usize::from(pick.risky);
                    let entry = table.get_mut(&pick.server).expect("listed");
                    entry.begin(START, 0, 0);
                    if pick.risky {
                        entry.fragility.note_risk(START);
                    }
                }
                Err(error) => break error,
            }
            sent += 1;
        };
        assert_eq!(error, ChoiceError::Full);
    }
    // One instance a server may risk a request.
    assert_eq!(risky, 3);
}

#[test]
fn a_statement_ends_with_a_response_without_it_or_with_its_age() {
    let mut table = fragile_table(3);
    assert_eq!(table.fragility(&service(), later(5_000)), Some(rate("1")));
    assert_eq!(table.fragility(&service(), later(5_001)), None);
    let entry = table.get_mut(&server(0)).expect("listed");
    assert!(entry.fragility.state(later(10), None));
    assert_eq!(table.fragility(&service(), later(20)), None);
}
