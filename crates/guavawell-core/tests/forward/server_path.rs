//! When an instance believes that it has lost its way to the servers.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::PathChange;
use guavawell_core::forward::ServerPaths;
use guavawell_core::id::BackendId;
use guavawell_core::id::ServiceId;

use crate::support::START;
use crate::support::server;
use crate::support::service;

/// Servers of the service.
const SERVERS: usize = 9;

fn id(number: usize) -> BackendId {
    server(number).id
}

fn later(millis: u64) -> ClockTime {
    START + ClockSpan::from_millis(millis)
}

fn other_service() -> ServiceId {
    "desk".parse().expect("a valid id")
}

/// Paths of which the one to the service is lost.
fn lost_paths() -> ServerPaths {
    let mut paths = ServerPaths::default();
    paths.note_failed(&service(), &id(1), START);
    paths.note_failed(&service(), &id(2), START);
    let change = paths.note_carried(&service(), &id(2), SERVERS, START);
    assert_eq!(change, Some(PathChange::Lost));
    paths
}

#[test]
fn one_server_that_fails_does_not_make_the_way_suspect() {
    let mut paths = ServerPaths::default();
    for _ in 0..3 {
        paths.note_failed(&service(), &id(1), START);
    }
    assert!(!paths.is_suspect(&service(), SERVERS, START));
    paths.note_failed(&service(), &id(2), START);
    assert!(paths.is_suspect(&service(), SERVERS, START));
    assert!(!paths.is_suspect(&service(), SERVERS, later(3_001)));
    assert!(!paths.is_lost(&service()));
}

#[test]
fn a_success_in_between_clears_the_suspicion() {
    let mut paths = ServerPaths::default();
    paths.note_failed(&service(), &id(1), START);
    paths.note_connected(&service(), &id(3), SERVERS, START);
    paths.note_failed(&service(), &id(2), START);
    assert!(!paths.is_suspect(&service(), SERVERS, START));
}

// Servers that are down for all: no other instance opens a connection either.
#[test]
fn failures_alone_do_not_mean_that_the_way_is_lost() {
    let mut paths = ServerPaths::default();
    for number in 0..SERVERS {
        paths.note_failed(&service(), &id(number), START);
    }
    assert!(paths.is_suspect(&service(), SERVERS, START));
    assert!(!paths.is_lost(&service()));
    assert_eq!(paths.unreached_services(START), []);
}

#[test]
fn one_server_that_another_instance_reaches_is_not_enough_without_suspicion() {
    let mut paths = ServerPaths::default();
    for _ in 0..2 {
        paths.note_failed(&service(), &id(1), START);
        assert_eq!(paths.note_carried(&service(), &id(1), SERVERS, START), None);
    }
    let lost = paths.note_carried(&service(), &id(2), SERVERS, START);
    assert_eq!(lost, Some(PathChange::Lost));
}

#[test]
fn a_service_with_one_server_is_lost_with_it() {
    let mut paths = ServerPaths::default();
    paths.note_failed(&service(), &id(1), START);
    let change = paths.note_carried(&service(), &id(1), 1, START);
    assert_eq!(change, Some(PathChange::Lost));
    let change = paths.note_connected(&service(), &id(1), 1, later(900));
    let span = ClockSpan::from_millis(900);
    assert_eq!(change, Some(PathChange::Restored(span)));
}

#[test]
fn each_service_has_a_way_of_its_own_and_one_that_is_lost_makes_others_suspect() {
    let mut paths = lost_paths();
    let other = other_service();
    assert!(!paths.is_lost(&other));
    paths.note_failed(&other, &id(7), START);
    assert!(paths.is_suspect(&other, SERVERS, START));
    assert_eq!(paths.unreached_services(START), [service()]);
}

#[test]
fn the_way_is_restored_by_two_servers_in_a_row() {
    let mut paths = lost_paths();
    let reach = |paths: &mut ServerPaths, number: usize| {
        paths.note_connected(&service(), &id(number), SERVERS, later(5_000))
    };
    assert_eq!(reach(&mut paths, 1), None);
    assert_eq!(reach(&mut paths, 1), None);
    paths.note_failed(&service(), &id(4), later(5_000));
    assert_eq!(reach(&mut paths, 2), None);
    let span = ClockSpan::from_millis(5_000);
    assert_eq!(reach(&mut paths, 3), Some(PathChange::Restored(span)));
    assert!(!paths.is_lost(&service()));
    assert!(!paths.is_suspect(&service(), SERVERS, later(5_000)));
}

#[test]
fn a_service_is_out_of_reach_for_all_if_half_of_its_servers_fail_everywhere() {
    let mut paths = ServerPaths::default();
    for number in 0..4 {
        paths.note_failed(&service(), &id(number), START);
        assert!(!paths.note_unreachable(&service(), SERVERS, START));
    }
    paths.note_failed(&service(), &id(4), START);
    assert!(paths.note_unreachable(&service(), SERVERS, START));
    assert!(!paths.note_unreachable(&service(), SERVERS, START));
    assert!(paths.is_unreachable(&service(), later(1_499)));
    assert_eq!(paths.unreached_services(later(1_499)), [service()]);
    assert!(!paths.is_unreachable(&service(), later(1_500)));
    // Each further failure shows that it still is.
    paths.note_failed(&service(), &id(7), later(1_400));
    assert!(paths.is_unreachable(&service(), later(2_800)));
}

#[test]
fn a_service_is_in_reach_again_with_one_connection_of_any_instance() {
    for by_others in [false, true] {
        let mut paths = ServerPaths::default();
        for number in 0..SERVERS {
            paths.note_failed(&service(), &id(number), START);
        }
        assert!(paths.note_unreachable(&service(), SERVERS, START));
        if by_others {
            paths.note_carried(&service(), &id(3), SERVERS, START);
        } else {
            paths.note_connected(&service(), &id(3), SERVERS, START);
        }
        assert!(!paths.is_unreachable(&service(), START));
    }
}
