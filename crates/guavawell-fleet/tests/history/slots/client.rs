//! One thread's calls about one request, each noted with its answer.

use std::sync::Arc;
use std::time::Duration;

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
use guavawell_core::id::AttemptId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;
use guavawell_fleet::peer::PeerReply;
use guavawell_fleet::peer::PeerRequest;
use guavawell_fleet::peer::SlotAsk;
use guavawell_fleet::slot::RunCharge;
use smol::Timer;

use super::rig::SlotRig;
use super::rig::SlotRouter;
use super::spec::MoneyCall;
use crate::record::CallRecord;

pub const AMOUNT: TokenCount = TokenCount::new(10);
const ACTUAL: TokenCount = TokenCount::new(4);

/// Rounds over all routers before a release is left without an answer.
const RELEASE_ROUNDS: usize = 60;

pub fn identity(request: usize) -> RequestIdentity {
    RequestIdentity::from_caller("o".parse().unwrap(), &format!("k{request}")).unwrap()
}

pub struct SlotClient<'a> {
    pub rig: &'a SlotRig,
    pub router: &'a SlotRouter,
    pub request: usize,
    pub history: &'a CallRecord<MoneyCall>,
}

impl SlotClient<'_> {
    /// Reserves, and settles, releases or keeps what was granted, as `mix` says.
    pub fn reserve(&self, attempt: AttemptId, mix: u8) {
        let call = self.history.call();
        let ask = self.ask(attempt);
        let driver = Arc::clone(&self.router.driver);
        let work = async move { driver.reserve(ask).await };
        match self.router.run(work) {
            Some(ReserveAnswer::Granted(grant)) => {
                let float = grant.pool == TokenPool::Float;
                self.history
                    .answer(call, MoneyCall::Granted(attempt, float));
                match mix {
                    0..=2 => self.settle(attempt, grant),
                    3..=6 => self.release(attempt),
                    _ => {}
                }
            }
            Some(
                ReserveAnswer::Joined { attempt, .. }
                | ReserveAnswer::AlreadyBilled { attempt, .. },
            ) => self.history.answer(call, MoneyCall::Followed(attempt)),
            Some(ReserveAnswer::Sealed) => self.history.answer(call, MoneyCall::FoundSealed),
            Some(ReserveAnswer::Exhausted { .. }) => {
                self.history.answer(call, MoneyCall::Refused);
            }
            Some(ReserveAnswer::Mismatch) => panic!("one digest and one budget"),
            Some(ReserveAnswer::Unreachable { .. } | ReserveAnswer::NotHolder { .. }) | None => {
                self.history
                    .leave_open(call, MoneyCall::MaybeGranted(attempt));
                let later = self.history.call();
                self.history
                    .leave_open(later, MoneyCall::MaybeReleased(attempt));
            }
        }
    }

    fn ask(&self, attempt: AttemptId) -> ReserveRequest {
        ReserveRequest {
            identity: identity(self.request),
            attempt,
            budget: "m".parse().unwrap(),
            amount: AMOUNT,
            router: self.router.life.clone(),
            idempotent: true,
            digest: RequestDigest::default(),
        }
    }

    fn settle(&self, attempt: AttemptId, grant: ReserveGrant) {
        let call = self.history.call();
        let ask = SettleRequest {
            identity: identity(self.request),
            attempt,
            grant,
            actual: ACTUAL,
            backend: None,
        };
        let charge = RunCharge {
            slot: self.router.driver.slot_of(&ask.identity.organisation),
            ask,
            budget: "m".parse().unwrap(),
        };
        let driver = Arc::clone(&self.router.driver);
        let answer = self.router.run(async move { driver.settle(charge).await });
        match answer.flatten() {
            Some(SettleAnswer::Settled { .. }) => {
                self.history.answer(call, MoneyCall::Settled(attempt));
            }
            Some(SettleAnswer::AlreadySettled { attempt, .. }) => {
                self.history.answer(call, MoneyCall::FoundSettled(attempt));
            }
            Some(SettleAnswer::Unknown) => self.history.answer(call, MoneyCall::Unknown(attempt)),
            Some(SettleAnswer::Pending { .. } | SettleAnswer::NotHolder { .. }) | None => {
                self.history
                    .leave_open(call, MoneyCall::MaybeSettled(attempt));
            }
        }
    }

    /// Asks one router after the other until one answers for the slot.
    pub fn release(&self, attempt: AttemptId) {
        let call = self.history.call();
        for _ in 0..RELEASE_ROUNDS {
            for router in self.rig.living() {
                match self.release_at(router, attempt) {
                    Some(ReleaseAnswer::Released) => {
                        return self.history.answer(call, MoneyCall::Released(attempt));
                    }
                    Some(ReleaseAnswer::AlreadySettled { .. }) => panic!("never settled"),
                    _ => {}
                }
            }
            smol::block_on(Timer::after(Duration::from_millis(10)));
        }
        self.history
            .leave_open(call, MoneyCall::MaybeReleased(attempt));
    }

    pub fn release_at(&self, router: &SlotRouter, attempt: AttemptId) -> Option<ReleaseAnswer> {
        let driver = Arc::clone(&router.driver);
        let ask = ReleaseRequest {
            identity: identity(self.request),
            attempt,
            before: None,
        };
        let slot = driver.slot_of(&ask.identity.organisation);
        let ask = PeerRequest::Release(SlotAsk::new(slot, ask));
        match router.run(async move { driver.answer(ask).await }) {
            Some(PeerReply::Release(answer)) => Some(answer),
            _ => None,
        }
    }

    pub fn seal(&self) {
        let call = self.history.call();
        let driver = Arc::clone(&self.router.driver);
        let ask = SealRequest {
            identity: identity(self.request),
        };
        let answer = self.router.run(async move { driver.seal(ask).await });
        match answer.flatten() {
            Some(SealAnswer::Sealed) => self.history.answer(call, MoneyCall::Sealed),
            Some(SealAnswer::Running { .. } | SealAnswer::AlreadyBilled { .. }) => {
                self.history.answer(call, MoneyCall::FoundRunning);
            }
            Some(SealAnswer::Unreachable { .. } | SealAnswer::NotHolder { .. }) | None => {
                self.history.leave_open(call, MoneyCall::MaybeSealed);
            }
        }
    }
}
