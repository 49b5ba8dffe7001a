//! Tests the answers of a slot's holder to single requests, over a simulated fleet.

mod budget_fleet;

use guavawell_core::budget::AskId;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::SealAnswer;
use guavawell_core::budget::SealRequest;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::TokenPool;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;

use budget_fleet::Fleet;

const ASK: AskId = AskId::new(7);

fn fleet(zones: usize, paid: u64, float_percent: u8) -> Fleet {
    let settings = HolderSettings {
        float_percent,
        stock_requests: 10,
        ..HolderSettings::default()
    };
    let budget = ("m".parse().unwrap(), TokenCount::new(paid));
    Fleet::new(zones, settings, &[budget], 1)
}

fn identity(request: u32) -> RequestIdentity {
    RequestIdentity::from_caller("org".parse().unwrap(), &format!("r{request}")).unwrap()
}

/// Requests a reservation and waits up to ten simulated seconds for the answer.
fn reserve(
    fleet: &mut Fleet,
    zone: usize,
    request: u32,
    attempt: u128,
    amount: u64,
) -> ReserveAnswer {
    let ask = ReserveRequest {
        identity: identity(request),
        attempt: AttemptId::new(attempt),
        budget: "m".parse().unwrap(),
        amount: TokenCount::new(amount),
        router: fleet.instances[0].life.clone(),
        idempotent: true,
        digest: RequestDigest::default(),
    };
    fleet.ask(zone, None, HolderEvent::Reserve(ASK, ask));
    match answer(fleet) {
        HolderAnswer::Reserve(answer) => answer,
        other => panic!("{other:?}"),
    }
}

fn answer(fleet: &mut Fleet) -> HolderAnswer {
    for _ in 0..100 {
        if let Some((_, answer)) = fleet.answers.pop() {
            return answer;
        }
        fleet.tick(ClockSpan::from_millis(100));
    }
    panic!("no answer");
}

fn granted(answer: ReserveAnswer) -> ReserveGrant {
    match answer {
        ReserveAnswer::Granted(grant) => grant,
        other => panic!("expected a grant, found {other:?}"),
    }
}

fn settle(
    fleet: &mut Fleet,
    zone: usize,
    request: u32,
    attempt: u128,
    grant: &ReserveGrant,
    actual: u64,
) -> SettleAnswer {
    let ask = SettleRequest {
        identity: identity(request),
        attempt: AttemptId::new(attempt),
        grant: grant.clone(),
        actual: TokenCount::new(actual),
        backend: None,
    };
    fleet.ask(zone, Some(grant.tenure), HolderEvent::Settle(ASK, ask));
    match answer(fleet) {
        HolderAnswer::Settle(answer) => answer,
        other => panic!("{other:?}"),
    }
}

fn settled(charged: u64) -> SettleAnswer {
    SettleAnswer::Settled {
        charged: TokenCount::new(charged),
    }
}

#[test]
fn a_retried_request_is_joined_and_charged_once() {
    let mut fleet = fleet(1, 1_000, 0);
    let grant = granted(reserve(&mut fleet, 0, 1, 1, 100));
    assert_eq!(granted(reserve(&mut fleet, 0, 1, 1, 100)), grant);
    let joined = reserve(&mut fleet, 0, 1, 2, 100);
    assert!(matches!(joined, ReserveAnswer::Joined { attempt, .. } if attempt.get() == 1));
    assert_eq!(settle(&mut fleet, 0, 1, 1, &grant, 30), settled(30));
    assert_eq!(settle(&mut fleet, 0, 1, 1, &grant, 90), settled(30));
    let billed = reserve(&mut fleet, 0, 1, 3, 100);
    assert!(matches!(billed, ReserveAnswer::AlreadyBilled { charged, .. } if charged.get() == 30));
    assert_eq!(fleet.free(0, "m"), TokenCount::new(470));
}

#[test]
fn a_charge_never_exceeds_its_reservation() {
    let mut fleet = fleet(1, 1_000, 0);
    let grant = granted(reserve(&mut fleet, 0, 1, 1, 100));
    assert_eq!(settle(&mut fleet, 0, 1, 1, &grant, 500), settled(100));
}

#[test]
fn a_sealed_request_is_never_granted() {
    let mut fleet = fleet(1, 1_000, 0);
    let seal = SealRequest {
        identity: identity(1),
    };
    fleet.ask(0, None, HolderEvent::Seal(ASK, seal.clone()));
    assert_eq!(answer(&mut fleet), HolderAnswer::Seal(SealAnswer::Sealed));
    assert_eq!(reserve(&mut fleet, 0, 1, 1, 100), ReserveAnswer::Sealed);
    granted(reserve(&mut fleet, 0, 2, 2, 100));
    let running = SealRequest {
        identity: identity(2),
    };
    fleet.ask(0, None, HolderEvent::Seal(ASK, running));
    let attempt = AttemptId::new(2);
    let answer = answer(&mut fleet);
    assert_eq!(answer, HolderAnswer::Seal(SealAnswer::Running { attempt }));
}

#[test]
fn a_released_attempt_gives_its_tokens_back() {
    let mut fleet = fleet(1, 100, 0);
    granted(reserve(&mut fleet, 0, 1, 1, 100));
    let exhausted = reserve(&mut fleet, 0, 2, 2, 100);
    assert!(matches!(
        exhausted,
        ReserveAnswer::Exhausted {
            retry_after: Some(_),
            ..
        }
    ));
    let release = ReleaseRequest {
        identity: identity(1),
        attempt: AttemptId::new(1),
        before: None,
    };
    fleet.ask(0, None, HolderEvent::Release(ASK, release));
    let released = HolderAnswer::Release(ReleaseAnswer::Released);
    assert_eq!(answer(&mut fleet), released);
    granted(reserve(&mut fleet, 0, 2, 3, 100));
}

#[test]
fn a_partitioned_zone_serves_from_its_float_and_settles_running_attempts() {
    let mut fleet = fleet(2, 1_000, 50);
    let running = granted(reserve(&mut fleet, 0, 1, 1, 10));
    assert_eq!(running.pool, TokenPool::Witnessed);
    fleet.cut[0] = true;
    let float_grant = granted(reserve(&mut fleet, 0, 2, 2, 10));
    assert_eq!(float_grant.pool, TokenPool::Float);
    let pending = settle(&mut fleet, 0, 1, 1, &running, 4);
    assert!(matches!(pending, SettleAnswer::Pending { charged, .. } if charged.get() == 4));
    assert_eq!(settle(&mut fleet, 0, 2, 2, &float_grant, 10), settled(10));
    fleet.cut[0] = false;
    fleet.tick(ClockSpan::from_millis(100));
    assert_eq!(settle(&mut fleet, 0, 1, 1, &running, 4), settled(4));
}

#[test]
fn a_partitioned_zone_without_a_float_answers_unreachable_not_exhausted() {
    let mut fleet = fleet(2, 1_000, 0);
    granted(reserve(&mut fleet, 0, 1, 1, 10));
    fleet.cut[0] = true;
    let answer = reserve(&mut fleet, 0, 2, 2, 10);
    assert!(matches!(answer, ReserveAnswer::Unreachable { .. }));
}

#[test]
fn the_last_tokens_are_fetched_from_other_zones() {
    let mut fleet = fleet(3, 300, 50);
    for zone in 0..3 {
        let grant = granted(reserve(&mut fleet, zone, 10, 10 + zone as u128, 10));
        settle(&mut fleet, zone, 10, 10 + zone as u128, &grant, 0);
    }
    granted(reserve(&mut fleet, 0, 1, 1, 300));
    let rest = reserve(&mut fleet, 1, 2, 2, 1);
    assert!(matches!(rest, ReserveAnswer::Exhausted { .. }));
}

#[test]
fn a_top_up_on_one_side_of_a_partition_is_spent_there_at_once() {
    let mut fleet = fleet(3, 100, 0);
    granted(reserve(&mut fleet, 0, 1, 1, 100));
    fleet.cut[2] = true;
    let id = "may".parse().unwrap();
    let budget = "m".parse().unwrap();
    let raise = |row: &guavawell_core::budget::BudgetRow| row.top_up(&id, TokenCount::new(100));
    fleet.update(&budget, raise).unwrap();
    granted(reserve(&mut fleet, 0, 2, 2, 60));
    let partitioned = reserve(&mut fleet, 2, 3, 3, 40);
    assert!(matches!(partitioned, ReserveAnswer::Unreachable { .. }));
    fleet.cut[2] = false;
    fleet.tick(ClockSpan::from_millis(1_000));
    granted(reserve(&mut fleet, 2, 3, 4, 40));
}

#[test]
fn a_leaving_holder_hands_the_slot_over_with_nothing_frozen() {
    let mut fleet = fleet(2, 1_000, 50);
    let running = granted(reserve(&mut fleet, 0, 1, 1, 10));
    let before = fleet.rows[0].clone();
    fleet.ask(0, None, HolderEvent::Leave);
    for _ in 0..20 {
        fleet.tick(ClockSpan::from_millis(100));
    }
    assert_eq!(Some(&fleet.rows[0].holder), before.witness.as_ref());
    let budget = "m".parse().unwrap();
    assert!(fleet.row(&budget).frozen.is_empty());
    granted(reserve(&mut fleet, 0, 2, 2, 900));
    let moved = settle(&mut fleet, 0, 1, 1, &running, 10);
    assert!(
        matches!(moved, SettleAnswer::NotHolder { holder: Some(holder) } if holder == fleet.rows[0].holder)
    );
}

#[test]
fn a_crashed_holder_leaves_its_running_attempts_to_the_witness() {
    let mut fleet = fleet(2, 100, 0);
    let grant = granted(reserve(&mut fleet, 0, 1, 1, 100));
    fleet.crash(0);
    fleet.take_over(0);
    let joined = reserve(&mut fleet, 0, 1, 2, 100);
    assert!(matches!(joined, ReserveAnswer::Joined { attempt, .. } if attempt.get() == 1));
    let exhausted = reserve(&mut fleet, 0, 2, 3, 1);
    assert!(matches!(exhausted, ReserveAnswer::Exhausted { .. }));
    let late = SettleRequest {
        identity: identity(1),
        attempt: AttemptId::new(1),
        grant,
        actual: TokenCount::new(40),
        backend: None,
    };
    fleet.ask_present(0, HolderEvent::Settle(ASK, late));
    assert_eq!(answer(&mut fleet), HolderAnswer::Settle(settled(40)));
    granted(reserve(&mut fleet, 0, 2, 4, 60));
}

#[test]
fn a_holder_unaware_of_its_takeover_redirects_charges_of_its_successor() {
    let mut fleet = fleet(2, 1_000, 0);
    let grant = granted(reserve(&mut fleet, 0, 1, 1, 60));
    let later = ReserveGrant {
        tenure: grant.tenure.next().next(),
        ..grant.clone()
    };
    let later_tenure = SettleRequest {
        identity: identity(2),
        attempt: AttemptId::new(2),
        grant: later.clone(),
        actual: TokenCount::new(10),
        backend: None,
    };
    fleet.ask_present(0, HolderEvent::Settle(ASK, later_tenure.clone()));
    let HolderAnswer::Settle(SettleAnswer::NotHolder { holder }) = answer(&mut fleet) else {
        panic!("a charge of a later tenure must be answered with `NotHolder`");
    };
    assert_eq!(holder, Some(later.holder));
    let unknown = SettleRequest {
        grant,
        ..later_tenure
    };
    fleet.ask_present(0, HolderEvent::Settle(ASK, unknown));
    let expected = HolderAnswer::Settle(SettleAnswer::Unknown);
    assert_eq!(answer(&mut fleet), expected);
}
