//! What a boot writes to its rows, and what it takes from their answers.

use crate::clock::ClockTime;
use crate::grant::BudgetRow;
use crate::grant::ClosedBoot;
use crate::grant::GrantBook;
use crate::grant::HolderEntry;
use crate::grant::LineRow;
use crate::grant::SpendLine;
use crate::grant::book::BudgetState;
use crate::id::OrganisationId;
use crate::number::fraction;
use crate::number::whole;

/// Unanswered writes of a row beyond which only reads are sent: a bound on
/// memory. Each of them may still land, so none can be forgotten until the row
/// is seen to have changed.
const MAX_OPEN: usize = 32;
/// Change of a grant, as a part of the stock, that is worth a write.
const WORTH_WRITING: f64 = 0.4;

impl GrantBook {
    /// The row of lines was read, or a write of it was turned down with it.
    /// `now` is the local time at which that call was answered, and the call
    /// was sent after this process had started.
    ///
    /// Returns whether the row belongs to this boot, or to none that is later.
    pub fn saw_lines(&mut self, version: u64, row: Option<LineRow>) -> bool {
        self.lines.seen(version, row);
        let Some(row) = self.lines.known() else {
            return true;
        };
        let own = row.nonce == self.nonce;
        if own {
            self.boot = row.boot;
        }
        own || self.boot == 0
    }

    /// The first row of this boot, after the row of the one before was read.
    #[must_use]
    pub fn first_lines(&self, now: ClockTime) -> Option<LineRow> {
        let time = self.clock.now(now)?;
        let ended = self.start.get()?;
        let before = self.lines.known().cloned().unwrap_or_default();
        Some(before.succeed(self.nonce, ended, time))
    }

    /// The lines as last known, which are those of the boot before until this
    /// one began, and when that boot had ended at the latest.
    #[must_use]
    pub fn former_lines(&self) -> Option<(&LineRow, ClockTime)> {
        self.lines.known().zip(self.start.get())
    }

    /// The version that the next write of the lines depends on.
    #[must_use]
    pub fn lines_version(&self) -> u64 {
        self.lines.version()
    }

    /// Whether the lines must be read before they are written again.
    #[must_use]
    pub fn lines_unsure(&self) -> bool {
        !self.lines.is_read() || self.lines.is_open()
    }

    /// The lines to write now, or `None` if the present ones will do.
    #[must_use]
    pub fn next_lines(&self, now: ClockTime) -> Option<LineRow> {
        let time = self.clock.now(now)?;
        if self.boot == 0 || self.lines.open_writes() >= MAX_OPEN {
            return None;
        }
        let before = self.lines.known()?;
        let settings = &self.settings;
        let age = Self::paced(
            settings.line_age,
            settings.line_age_each,
            settings.instances,
        );
        let fresh = now.since(self.lines_at) < age;
        let waits = self.budgets.iter().any(|state| state.waiting > 0);
        let lines: Vec<SpendLine> = self
            .budgets
            .iter()
            .filter(|state| self.has_line(state, now))
            .map(|state| self.next_line(state, now))
            .collect();
        let same = before.lines.len() == lines.len()
            && before
                .lines
                .iter()
                .zip(&lines)
                .all(|(a, b)| a.spent == b.spent);
        if same || (fresh && !waits) {
            return None;
        }
        let closed = before.closed.iter().filter(|ended| self.is_needed(ended));
        Some(LineRow {
            boot: self.boot,
            nonce: self.nonce,
            at: time,
            lines,
            closed: closed.cloned().collect(),
        })
    }

    /// Whether this boot spends of a budget by its own grant. One that no longer
    /// holds tokens keeps its line for as long as it has spent some.
    fn has_line(&self, state: &BudgetState, now: ClockTime) -> bool {
        self.holds(state, now) || state.used > 0 || self.grant(state) > 0
    }

    fn next_line(&self, state: &BudgetState, now: ClockTime) -> SpendLine {
        let settings = &self.settings;
        let demand = fraction(state.demand.per_second(now));
        let stock = fraction(self.grant(state).saturating_sub(state.used));
        let early = self.early_share(state, now);
        let late = (demand * settings.late_factor).max(stock / settings.late_seconds);
        SpendLine {
            organisation: state.organisation.clone(),
            spent: state.used + state.waiting,
            burst: early.burst,
            rate: early.rate,
            late_rate: whole(late),
            turn: settings.turn,
        }
    }

    /// Whether any budget's row may still hold a grant of an ended boot. A write
    /// of the boot before may land late, in a row that it had no line of.
    fn is_needed(&self, ended: &ClosedBoot) -> bool {
        let may_hold = |state: &BudgetState| match state.row.known() {
            Some(row) => row.holder(&self.instance, ended.boot).is_some(),
            None => !state.row.is_read() && ended.names(&state.organisation),
        };
        ended.boot + 1 == self.boot || self.budgets.iter().any(may_hold)
    }

    /// A write of the lines is about to be sent.
    pub fn sent_lines(&mut self, row: LineRow, now: ClockTime) {
        self.lines.sent(row);
        self.lines_at = now;
    }

    /// The write of the lines was carried out.
    pub fn wrote_lines(&mut self, version: u64) {
        self.lines.stands(version);
        if let Some(row) = self.lines.known() {
            self.boot = row.boot;
        }
    }

    /// The write of the lines has no answer and will get none.
    pub fn lost_lines(&mut self) {
        self.lines.lost();
    }

    /// The write of the lines was surely not carried out.
    pub fn dropped_lines(&mut self) {
        self.lines.dropped();
    }

    /// A budget's row was read, or came with a write that was turned down.
    pub fn saw_budget(&mut self, id: &OrganisationId, version: u64, row: Option<BudgetRow>) {
        self.state(id).row.seen(version, row);
    }

    /// The version that the next write of a budget's row depends on.
    #[must_use]
    pub fn budget_version(&self, id: &OrganisationId) -> u64 {
        let place = self.find(id);
        place.map_or(0, |place| self.budgets[place].row.version())
    }

    /// Whether a budget's row must be read before it is written again.
    #[must_use]
    pub fn budget_unsure(&self, id: &OrganisationId) -> bool {
        let place = self.find(id);
        place.is_none_or(|place| {
            let row = &self.budgets[place].row;
            !row.is_read() || row.is_open()
        })
    }

    /// Whether this boot has to do with a budget's row: it holds tokens or
    /// still has some, or an earlier boot's grant may have to be closed.
    #[must_use]
    pub fn tends(&self, id: &OrganisationId, now: ClockTime) -> bool {
        let Some(place) = self.find(id) else {
            return false;
        };
        let state = &self.budgets[place];
        let former = match state.row.known() {
            Some(row) => row
                .holders
                .iter()
                .any(|entry| entry.instance == self.instance && entry.boot < self.boot),
            None => !state.row.is_read() && self.had_line(id),
        };
        self.holds(state, now) || former || self.grant(state) > state.used
    }

    /// Whether an earlier boot had a line of a budget.
    fn had_line(&self, id: &OrganisationId) -> bool {
        let closed = self.lines.known().map_or(&[][..], |row| &row.closed[..]);
        closed.iter().any(|ended| ended.names(id))
    }

    /// The row to write for a budget now, or `None` if the present one will do.
    #[must_use]
    pub fn next_budget(&self, id: &OrganisationId, now: ClockTime) -> Option<BudgetRow> {
        let state = &self.budgets[self.find(id)?];
        if self.boot == 0 || self.leaving || !state.row.is_read() {
            return None;
        }
        if state.row.open_writes() >= MAX_OPEN {
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
        let repaid = (row.paid, row.closed) != (before.paid, before.closed);
        let worth = held.is_none_or(|held| self.is_worth(held, &entry, state, now));
        if !repaid && !worth {
            return None;
        }
        row.put(entry);
        Some(row)
    }

    /// The row that gives everything back, for a process that leaves.
    #[must_use]
    pub fn last_budget(&self, id: &OrganisationId) -> Option<BudgetRow> {
        let state = &self.budgets[self.find(id)?];
        let mut row = state.row.known()?.clone();
        row.holder(&self.instance, self.boot)?;
        row.close(&self.instance, self.boot, state.used, state.settled);
        Some(row)
    }

    /// A write of a budget's row is about to be sent.
    pub fn sent_budget(&mut self, id: &OrganisationId, row: BudgetRow, now: ClockTime) {
        let state = self.state(id);
        state.row.sent(row);
        state.written_at = now;
    }

    /// The write of a budget's row was carried out.
    pub fn wrote_budget(&mut self, id: &OrganisationId, version: u64) {
        self.state(id).row.stands(version);
    }

    /// The write of a budget's row has no answer and will get none.
    pub fn lost_budget(&mut self, id: &OrganisationId) {
        self.state(id).row.lost();
    }

    /// Whether a write of a budget's row is on its way.
    #[must_use]
    pub fn budget_writing(&self, id: &OrganisationId) -> bool {
        let place = self.find(id);
        place.is_some_and(|place| self.budgets[place].row.is_writing())
    }

    /// The write of a budget's row was surely not carried out.
    pub fn dropped_budget(&mut self, id: &OrganisationId) {
        self.state(id).row.dropped();
    }

    /// Ends earlier boots of this instance in a row.
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
            let closed = self.lines.known().map_or(&[][..], |row| &row.closed[..]);
            let known = closed.iter().find(|ended| ended.boot == boot);
            let spent = known.map_or(u64::MAX, |ended| ended.spent_of(id));
            row.close(&self.instance, boot, spent, 0);
        }
    }

    fn next_entry(&self, state: &BudgetState, row: &BudgetRow, now: ClockTime) -> HolderEntry {
        let rate = state.demand.per_second(now);
        let elsewhere = row.held_elsewhere(&self.instance, self.boot);
        let free = row.paid.saturating_sub(row.closed + elsewhere);
        let missing = self.missing(state, now);
        let stock = if !self.holds(state, now) || self.yields(row, state.used + missing, free) {
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

    /// Whether this instance gives its stock to another one: both lack tokens,
    /// neither has enough alone, and the other one comes first by name.
    fn yields(&self, row: &BudgetRow, needed: u64, free: u64) -> bool {
        let mut others = row.holders.iter().filter(|entry| !self.is_own(entry));
        needed > free && others.any(|entry| entry.wanted > 0 && entry.instance < self.instance)
    }

    /// Tokens that requests wait for, or were refused for lately.
    fn missing(&self, state: &BudgetState, now: ClockTime) -> u64 {
        let lately = state
            .shortage
            .filter(|(_, at)| now.since(*at) < self.settings.shortage_age);
        state.waiting.max(lately.map_or(0, |(tokens, _)| tokens))
    }

    /// Tokens beyond the used ones that this instance should hold: some seconds
    /// of its demand, within its share of what is left.
    fn stock(&self, state: &BudgetState, row: &BudgetRow, rate: u64) -> u64 {
        let settings = &self.settings;
        let others = || row.holders.iter().filter(|entry| !self.is_own(entry));
        let used: u64 = others().map(|entry| entry.used).sum();
        let left = fraction(row.paid.saturating_sub(row.closed + used + state.used));
        let count = fraction((others().count() + 1).max(self.row_writers()) as u64);
        let equal = left / count;
        let rates: u64 = others().map(|entry| entry.rate).sum::<u64>() + rate;
        if rates == 0 {
            return whole(settings.unseen_part * equal);
        }
        let by_demand = left * fraction(rate) / fraction(rates);
        let wished = settings.stock_seconds * fraction(rate);
        let free = fraction(row.paid.saturating_sub(row.committed()));
        let idle = settings.unseen_part * equal * (free / left.max(1.0)).min(1.0);
        whole(wished.min(settings.most_part * by_demand).max(idle))
    }

    fn is_worth(
        &self,
        held: &HolderEntry,
        next: &HolderEntry,
        state: &BudgetState,
        now: ClockTime,
    ) -> bool {
        let have = fraction(held.grant.saturating_sub(state.used));
        let want = fraction(next.grant.saturating_sub(state.used));
        let changed = (want - have).abs() > WORTH_WRITING * want.max(have);
        let settings = &self.settings;
        let age = Self::paced(
            settings.entry_age,
            settings.entry_age_each,
            self.row_writers(),
        );
        let old = now.since(state.written_at) >= age;
        let served = state.waiting > 0 && next.grant > held.grant;
        let told = next.wanted > 0 && held.wanted == 0;
        let gives = want < have && self.others_want(state);
        // What is surely spent tells the others when a refusal is final.
        let settled = next.settled > held.settled && self.missing(state, now) > 0;
        served || told || (changed && (old || gives)) || (settled && old)
    }

    /// Whether tokens of any budget are asked for, here or elsewhere, that an
    /// instance may be about to give back.
    #[must_use]
    pub fn is_contended(&self, now: ClockTime) -> bool {
        let contended =
            |state: &BudgetState| self.missing(state, now) > 0 || self.others_want(state);
        self.budgets.iter().any(contended)
    }

    /// Whether another instance lacks tokens of this budget.
    fn others_want(&self, state: &BudgetState) -> bool {
        let Some(row) = state.row.known() else {
            return false;
        };
        let others = row.holders.iter().filter(|entry| !self.is_own(entry));
        others.into_iter().any(|entry| entry.wanted > 0)
    }
}
