//! Claims and seals against the stand-in's platform, fault by fault.

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::platform::PlatformRate;
use guavawell_core::platform::SharePolicy;
use guavawell_core::platform::WriteClass;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalOutcome;
use guavawell_core::request::RefusalReason;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::UnsentAttempt;
use guavawell_core::request::claim::ClaimRow;
use guavawell_core::request::claim::ClaimState;
use guavawell_fleet::claim::BatchSettings;
use guavawell_fleet::claim::ClaimAnswer;
use guavawell_fleet::claim::ClaimDriver;
use guavawell_fleet::claim::HeldClaim;
use guavawell_fleet::claim::RefusalCause;
use guavawell_fleet::platform::PlatformError;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::platform::TableOp;
use guavawell_fleet::platform::TableTxn;
use guavawell_fleet::platform::TxnAnswer;
use guavawell_fleet::platform::WriteGate;
use guavawell_standin::fault::FaultChange;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;

const KEY: &str = "claim/o/k";

struct ClaimTest {
    platform: Platform,
}

impl ClaimTest {
    fn start() -> Self {
        let platform = smol::block_on(Platform::start(PlatformSettings::default())).unwrap();
        Self { platform }
    }

    fn router(&self, name: &str) -> ClaimDriver {
        Self::router_with(self.table(), name)
    }

    fn table(&self) -> Table {
        let settings = PoolSettings {
            answer_timeout: ClockSpan::from_millis(300),
            ..PoolSettings::default()
        };
        Table::new(self.platform.address(), settings)
    }

    fn router_with(table: Table, name: &str) -> ClaimDriver {
        let life = InstanceIncarnation {
            instance: name.parse().unwrap(),
            incarnation: IncarnationId::new(1),
        };
        ClaimDriver::start(table, life, BatchSettings::default())
    }

    fn fault(&self, change: FaultChange) {
        self.platform.set_faults(change);
    }

    fn row(&self) -> Option<ClaimRow> {
        let value = self.platform.row(KEY)?;
        Some(serde_json::from_slice(&value).unwrap())
    }

    /// Waits until the row says `state`; a test that never gets there hangs.
    fn wait_for(&self, state: ClaimState) {
        while self.state() != Some(state) {
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    }

    fn state(&self) -> Option<ClaimState> {
        self.row().map(|row| row.state)
    }
}

fn identity() -> RequestIdentity {
    RequestIdentity::from_caller("o".parse().unwrap(), "k").unwrap()
}

fn attempt(number: u128) -> UnsentAttempt {
    UnsentAttempt::new(AttemptId::new(number))
}

fn claim(router: &ClaimDriver, number: u128) -> ClaimAnswer {
    smol::block_on(router.claim(&identity(), attempt(number), router.start_try()))
}

fn held(answer: ClaimAnswer) -> HeldClaim {
    match answer {
        ClaimAnswer::Held(claim) => claim,
        other => panic!("not held: {other:?}"),
    }
}

fn refused(answer: ClaimAnswer) -> Refusal {
    match answer {
        ClaimAnswer::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn cause(reason: RefusalReason) -> RefusalCause {
    RefusalCause {
        reason,
        detail: "for the test".into(),
        retry_after: None,
    }
}

fn refuse(router: &ClaimDriver, number: u128, reason: RefusalReason) -> Refusal {
    smol::block_on(refuse_new(
        router,
        &identity(),
        false,
        attempt(number),
        &cause(reason),
    ))
}

/// Refuses an attempt whose request was read just now.
async fn refuse_new(
    router: &ClaimDriver,
    identity: &RequestIdentity,
    idempotent: bool,
    attempt: UnsentAttempt,
    cause: &RefusalCause,
) -> Refusal {
    let start = router.start_try();
    router
        .refuse(identity, idempotent, attempt, start, cause)
        .await
}

#[test]
fn a_retry_at_another_router_meets_the_first_claim() {
    let test = ClaimTest::start();
    let first = held(claim(&test.router("r1"), 1));
    assert_eq!(first.attempt.id(), AttemptId::new(1));
    match claim(&test.router("r2"), 2) {
        ClaimAnswer::TakenBy { row, .. } => assert_eq!(row.attempt, AttemptId::new(1)),
        other => panic!("{other:?}"),
    }
    // A refusal there cannot say `not_run`: the first try may run.
    let refusal = refuse(&test.router("r2"), 3, RefusalReason::BudgetExhausted);
    assert_eq!(refusal.outcome(), RefusalOutcome::Unknown);
    assert!(refusal.is_inexact());
    assert_eq!(test.row().unwrap().attempt, AttemptId::new(1));
}

#[test]
fn a_lost_answer_is_read_back_and_the_claim_held_once() {
    let test = ClaimTest::start();
    test.fault(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    held(claim(&test.router("r1"), 1));
    assert_eq!(test.platform.counts().writes, 1);
    let taken = claim(&test.router("r2"), 2);
    assert!(matches!(taken, ClaimAnswer::TakenBy { .. }), "{taken:?}");
}

#[test]
fn a_write_closed_without_effect_is_tried_again_after_reading_back() {
    let test = ClaimTest::start();
    test.fault(FaultChange {
        refuse_writes: Some(1),
        ..FaultChange::default()
    });
    held(claim(&test.router("r1"), 1));
    assert_eq!(test.platform.counts().reads, 1);
}

#[test]
fn nothing_runs_and_nothing_is_sealed_during_an_outage() {
    let test = ClaimTest::start();
    test.fault(FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    });
    let router = test.router("r1");
    let refusal = refused(claim(&router, 1));
    assert_eq!(refusal.outcome(), RefusalOutcome::Retry);
    assert_eq!(refusal.reason(), RefusalReason::PlatformUnreachable);
    assert!(refusal.retry_after().is_some());
    let refusal = refuse(&router, 2, RefusalReason::BudgetExhausted);
    assert_eq!(refusal.outcome(), RefusalOutcome::Retry);
    assert!(refusal.is_inexact());
    test.fault(FaultChange {
        outage: Some(false),
        ..FaultChange::default()
    });
    assert_eq!(test.state(), None);
    held(claim(&test.router("r2"), 3));
}

#[test]
fn a_seal_is_final_at_every_router_and_its_lost_answer_is_read_back() {
    let test = ClaimTest::start();
    test.fault(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    let refusal = refuse(&test.router("r1"), 1, RefusalReason::BudgetExhausted);
    assert_eq!(refusal.outcome(), RefusalOutcome::NotRun);
    assert!(!refusal.is_inexact());
    for number in 2..4 {
        let refusal = refused(claim(&test.router("r2"), number));
        assert_eq!(refusal.outcome(), RefusalOutcome::NotRun);
        assert_eq!(refusal.reason(), RefusalReason::Sealed);
    }
    assert_eq!(test.state(), Some(ClaimState::Sealed));
}

#[test]
fn a_held_claim_that_is_refused_is_sealed_or_freed() {
    let test = ClaimTest::start();
    let router = test.router("r1");
    let first = held(claim(&router, 1));
    let overloaded = cause(RefusalReason::Overloaded);
    let refusal = smol::block_on(router.refuse_held(&identity(), first, &overloaded));
    assert_eq!(refusal.outcome(), RefusalOutcome::Retry);
    assert_eq!(test.state(), Some(ClaimState::Released));
    let second = held(claim(&test.router("r2"), 2));
    assert_eq!(test.row().unwrap().attempt, AttemptId::new(2));
    let deadline = cause(RefusalReason::Deadline);
    let refusal = smol::block_on(router.refuse_held(&identity(), second, &deadline));
    assert_eq!(refusal.outcome(), RefusalOutcome::NotRun);
    assert_eq!(test.state(), Some(ClaimState::Sealed));
}

#[test]
fn a_platform_too_slow_to_answer_leaves_the_claim_undecided_and_later_freed() {
    let test = ClaimTest::start();
    test.fault(FaultChange {
        delay_ms: Some(900),
        ..FaultChange::default()
    });
    let refusal = refused(claim(&test.router("r1"), 1));
    assert_eq!(refusal.outcome(), RefusalOutcome::Retry);
    test.fault(FaultChange {
        delay_ms: Some(0),
        ..FaultChange::default()
    });
    test.wait_for(ClaimState::Released);
    held(claim(&test.router("r2"), 2));
}

#[test]
fn a_claim_whose_caller_goes_away_is_freed() {
    let test = ClaimTest::start();
    let router = test.router("r1");
    let identity = identity();
    let mut claim = Box::pin(router.claim(&identity, attempt(1), router.start_try()));
    assert!(smol::block_on(smol::future::poll_once(&mut claim)).is_none());
    drop(claim);
    test.wait_for(ClaimState::Released);
}

#[test]
fn minted_and_idempotent_requests_cost_no_write() {
    let test = ClaimTest::start();
    let router = test.router("r1");
    let minted = RequestIdentity::mint("o".parse().unwrap(), 9);
    let exhausted = cause(RefusalReason::BudgetExhausted);
    let refusal = smol::block_on(refuse_new(&router, &minted, false, attempt(1), &exhausted));
    assert_eq!(refusal.outcome(), RefusalOutcome::NotRun);
    let refusal = smol::block_on(refuse_new(
        &router,
        &identity(),
        true,
        attempt(2),
        &exhausted,
    ));
    assert_eq!(refusal.outcome(), RefusalOutcome::Retry);
    assert_eq!(test.platform.counts().writes, 0);
}

#[test]
fn concurrent_claims_share_transactions_and_one_clash_stops_none() {
    let test = ClaimTest::start();
    held(claim(&test.router("r0"), 1));
    let router = test.router("r1");
    let ask = |place: u128| {
        let name = if place == 7 {
            "k".into()
        } else {
            format!("n{place}")
        };
        let identity = RequestIdentity::from_caller("o".parse().unwrap(), &name).unwrap();
        let router = router.clone();
        let start = router.start_try();
        smol::spawn(async move { router.claim(&identity, attempt(100 + place), start).await })
    };
    let tasks: Vec<_> = (0..20).map(ask).collect();
    let answers = smol::block_on(async {
        let mut answers = Vec::new();
        for task in tasks {
            answers.push(task.await);
        }
        answers
    });
    for (place, answer) in answers.into_iter().enumerate() {
        let taken = matches!(answer, ClaimAnswer::TakenBy { .. });
        assert_eq!(taken, place == 7, "{place}: {answer:?}");
    }
    assert_eq!(test.platform.keys("claim/o/").len(), 20);
}

/// Three routers race for each id while answers are lost and writes closed.
#[test]
fn racing_routers_hold_each_id_at_most_once_under_faults() {
    let test = ClaimTest::start();
    let routers = [test.router("r1"), test.router("r2"), test.router("r3")];
    for seed in 0..40_u64 {
        test.fault(FaultChange {
            lose_answers: Some(seed % 4),
            refuse_writes: Some(seed % 3),
            ..FaultChange::default()
        });
        let identity = RequestIdentity::from_caller("o".parse().unwrap(), &format!("race{seed}"));
        let identity = identity.unwrap();
        let race = |place: usize| {
            let router = routers[place].clone();
            let identity = identity.clone();
            let attempt = attempt(u128::from(seed) * 10 + place as u128);
            smol::spawn(async move {
                if seed.is_multiple_of(2) && place == 2 {
                    let cause = cause(RefusalReason::Deadline);
                    let refusal = refuse_new(&router, &identity, false, attempt, &cause).await;
                    return (false, refusal.outcome() == RefusalOutcome::NotRun);
                }
                match router.claim(&identity, attempt, router.start_try()).await {
                    ClaimAnswer::Held(_) => (true, false),
                    ClaimAnswer::TakenBy { .. } => (false, false),
                    ClaimAnswer::Refused(refusal) => {
                        (false, refusal.outcome() == RefusalOutcome::NotRun)
                    }
                }
            })
        };
        let tasks = [race(0), race(1), race(2)];
        let (mut held, mut not_run) = (0, 0);
        for task in tasks {
            let (is_held, is_not_run) = smol::block_on(task);
            held += u32::from(is_held);
            not_run += u32::from(is_not_run);
        }
        assert!(held <= 1, "seed {seed}: held {held} times");
        assert!(held == 0 || not_run == 0, "seed {seed}: held and `not_run`");
    }
}

/// A share of four writes that never fills again, and no wait for it.
fn small_share() -> WriteGate {
    let policy = SharePolicy {
        rate: PlatformRate::ZERO,
        burst: 4,
    };
    WriteGate::new(policy, ClockSpan::default())
}

fn write_money(table: &Table) -> Result<TxnAnswer, PlatformError> {
    let txn = TableTxn {
        success: vec![TableOp::put("budget/b", *b"{}")],
        ..TableTxn::default()
    };
    smol::block_on(table.txn(&txn, WriteClass::Money))
}

#[test]
fn an_exhausted_share_refuses_claims_with_retry_and_lets_money_through() {
    let test = ClaimTest::start();
    let table = test.table().with_writes(&small_share());
    let router = ClaimTest::router_with(table.clone(), "r1");
    for _ in 0..3 {
        write_money(&table).unwrap();
    }
    // One write is left, and it is kept for money.
    let refusal = refused(claim(&router, 1));
    assert_eq!(refusal.outcome(), RefusalOutcome::Retry);
    assert!(refusal.retry_after_seconds().is_some());
    assert_eq!(test.row(), None);
    write_money(&table).unwrap();
    let end = write_money(&table);
    assert!(matches!(end, Err(PlatformError::Throttled(_))), "{end:?}");
}
