//! Charges and releases: what running attempts used, or give back.

use super::AskId;
use super::ChargeNotice;
use super::HolderAnswer;
use super::HolderEffect;
use super::HolderNote;
use super::SlotHolder;
use super::ask::answer_reserve;
use super::wait::RecordedCharge;
use super::wait::WaitKind;
use crate::budget::ledger::RequestState;
use crate::budget::ledger::ReservedAttempt;
use crate::budget::message::ReleaseAnswer;
use crate::budget::message::ReleaseRequest;
use crate::budget::message::SettleAnswer;
use crate::budget::message::SettleRequest;
use crate::budget::message::TokenPool;
use crate::budget::record::LedgerEntry;
use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::id::TokenCount;
use crate::request::RequestIdentity;

impl SlotHolder {
    pub(super) fn settle(
        &mut self,
        ask: AskId,
        settle: &SettleRequest,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        if settle.grant.tenure > self.ledger.tenure {
            return self.settle_elsewhere(ask, settle, effects);
        }
        let state = self.ledger.request(&settle.identity).cloned();
        let answer = match state {
            Some(RequestState::Reserved(held)) if held.attempt == settle.attempt => {
                let charged = held.chargeable_tokens(&settle.grant, settle.actual);
                self.charge(ask, settle, &held, charged, now, effects)
            }
            Some(RequestState::Settled(charge)) if charge.attempt == settle.attempt => {
                self.settled_again(ask, settle, charge.charged, charge.pool, effects)
            }
            Some(RequestState::Settled(charge)) => Some(SettleAnswer::AlreadySettled {
                attempt: charge.attempt,
                charged: charge.charged,
            }),
            _ if self.is_retired() => Some(self.not_holder_settle()),
            _ => Some(SettleAnswer::Unknown),
        };
        if let Some(answer) = answer {
            effects.push(HolderEffect::Answer(ask, HolderAnswer::Settle(answer)));
        }
        self.review_budget_of(&settle.identity, now, effects);
    }

    /// The grant is a successor's, of whom this holder may not have heard: the
    /// charge is for that one to record. What is held here of the attempt was
    /// never used.
    ///
    /// Answered here, the charge reached no budget: 2 of 154 runs with a paused
    /// holder lost one, by the event logs of both.
    fn settle_elsewhere(
        &mut self,
        ask: AskId,
        settle: &SettleRequest,
        effects: &mut Vec<HolderEffect>,
    ) {
        if self.held(&settle.identity, settle.attempt).is_some() {
            self.record(LedgerEntry::Release {
                identity: settle.identity.clone(),
                attempt: settle.attempt,
            });
        }
        if !self.is_retired() {
            self.read_slot(effects);
        }
        effects.push(HolderEffect::Note(HolderNote::ChargeElsewhere));
        let answer = SettleAnswer::NotHolder {
            holder: Some(settle.grant.holder.clone()),
        };
        effects.push(HolderEffect::Answer(ask, HolderAnswer::Settle(answer)));
    }

    /// Records a charge; `None` if the answer waits for the witness.
    ///
    /// A former holder answers only for the float: its successor may have the
    /// attempt from a later tenure, so that one is asked first.
    fn charge(
        &mut self,
        ask: AskId,
        settle: &SettleRequest,
        held: &ReservedAttempt,
        charged: TokenCount,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) -> Option<SettleAnswer> {
        if self.is_retired() && held.pool == TokenPool::Witnessed {
            let successor = self.row.holder.clone();
            effects.push(HolderEffect::AskSuccessor(successor, settle.clone()));
            return Some(self.not_holder_settle());
        }
        let notice = self.record_charge(settle, held, charged, now);
        if held.pool == TokenPool::Float {
            effects.extend(notice.map(HolderEffect::Charged));
            effects.extend(self.superseded_grant(settle));
            return Some(SettleAnswer::Settled { charged });
        }
        if let Some(notice) = notice {
            self.wait(WaitKind::Charge(Box::new(RecordedCharge {
                notice: *notice,
                ask: settle.clone(),
                held: held.clone(),
            })));
        }
        if let Some(effect) = self.superseded_grant(settle) {
            self.wait(WaitKind::GiveBackAt(Box::new(effect)));
        }
        self.wait_settle(ask, &settle.identity, charged)
    }

    /// Counts a charge for the late report of a former holder, as its successor
    /// has no record of the attempt.
    pub(super) fn count_unheld(
        &mut self,
        settle: &SettleRequest,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        let Some(held) = self.held(&settle.identity, settle.attempt) else {
            return;
        };
        if !self.is_retired() || held.pool == TokenPool::Float {
            return;
        }
        let charged = held.chargeable_tokens(&settle.grant, settle.actual);
        let notice = self.record_charge(settle, &held, charged, now);
        effects.extend(notice.map(HolderEffect::Charged));
        self.review_budget_of(&settle.identity, now, effects);
    }

    /// Records a charge in the ledger; returns it as its billing record tells it.
    fn record_charge(
        &mut self,
        settle: &SettleRequest,
        held: &ReservedAttempt,
        charged: TokenCount,
        now: ClockTime,
    ) -> Option<Box<ChargeNotice>> {
        self.record(LedgerEntry::Settle {
            identity: settle.identity.clone(),
            attempt: settle.attempt,
            charged,
            backend: settle.backend.clone(),
        });
        self.retain(&settle.identity, now);
        self.charge_notice(&settle.identity, held)
    }

    /// The charge just recorded, as its billing record tells it.
    ///
    /// What a takeover froze counts in the table once its former holder
    /// reported, not with any sum of this tenure.
    fn charge_notice(
        &self,
        identity: &RequestIdentity,
        held: &ReservedAttempt,
    ) -> Option<Box<ChargeNotice>> {
        let Some(RequestState::Settled(charge)) = self.ledger.request(identity) else {
            return None;
        };
        let counted = if self.ledger.is_frozen(held) {
            TokenCount::new(u64::MAX)
        } else {
            let counters = &self.ledger.account(&held.budget)?.counters;
            match held.pool {
                TokenPool::Witnessed => counters.settled,
                TokenPool::Float => counters.float_settled,
            }
        };
        Some(Box::new(ChargeNotice {
            identity: identity.clone(),
            charge: charge.clone(),
            tenure: if self.ledger.is_frozen(held) {
                held.tenure
            } else {
                self.ledger.tenure
            },
            counted,
        }))
    }

    /// The answer to a charge that was recorded before.
    fn settled_again(
        &mut self,
        ask: AskId,
        settle: &SettleRequest,
        charged: TokenCount,
        pool: TokenPool,
        effects: &mut Vec<HolderEffect>,
    ) -> Option<SettleAnswer> {
        if pool == TokenPool::Float {
            return Some(SettleAnswer::Settled { charged });
        }
        if self.is_retired() {
            return Some(self.not_holder_settle());
        }
        if self.is_acknowledged() {
            effects.extend(self.superseded_grant(settle));
            return Some(SettleAnswer::Settled { charged });
        }
        self.wait_settle(ask, &settle.identity, charged)
    }

    /// The reservation of an earlier tenure by whose grant an attempt ran that is
    /// charged here: its holder gives it back, once the charge is safe. A grant
    /// that was frozen whole would be reported as used otherwise.
    fn superseded_grant(&self, settle: &SettleRequest) -> Option<HolderEffect> {
        let grant = &settle.grant;
        let is_former = grant.tenure < self.ledger.tenure && !self.is_retired();
        if grant.pool == TokenPool::Float || !is_former {
            return None;
        }
        let release = ReleaseRequest {
            identity: settle.identity.clone(),
            attempt: settle.attempt,
            before: Some(grant.tenure.next()),
        };
        Some(HolderEffect::GiveBackAt(grant.holder.clone(), release))
    }

    /// Whether the charge of an attempt stands here: the witness has it, or the
    /// float paid it.
    #[must_use]
    pub fn has_charged(&self, identity: &RequestIdentity, attempt: AttemptId) -> bool {
        match self.ledger.request(identity) {
            Some(RequestState::Settled(charge)) if charge.attempt == attempt => {
                charge.pool == TokenPool::Float || self.is_acknowledged()
            }
            _ => false,
        }
    }

    /// Gives a reservation back whose attempt a later tenure charged.
    pub fn give_back_superseded(&mut self, identity: &RequestIdentity, attempt: AttemptId) {
        self.record(LedgerEntry::Release {
            identity: identity.clone(),
            attempt,
        });
    }

    fn wait_settle(
        &mut self,
        ask: AskId,
        identity: &RequestIdentity,
        charged: TokenCount,
    ) -> Option<SettleAnswer> {
        if self.silent {
            return Some(SettleAnswer::Pending {
                charged,
                retry_after: self.settings.retry_after,
            });
        }
        self.wait(WaitKind::Settle(ask, identity.clone(), charged));
        None
    }

    pub(super) fn release(
        &mut self,
        ask: AskId,
        release: &ReleaseRequest,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        self.remember_released(release, now);
        let state = self.ledger.request(&release.identity).cloned();
        let answer = match state {
            Some(RequestState::Reserved(held))
                if held.attempt == release.attempt && release.applies_to(held.tenure) =>
            {
                self.release_held(ask, release, &held, now, effects)
            }
            Some(RequestState::Settled(charge)) if charge.attempt == release.attempt => {
                Some(ReleaseAnswer::AlreadySettled {
                    charged: charge.charged,
                })
            }
            _ if self.is_retired() => Some(self.not_holder_release()),
            _ => {
                // What waits here was asked in this tenure.
                if release.applies_to(self.ledger.tenure) {
                    self.drop_queued(release, effects);
                }
                self.wait_release(ask)
            }
        };
        if let Some(answer) = answer {
            effects.push(HolderEffect::Answer(ask, HolderAnswer::Release(answer)));
        }
    }

    /// Records a release; `None` if the answer waits for the witness.
    ///
    /// A former holder counts it for its late report, and answers for nothing:
    /// its successor may have the attempt too.
    fn release_held(
        &mut self,
        ask: AskId,
        release: &ReleaseRequest,
        held: &ReservedAttempt,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) -> Option<ReleaseAnswer> {
        self.record(LedgerEntry::Release {
            identity: release.identity.clone(),
            attempt: release.attempt,
        });
        if self.is_retired() {
            return Some(self.not_holder_release());
        }
        if let Ok(place) = self.stock_place(&held.budget) {
            self.review(place, now, effects);
        }
        self.wait_release(ask)
    }

    /// The answer to a release once the witness has it, as it has a seal: a
    /// takeover before that would find the attempt running.
    fn wait_release(&mut self, ask: AskId) -> Option<ReleaseAnswer> {
        if self.silent {
            return Some(self.pending_release());
        }
        self.wait_for_word(WaitKind::Release(ask));
        None
    }

    pub(super) fn pending_release(&self) -> ReleaseAnswer {
        ReleaseAnswer::Pending {
            retry_after: self.settings.retry_after,
        }
    }

    /// A released attempt waits for nothing any more.
    fn drop_queued(&mut self, release: &ReleaseRequest, effects: &mut Vec<HolderEffect>) {
        let gone = self.unreachable();
        self.waits.retain(|wait| match &wait.kind {
            WaitKind::Join(ask, reserve) if reserve.attempt == release.attempt => {
                answer_reserve(*ask, gone.clone(), effects);
                false
            }
            _ => true,
        });
        for stock in &mut self.stocks {
            let found = stock
                .queue
                .iter()
                .position(|queued| queued.reserve.attempt == release.attempt);
            if let Some(place) = found {
                let queued = stock.queue.remove(place);
                answer_reserve(queued.ask, gone.clone(), effects);
            }
        }
    }

    fn not_holder_settle(&self) -> SettleAnswer {
        SettleAnswer::NotHolder {
            holder: Some(self.next_holder()),
        }
    }

    fn not_holder_release(&self) -> ReleaseAnswer {
        ReleaseAnswer::NotHolder {
            holder: Some(self.next_holder()),
        }
    }
}
