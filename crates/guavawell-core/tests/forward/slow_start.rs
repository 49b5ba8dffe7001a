//! Cold servers get few requests, of all instances together.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ChoiceError;
use guavawell_core::forward::FleetView;
use guavawell_core::forward::ServerConstraints;
use guavawell_core::forward::ServerTable;
use guavawell_core::forward::ServerWarmth;
use guavawell_core::forward::SlowStart;
use guavawell_core::forward::SlowStartLimit;
use guavawell_core::forward::SlowStartSettings;
use guavawell_core::forward::ZoneGap;
use guavawell_core::forward::parse_cold_span;
use guavawell_core::id::InstanceId;

use crate::support::START;
use crate::support::choose_with;
use crate::support::constraints;
use crate::support::entry;
use crate::support::instance;
use crate::support::server;
use crate::support::service;
use crate::support::table;
use crate::support::zone;

const COLD_SPAN: ClockSpan = ClockSpan::from_millis(3_000);

/// Limit of a cold server in the tests.
fn limit() -> SlowStartLimit {
    let settings = SlowStartSettings {
        overshoot: 1.5,
        extra: 5.0,
    };
    settings.limit(SlowStart {
        span: COLD_SPAN,
        requests_per_second: 8.7,
    })
}

fn later(millis: u64) -> ClockTime {
    START + ClockSpan::from_millis(millis)
}

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count).map(instance).collect()
}

/// The table's servers all become cold.
fn make_cold(table: &mut ServerTable, numbers: impl Iterator<Item = usize>) {
    for number in numbers {
        let entry = table.get_mut(&server(number)).expect("listed");
        entry.warmth.presume(START, COLD_SPAN, 1);
    }
}

#[test]
fn the_limit_is_the_rate_with_its_allowance() {
    assert_eq!(limit().requests, 18);
}

// A zone's servers come back cold while the others are warm: nothing is lost, and
// the cold ones get nothing.
#[test]
fn a_cold_server_is_the_last_choice() {
    let mut table = table(8);
    make_cold(&mut table, 0..4);
    let (service, own) = (service(), instance(0));
    let members = instances(62);
    let constraints = ServerConstraints {
        slow_start: Some(limit()),
        fleet: FleetView {
            own: &own,
            members: &members,
            is_recent: true,
        },
        ..constraints(&service, &own)
    };
    for part in 0..100 {
        let pick = choose_with(&table, constraints, part, START).expect("a warm server");
        assert!(pick.server >= server(4), "{}", pick.server);
    }
    let warm = later(3_000);
    let picks = (0..100).map(|part| choose_with(&table, constraints, part, warm).expect("one"));
    assert!(picks.filter(|pick| pick.server < server(4)).count() > 20);
}

// All servers of a service restart at once: a few instances may still send, each a
// few requests, and the others say that the servers are cold.
#[test]
fn few_instances_send_to_servers_that_are_all_cold() {
    let (service, members) = (service(), instances(62));
    let mut sent = 0;
    let mut refused = 0;
    for own in &members {
        let mut table = table(4);
        make_cold(&mut table, 0..4);
        let constraints = ServerConstraints {
            slow_start: Some(limit()),
            fleet: FleetView {
                own,
                members: &members,
                is_recent: true,
            },
            ..constraints(&service, own)
        };
        for part in 0..20 {
            match choose_with(&table, constraints, part, START) {
                Ok(pick) => {
                    let entry = table.get_mut(&pick.server).expect("listed");
                    entry.warmth.note_send(START);
                    sent += 1;
                }
                Err(error) => {
                    assert_eq!(error, ChoiceError::Cold);
                    refused += 1;
                }
            }
        }
    }
    assert_eq!(sent, 4 * 6);
    assert_eq!(refused, 62 * 20 - sent);
}

#[test]
fn without_slow_start_a_cold_server_takes_any_load() {
    let mut table = table(2);
    make_cold(&mut table, 0..2);
    let (service, own) = (service(), instance(0));
    let constraints = constraints(&service, &own);
    for _ in 0..10 {
        let pick = choose_with(&table, constraints, 1, START).expect("a server");
        let entry = table.get_mut(&pick.server).expect("listed");
        entry.begin(START, 0, 0);
    }
}

// A zone is taken back: its servers are cold, and entries that were written before
// still say that they are warm.
#[test]
fn an_entry_from_before_an_inference_does_not_end_the_cold_time() {
    let mut warmth = ServerWarmth::listed(ClockSpan::ZERO, 10).received(START);
    assert!(!warmth.is_cold(START));
    warmth.presume(START, COLD_SPAN, 20);
    warmth.update(&ServerWarmth::listed(ClockSpan::ZERO, 15).received(later(100)));
    assert!(warmth.is_cold(later(100)));
    warmth.update(&ServerWarmth::listed(ClockSpan::ZERO, 21).received(later(200)));
    assert!(!warmth.is_cold(later(200)));
}

// Guards against an instance that starts just as a zone is taken back: it reads the
// evacuation's end before the list of servers, whose entries are older still. Two
// such instances sent 13 requests in 0.3 s to a server that tolerates 12 a second.
#[test]
fn a_server_that_is_listed_after_its_zone_was_taken_back_is_cold() {
    let mut table = ServerTable::default();
    table.note_zone_return(&zone("z1"), START, 20);
    for (number, revision) in [(0, 19), (1, 21)] {
        let mut entry = entry(server(number));
        entry.warmth = ServerWarmth::listed(ClockSpan::ZERO, revision);
        table.upsert(entry);
    }
    let is_cold = |table: &ServerTable, number: usize, now: ClockTime| {
        let entry = table.get(&server(number)).expect("listed");
        table.is_cold(entry, COLD_SPAN, now)
    };
    assert!(is_cold(&table, 0, later(2_999)));
    assert!(!is_cold(&table, 0, later(3_000)));
    assert!(!is_cold(&table, 1, START));
}

#[test]
fn a_server_that_refused_connections_and_accepts_again_is_cold() {
    let mut warmth = ServerWarmth::listed(ClockSpan::ZERO, 10).received(START);
    warmth.note_refused(10);
    assert!(warmth.is_cold(later(60_000)));
    warmth.note_accepted(later(60_000), COLD_SPAN);
    assert!(warmth.is_cold(later(62_999)));
    assert!(!warmth.is_cold(later(63_000)));
}

#[test]
fn a_response_states_the_cold_time() {
    let mut warmth = ServerWarmth::listed(ClockSpan::ZERO, 10).received(START);
    assert!(warmth.report(START, ClockSpan::from_millis(900)));
    assert!(warmth.is_cold(later(899)));
    assert!(!warmth.report(later(100), ClockSpan::ZERO));
    assert!(!warmth.is_cold(later(100)));
}

#[test]
fn malformed_cold_times_are_errors() {
    for text in ["", "x", "-1", "NaN", "inf", "1e30", "86400000"] {
        assert!(parse_cold_span(text).is_err(), "{text}");
    }
    let span = parse_cold_span(" 2500.5 ").expect("a valid time");
    assert_eq!(span, ClockSpan::from_millis(2_501));
}

/// Longest delay of a request on its way, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;
/// Length of a run of the model, in milliseconds.
const RUN_MS: u64 = 6_000;

/// One cold server and a fleet that always has requests for it. Instances have one
/// of three views of the fleet, clocks that differ by seconds, and links that delay
/// requests. Returns the most requests that arrive within one second.
fn most_arrivals(seed: u64) -> (usize, u32) {
    let mut random = fastrand::Rng::with_seed(seed);
    let size = [3, 8, 62, 300][random.usize(..4)];
    let server = server(random.usize(..1_000));
    let limit = SlowStartLimit {
        span: COLD_SPAN,
        requests: random.u32(0..60),
    };
    let all = instances(size + size / 4);
    let views = [&all[..size], &all[size / 4..], &all[..]];
    let mut arrivals = Vec::new();
    for own in &all {
        let members = views[random.usize(..3)];
        let view = FleetView {
            own,
            members,
            is_recent: true,
        };
        let share = limit.share(&server.id, view);
        let clock_ms = random.u64(0..10_000);
        let mut warmth = ServerWarmth::default();
        for now in (0..RUN_MS).step_by(10) {
            let local = later(clock_ms + now);
            while warmth.has_share(share, local) {
                warmth.note_send(local);
                arrivals.push(now + random.u64(0..=MAX_DELAY_MS));
            }
        }
    }
    arrivals.sort_unstable();
    let within_second = |start: &u64| {
        let window = arrivals
            .iter()
            .filter(|at| (*start..start + 1_000).contains(*at));
        window.count()
    };
    let most = arrivals.iter().map(within_second).max().unwrap_or(0);
    (most, limit.requests)
}

#[test]
fn no_second_has_more_requests_than_a_cold_server_takes() {
    let mut senders = 0;
    for seed in 0..1_000 {
        let (most, requests) = most_arrivals(seed);
        assert!(
            most <= requests as usize,
            "seed {seed}: {most} of {requests}"
        );
        senders += usize::from(most > 0);
    }
    assert!(senders > 900, "{senders} runs sent requests");
}

#[test]
fn an_instance_with_an_old_view_of_the_fleet_has_no_share() {
    let own = instance(1);
    let members = [own.clone()];
    for (members, is_recent) in [(&members[..0], true), (&members[..], false)] {
        let view = FleetView {
            own: &own,
            members,
            is_recent,
        };
        assert_eq!(limit().share(&entry(server(1)).incarnation.id, view), 0);
    }
}

// Guards against a server that may be cold and is asked by each instance of a fleet
// whose processes have just started together.
#[test]
fn few_instances_ask_a_server_whether_it_is_cold() {
    for count in [1, 2, 3, 62, 300] {
        let members = instances(count);
        for number in 0..20 {
            let id = entry(server(number)).incarnation.id;
            let questions = members.iter().map(|own| {
                let view = FleetView {
                    own,
                    members: &members,
                    is_recent: false,
                };
                limit().query_share(&id, view)
            });
            let asking: Vec<u32> = questions.filter(|share| *share > 0).collect();
            assert!((1..=3).contains(&asking.len()), "{count}: {asking:?}");
            let sum: u32 = asking.iter().sum();
            assert!(sum <= limit().requests / 3, "{count}: {asking:?}");
        }
    }
}

#[test]
fn an_instance_that_knows_no_others_asks_no_server() {
    let own = instance(1);
    let view = FleetView {
        own: &own,
        members: &[],
        is_recent: false,
    };
    assert_eq!(
        limit().query_share(&entry(server(1)).incarnation.id, view),
        0
    );
}

/// A table with a server whose entry is of revision 1, and unread changes after it.
fn table_with_gap(to: u64) -> ServerTable {
    let mut table = ServerTable::default();
    let mut listed = entry(server(0));
    listed.warmth = ServerWarmth::listed(ClockSpan::ZERO, 1).received(START);
    table.upsert(listed);
    let returns = table.evacuations_mut().returns_mut();
    returns.open_gap(ZoneGap {
        from: 1,
        to,
        at: START,
    });
    table
}

/// As above, with changes up to revision 5 that nobody can tell.
fn table_with_lost_changes() -> ServerTable {
    let mut table = table_with_gap(5);
    table.evacuations_mut().returns_mut().lose_gap(5, 5);
    table
}

fn is_cold(table: &ServerTable, now: ClockTime) -> bool {
    let entry = table.get(&server(0)).expect("listed");
    table.is_cold(entry, COLD_SPAN, now)
}

// Guards against changes that nobody can tell and that pass for none.
#[test]
fn a_server_counts_as_cold_after_lost_changes_until_it_is_warm_in_any_case() {
    let table = table_with_lost_changes();
    assert!(is_cold(&table, later(2_999)));
    assert!(!is_cold(&table, later(3_000)));
}

// Guards against an answer to a question from before the lost changes.
#[test]
fn only_an_answer_from_after_lost_changes_is_believed() {
    for (asked_after, believed) in [(4, false), (5, true), (9, true)] {
        let mut table = table_with_lost_changes();
        let entry = table.get_mut(&server(0)).expect("listed");
        entry.warmth.state(later(10), ClockSpan::ZERO, asked_after);
        assert_eq!(is_cold(&table, later(20)), !believed, "{asked_after}");
    }
}

#[test]
fn an_answer_states_the_cold_time_and_a_late_older_one_changes_nothing() {
    let mut table = table_with_lost_changes();
    let entry = table.get_mut(&server(0)).expect("listed");
    entry
        .warmth
        .state(later(10), ClockSpan::from_millis(500), 6);
    entry.warmth.state(later(20), ClockSpan::ZERO, 5);
    assert!(is_cold(&table, later(509)));
    assert!(!is_cold(&table, later(510)));
}

// Guards against a newer entry that a gap in what was read hides.
#[test]
fn an_entry_that_is_newer_than_lost_changes_is_believed() {
    let mut table = table_with_lost_changes();
    let mut listed = entry(server(0));
    listed.warmth = ServerWarmth::listed(ClockSpan::ZERO, 6).received(later(10));
    table.upsert(listed);
    assert!(!is_cold(&table, later(20)));
}

// Guards against answers that count for the instance that asked and for no other: each
// has read the store as of another revision, and the lost changes are older than all.
#[test]
fn an_answer_from_between_lost_and_later_changes_is_believed() {
    for (asked_after, believed) in [(4, false), (5, true)] {
        let mut table = table_with_gap(9);
        table.evacuations_mut().returns_mut().narrow_gap(5, 9);
        let entry = table.get_mut(&server(0)).expect("listed");
        entry.warmth.state(later(10), ClockSpan::ZERO, asked_after);
        assert_eq!(is_cold(&table, later(20)), !believed, "{asked_after}");
    }
}
