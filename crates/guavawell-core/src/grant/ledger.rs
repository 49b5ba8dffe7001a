//! The ledger of one boot: reservations and settlements of all budgets, and the
//! state of its rows.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::grant::BudgetFacts;
use crate::grant::BudgetRow;
use crate::grant::FleetMember;
use crate::grant::HolderRanking;
use crate::grant::LedgerSettings;
use crate::grant::LimitRow;
use crate::grant::RateMeter;
use crate::grant::ReserveAnswer;
use crate::grant::StartBound;
use crate::grant::StoreClock;
use crate::grant::TrackedRow;
use crate::grant::loan::OpenLoan;
use crate::id::InstanceId;
use crate::id::OrganisationId;

/// One budget as this boot knows it.
#[derive(Clone, Debug)]
pub(super) struct BudgetState {
    pub(super) organisation: OrganisationId,
    pub(super) row: TrackedRow<BudgetRow>,
    /// What was paid, and the newest configuration version that says so.
    pub(super) paid: (u64, u64),
    /// Reserved or spent by this boot.
    pub(super) used: u64,
    /// Part of `used` that was spent; the rest is reserved.
    pub(super) settled: u64,
    /// Tokens borrowed and not reserved by a request. They are spent in
    /// addition to the grant.
    pub(super) borrowed: u64,
    /// Loans that have not been reported back to their lenders.
    pub(super) loans: Vec<OpenLoan>,
    /// When borrowed tokens were last received, reserved or released.
    pub(super) loans_changed_at: ClockTime,
    /// Tokens lent to other instances and not reported back.
    pub(super) lent: u64,
    /// Whether this instance holds tokens by its rank.
    pub(super) ranked: bool,
    /// When it last became a stand-in.
    pub(super) stand_in_since: Option<ClockTime>,
    /// Tokens of the last request that others declined a loan for, and when.
    pub(super) declined: Option<(u64, ClockTime)>,
    /// Tokens that requests wait for now.
    pub(super) waiting: u64,
    /// Tokens of the last request that the grant did not cover, and when.
    pub(super) shortage: Option<(u64, ClockTime)>,
    pub(super) demand: RateMeter,
    /// Callers' requests, if they count (`DemandSettings`).
    pub(super) requests: RateMeter,
    /// When a write of the budget row was last sent.
    pub(super) written_at: ClockTime,
}

/// The ledger of one boot of one instance.
#[derive(Clone, Debug)]
pub struct GrantLedger {
    pub(super) instance: InstanceId,
    pub(super) boot: u64,
    pub(super) nonce: u64,
    pub(super) settings: LedgerSettings,
    pub(super) clock: StoreClock,
    /// When the previous boot had ended at the latest.
    pub(super) previous_end: StartBound,
    /// Usual latency of the store.
    pub(super) store_latency: ClockSpan,
    pub(super) limits: TrackedRow<LimitRow>,
    pub(super) limits_sent_at: ClockTime,
    /// Sorted by organisation.
    pub(super) budgets: Vec<BudgetState>,
    pub(super) ranking: HolderRanking,
    pub(super) leaving: bool,
}

impl GrantLedger {
    /// Creates an empty ledger. `nonce` is random. The process had started by
    /// the local time `started`, so the previous one of the instance had ended.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        nonce: u64,
        started: ClockTime,
        settings: LedgerSettings,
    ) -> Self {
        Self {
            instance,
            boot: 0,
            nonce,
            settings,
            clock: StoreClock::default(),
            previous_end: StartBound::new(started),
            store_latency: ClockSpan::default(),
            limits: TrackedRow::default(),
            limits_sent_at: ClockTime::default(),
            budgets: Vec::new(),
            ranking: HolderRanking::new(settings.holders),
            leaving: false,
        }
    }

    /// The number of this boot; 0 until the store has confirmed it.
    #[must_use]
    pub const fn boot(&self) -> u64 {
        self.boot
    }

    /// Records the store's time from the answer to a call that was sent at the
    /// local time `sent_at`, after this process started (see [`StartBound`]).
    pub fn record_store_time(&mut self, store: ClockTime, sent_at: ClockTime, now: ClockTime) {
        self.clock.observe(store, now);
        self.previous_end.observe(store, sent_at);
    }

    /// Sets the usual latency of the store.
    pub fn set_store_latency(&mut self, latency: ClockSpan) {
        self.store_latency = latency;
    }

    /// Sets what an organisation paid according to a configuration version.
    pub fn set_paid(&mut self, organisation: &OrganisationId, paid: u64, version: u64) {
        let state = self.budget_mut(organisation);
        if version >= state.paid.1 {
            state.paid = (paid, version);
        }
    }

    /// All organisations in the ledger.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationId> {
        self.budgets.iter().map(|state| &state.organisation)
    }

    /// Reserves the most that a request may spend.
    pub fn reserve(
        &mut self,
        organisation: &OrganisationId,
        tokens: u64,
        now: ClockTime,
    ) -> ReserveAnswer {
        let Some(index) = self.budget_index(organisation) else {
            return ReserveAnswer::Unknown;
        };
        let state = &mut self.budgets[index];
        // Borrowed tokens go first: they would be lost with this process.
        let lent = state.borrowed.min(tokens);
        if lent == tokens {
            state.borrowed -= lent;
            state.loans_changed_at = now;
            self.count_granted(index, tokens, now);
            return ReserveAnswer::GrantedLoan(lent);
        }
        let state = &self.budgets[index];
        let Some(time) = self.clock.now(now) else {
            return ReserveAnswer::Unknown;
        };
        if self.boot == 0 || self.leaving || !state.row.is_read() {
            return ReserveAnswer::Unknown;
        }
        let own = tokens - lent;
        let need = state.used + own;
        if need > self.grant(state) {
            let answer = self.classify_shortage(state, own);
            self.budgets[index].shortage = Some((own, now));
            return answer;
        }
        let allowed = self
            .limits
            .min_of(|row| self.own_allowance(row, organisation, time));
        if need > allowed {
            return ReserveAnswer::Locked(self.unlock_time(organisation, need, time));
        }
        let state = &mut self.budgets[index];
        state.used += own;
        state.borrowed -= lent;
        if lent > 0 {
            state.loans_changed_at = now;
        }
        self.count_granted(index, tokens, now);
        if lent > 0 {
            ReserveAnswer::GrantedLoan(lent)
        } else {
            ReserveAnswer::Granted
        }
    }

    /// Whether this boot has started and every budget that it holds by rank was
    /// read.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let mut held = self.budgets.iter().filter(|state| state.ranked);
        self.boot > 0 && held.all(|state| state.row.is_read())
    }

    /// Sets the instances of the fleet, including this one, as the store's rows
    /// list them.
    pub fn set_fleet(&mut self, members: Vec<FleetMember>) {
        self.ranking.set_members(members);
        for state in &mut self.budgets {
            state.ranked = self.ranking.is_holder(&self.instance, &state.organisation);
        }
    }

    /// Whether this instance holds tokens of an organisation, by its rank or as
    /// a stand-in.
    #[must_use]
    pub fn is_holder(&self, organisation: &OrganisationId, now: ClockTime) -> bool {
        let index = self.budget_index(organisation);
        index.is_some_and(|index| self.holds(&self.budgets[index], now))
    }

    /// Whether requests are covered by the holders' tokens rather than by a
    /// grant of this instance: it is no holder, or a stand-in that the store has
    /// granted nothing yet. The holders may answer before the store does.
    #[must_use]
    pub fn asks_holders(&self, organisation: &OrganisationId, now: ClockTime) -> bool {
        let Some(index) = self.budget_index(organisation) else {
            return true;
        };
        let state = &self.budgets[index];
        let may_spend = state.ranked || self.grant(state) > 0;
        !(may_spend && self.holds(state, now))
    }

    pub(super) fn holds(&self, state: &BudgetState, now: ClockTime) -> bool {
        let stand_in_time = self.settings.holders.stand_in_time;
        let is_stand_in = state
            .stand_in_since
            .is_some_and(|at| now.since(at) < stand_in_time);
        state.ranked || is_stand_in
    }

    /// Makes this instance hold tokens for a while, because it was asked for
    /// some or because no holder answers it.
    pub fn become_stand_in(&mut self, organisation: &OrganisationId, now: ClockTime) {
        self.budget_mut(organisation).stand_in_since = Some(now);
    }

    /// The instances to ask for a loan, in this order.
    #[must_use]
    pub fn holder_order(&self, organisation: &OrganisationId) -> Vec<InstanceId> {
        self.ranking.order(&self.instance, organisation)
    }

    /// The figures that decide the next reservation.
    #[must_use]
    pub fn facts(&self, organisation: &OrganisationId, now: ClockTime) -> BudgetFacts {
        let Some(index) = self.budget_index(organisation) else {
            return BudgetFacts::default();
        };
        let state = &self.budgets[index];
        let time = self.clock.now(now).unwrap_or_default();
        let row = state.row.known();
        BudgetFacts {
            paid: row.map_or(state.paid.0, |row| self.paid(state, row)),
            committed: row.map_or(0, BudgetRow::committed),
            closed: row.map_or(0, |row| row.closed),
            grant: self.grant(state),
            used: state.used,
            allowed: self
                .limits
                .min_of(|row| self.own_allowance(row, organisation, time)),
            row: state.row.version(),
            row_age: now.since(state.written_at),
        }
    }

    /// Replaces a reservation by what was spent, which is never more.
    pub fn settle(&mut self, organisation: &OrganisationId, reserved: u64, spent: u64) {
        let state = self.budget_mut(organisation);
        let spent = spent.min(reserved);
        state.used -= reserved - spent;
        state.settled += spent;
    }

    /// Adds tokens that a request waits for if `begins`, else removes them.
    pub fn wait(&mut self, organisation: &OrganisationId, tokens: u64, begins: bool) {
        let state = self.budget_mut(organisation);
        state.waiting = if begins {
            state.waiting + tokens
        } else {
            state.waiting.saturating_sub(tokens)
        };
    }

    /// The grant in force.
    #[must_use]
    pub fn granted(&self, organisation: &OrganisationId) -> u64 {
        let index = self.budget_index(organisation);
        index.map_or(0, |index| self.grant(&self.budgets[index]))
    }

    /// An age that grows with the number of writers.
    pub(super) fn scaled_age(base: ClockSpan, each: ClockSpan, writers: usize) -> ClockSpan {
        ClockSpan::from_millis(base.as_millis() + each.as_millis() * writers as u64)
    }

    /// Instances that write the row of one budget.
    #[must_use]
    pub fn row_writers(&self) -> usize {
        if self.ranking.all_hold() {
            self.settings.instances
        } else {
            self.ranking.expected_holders()
        }
    }

    /// Raises the assumed number of instances in the fleet.
    pub fn set_instances(&mut self, instances: usize) {
        self.settings.instances = self.settings.instances.max(instances);
    }

    /// The assumed number of instances in the fleet.
    #[must_use]
    pub const fn instances(&self) -> usize {
        self.settings.instances
    }

    /// Stops reservations because the process is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    pub(super) fn grant(&self, state: &BudgetState) -> u64 {
        let own = |row: &BudgetRow| {
            let entry = row.holder(&self.instance, self.boot);
            entry.map_or(0, |entry| entry.grant)
        };
        let granted = state.row.min_of(own);
        let Some(row) = state.row.known() else {
            return granted;
        };
        // Spending stops when the payment is lowered below the commitments.
        let lowered = state.paid.1 > row.paid_version && state.paid.0 < row.committed();
        if lowered {
            granted.min(state.used)
        } else {
            granted
        }
    }

    /// Why the budget does not cover a request beyond the grant.
    pub(super) fn classify_shortage(&self, state: &BudgetState, tokens: u64) -> ReserveAnswer {
        let Some(row) = state.row.known() else {
            return ReserveAnswer::Short;
        };
        let others = || row.holders.iter().filter(|entry| !self.is_own(entry));
        let settled: u64 = others().map(|entry| entry.settled).sum();
        let used: u64 = others().map(|entry| entry.used).sum();
        let paid = self.paid(state, row);
        if row.settled + settled + state.settled + tokens > paid {
            ReserveAnswer::Exhausted
        } else if row.closed + settled + state.settled + tokens > paid {
            ReserveAnswer::Frozen
        } else if row.closed + used + state.used + tokens > paid {
            ReserveAnswer::Drained
        } else {
            ReserveAnswer::Short
        }
    }

    pub(super) fn is_own(&self, entry: &crate::grant::HolderEntry) -> bool {
        entry.instance == self.instance && entry.boot == self.boot
    }

    /// What was paid, by the newer of the configuration and the row.
    #[expect(clippy::unused_self, reason = "called like the other methods")]
    pub(super) fn paid(&self, state: &BudgetState, row: &BudgetRow) -> u64 {
        if state.paid.1 >= row.paid_version {
            state.paid.0
        } else {
            row.paid
        }
    }

    pub(super) fn own_allowance(
        &self,
        row: &LimitRow,
        id: &OrganisationId,
        time: ClockTime,
    ) -> u64 {
        let own = row.boot == self.boot && row.nonce == self.nonce;
        if own { row.allowance(id, time) } else { 0 }
    }

    /// Time until every limit that may be in force allows `tokens` in total.
    fn unlock_time(&self, id: &OrganisationId, tokens: u64, now: ClockTime) -> ClockSpan {
        let until = |row: &LimitRow| {
            let time = row.unlocked_at(id, tokens);
            time.map_or(u64::MAX / 4, |time| time.since(now).as_millis())
        };
        let millis = self.limits.max_of(until);
        ClockSpan::from_millis(millis)
    }

    pub(super) fn budget_index(&self, organisation: &OrganisationId) -> Option<usize> {
        let found = self
            .budgets
            .binary_search_by(|state| state.organisation.cmp(organisation));
        found.ok()
    }

    pub(super) fn budget_mut(&mut self, organisation: &OrganisationId) -> &mut BudgetState {
        let found = self
            .budgets
            .binary_search_by(|state| state.organisation.cmp(organisation));
        let index = found.unwrap_or_else(|index| {
            let state = BudgetState {
                ranked: self.ranking.is_holder(&self.instance, organisation),
                organisation: organisation.clone(),
                row: TrackedRow::default(),
                paid: (0, 0),
                used: 0,
                settled: 0,
                borrowed: 0,
                loans: Vec::new(),
                loans_changed_at: ClockTime::default(),
                lent: 0,
                stand_in_since: None,
                declined: None,
                waiting: 0,
                shortage: None,
                demand: RateMeter::default(),
                requests: RateMeter::default(),
                written_at: ClockTime::default(),
            };
            self.budgets.insert(index, state);
            index
        });
        &mut self.budgets[index]
    }
}
