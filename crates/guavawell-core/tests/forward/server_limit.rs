//! Rate limits that servers state: what is read, who may send, and a walk over
//! fleets whose instances know each other late.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ChoiceError;
use guavawell_core::forward::FleetView;
use guavawell_core::forward::LimitChange;
use guavawell_core::forward::RequestRate;
use guavawell_core::forward::ServerConstraints;
use guavawell_core::forward::ServerLimit;
use guavawell_core::id::InstanceId;
use guavawell_core::number::fraction;
use guavawell_core::number::whole;

use crate::support::START;
use crate::support::choose_with;
use crate::support::constraints;
use crate::support::instance;
use crate::support::server;
use crate::support::service;
use crate::support::table;

/// Length of a walk.
const RUN_MS: u64 = 30_000;
/// Time from the first statement until the limit must hold.
const CONTACT_MS: u64 = 3_000;
/// Time in which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// Largest delay of a request on its way.
const MAX_DELAY_MS: u64 = 300;
/// Time from the first statement that an instance receives until its requests count.
const TOLD_MS: u64 = 500;
/// Interval at which an instance reads the list of instances.
const READ_MS: u64 = 5_000;
/// Time between two changes of the list.
const CHANGE_MS: u64 = 4_000;

fn rate(text: &str) -> RequestRate {
    text.parse().expect("a rate")
}

fn later(millis: u64) -> ClockTime {
    START + ClockSpan::from_millis(millis)
}

fn view<'a>(own: &'a InstanceId, members: &'a [InstanceId]) -> FleetView<'a> {
    FleetView {
        own,
        members,
        is_recent: true,
    }
}

/// Most requests within one window that a server with this limit allows.
fn allowed(limit: f64) -> usize {
    let requests = 1.5 * limit * fraction(WINDOW_MS) / 1_000.0 + 5.0;
    usize::try_from(whole(requests)).expect("a small number")
}

#[test]
fn a_rate_is_a_decimal_number_within_bounds() {
    assert_eq!(rate("1.7").per_second().to_string(), "1.7");
    assert_eq!(rate(" 0 "), rate("0.1"));
    assert_eq!(rate("999999999999999999999999"), rate("1000000"));
    for text in [
        "", "-1", "NaN", "inf", "1e9", "+2", "1,5", "1.5.2", "soon", ".",
    ] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
}

#[test]
fn a_limit_holds_until_a_response_states_none() {
    let mut limit = ServerLimit::default();
    assert_eq!(limit.state(START, None), None);
    let stated = limit.state(START, Some(rate("2")));
    assert_eq!(stated, Some(LimitChange::Stated(rate("2"))));
    assert_eq!(limit.state(later(10), Some(rate("2"))), None);
    assert!(limit.note_unreadable());
    assert!(!limit.note_unreadable());
    assert_eq!(limit.rate(), Some(rate("2")));
    assert!(limit.note_send(later(500)));
    assert_eq!(limit.state(later(600), None), Some(LimitChange::Lifted(1)));
    assert!(!limit.note_send(later(700)));
}

// What another instance tells counts if it is newer than what the server said here.
#[test]
fn what_another_instance_tells_counts_if_it_is_newer() {
    let mut limit = ServerLimit::default();
    limit.state(later(1_000), None);
    assert_eq!(limit.learn(later(1_100), later(900), Some(rate("2"))), None);
    let stated = limit.learn(later(1_100), later(1_050), Some(rate("2")));
    assert_eq!(stated, Some(LimitChange::Stated(rate("2"))));
    limit.state(later(2_000), Some(rate("2")));
    assert_eq!(limit.learn(later(2_600), later(2_400), None), None);
    let lifted = limit.learn(later(2_600), later(2_501), None);
    assert_eq!(lifted, Some(LimitChange::Lifted(0)));
}

#[test]
fn only_instances_with_a_share_tell_a_change_and_not_too_often() {
    let members: Vec<InstanceId> = (0..95).map(instance).collect();
    let id = server(1).id;
    let mut told = 0;
    for own in &members {
        let mut limit = ServerLimit::default();
        let tells = [0, 10, 990, 1_000]
            .map(|millis| limit.should_tell(&id, view(own, &members), later(millis)));
        assert!([[true, false, false, true], [false; 4]].contains(&tells));
        told += usize::from(tells[0]);
    }
    assert_eq!(told, 4);
}

#[test]
fn few_instances_have_a_share_and_the_others_check_one_after_another() {
    let members: Vec<InstanceId> = (0..95).map(instance).collect();
    let id = server(1).id;
    let waits = members.iter().map(|own| {
        let mut limit = ServerLimit::default();
        limit.state(START, Some(rate("1.6")));
        limit.wait(&id, view(own, &members), START).as_millis()
    });
    let mut waits: Vec<u64> = waits.collect();
    waits.sort_unstable();
    assert_eq!(waits[..4], [2_500; 4]);
    let checks: Vec<u64> = (0..91).map(|place| 20_000 + place * 1_250).collect();
    assert_eq!(waits[4..], checks);
}

#[test]
fn other_servers_take_what_a_limited_one_does_not() {
    let members: Vec<InstanceId> = (0..6).map(instance).collect();
    let (service, own) = (service(), instance(0));
    let constraints = ServerConstraints {
        fleet: view(&own, &members),
        ..constraints(&service, &own)
    };
    let mut table = table(3);
    let limited = server(1);
    let entry = table.get_mut(&limited).expect("listed");
    entry.limit.state(START, Some(rate("1")));
    for part in 0..50 {
        let pick = choose_with(&table, constraints, part, later(500)).expect("a server");
        assert_ne!(pick.server, limited);
    }
    for number in [0, 2] {
        let entry = table.get_mut(&server(number)).expect("listed");
        entry.limit.state(START, Some(rate("1")));
    }
    let error = choose_with(&table, constraints, 1, later(500));
    assert_eq!(error, Err(ChoiceError::Limited));
    let wait = table.limit_wait(&constraints, later(500));
    assert_eq!(wait, Some(ClockSpan::from_millis(3_500)));
    let picks = (0..50).map(|part| choose_with(&table, constraints, part, later(4_000)));
    assert!(picks.flatten().count() > 0);
}

// A limit that is known only from old responses is checked by the next request, even
// if other servers are cheaper: otherwise nobody learns that it is lifted.
#[test]
fn a_limit_is_checked_although_other_servers_are_cheaper() {
    let members = [instance(0)];
    let (service, own) = (service(), instance(0));
    let constraints = ServerConstraints {
        fleet: view(&own, &members),
        ..constraints(&service, &own)
    };
    let mut table = table(3);
    let entry = table.get_mut(&server(1)).expect("listed");
    entry.limit.state(START, Some(rate("1")));
    entry.report(START, 7, 0);
    for part in 0..20 {
        let pick = choose_with(&table, constraints, part, later(2_000)).expect("a server");
        assert_eq!(pick.server, server(1));
    }
}

/// How the instances of a walk share the limit.
#[derive(Clone, Copy, PartialEq)]
enum WalkFault {
    /// As they should.
    None,
    /// Each uses all of it.
    Alone,
    /// Those without a share all check at the same time.
    Herd,
}

/// An instance of a walk.
struct WalkInstance {
    own: InstanceId,
    limit: ServerLimit,
    members: Vec<InstanceId>,
    read_at: u64,
    /// Mean time between its callers' requests.
    pause_ms: u64,
    next_request: u64,
    /// When it first received the statement.
    told_at: Option<u64>,
}

/// Arrivals at a server that states a limit, in milliseconds from its first
/// statement, from instances that have received the statement. Instances come and go, and read the list of instances late; their
/// callers differ; requests arrive late and responses are lost.
fn walk(seed: u64, size: usize, limit: RequestRate, fault: WalkFault) -> Vec<u64> {
    let mut random = fastrand::Rng::with_seed(seed);
    let id = server(random.usize(..1_000)).id;
    let mut listed: Vec<InstanceId> = (0..size).map(instance).collect();
    let mut instances: Vec<WalkInstance> = listed
        .iter()
        .map(|own| WalkInstance {
            own: own.clone(),
            limit: ServerLimit::default(),
            members: listed.clone(),
            read_at: random.u64(..READ_MS),
            pause_ms: random.u64(20..2_000),
            next_request: random.u64(..500),
            told_at: None,
        })
        .collect();
    let mut arrivals = Vec::new();
    for now in (0..RUN_MS).step_by(10) {
        if now % CHANGE_MS == 0 && now > 0 {
            replace_instance(&mut listed, &mut instances, now, &mut random);
        }
        for item in &mut instances {
            if now >= item.read_at {
                item.members.clone_from(&listed);
                item.read_at = now + READ_MS;
            }
            if now < item.next_request {
                continue;
            }
            item.next_request = now + random.u64(1..2 * item.pause_ms);
            if may_send(item, &id, now, fault) {
                item.limit.note_send(later(now));
                let arrival = now + random.u64(0..=MAX_DELAY_MS);
                if item.told_at.is_some_and(|at| arrival >= at + TOLD_MS) {
                    arrivals.push(arrival);
                }
                if random.u32(..5) > 0 {
                    item.limit.state(later(now), Some(limit));
                    item.told_at.get_or_insert(arrival);
                }
            }
        }
    }
    arrivals.sort_unstable();
    arrivals
}

fn may_send(
    item: &WalkInstance,
    server: &guavawell_core::id::BackendId,
    now: u64,
    fault: WalkFault,
) -> bool {
    let alone = [item.own.clone()];
    let members: &[InstanceId] = match fault {
        WalkFault::Alone => &alone,
        WalkFault::None | WalkFault::Herd => &item.members,
    };
    let wait = item
        .limit
        .wait(server, view(&item.own, members), later(now));
    let checks = fault == WalkFault::Herd && now > 20_000;
    wait == ClockSpan::ZERO || checks && item.limit.rate().is_some()
}

/// One instance leaves the list and another joins it.
fn replace_instance(
    listed: &mut Vec<InstanceId>,
    instances: &mut Vec<WalkInstance>,
    now: u64,
    random: &mut fastrand::Rng,
) {
    let left = listed.remove(random.usize(..listed.len()));
    instances.retain(|item| item.own != left);
    let own = instance(1_000 + usize::try_from(now / CHANGE_MS).expect("a small number"));
    listed.push(own.clone());
    listed.sort();
    instances.push(WalkInstance {
        own,
        limit: ServerLimit::default(),
        members: listed.clone(),
        read_at: now + READ_MS,
        pause_ms: random.u64(20..2_000),
        next_request: now + random.u64(..500),
        told_at: None,
    });
}

fn most_in_window(arrivals: &[u64]) -> usize {
    let late = arrivals.iter().filter(|at| **at >= CONTACT_MS);
    let counts = late.map(|start| {
        let window = *start..start + WINDOW_MS;
        arrivals.iter().filter(|at| window.contains(*at)).count()
    });
    counts.max().unwrap_or(0)
}

const SIZES: [usize; 5] = [3, 6, 24, 95, 300];
const LIMITS: [&str; 3] = ["0.4", "1.7", "8"];

#[test]
fn no_window_has_more_requests_than_the_limit_allows() {
    for size in SIZES {
        for limit in LIMITS.map(rate) {
            // A walk takes a time in proportion to the square of the size.
            let seeds = (600 / size).clamp(3, 20);
            for seed in 0..seeds as u64 {
                let most = most_in_window(&walk(seed, size, limit, WalkFault::None));
                let allowed = allowed(limit.per_second());
                assert!(
                    most <= allowed,
                    "{size} instances, {limit} a second, seed {seed}: {most} of {allowed}"
                );
            }
        }
    }
}

#[test]
fn most_of_the_limit_is_used() {
    for size in SIZES {
        let arrivals = walk(1, size, rate("1.7"), WalkFault::None);
        let late = arrivals.iter().filter(|at| **at >= CONTACT_MS).count();
        let offered = 1.7 * fraction(RUN_MS - CONTACT_MS) / 1_000.0;
        let used = fraction(late as u64) / offered;
        assert!(used > 0.5, "{size} instances: {used}");
    }
}

#[test]
fn the_walk_finds_planted_faults() {
    for fault in [WalkFault::Alone, WalkFault::Herd] {
        let most = most_in_window(&walk(1, 24, rate("1.7"), fault));
        assert!(most > allowed(1.7), "{most}");
    }
}
