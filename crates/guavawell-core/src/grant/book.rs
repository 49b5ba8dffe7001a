//! One boot's book of all budgets: reservations, settlements, and the state of
//! its rows.

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::grant::BudgetFacts;
use crate::grant::BudgetRow;
use crate::grant::FleetMember;
use crate::grant::HolderRanking;
use crate::grant::HolderSettings;
use crate::grant::LineRow;
use crate::grant::RateMeter;
use crate::grant::ReserveAnswer;
use crate::grant::RowVersions;
use crate::grant::StartBound;
use crate::grant::StoreClock;
use crate::grant::loan::OpenLoan;
use crate::id::InstanceId;
use crate::id::OrganisationId;

/// How much stock an instance holds, and how fast it unlocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BookSettings {
    /// Stock, as seconds of recent demand: what a cut of the store of nine
    /// seconds needs when demand rises to two and a half times the recent one.
    pub stock_seconds: f64,
    /// Part of its equal share of what is left that an instance holds without
    /// demand of its own; less as more of it is granted. It stands in for
    /// demand that was not seen yet.
    pub unseen_part: f64,
    /// Part of its share by demand of what is left that an instance holds at
    /// most; the rest stays free for sudden needs.
    pub most_part: f64,
    /// The first rate of all lines, as a multiple of the fleet's recent demand. A
    /// crash freezes what it unlocks until the next boot.
    pub line_factor: f64,
    /// The line's second rate, as a multiple of recent demand.
    pub late_factor: f64,
    /// Seconds in which the second rate unlocks the whole stock at most.
    pub late_seconds: f64,
    /// Time until the second rate holds: longer than a restart takes.
    pub turn: ClockSpan,
    /// The burst of all lines, as seconds of the fleet's recent demand, so that
    /// the first requests after a cut need not wait.
    pub burst_seconds: f64,
    /// Instances that share it at least. Each covers a usual request with its
    /// part, so a budget with few requests has few such instances.
    pub least_holders: usize,
    /// An instance's part takes no more than this part of its stock.
    pub burst_part: f64,
    /// Usual time of the store's answers beyond which an instance unlocks a usual
    /// request by itself: at 0.25 of a core they take 15 to 19 ms, at 0.12 of one
    /// behind 10 Mbit/s 19 to 90 ms.
    pub slow_answer: ClockSpan,
    /// That takes no more than this part of its stock.
    pub own_part: f64,
    /// And no less than so many seconds of its own first rate.
    pub own_seconds: f64,
    /// Instances that are expected at least.
    pub instances: usize,
    /// Age of the line beyond which it is written again if tokens were spent.
    pub line_age: ClockSpan,
    /// Further age of the line for each instance, so that a large fleet writes
    /// no more than a small one: 125 lines a second in all.
    pub line_age_each: ClockSpan,
    /// Age of the entry in a budget's row beyond which it is brought up to date.
    pub entry_age: ClockSpan,
    /// Further age of the entry for each instance: instances that write one row
    /// often turn each other's writes down.
    pub entry_age_each: ClockSpan,
    /// How long a shortage is told to other instances.
    pub shortage_age: ClockSpan,
    /// Which instances hold tokens.
    pub holders: HolderSettings,
}

impl Default for BookSettings {
    fn default() -> Self {
        Self {
            stock_seconds: 24.0,
            unseen_part: 0.3,
            most_part: 0.75,
            line_factor: 0.6,
            late_factor: 3.0,
            late_seconds: 7.0,
            turn: ClockSpan::from_millis(1_500),
            burst_seconds: 0.5,
            least_holders: 1,
            burst_part: 0.35,
            slow_answer: ClockSpan::from_millis(25),
            own_part: 0.18,
            own_seconds: 0.3,
            instances: 3,
            line_age: ClockSpan::from_millis(150),
            line_age_each: ClockSpan::from_millis(8),
            entry_age: ClockSpan::from_millis(1_000),
            entry_age_each: ClockSpan::from_millis(40),
            shortage_age: ClockSpan::from_millis(2_000),
            holders: HolderSettings::default(),
        }
    }
}

/// One budget as this boot knows it.
#[derive(Clone, Debug)]
pub(super) struct BudgetState {
    pub(super) organisation: OrganisationId,
    pub(super) row: RowVersions<BudgetRow>,
    /// Newest word on what was paid, with the version that said so.
    pub(super) paid: (u64, u64),
    /// Reserved or spent by this boot.
    pub(super) used: u64,
    /// Spent for good by this boot.
    pub(super) settled: u64,
    /// Tokens that other instances have lent and no request holds. They are
    /// spent beside the grant.
    pub(super) borrowed: u64,
    /// Who lent what requests hold, and what nobody holds.
    pub(super) loans: Vec<OpenLoan>,
    /// When lent tokens last changed hands.
    pub(super) loans_at: ClockTime,
    /// Tokens lent to other instances that they have not accounted for.
    pub(super) lent: u64,
    /// This instance holds tokens by its rank.
    pub(super) ranked: bool,
    /// When it was last asked for them in a holder's place.
    pub(super) asked_at: Option<ClockTime>,
    /// Tokens of the last request that others declined to lend for, and when.
    pub(super) declined: Option<(u64, ClockTime)>,
    /// Tokens that requests wait for now.
    pub(super) waiting: u64,
    /// Tokens of the last request that the grant did not cover, and when.
    pub(super) shortage: Option<(u64, ClockTime)>,
    pub(super) demand: RateMeter,
    /// When the own entry was last written.
    pub(super) written_at: ClockTime,
}

/// The book of one boot of one instance.
#[derive(Clone, Debug)]
pub struct GrantBook {
    pub(super) instance: InstanceId,
    pub(super) boot: u64,
    pub(super) nonce: u64,
    pub(super) settings: BookSettings,
    pub(super) clock: StoreClock,
    /// When the boot before this one had ended at the latest.
    pub(super) start: StartBound,
    /// Usual time of the store's answers.
    pub(super) answer: ClockSpan,
    pub(super) lines: RowVersions<LineRow>,
    pub(super) lines_at: ClockTime,
    /// Sorted by organisation.
    pub(super) budgets: Vec<BudgetState>,
    pub(super) ranking: HolderRanking,
    pub(super) leaving: bool,
}

impl GrantBook {
    /// An empty book. `nonce` is random. At the local time `started` the process
    /// had started, and so the one before it in the same place had ended.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        nonce: u64,
        started: ClockTime,
        settings: BookSettings,
    ) -> Self {
        Self {
            instance,
            boot: 0,
            nonce,
            settings,
            clock: StoreClock::default(),
            start: StartBound::new(started),
            answer: ClockSpan::default(),
            lines: RowVersions::default(),
            lines_at: ClockTime::default(),
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

    /// An answer of the store, to a call sent at the local time `asked`, told
    /// its steady time.
    pub fn tell_time(&mut self, store: ClockTime, asked: ClockTime, now: ClockTime) {
        self.clock.tell(store, now);
        self.start.tell(store, asked);
    }

    /// The store's answers usually take so long.
    pub fn tell_answer(&mut self, usual: ClockSpan) {
        self.answer = usual;
    }

    /// The configuration says what an organisation paid.
    pub fn set_paid(&mut self, organisation: &OrganisationId, paid: u64, version: u64) {
        let state = self.state(organisation);
        if version >= state.paid.1 {
            state.paid = (paid, version);
        }
    }

    /// All organisations in the book.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationId> {
        self.budgets.iter().map(|state| &state.organisation)
    }

    /// Asks for the worst case of a request.
    pub fn reserve(
        &mut self,
        organisation: &OrganisationId,
        tokens: u64,
        now: ClockTime,
    ) -> ReserveAnswer {
        let Some(place) = self.find(organisation) else {
            return ReserveAnswer::Unknown;
        };
        let state = &mut self.budgets[place];
        // What others lent goes first: it would be lost with this process.
        let lent = state.borrowed.min(tokens);
        if lent == tokens {
            state.borrowed -= lent;
            state.loans_at = now;
            state.demand.add(tokens, now);
            return ReserveAnswer::GrantedLoan(lent);
        }
        let state = &self.budgets[place];
        let Some(time) = self.clock.now(now) else {
            return ReserveAnswer::Unknown;
        };
        if self.boot == 0 || self.leaving || !state.row.is_read() {
            return ReserveAnswer::Unknown;
        }
        let own = tokens - lent;
        let need = state.used + own;
        if need > self.grant(state) {
            let answer = self.judge_short(state, own);
            self.budgets[place].shortage = Some((own, now));
            return answer;
        }
        let allowed = self
            .lines
            .least(|row| self.line_allowance(row, organisation, time));
        if need > allowed {
            return ReserveAnswer::Locked(self.unlock_time(organisation, need, time));
        }
        let state = &mut self.budgets[place];
        state.used += own;
        state.borrowed -= lent;
        state.demand.add(tokens, now);
        if lent > 0 {
            state.loans_at = now;
            ReserveAnswer::GrantedLoan(lent)
        } else {
            ReserveAnswer::Granted
        }
    }

    /// Whether this boot has begun and every budget that it holds was read.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let mut held = self.budgets.iter().filter(|state| state.ranked);
        self.boot > 0 && held.all(|state| state.row.is_read())
    }

    /// The fleet as the store's rows tell it, this instance included.
    pub fn set_fleet(&mut self, members: Vec<FleetMember>) {
        self.ranking.set_members(members);
        for state in &mut self.budgets {
            state.ranked = self.ranking.is_holder(&self.instance, &state.organisation);
        }
    }

    /// Whether this instance holds tokens of an organisation: by its rank, or
    /// as a stand-in.
    #[must_use]
    pub fn is_holder(&self, organisation: &OrganisationId, now: ClockTime) -> bool {
        let place = self.find(organisation);
        place.is_some_and(|place| self.holds(&self.budgets[place], now))
    }

    pub(super) fn holds(&self, state: &BudgetState, now: ClockTime) -> bool {
        let stand_in = self.settings.holders.stand_in;
        let asked = state.asked_at.is_some_and(|at| now.since(at) < stand_in);
        state.ranked || asked
    }

    /// This instance was asked for tokens, or no holder answers it: it holds
    /// tokens itself for a while.
    pub fn stand_in(&mut self, organisation: &OrganisationId, now: ClockTime) {
        self.state(organisation).asked_at = Some(now);
    }

    /// The instances to ask for tokens, in this order.
    #[must_use]
    pub fn holder_order(&self, organisation: &OrganisationId) -> Vec<InstanceId> {
        self.ranking.order(&self.instance, organisation)
    }

    /// What the next reservation will be decided by.
    #[must_use]
    pub fn facts(&self, organisation: &OrganisationId, now: ClockTime) -> BudgetFacts {
        let Some(place) = self.find(organisation) else {
            return BudgetFacts::default();
        };
        let state = &self.budgets[place];
        let time = self.clock.now(now).unwrap_or_default();
        let row = state.row.known();
        BudgetFacts {
            paid: row.map_or(state.paid.0, |row| self.paid(state, row)),
            committed: row.map_or(0, BudgetRow::committed),
            closed: row.map_or(0, |row| row.closed),
            grant: self.grant(state),
            used: state.used,
            allowed: self
                .lines
                .least(|row| self.line_allowance(row, organisation, time)),
            row: state.row.version(),
            row_age: now.since(state.written_at),
        }
    }

    /// Replaces a reservation by what was spent; never more than reserved.
    pub fn settle(&mut self, organisation: &OrganisationId, reserved: u64, spent: u64) {
        let state = self.state(organisation);
        let spent = spent.min(reserved);
        state.used -= reserved - spent;
        state.settled += spent;
    }

    /// A request waits for tokens from now on (or does so no longer).
    pub fn wait(&mut self, organisation: &OrganisationId, tokens: u64, begins: bool) {
        let state = self.state(organisation);
        state.waiting = if begins {
            state.waiting + tokens
        } else {
            state.waiting.saturating_sub(tokens)
        };
    }

    /// The grant that binds now.
    #[must_use]
    pub fn granted(&self, organisation: &OrganisationId) -> u64 {
        let place = self.find(organisation);
        place.map_or(0, |place| self.grant(&self.budgets[place]))
    }

    /// An age that grows with the number of writers.
    pub(super) fn paced(base: ClockSpan, each: ClockSpan, writers: usize) -> ClockSpan {
        ClockSpan::from_millis(base.as_millis() + each.as_millis() * writers as u64)
    }

    /// Instances that write the row of one budget.
    #[must_use]
    pub fn row_writers(&self) -> usize {
        if self.ranking.is_everywhere() {
            self.settings.instances
        } else {
            self.ranking.expected()
        }
    }

    /// The fleet has this many instances, as far as the store's rows tell.
    pub fn set_instances(&mut self, instances: usize) {
        self.settings.instances = self.settings.instances.max(instances);
    }

    /// Instances that are reckoned with.
    #[must_use]
    pub const fn instances(&self) -> usize {
        self.settings.instances
    }

    /// No more reservations: the process is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    pub(super) fn grant(&self, state: &BudgetState) -> u64 {
        let own = |row: &BudgetRow| {
            let entry = row.holder(&self.instance, self.boot);
            entry.map_or(0, |entry| entry.grant)
        };
        let granted = state.row.least(own);
        let Some(row) = state.row.known() else {
            return granted;
        };
        let lowered = state.paid.1 > row.paid_version && state.paid.0 < row.committed();
        if lowered {
            granted.min(state.used)
        } else {
            granted
        }
    }

    pub(super) fn judge_short(&self, state: &BudgetState, tokens: u64) -> ReserveAnswer {
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

    /// Newest word on what was paid: the configuration's or the row's.
    #[expect(clippy::unused_self, reason = "reads as a question to the book")]
    pub(super) fn paid(&self, state: &BudgetState, row: &BudgetRow) -> u64 {
        if state.paid.1 >= row.paid_version {
            state.paid.0
        } else {
            row.paid
        }
    }

    pub(super) fn line_allowance(
        &self,
        row: &LineRow,
        id: &OrganisationId,
        time: ClockTime,
    ) -> u64 {
        let own = row.boot == self.boot && row.nonce == self.nonce;
        if own { row.allowance(id, time) } else { 0 }
    }

    /// Time until every line that may be in force allows `tokens` in all.
    fn unlock_time(&self, id: &OrganisationId, tokens: u64, now: ClockTime) -> ClockSpan {
        let until = |row: &LineRow| {
            let time = row.time_of(id, tokens);
            time.map_or(u64::MAX / 4, |time| time.since(now).as_millis())
        };
        let millis = self.lines.most(until);
        ClockSpan::from_millis(millis)
    }

    pub(super) fn find(&self, organisation: &OrganisationId) -> Option<usize> {
        let found = self
            .budgets
            .binary_search_by(|state| state.organisation.cmp(organisation));
        found.ok()
    }

    pub(super) fn state(&mut self, organisation: &OrganisationId) -> &mut BudgetState {
        let found = self
            .budgets
            .binary_search_by(|state| state.organisation.cmp(organisation));
        let place = found.unwrap_or_else(|place| {
            let state = BudgetState {
                ranked: self.ranking.is_holder(&self.instance, organisation),
                organisation: organisation.clone(),
                row: RowVersions::default(),
                paid: (0, 0),
                used: 0,
                settled: 0,
                borrowed: 0,
                loans: Vec::new(),
                loans_at: ClockTime::default(),
                lent: 0,
                asked_at: None,
                declined: None,
                waiting: 0,
                shortage: None,
                demand: RateMeter::default(),
                written_at: ClockTime::default(),
            };
            self.budgets.insert(place, state);
            place
        });
        &mut self.budgets[place]
    }
}
