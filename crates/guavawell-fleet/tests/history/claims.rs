//! Three routers' threads claim, seal and free one id under faults.

use std::thread;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::platform::WriteClass;
use guavawell_core::request::Refusal;
use guavawell_core::request::RefusalOutcome;
use guavawell_core::request::RefusalReason;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::UnsentAttempt;
use guavawell_fleet::claim::BatchSettings;
use guavawell_fleet::claim::ClaimAnswer;
use guavawell_fleet::claim::ClaimDriver;
use guavawell_fleet::claim::HeldClaim;
use guavawell_fleet::claim::RefusalCause;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::platform::TableCompare;
use guavawell_fleet::platform::TableOp;
use guavawell_fleet::platform::TableTxn;
use guavawell_standin::fault::FaultChange;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;

use crate::record::CallRecord;
use crate::spec::ClaimCall;
use crate::spec::ClaimSpec;

const SEEDS: u64 = 40;
const ROUTERS: u64 = 3;
/// Operations of one router on one id.
const OPERATIONS: u64 = 3;

/// One router's thread.
struct ClaimThread<'a> {
    router: ClaimDriver,
    identity: &'a RequestIdentity,
    history: &'a CallRecord<ClaimCall>,
}

impl ClaimThread<'_> {
    fn run(&self, number: u64, seed: u64) {
        let mut random = fastrand::Rng::with_seed(seed * ROUTERS + number);
        for operation in 0..OPERATIONS {
            let attempt = AttemptId::new(u128::from(number * OPERATIONS + operation + 1));
            match random.u8(..8) {
                0 => self.seal(attempt),
                mix => self.claim(attempt, mix),
            }
        }
    }

    fn claim(&self, attempt: AttemptId, mix: u8) {
        let call = self.history.call();
        let unsent = UnsentAttempt::new(attempt);
        let start = self.router.start_try();
        match smol::block_on(self.router.claim(self.identity, unsent, start)) {
            ClaimAnswer::Held(held) => {
                self.history.answer(call, ClaimCall::Held(attempt));
                match mix {
                    1..=4 => self.free(held),
                    5 => self.seal_held(held),
                    _ => {}
                }
            }
            ClaimAnswer::TakenBy { row, .. } => {
                self.history.answer(call, ClaimCall::TakenBy(row.attempt));
            }
            ClaimAnswer::Refused(refusal) if is_not_run(&refusal) => {
                self.history.answer(call, ClaimCall::FoundSealed);
            }
            ClaimAnswer::Refused(_) => {
                self.history.leave_open(call, ClaimCall::MaybeHeld(attempt));
                let later = self.history.call();
                self.history.leave_open(later, ClaimCall::Freed(attempt));
            }
        }
    }

    fn seal(&self, attempt: AttemptId) {
        let call = self.history.call();
        let unsent = UnsentAttempt::new(attempt);
        let cause = cause(RefusalReason::Deadline);
        let start = self.router.start_try();
        let refusal = self
            .router
            .refuse(self.identity, false, unsent, start, &cause);
        let answer = match smol::block_on(refusal).outcome() {
            RefusalOutcome::NotRun => ClaimCall::Sealed,
            RefusalOutcome::Unknown => ClaimCall::FoundRunning,
            RefusalOutcome::Retry => {
                return self.history.leave_open(call, ClaimCall::MaybeSealed);
            }
        };
        self.history.answer(call, answer);
    }

    fn free(&self, held: HeldClaim) {
        let call = self.history.call();
        let attempt = held.attempt.id();
        let cause = cause(RefusalReason::Overloaded);
        let refusal = self.router.refuse_held(self.identity, held, &cause);
        assert_eq!(smol::block_on(refusal).outcome(), RefusalOutcome::Retry);
        self.history.leave_open(call, ClaimCall::Freed(attempt));
    }

    fn seal_held(&self, held: HeldClaim) {
        let call = self.history.call();
        let attempt = held.attempt.id();
        let cause = cause(RefusalReason::Deadline);
        let refusal = self.router.refuse_held(self.identity, held, &cause);
        if is_not_run(&smol::block_on(refusal)) {
            self.history.answer(call, ClaimCall::SealedHeld(attempt));
        } else {
            self.history
                .leave_open(call, ClaimCall::MaybeSealedHeld(attempt));
        }
    }
}

fn is_not_run(refusal: &Refusal) -> bool {
    refusal.outcome() == RefusalOutcome::NotRun
}

fn cause(reason: RefusalReason) -> RefusalCause {
    RefusalCause {
        reason,
        detail: "for the test".into(),
        retry_after: None,
    }
}

fn table(platform: &Platform) -> Table {
    let settings = PoolSettings {
        answer_timeout: ClockSpan::from_millis(2_000),
        ..PoolSettings::default()
    };
    Table::new(platform.address(), settings)
}

fn router(platform: &Platform, number: u64) -> ClaimDriver {
    let life = InstanceIncarnation {
        instance: format!("r{number}").parse().unwrap(),
        incarnation: IncarnationId::new(1),
    };
    ClaimDriver::start(table(platform), life, BatchSettings::default())
}

#[test]
fn concurrent_claims_and_seals_are_linearizable_under_faults() {
    let platform = smol::block_on(Platform::start(PlatformSettings::default())).unwrap();
    let mut calls = 0;
    let routers: Vec<_> = (0..ROUTERS).map(|n| router(&platform, n)).collect();
    for seed in 0..SEEDS {
        platform.set_faults(FaultChange {
            lose_answers: Some(seed % 4),
            refuse_writes: Some(seed % 3),
            ..FaultChange::default()
        });
        let organisation = "o".parse().unwrap();
        let identity = RequestIdentity::from_caller(organisation, &format!("k{seed}")).unwrap();
        let history = CallRecord::default();
        thread::scope(|scope| {
            for (number, router) in (0..).zip(&routers) {
                let thread = ClaimThread {
                    router: router.clone(),
                    identity: &identity,
                    history: &history,
                };
                scope.spawn(move || thread.run(number, seed));
            }
        });
        calls += history.calls();
        let is_linearizable = history.is_linearizable::<ClaimSpec>();
        assert!(is_linearizable, "seed {seed}: {history:?}");
    }
    println!("{calls} calls in {SEEDS} histories");
}

/// The planted fault: takes the id without reading back who has it.
fn claim_blindly(table: &Table, history: &CallRecord<ClaimCall>, attempt: AttemptId) {
    let call = history.call();
    let txn = TableTxn {
        compares: vec![TableCompare::absent("claim/o/blind")],
        success: vec![TableOp::put(
            "claim/o/blind",
            attempt.to_string().into_bytes(),
        )],
        failure: Vec::new(),
    };
    let _ = smol::block_on(table.txn(&txn, WriteClass::Claim));
    history.answer(call, ClaimCall::Held(attempt));
}

#[test]
fn a_claim_without_reading_back_is_caught() {
    let platform = smol::block_on(Platform::start(PlatformSettings::default())).unwrap();
    let table = table(&platform);
    let alone = CallRecord::default();
    claim_blindly(&table, &alone, AttemptId::new(1));
    assert!(
        alone.is_linearizable::<ClaimSpec>(),
        "one claim alone is no fault"
    );
    let history = CallRecord::default();
    platform.set_faults(FaultChange {
        lose_answers: Some(2),
        ..FaultChange::default()
    });
    thread::scope(|scope| {
        for number in 1..=2 {
            let (table, history) = (&table, &history);
            scope.spawn(move || claim_blindly(table, history, AttemptId::new(number)));
        }
    });
    assert!(!history.is_linearizable::<ClaimSpec>());
}
