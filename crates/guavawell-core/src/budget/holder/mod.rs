//! The holder of a slot: the one router that decides for its zone whether a
//! budget of its shard may be spent.
//!
//! The holder is told events and returns effects; it decides everything and
//! carries out nothing. A grant never ends by time. A witnessed token is
//! spent only after the witness acknowledged the reservation under the
//! present epoch; a float token is spent alone.

mod ask;
mod charge;
mod event;
mod float;
mod pace;
mod refill;
mod released;
mod retain;
mod retire;
mod settings;
mod stock;
mod upkeep;
mod wait;
mod witnessing;

use std::collections::VecDeque;
use std::sync::Arc;

use super::intent::TableIntent;
use super::ledger::ReservedAttempt;
use super::ledger::SlotLedger;
use super::record::LedgerEntry;
use super::row::GrantChange;
use super::slot::InstanceIncarnation;
use super::slot::SlotId;
use super::slot::SlotRow;
use crate::clock::ClockTime;
use crate::id::BudgetId;
use crate::id::TokenCount;
use crate::platform::PlatformRate;
use crate::request::RequestIdentity;
use pace::ReportPace;
use released::ReleasedAttempts;
use stock::BudgetStock;
use wait::HeldWait;
use witnessing::SentBatch;
use witnessing::WitnessChange;

pub use event::AskId;
pub use event::ChargeNotice;
pub use event::HolderAnswer;
pub use event::HolderEffect;
pub use event::HolderEvent;
pub use event::HolderNote;
pub use settings::HolderSettings;

/// Where a holder stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum HolderPhase {
    /// The table names this holder and its witness.
    Serving,
    /// A new witness is being brought in.
    Changing(Box<WitnessChange>),
    /// Another router holds the slot since then.
    Retired(ClockTime),
}

/// A charged or sealed request, remembered for a while.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RetainedRequest {
    since: ClockTime,
    identity: RequestIdentity,
    /// Whether its billing record may still be lost with this instance.
    is_awaited: bool,
}

/// The holder of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotHolder {
    settings: Arc<HolderSettings>,
    slot: SlotId,
    /// The slot row as last known to be in the table.
    row: SlotRow,
    phase: HolderPhase,
    leaving: bool,
    ledger: SlotLedger,
    /// Budgets, sorted by id.
    stocks: Vec<BudgetStock>,
    /// Which of the budgets have something under way, place by place.
    busy: Vec<bool>,
    /// The first budget that a tick looks at next while it rests.
    next_rest: usize,
    /// When a budget at rest last started a change of its grant.
    rest_changed_at: ClockTime,
    /// Entries that no batch carries yet.
    outbox: Vec<LedgerEntry>,
    /// The batch that waits for its acknowledgement.
    batch: Option<SentBatch>,
    /// The number of the last batch made under this epoch.
    sequence: u64,
    /// The number of the last handover made.
    handovers: u64,
    /// What is answered once a batch is acknowledged.
    waits: Vec<HeldWait>,
    /// Whether the witness has stopped in order to take the slot over.
    deposed: bool,
    /// Whether the witness let a batch wait for too long.
    silent: bool,
    retained: VecDeque<RetainedRequest>,
    released: ReleasedAttempts,
    /// When the slot row was last asked for.
    slot_read_at: ClockTime,
    reports: ReportPace,
}

impl SlotHolder {
    /// A holder that the table's `row` names, with the ledger it goes on
    /// from: an empty one, a former holder's by takeover, or one
    /// [after a loss](SlotLedger::after_loss).
    #[must_use]
    pub fn new(
        settings: Arc<HolderSettings>,
        slot: SlotId,
        row: SlotRow,
        ledger: SlotLedger,
        now: ClockTime,
    ) -> Self {
        let retained = ledger.ended_requests().map(|identity| RetainedRequest {
            since: now,
            identity: identity.clone(),
            is_awaited: settings.is_journaled && ledger.is_charged(identity),
        });
        Self {
            retained: retained.collect(),
            settings,
            slot,
            row,
            phase: HolderPhase::Serving,
            leaving: false,
            ledger,
            stocks: Vec::new(),
            busy: Vec::new(),
            next_rest: 0,
            rest_changed_at: ClockTime::default(),
            outbox: Vec::new(),
            batch: None,
            sequence: 0,
            handovers: 0,
            waits: Vec::new(),
            deposed: false,
            silent: false,
            released: ReleasedAttempts::default(),
            slot_read_at: now,
            reports: ReportPace::default(),
        }
    }

    /// Reports settled use no oftener than `rate`, unless another change of
    /// the grant takes it along; `None` is without limit.
    pub fn pace_reports(&mut self, rate: Option<PlatformRate>, now: ClockTime) {
        self.reports.set_rate(rate, now);
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, event: HolderEvent, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        match event {
            HolderEvent::Reserve(ask, reserve) => self.reserve(ask, reserve, now, effects),
            HolderEvent::Settle(ask, settle) => self.settle(ask, &settle, now, effects),
            HolderEvent::Unheld(settle) => self.count_unheld(&settle, now, effects),
            HolderEvent::Release(ask, release) => self.release(ask, &release, now, effects),
            HolderEvent::Serve(note) => self.serve(note),
            HolderEvent::Seal(ask, seal) => self.seal(ask, &seal, now, effects),
            HolderEvent::HandBack(ask, back) => self.hand_back(ask, &back, now, effects),
            HolderEvent::Ack(ack) => self.take_ack(&ack, now, effects),
            HolderEvent::Refusal(refusal) => self.take_refusal(&refusal, effects),
            HolderEvent::HandoverAck(ack) => self.take_handover_ack(&ack, now, effects),
            HolderEvent::SlotRead(Ok(row)) => self.take_row(row, now, effects),
            HolderEvent::SlotRead(Err(_)) => {}
            HolderEvent::GrantChanged(key, outcome) => self.take_grant(&key, outcome, now, effects),
            HolderEvent::FrozenReported(key, outcome) => self.take_report(&key, outcome, effects),
            HolderEvent::HandBackDone(key) => self.hand_back_done(&key, now, effects),
            HolderEvent::ChangeWitness(witness) => self.change_witness(witness, now, effects),
            HolderEvent::Durable(identities) => self.take_durable(&identities),
            HolderEvent::Leave => self.leave(now, effects),
            HolderEvent::Tick => self.tick(now, effects),
        }
        self.flush(now, effects);
    }

    /// The slot.
    #[must_use]
    pub const fn slot(&self) -> &SlotId {
        &self.slot
    }

    /// The slot row as last known to be in the table.
    #[must_use]
    pub const fn row(&self) -> &SlotRow {
        &self.row
    }

    /// Whether another router holds the slot.
    #[must_use]
    pub const fn is_retired(&self) -> bool {
        matches!(self.phase, HolderPhase::Retired(_))
    }

    /// Whether nothing is left to do: retired, and every float reported.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.is_retired() && self.stocks.iter().all(|stock| stock.is_reported)
    }

    /// Whether the witness lets batches wait for too long, or refused.
    #[must_use]
    pub const fn is_witness_silent(&self) -> bool {
        self.silent
    }

    /// Whether a new witness is being brought in.
    #[must_use]
    pub const fn is_changing_witness(&self) -> bool {
        matches!(self.phase, HolderPhase::Changing(_))
    }

    /// The ledger, for audits and for resolving attempts in doubt.
    #[must_use]
    pub const fn ledger(&self) -> &SlotLedger {
        &self.ledger
    }

    /// Attempts that routers other than the living ones may have left
    /// behind; ask the engine's own record, then settle or release them.
    pub fn attempts_of<'a>(
        &'a self,
        router: &'a InstanceIncarnation,
    ) -> impl Iterator<Item = (&'a RequestIdentity, &'a ReservedAttempt)> {
        self.ledger
            .reserved_attempts()
            .filter(move |(_, held)| held.router == *router)
    }

    /// The holder that answers for an attempt of the ledger: this one, or the
    /// former one whose frozen float pays for it. `None` if that one is not known.
    #[must_use]
    pub fn granter(&self, held: &ReservedAttempt) -> Option<&InstanceIncarnation> {
        if self.ledger.is_frozen(held) {
            self.ledger.float_holder(held)
        } else {
            Some(&self.row.holder)
        }
    }

    /// What a budget may spend here at once, in both pools.
    #[must_use]
    pub fn free_tokens(&self, budget: &BudgetId) -> TokenCount {
        let free = |place: usize| {
            let stock = &self.stocks[place];
            let account = self.ledger.account(budget)?;
            Some(stock.free(account))
        };
        let place = self.stock_place(budget).ok();
        place.and_then(free).unwrap_or_default()
    }

    /// Whether a reservation can be acknowledged now.
    const fn is_witnessed(&self) -> bool {
        matches!(self.phase, HolderPhase::Serving) && !self.silent
    }

    /// Applies an entry here and queues it for the witness, if there is one.
    fn record(&mut self, entry: LedgerEntry) {
        self.ledger.apply(&entry);
        if !self.is_retired() {
            self.outbox.push(entry);
        }
    }

    /// The place of a budget's stock, made empty if new.
    fn stock_or_new(&mut self, budget: &BudgetId, now: ClockTime) -> usize {
        self.ledger.account_mut(budget);
        match self.stock_place(budget) {
            Ok(place) => place,
            Err(place) => {
                let stock = BudgetStock::new(budget.clone(), now);
                self.stocks.insert(place, stock);
                self.busy.insert(place, false);
                place
            }
        }
    }

    fn stock_place(&self, budget: &BudgetId) -> Result<usize, usize> {
        self.stocks
            .binary_search_by(|stock| stock.budget.cmp(budget))
    }

    fn tick(&mut self, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        if self.is_retired() {
            self.report_floats(now, effects);
            return;
        }
        self.resend(now, effects);
        if now.since(self.slot_read_at) >= self.settings.slot_read_every {
            self.slot_read_at = now;
            self.read_slot(effects);
        }
        self.forget_old(now);
        self.forget_released(now);
        self.adopt_accounts(now);
        self.look_at_stocks(now, effects);
        if self.leaving {
            self.hand_slot(effects);
        }
    }

    /// Gives every account of the ledger a stock: after a takeover, budgets
    /// that nobody asks for have to be closed in the table too.
    fn adopt_accounts(&mut self, now: ClockTime) {
        if self.stocks.len() == self.ledger.accounts.len() {
            return;
        }
        let budgets: Vec<BudgetId> = self
            .ledger
            .accounts
            .iter()
            .map(|account| account.budget.clone())
            .collect();
        for budget in budgets {
            self.stock_or_new(&budget, now);
        }
    }

    fn send_change(&mut self, place: usize, now: ClockTime, effects: &mut Vec<HolderEffect>) {
        let stock = &mut self.stocks[place];
        let Some(change) = &stock.change else {
            return;
        };
        stock.sent_at = now;
        effects.push(HolderEffect::Table(TableIntent::ChangeGrant {
            budget: stock.budget.clone(),
            change: GrantChange::clone(change),
        }));
    }
}
