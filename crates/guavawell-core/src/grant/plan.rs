//! Writes of the limit row and the budget rows, and their outcomes.

use crate::clock::ClockTime;
use crate::grant::BudgetRow;
use crate::grant::ClosedBoot;
use crate::grant::GrantLedger;
use crate::grant::HolderEntry;
use crate::grant::LimitRow;
use crate::grant::SpendLimit;
use crate::grant::ledger::BudgetState;
use crate::id::OrganisationId;
use crate::number::fraction;
use crate::number::whole;

/// Unanswered writes of a row beyond which only reads are sent. This bounds
/// memory: each of them may still be applied, so none can be forgotten until
/// the row is seen to have changed.
const MAX_PENDING_WRITES: usize = 32;
/// Change of the stock that is worth a write, as a fraction of its larger
/// value.
const MIN_RELATIVE_CHANGE: f64 = 0.4;

impl GrantLedger {
    /// Records a read of the limit row, or the row returned with a rejected
    /// write. The call must have been sent after this process started. The
    /// previous one had ended by then, and the store's time in the answer bounds
    /// when (see [`GrantLedger::record_store_time`]).
    ///
    /// Returns false if another process has started a later boot.
    pub fn limits_read(&mut self, version: u64, row: Option<LimitRow>) -> bool {
        self.limits.row_read(version, row);
        let Some(row) = self.limits.known() else {
            return true;
        };
        let own = row.nonce == self.nonce;
        if own {
            self.boot = row.boot;
        }
        own || self.boot == 0
    }

    /// The first row of this boot, once the row of the previous one was read.
    #[must_use]
    pub fn first_limits(&self, now: ClockTime) -> Option<LimitRow> {
        let time = self.clock.now(now)?;
        let ended = self.previous_end.get()?;
        let before = self.limits.known().cloned().unwrap_or_default();
        Some(before.successor(self.nonce, ended, time))
    }

    /// The limits as last known, and when the previous boot had ended at the
    /// latest. Until this boot starts, they are those of the previous one.
    #[must_use]
    pub fn previous_limits(&self) -> Option<(&LimitRow, ClockTime)> {
        self.limits.known().zip(self.previous_end.get())
    }

    /// The version that the next write of the limit row is conditional on.
    #[must_use]
    pub fn limits_version(&self) -> u64 {
        self.limits.version()
    }

    /// Whether the limit row must be read before it is written again.
    #[must_use]
    pub fn must_read_limits(&self) -> bool {
        !self.limits.is_read() || self.limits.has_pending_writes()
    }

    /// The limit row to write now, or `None` if the present one is sufficient.
    #[must_use]
    pub fn next_limits(&self, now: ClockTime) -> Option<LimitRow> {
        let time = self.clock.now(now)?;
        if self.boot == 0 || self.limits.pending_writes() >= MAX_PENDING_WRITES {
            return None;
        }
        let before = self.limits.known()?;
        let settings = &self.settings;
        let age = Self::scaled_age(
            settings.limit_max_age,
            settings.limit_age_per_instance,
            settings.instances,
        );
        let is_fresh = now.since(self.limits_sent_at) < age;
        let has_waiting = self.budgets.iter().any(|state| state.waiting > 0);
        let limits: Vec<SpendLimit> = self
            .budgets
            .iter()
            .filter(|state| self.needs_limit(state, now))
            .map(|state| self.next_limit(state, now))
            .collect();
        let same = before.limits.len() == limits.len()
            && before
                .limits
                .iter()
                .zip(&limits)
                .all(|(a, b)| a.spent == b.spent);
        if same || (is_fresh && !has_waiting) {
            return None;
        }
        let closed = before.closed.iter().filter(|ended| self.is_needed(ended));
        Some(LimitRow {
            boot: self.boot,
            nonce: self.nonce,
            at: time,
            limits,
            closed: closed.cloned().collect(),
        })
    }

    /// Whether this boot needs a spend limit for a budget. It keeps the limit
    /// when it is no longer a holder, as long as it has a grant or has spent
    /// tokens.
    fn needs_limit(&self, state: &BudgetState, now: ClockTime) -> bool {
        self.holds(state, now) || state.used > 0 || self.grant(state) > 0
    }

    fn next_limit(&self, state: &BudgetState, now: ClockTime) -> SpendLimit {
        let settings = &self.settings;
        let demand = fraction(state.demand.per_second(now));
        let stock = fraction(self.grant(state).saturating_sub(state.used));
        let early = self.early_share(state, now);
        let late = (demand * settings.late_rate_factor).max(stock / settings.late_drain_seconds);
        SpendLimit {
            organisation: state.organisation.clone(),
            spent: state.used + state.waiting,
            burst: early.burst,
            rate: early.rate,
            late_rate: whole(late),
            late_rate_after: settings.late_rate_after,
        }
    }

    /// Whether a budget row may still list a grant of an ended boot. A late
    /// write of the previous boot may add one to a budget that it has no limit
    /// for.
    fn is_needed(&self, ended: &ClosedBoot) -> bool {
        let may_hold = |state: &BudgetState| match state.row.known() {
            Some(row) => row.holder(&self.instance, ended.boot).is_some(),
            None => !state.row.is_read() && ended.has_limit(&state.organisation),
        };
        ended.boot + 1 == self.boot || self.budgets.iter().any(may_hold)
    }

    /// Records that a write of the limit row is about to be sent.
    pub fn limits_sent(&mut self, row: LimitRow, now: ClockTime) {
        self.limits.write_sent(row);
        self.limits_sent_at = now;
    }

    /// Records that the write of the limit row was applied.
    pub fn limits_written(&mut self, version: u64) {
        self.limits.write_confirmed(version);
        if let Some(row) = self.limits.known() {
            self.boot = row.boot;
        }
    }

    /// Records that the write of the limit row was given up without an answer.
    pub fn limits_unanswered(&mut self) {
        self.limits.write_unanswered();
    }

    /// Records that the write of the limit row was not applied.
    pub fn limits_rejected(&mut self) {
        self.limits.write_rejected();
    }

    /// Records a read of a budget row, or the row returned with a rejected
    /// write.
    pub fn budget_read(&mut self, id: &OrganisationId, version: u64, row: Option<BudgetRow>) {
        self.budget_mut(id).row.row_read(version, row);
    }

    /// The version that the next write of a budget row is conditional on.
    #[must_use]
    pub fn budget_version(&self, id: &OrganisationId) -> u64 {
        let index = self.budget_index(id);
        index.map_or(0, |index| self.budgets[index].row.version())
    }

    /// Whether a budget row must be read before it is written again.
    #[must_use]
    pub fn must_read_budget(&self, id: &OrganisationId) -> bool {
        let index = self.budget_index(id);
        index.is_none_or(|index| {
            let row = &self.budgets[index].row;
            !row.is_read() || row.has_pending_writes()
        })
    }

    /// Whether this boot maintains a budget row: it is a holder, has unspent
    /// tokens, or may have to close the grant of an earlier boot.
    #[must_use]
    pub fn maintains(&self, id: &OrganisationId, now: ClockTime) -> bool {
        let Some(index) = self.budget_index(id) else {
            return false;
        };
        let state = &self.budgets[index];
        let has_ended_boot = match state.row.known() {
            Some(row) => row
                .holders
                .iter()
                .any(|entry| entry.instance == self.instance && entry.boot < self.boot),
            None => !state.row.is_read() && self.had_limit(id),
        };
        self.holds(state, now) || has_ended_boot || self.grant(state) > state.used
    }

    /// Whether an earlier boot had a limit for a budget.
    fn had_limit(&self, id: &OrganisationId) -> bool {
        let closed = self.limits.known().map_or(&[][..], |row| &row.closed[..]);
        closed.iter().any(|ended| ended.has_limit(id))
    }

    /// The budget row to write now, or `None` if the present one is sufficient.
    #[must_use]
    pub fn next_budget(&self, id: &OrganisationId, now: ClockTime) -> Option<BudgetRow> {
        let state = &self.budgets[self.budget_index(id)?];
        if self.boot == 0 || self.leaving || !state.row.is_read() {
            return None;
        }
        if state.row.pending_writes() >= MAX_PENDING_WRITES {
            return None;
        }
        let before = state.row.known().cloned().unwrap_or_default();
        let mut row = before.clone();
        if state.paid.1 >= row.paid_version {
            (row.paid, row.paid_version) = state.paid;
        }
        self.close_ended(&mut row, id);
        let held = before.holder(&self.instance, self.boot);
        if held.is_none() && !self.holds(state, now) {
            return (row.holders != before.holders).then_some(row);
        }
        let entry = self.next_entry(state, &row, now);
        let totals_changed = (row.paid, row.closed) != (before.paid, before.closed);
        let worth = held.is_none_or(|held| self.is_worth_writing(held, &entry, state, now));
        if !totals_changed && !worth {
            return None;
        }
        row.upsert(entry);
        Some(row)
    }

    /// The budget row that returns all unspent tokens, for a process that is
    /// leaving.
    #[must_use]
    pub fn final_budget(&self, id: &OrganisationId) -> Option<BudgetRow> {
        let state = &self.budgets[self.budget_index(id)?];
        let mut row = state.row.known()?.clone();
        row.holder(&self.instance, self.boot)?;
        row.close(&self.instance, self.boot, state.used, state.settled);
        Some(row)
    }

    /// Records that a write of a budget row is about to be sent.
    pub fn budget_sent(&mut self, id: &OrganisationId, row: BudgetRow, now: ClockTime) {
        let state = self.budget_mut(id);
        state.row.write_sent(row);
        state.written_at = now;
    }

    /// Records that the write of a budget row was applied.
    pub fn budget_written(&mut self, id: &OrganisationId, version: u64) {
        self.budget_mut(id).row.write_confirmed(version);
    }

    /// Records that the write of a budget row was given up without an answer.
    pub fn budget_unanswered(&mut self, id: &OrganisationId) {
        self.budget_mut(id).row.write_unanswered();
    }

    /// Whether a write of a budget row is in flight.
    #[must_use]
    pub fn is_writing_budget(&self, id: &OrganisationId) -> bool {
        let index = self.budget_index(id);
        index.is_some_and(|index| self.budgets[index].row.is_writing())
    }

    /// Records that the write of a budget row was not applied.
    pub fn budget_rejected(&mut self, id: &OrganisationId) {
        self.budget_mut(id).row.write_rejected();
    }

    /// Closes the grants of earlier boots of this instance in a row.
    fn close_ended(&self, row: &mut BudgetRow, id: &OrganisationId) {
        let own = row
            .holders
            .iter()
            .filter(|entry| entry.instance == self.instance);
        let ended: Vec<u64> = own
            .map(|entry| entry.boot)
            .filter(|boot| *boot < self.boot)
            .collect();
        for boot in ended {
            let closed = self.limits.known().map_or(&[][..], |row| &row.closed[..]);
            let known = closed.iter().find(|ended| ended.boot == boot);
            let spent = known.map_or(u64::MAX, |ended| ended.max_spent(id));
            row.close(&self.instance, boot, spent, 0);
        }
    }

    fn next_entry(&self, state: &BudgetState, row: &BudgetRow, now: ClockTime) -> HolderEntry {
        let rate = state.demand.per_second(now);
        let elsewhere = row.granted_elsewhere(&self.instance, self.boot);
        let free = row.paid.saturating_sub(row.closed + elsewhere);
        let missing = self.missing(state, now);
        let stock =
            if !self.holds(state, now) || self.yields_to_other(row, state.used + missing, free) {
                0
            } else {
                self.stock(state, row, rate).max(missing)
            };
        let grant = (state.used + stock).min(free).max(state.used);
        HolderEntry {
            instance: self.instance.clone(),
            boot: self.boot,
            grant,
            used: state.used,
            settled: state.settled,
            rate,
            wanted: (state.used + missing).saturating_sub(grant),
        }
    }

    /// Whether this instance gives up its stock for another one: neither has
    /// enough tokens alone, and the other one comes first by name.
    fn yields_to_other(&self, row: &BudgetRow, needed: u64, free: u64) -> bool {
        let mut others = row.holders.iter().filter(|entry| !self.is_own(entry));
        needed > free && others.any(|entry| entry.wanted > 0 && entry.instance < self.instance)
    }

    /// Tokens that requests wait for or were recently refused for.
    fn missing(&self, state: &BudgetState, now: ClockTime) -> u64 {
        let recent = state
            .shortage
            .filter(|(_, at)| now.since(*at) < self.settings.shortage_max_age);
        state.waiting.max(recent.map_or(0, |(tokens, _)| tokens))
    }

    /// Unspent tokens that this instance should hold: some seconds of its
    /// demand, within its share of what is left.
    fn stock(&self, state: &BudgetState, row: &BudgetRow, rate: u64) -> u64 {
        let settings = &self.settings;
        let others = || row.holders.iter().filter(|entry| !self.is_own(entry));
        let used: u64 = others().map(|entry| entry.used).sum();
        let left = fraction(row.paid.saturating_sub(row.closed + used + state.used));
        let count = fraction((others().count() + 1).max(self.row_writers()) as u64);
        let equal = left / count;
        let rates: u64 = others().map(|entry| entry.rate).sum::<u64>() + rate;
        if rates == 0 {
            return whole(settings.idle_fraction * equal);
        }
        let by_demand = left * fraction(rate) / fraction(rates);
        let by_own_demand = settings.stock_seconds * fraction(rate);
        let free = fraction(row.paid.saturating_sub(row.committed()));
        let idle = settings.idle_fraction * equal * (free / left.max(1.0)).min(1.0);
        whole(
            by_own_demand
                .min(settings.max_stock_fraction * by_demand)
                .max(idle),
        )
    }

    /// Whether an entry differs enough from the stored one to be written.
    fn is_worth_writing(
        &self,
        held: &HolderEntry,
        next: &HolderEntry,
        state: &BudgetState,
        now: ClockTime,
    ) -> bool {
        let have = fraction(held.grant.saturating_sub(state.used));
        let want = fraction(next.grant.saturating_sub(state.used));
        let changed = (want - have).abs() > MIN_RELATIVE_CHANGE * want.max(have);
        let settings = &self.settings;
        let age = Self::scaled_age(
            settings.entry_max_age,
            settings.entry_age_per_writer,
            self.budget_writers(state),
        );
        let old = now.since(state.written_at) >= age;
        let covers_waiting = state.waiting > 0 && next.grant > held.grant;
        let newly_short = next.wanted > 0 && held.wanted == 0;
        let frees_for_others = want < have && self.others_short(state);
        // Other instances need the settled tokens to know when a refusal is final.
        let settled = next.settled > held.settled && self.missing(state, now) > 0;
        covers_waiting || newly_short || (changed && (old || frees_for_others)) || (settled && old)
    }

    /// Whether a budget is short of tokens here or elsewhere, so that some
    /// instance may soon return some.
    #[must_use]
    pub fn is_contended(&self, now: ClockTime) -> bool {
        let contended =
            |state: &BudgetState| self.missing(state, now) > 0 || self.others_short(state);
        self.budgets.iter().any(contended)
    }

    /// Whether another instance lacks tokens of this budget.
    fn others_short(&self, state: &BudgetState) -> bool {
        let Some(row) = state.row.known() else {
            return false;
        };
        let others = row.holders.iter().filter(|entry| !self.is_own(entry));
        others.into_iter().any(|entry| entry.wanted > 0)
    }
}
