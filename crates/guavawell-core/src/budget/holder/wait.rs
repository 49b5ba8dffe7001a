//! What waits for the witness: answers, charges and tokens that move, and what
//! becomes of them when it acknowledges, is away, or takes over.

use super::AskId;
use super::ChargeNotice;
use super::HolderAnswer;
use super::HolderEffect;
use super::SlotHolder;
use super::ask::answer_reserve;
use crate::budget::ledger::RequestState;
use crate::budget::ledger::ReservedAttempt;
use crate::budget::message::ReleaseAnswer;
use crate::budget::message::ReleaseRequest;
use crate::budget::message::ReserveAnswer;
use crate::budget::message::ReserveRequest;
use crate::budget::message::SealAnswer;
use crate::budget::message::SettleAnswer;
use crate::budget::message::SettleRequest;
use crate::budget::message::TokenPool;
use crate::budget::record::LedgerEntry;
use crate::clock::ClockTime;
use crate::id::AttemptId;
use crate::id::BudgetId;
use crate::id::TokenCount;
use crate::request::RequestIdentity;

/// What happens once a batch is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldWait {
    /// The batch; zero stands for the handover itself.
    pub(super) batch: u64,
    pub(super) kind: WaitKind,
}

/// The kinds of [`HeldWait`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum WaitKind {
    /// Answer a reservation.
    Reserve(AskId, RequestIdentity, AttemptId),
    /// An inherited attempt is reserved under the present tenure.
    Renewal(AttemptId),
    /// Decide a reservation anew: what is known of its request was not
    /// acknowledged when it was asked.
    Join(AskId, Box<ReserveRequest>),
    /// Answer a charge.
    Settle(AskId, RequestIdentity, TokenCount),
    /// Answer a release.
    Release(AskId),
    /// Answer a seal.
    Seal(AskId, RequestIdentity),
    /// A budget's witnessed charges up to here may go to the table, and the
    /// charge's billing record may be kept.
    Charge(Box<RecordedCharge>),
    /// A [`HolderEffect::GiveBackAt`] for the charge.
    GiveBackAt(Box<HolderEffect>),
    /// Tokens are in the float.
    Raise(BudgetId, TokenCount),
    /// Tokens are out of the float.
    Lower(BudgetId, TokenCount),
}

/// A charge that the witness does not have yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RecordedCharge {
    pub(super) notice: ChargeNotice,
    /// The charge as it was asked for.
    pub(super) ask: SettleRequest,
    /// The reservation that it ended.
    pub(super) held: ReservedAttempt,
}

impl SlotHolder {
    /// Lets `kind` wait for the batch that carries the last entry recorded,
    /// which may be on its way already.
    pub(super) fn wait(&mut self, kind: WaitKind) {
        let batch = self.sequence + u64::from(!self.outbox.is_empty());
        self.waits.push(HeldWait { batch, kind });
    }

    /// Whether the witness has everything that was recorded.
    pub(super) const fn is_acknowledged(&self) -> bool {
        self.is_witnessed() && self.batch.is_none() && self.outbox.is_empty()
    }

    /// Lets `kind` wait for a batch that is sent from now on, one without
    /// entries if need be: its acknowledgement shows that no takeover came
    /// before.
    pub(super) fn wait_for_word(&mut self, kind: WaitKind) {
        self.waits.push(HeldWait {
            batch: self.sequence + 1,
            kind,
        });
    }

    /// Whether the witness may lack what is known of a request: a takeover
    /// would not know of it.
    pub(super) fn is_unsure(&self, identity: &RequestIdentity) -> bool {
        match self.ledger.request(identity) {
            Some(RequestState::Reserved(held)) => {
                let is_held = |wait: &HeldWait| matches!(&wait.kind, WaitKind::Reserve(_, _, attempt) if *attempt == held.attempt);
                self.waits.iter().any(is_held)
            }
            Some(RequestState::Sealed) => self.is_seal_unsure(identity),
            Some(RequestState::Settled(_)) | None => false,
        }
    }

    /// Whether an inherited attempt is being reserved under the present tenure:
    /// it is not granted before the witness has that.
    pub(super) fn is_renewing(&self, attempt: AttemptId) -> bool {
        let is_renewal = |wait: &HeldWait| matches!(&wait.kind, WaitKind::Renewal(renewed) if *renewed == attempt);
        self.waits.iter().any(is_renewal)
    }

    fn is_seal_unsure(&self, identity: &RequestIdentity) -> bool {
        let is_seal = |entry: &LedgerEntry| matches!(entry, LedgerEntry::Seal { identity: sealed } if sealed == identity);
        let mut sent = self.batch.iter().flat_map(|batch| &batch.record.entries);
        self.is_changing_witness() || self.outbox.iter().any(is_seal) || sent.any(is_seal)
    }

    /// Answers what an absent witness keeps waiting, from the float where it
    /// covers it. The entries stay queued for the witness.
    pub(super) fn give_up_waits(&mut self, effects: &mut Vec<HolderEffect>) {
        self.silent = true;
        let is_join = |wait: &HeldWait| matches!(wait.kind, WaitKind::Join(..));
        // Last, when it is known what becomes of the attempts that they join.
        let (joins, waits): (Vec<HeldWait>, Vec<HeldWait>) = std::mem::take(&mut self.waits)
            .into_iter()
            .partition(is_join);
        for wait in waits.into_iter().chain(joins) {
            match wait.kind {
                WaitKind::Reserve(ask, identity, attempt) => {
                    self.give_up_reserve(ask, &identity, attempt, effects);
                }
                WaitKind::Join(ask, reserve) => self.join_alone(ask, &reserve, effects),
                WaitKind::Release(ask) => {
                    let answer = HolderAnswer::Release(self.pending_release());
                    effects.push(HolderEffect::Answer(ask, answer));
                }
                WaitKind::Settle(ask, _, charged) => {
                    let answer = SettleAnswer::Pending {
                        charged,
                        retry_after: self.settings.retry_after,
                    };
                    effects.push(HolderEffect::Answer(ask, HolderAnswer::Settle(answer)));
                }
                WaitKind::Seal(ask, _) => {
                    let answer = SealAnswer::Unreachable {
                        retry_after: self.settings.retry_after,
                    };
                    effects.push(HolderEffect::Answer(ask, HolderAnswer::Seal(answer)));
                }
                kind => self.waits.push(HeldWait { kind, ..wait }),
            }
        }
    }

    /// Answers a reservation that the witness does not acknowledge: the float
    /// pays where it covers it, otherwise it is given back.
    pub(super) fn give_up_reserve(
        &mut self,
        ask: AskId,
        identity: &RequestIdentity,
        attempt: AttemptId,
        effects: &mut Vec<HolderEffect>,
    ) {
        let answer = match self.held(identity, attempt) {
            None => self.unreachable(),
            Some(held) if held.pool == TokenPool::Float => self.granted(&held),
            Some(held) if self.float_covers(&held.budget, held.amount) => {
                self.record(LedgerEntry::Reserve {
                    identity: identity.clone(),
                    attempt,
                    budget: held.budget.clone(),
                    pool: TokenPool::Float,
                    amount: held.amount,
                    router: held.router.clone(),
                    digest: held.digest,
                });
                self.held(identity, attempt)
                    .map_or_else(|| self.unreachable(), |held| self.granted(&held))
            }
            Some(_) => {
                self.record(LedgerEntry::Release {
                    identity: identity.clone(),
                    attempt,
                });
                effects.push(HolderEffect::GiveBack(ReleaseRequest {
                    identity: identity.clone(),
                    attempt,
                    before: Some(self.ledger.tenure.next()),
                }));
                self.unreachable()
            }
        };
        effects.push(HolderEffect::Answer(ask, HolderAnswer::Reserve(answer)));
    }

    /// Does what waited for batches up to `sequence`.
    pub(super) fn finish_waits(
        &mut self,
        sequence: u64,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        let (done, waiting): (Vec<HeldWait>, Vec<HeldWait>) = std::mem::take(&mut self.waits)
            .into_iter()
            .partition(|wait| wait.batch <= sequence);
        self.waits = waiting;
        for wait in done {
            self.finish_wait(wait.kind, now, effects);
        }
    }

    fn finish_wait(&mut self, kind: WaitKind, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        match kind {
            WaitKind::Reserve(ask, identity, attempt) => {
                let answer = self
                    .held(&identity, attempt)
                    .map_or_else(|| self.unreachable(), |held| self.granted(&held));
                effects.push(HolderEffect::Answer(ask, HolderAnswer::Reserve(answer)));
            }
            // What waited for it is decided next.
            WaitKind::Renewal(_) => {}
            WaitKind::Join(ask, reserve) => self.finish_join(ask, *reserve, now, effects),
            WaitKind::Release(ask) => {
                let answer = HolderAnswer::Release(ReleaseAnswer::Released);
                effects.push(HolderEffect::Answer(ask, answer));
            }
            WaitKind::Settle(ask, _, charged) => {
                let answer = SettleAnswer::Settled { charged };
                effects.push(HolderEffect::Answer(ask, HolderAnswer::Settle(answer)));
            }
            WaitKind::Seal(ask, _) => {
                let answer = HolderAnswer::Seal(SealAnswer::Sealed);
                effects.push(HolderEffect::Answer(ask, answer));
            }
            WaitKind::Charge(recorded) => {
                let notice = recorded.notice;
                let place = self.stock_or_new(&notice.charge.budget, now);
                let stock = &mut self.stocks[place];
                stock.acked_settled = stock.acked_settled.max(notice.counted);
                effects.push(HolderEffect::Charged(Box::new(notice)));
            }
            WaitKind::GiveBackAt(effect) => effects.push(*effect),
            WaitKind::Raise(budget, tokens) => {
                let place = self.stock_or_new(&budget, now);
                let stock = &mut self.stocks[place];
                stock.raising = stock.raising.saturating_sub(tokens);
                self.review(place, now, effects);
            }
            WaitKind::Lower(budget, tokens) => {
                let place = self.stock_or_new(&budget, now);
                let stock = &mut self.stocks[place];
                stock.lowering = stock.lowering.saturating_sub(tokens);
                self.review(place, now, effects);
            }
        }
    }

    /// Tells what is known of a request now; its ask begins anew where that
    /// changed meanwhile.
    fn finish_join(
        &mut self,
        ask: AskId,
        reserve: ReserveRequest,
        now: ClockTime,
        effects: &mut Vec<HolderEffect>,
    ) {
        if self.is_unsure(&reserve.identity) {
            return self.join_later(ask, reserve, effects);
        }
        match self.known_request(&reserve) {
            Some(answer) => answer_reserve(ask, answer, effects),
            None => self.reserve(ask, reserve, now, effects),
        }
    }

    /// Drops the waits and tells those who asked that the slot moved on.
    pub(super) fn drop_waits(&mut self, effects: &mut Vec<HolderEffect>) {
        let holder = Some(self.row.holder.clone());
        for wait in std::mem::take(&mut self.waits) {
            let holder = holder.clone();
            let (ask, answer) = match wait.kind {
                WaitKind::Reserve(ask, ..) | WaitKind::Join(ask, _) => (
                    ask,
                    HolderAnswer::Reserve(ReserveAnswer::NotHolder { holder }),
                ),
                WaitKind::Release(ask) => (
                    ask,
                    HolderAnswer::Release(ReleaseAnswer::NotHolder { holder }),
                ),
                WaitKind::Settle(ask, ..) => (
                    ask,
                    HolderAnswer::Settle(SettleAnswer::NotHolder { holder }),
                ),
                WaitKind::Seal(ask, _) => {
                    (ask, HolderAnswer::Seal(SealAnswer::NotHolder { holder }))
                }
                // The new holder may have the attempt from its own tenure.
                WaitKind::Charge(recorded) => {
                    let RecordedCharge { ask, held, .. } = *recorded;
                    self.ledger.reopen(&ask.identity, &held);
                    let successor = self.row.holder.clone();
                    effects.push(HolderEffect::AskSuccessor(successor, ask));
                    continue;
                }
                // The charge may be unknown to the new holder.
                WaitKind::Renewal(_)
                | WaitKind::GiveBackAt(_)
                | WaitKind::Raise(..)
                | WaitKind::Lower(..) => continue,
            };
            effects.push(HolderEffect::Answer(ask, answer));
        }
    }
}
