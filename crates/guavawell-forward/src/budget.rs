//! Carries the book of budgets out: reservations that wait for the store, and
//! the writes that the book asks for.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use event_listener::EventListener;
use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::grant::BookSettings;
use guavawell_core::grant::BudgetFacts;
use guavawell_core::grant::BudgetRow;
use guavawell_core::grant::GrantBook;
use guavawell_core::grant::LineRow;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::TokenCount;
use guavawell_fleet::event::EventDraft;
use guavawell_fleet::event::EventLog;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::LocalExecutor;
use smol::Timer;

use crate::clock::SteadyClock;
use crate::clock::timer_span;
use crate::refuse::RefusalAnswer;
use crate::store::RowChanges;
use crate::store::RowKey;
use crate::store::RowState;
use crate::store::RowStore;
use crate::store::StoreFault;
use crate::store::WriteAnswer;

/// Table of the rows that bound what instances can have spent.
const LINE_TABLE: &str = "guavawell_lines";
/// Table of the organisations' budgets.
const BUDGET_TABLE: &str = "guavawell_budgets";
/// Key of the one row in each part of both tables.
const ROW_KEY: &str = "row";
/// Pause between looks at whether a row wants writing.
const LINE_TICK: Duration = Duration::from_millis(100);
/// Pause between looks at whether a budget's row wants writing or reading.
const BUDGET_TICK: Duration = Duration::from_millis(500);
/// Pause between questions for other instances' writes.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a failed call to the store.
const FAULT_PAUSE: Duration = Duration::from_millis(150);
/// Least and most time that a request waits for the store's answer.
const LEAST_PATIENCE_MS: u64 = 150;
/// See [`LEAST_PATIENCE_MS`].
const MOST_PATIENCE_MS: u64 = 900;
/// Answers of the store that a waiting request is given, as a multiple of
/// their usual time: one for the grant, one for the line, one for a conflict.
const PATIENCE_ANSWERS: u64 = 4;
/// Longest lock that a request sits out at an instance that is cut off: about
/// half of what callers expect until the first token.
const LOCK_PATIENCE: ClockSpan = ClockSpan::from_millis(250);
/// Retry-After where nothing tells when tokens will be there: about the time
/// in which an instance brings its grants up to date.
const RETRY_UNKNOWN: ClockSpan = ClockSpan::from_millis(700);
/// Retry-After at most, since a top-up may come at any time.
const RETRY_MOST: ClockSpan = ClockSpan::from_millis(5_000);

/// The budgets of this process.
#[derive(Debug)]
pub struct BudgetDesk {
    clock: SteadyClock,
    log: EventLog,
    store: RowStore,
    instance: InstanceId,
    book: RefCell<GrantBook>,
    /// Something in the book changed for the better.
    changed: Event,
    /// The lines want writing.
    line_bell: Event,
    /// Budgets' rows want writing.
    budget_bell: Event,
    /// Usual time of the store's answers, in milliseconds.
    answer_ms: Cell<u64>,
    /// The newest version that the store has told.
    newest: Cell<u64>,
    /// When the store began to fail, if it does.
    failing_since: Cell<Option<ClockTime>>,
}

/// Why a reservation was turned down.
#[derive(Clone, Debug)]
pub struct BudgetRefusal {
    /// The answer for the caller.
    pub answer: RefusalAnswer,
    /// What the book said last.
    pub cause: ReserveAnswer,
    /// What it was decided by.
    pub facts: BudgetFacts,
    /// How long the request waited for tokens.
    pub waited: ClockSpan,
    /// How long the store had failed to answer.
    pub store_away: ClockSpan,
}

/// Tokens that are set aside for one request.
#[derive(Debug)]
pub struct TokenReservation {
    desk: Rc<BudgetDesk>,
    organisation: OrganisationId,
    reserved: u64,
    spent: Cell<u64>,
}

impl TokenReservation {
    /// Tokens set aside, and spent so far.
    #[must_use]
    pub fn tokens(&self) -> (u64, u64) {
        (self.reserved, self.spent.get())
    }

    /// Tells what the request has spent so far, at most what was reserved.
    pub fn spend(&self, tokens: TokenCount) {
        self.spent.set(tokens.get().min(self.reserved));
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let mut book = self.desk.book.borrow_mut();
        book.settle(&self.organisation, self.reserved, self.spent.get());
    }
}

/// A request that waits for tokens.
struct WaitingRequest<'a> {
    desk: &'a BudgetDesk,
    organisation: &'a OrganisationId,
    tokens: u64,
}

impl<'a> WaitingRequest<'a> {
    fn new(desk: &'a BudgetDesk, organisation: &'a OrganisationId, tokens: u64) -> Self {
        desk.book.borrow_mut().wait(organisation, tokens, true);
        Self {
            desk,
            organisation,
            tokens,
        }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let mut book = self.desk.book.borrow_mut();
        book.wait(self.organisation, self.tokens, false);
    }
}

impl BudgetDesk {
    /// A desk that knows nothing yet.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        settings: BookSettings,
        clock: SteadyClock,
        log: EventLog,
        store: RowStore,
    ) -> Self {
        let nonce = fastrand::u64(1..);
        Self {
            clock,
            log,
            store,
            book: RefCell::new(GrantBook::new(instance.clone(), nonce, settings)),
            instance,
            changed: Event::new(),
            line_bell: Event::new(),
            budget_bell: Event::new(),
            answer_ms: Cell::new(20),
            newest: Cell::new(0),
            failing_since: Cell::new(None),
        }
    }

    /// The configuration says what an organisation paid.
    pub fn set_paid(&self, organisation: &OrganisationId, paid: u64, version: u64) {
        let mut book = self.book.borrow_mut();
        book.set_paid(organisation, paid, version);
        self.budget_bell.notify(usize::MAX);
    }

    /// Whether every budget was read once.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.book.borrow().is_open()
    }

    /// Instances that are known to hold grants.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.book.borrow().known_instances()
    }

    /// Sets the worst case of a request aside, and waits for the store where
    /// that can help within `time_left`.
    ///
    /// # Errors
    ///
    /// The refusal with which the caller is to be turned away.
    pub async fn reserve(
        self: &Rc<Self>,
        organisation: &OrganisationId,
        worst: TokenCount,
        time_left: ClockSpan,
    ) -> Result<TokenReservation, BudgetRefusal> {
        let tokens = worst.get();
        let began = self.clock.now();
        let patience = self.patience(time_left);
        let mut waiting = None;
        loop {
            let changed = self.changed.listen();
            let answer = self.ask(organisation, tokens);
            if answer == ReserveAnswer::Granted {
                return Ok(self.reservation(organisation, tokens));
            }
            let waited = self.clock.now().since(began);
            let pause = self
                .pause(answer, patience, waited)
                .map_err(|refusal| self.explain(refusal, answer, organisation, waited))?;
            if waiting.is_none() {
                waiting = Some(WaitingRequest::new(self, organisation, tokens));
                self.budget_bell.notify(usize::MAX);
                self.line_bell.notify(usize::MAX);
            }
            wait_until(changed, timer_span(pause)).await;
        }
    }

    fn explain(
        &self,
        answer: RefusalAnswer,
        cause: ReserveAnswer,
        organisation: &OrganisationId,
        waited: ClockSpan,
    ) -> BudgetRefusal {
        let now = self.clock.now();
        let since = self.failing_since.get();
        BudgetRefusal {
            answer,
            cause,
            facts: self.book.borrow().facts(organisation, now),
            waited,
            store_away: since.map_or(ClockSpan::default(), |since| now.since(since)),
        }
    }

    fn ask(&self, organisation: &OrganisationId, tokens: u64) -> ReserveAnswer {
        let now = self.clock.now();
        let mut book = self.book.borrow_mut();
        book.reserve(organisation, tokens, now)
    }

    fn reservation(self: &Rc<Self>, id: &OrganisationId, tokens: u64) -> TokenReservation {
        TokenReservation {
            desk: Rc::clone(self),
            organisation: id.clone(),
            reserved: tokens,
            spent: Cell::new(0),
        }
    }

    /// How long a request waits for the store.
    fn patience(&self, time_left: ClockSpan) -> ClockSpan {
        let usual = self.answer_ms.get() * PATIENCE_ANSWERS;
        let most = usual.clamp(LEAST_PATIENCE_MS, MOST_PATIENCE_MS);
        ClockSpan::from_millis(most.min(time_left.as_millis() / 3))
    }

    /// How long to wait before asking again.
    fn pause(
        &self,
        answer: ReserveAnswer,
        patience: ClockSpan,
        waited: ClockSpan,
    ) -> Result<ClockSpan, RefusalAnswer> {
        let cut_off = self.is_cut_off();
        let refuse =
            |after| Err(RefusalAnswer::new(ForwardRefusal::BudgetUnavailable).after(after));
        let left = ClockSpan::from_millis(patience.as_millis().saturating_sub(waited.as_millis()));
        match answer {
            ReserveAnswer::Exhausted => {
                let refusal = RefusalAnswer::new(ForwardRefusal::BudgetExhausted);
                Err(refusal.after(RETRY_MOST))
            }
            ReserveAnswer::Drained => refuse(RETRY_UNKNOWN),
            ReserveAnswer::Locked(span)
                if span <= LOCK_PATIENCE && waited < patience_of_lock(patience) =>
            {
                Ok(span.max(MILLISECOND))
            }
            ReserveAnswer::Locked(span) if cut_off || left <= MILLISECOND => {
                refuse(span.min(RETRY_MOST))
            }
            ReserveAnswer::Locked(span) => Ok(span.min(left)),
            _ if cut_off || left <= MILLISECOND => refuse(RETRY_UNKNOWN),
            _ => Ok(left),
        }
    }

    /// Whether the store has failed for longer than a request would wait.
    fn is_cut_off(&self) -> bool {
        let now = self.clock.now();
        let patience = ClockSpan::from_millis(LEAST_PATIENCE_MS);
        let since = self.failing_since.get();
        since.is_some_and(|since| now.since(since) >= patience)
    }

    /// Starts the tasks that write rows.
    pub fn start(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>) {
        let desk = Rc::clone(self);
        let spawner = Rc::clone(executor);
        let lines = async move {
            desk.open_lines().await;
            let budgets = Rc::clone(&desk);
            let spawner_of_rows = Rc::clone(&spawner);
            spawner
                .spawn(async move { budgets.watch_budgets(&spawner_of_rows).await })
                .detach();
            let follower = Rc::clone(&desk);
            spawner
                .spawn(async move { follower.follow_budgets().await })
                .detach();
            desk.write_lines().await;
        };
        executor.spawn(lines).detach();
    }

    /// Begins this boot in the instance's row, however long it takes.
    async fn open_lines(&self) {
        loop {
            if self.begin_boot().await {
                let boot = self.book.borrow().boot();
                let draft = EventDraft::new("budget.boot").field("boot", boot);
                self.log.emit(draft);
                return;
            }
            Timer::after(FAULT_PAUSE).await;
        }
    }

    /// One try to begin this boot; true once the store has confirmed it.
    async fn begin_boot(&self) -> bool {
        if !self.read_lines().await {
            return false;
        }
        if self.book.borrow().boot() > 0 {
            return true;
        }
        let Some(row) = self.book.borrow().first_lines(self.clock.now()) else {
            return false;
        };
        self.put_lines(row).await && self.book.borrow().boot() > 0
    }

    /// Keeps the lines up to date.
    async fn write_lines(&self) {
        loop {
            let bell = self.line_bell.listen();
            let done = self.write_lines_once().await;
            if done {
                wait_until(bell, LINE_TICK).await;
            } else {
                Timer::after(FAULT_PAUSE).await;
            }
        }
    }

    /// Writes the lines if they want writing; false if the store failed.
    async fn write_lines_once(&self) -> bool {
        if self.book.borrow().lines_unsure() && !self.read_lines().await {
            return false;
        }
        let Some(row) = self.book.borrow().next_lines(self.clock.now()) else {
            return true;
        };
        self.put_lines(row).await
    }

    async fn read_lines(&self) -> bool {
        let answer = (self.store.read)(self.line_key()).await;
        let Some(state) = self.note_read("lines", answer) else {
            return false;
        };
        let Some(row) = self.decode::<LineRow>(&self.line_key(), &state) else {
            return false;
        };
        self.take_lines(state.version, row)
    }

    fn take_lines(&self, version: u64, row: Option<LineRow>) -> bool {
        let own = self.book.borrow_mut().saw_lines(version, row);
        self.changed.notify(usize::MAX);
        if !own {
            log::error!("another boot of {} has taken its row over", self.instance);
        }
        own
    }

    async fn put_lines(&self, row: LineRow) -> bool {
        let Some(bytes) = encode(&row) else {
            return false;
        };
        let version = self.book.borrow().lines_version();
        self.book.borrow_mut().sent_lines(row, self.clock.now());
        let answer = (self.store.write)(self.line_key(), version, bytes).await;
        metrics::counter!("guavawell_forward_line_writes_total").increment(1);
        match self.note_write("lines", answer) {
            Ok(WriteAnswer::Done(version, _)) => {
                self.book.borrow_mut().wrote_lines(version);
                self.changed.notify(usize::MAX);
                true
            }
            Ok(WriteAnswer::Changed(state)) => {
                self.book.borrow_mut().dropped_lines();
                let row = self.decode::<LineRow>(&self.line_key(), &state);
                row.is_some_and(|row| self.take_lines(state.version, row))
            }
            Err(StoreFault::NotDone(_) | StoreFault::HistoryGone) => {
                self.book.borrow_mut().dropped_lines();
                false
            }
            Err(StoreFault::Unknown(_)) => false,
        }
    }

    /// Starts a task for each budget as it becomes known.
    async fn watch_budgets(self: Rc<Self>, executor: &Rc<LocalExecutor<'static>>) {
        let mut watched: Vec<OrganisationId> = Vec::new();
        loop {
            let bell = self.budget_bell.listen();
            let known: Vec<OrganisationId> = self.book.borrow().organisations().cloned().collect();
            for id in known {
                if let Err(place) = watched.binary_search(&id) {
                    watched.insert(place, id.clone());
                    let desk = Rc::clone(&self);
                    executor
                        .spawn(async move { desk.keep_budget(&id).await })
                        .detach();
                }
            }
            bell.await;
        }
    }

    /// Follows what other instances write, so that this one knows their needs
    /// and seldom writes in vain.
    async fn follow_budgets(&self) {
        let mut since = self.newest.get();
        loop {
            Timer::after(FOLLOW_PAUSE).await;
            let now = self.clock.now();
            match (self.store.changes)(BUDGET_TABLE, since).await {
                Ok(changes) => {
                    since = changes.newest;
                    self.take_changes(&changes);
                }
                Err(StoreFault::HistoryGone) => {
                    // What was missed shows when a write is turned down.
                    since = self.newest.get();
                }
                Err(fault) => self.note_fault("changes", &fault, now),
            }
        }
    }

    fn take_changes(&self, changes: &RowChanges) {
        for (part, state) in &changes.rows {
            let Ok(id) = part.parse::<OrganisationId>() else {
                continue;
            };
            self.newest.set(self.newest.get().max(state.version));
            let known = self.book.borrow().budget_version(&id);
            if state.version > known && known > 0 && self.take_budget(&id, state) {
                self.budget_bell.notify(usize::MAX);
            }
        }
    }

    /// Keeps one budget's row up to date.
    async fn keep_budget(&self, id: &OrganisationId) {
        loop {
            let bell = self.budget_bell.listen();
            if self.keep_budget_once(id).await {
                wait_until(bell, BUDGET_TICK).await;
            } else {
                Timer::after(FAULT_PAUSE).await;
            }
        }
    }

    /// Brings one budget's row up to date; false if the store failed or the
    /// row changed meanwhile.
    async fn keep_budget_once(&self, id: &OrganisationId) -> bool {
        let unsure = self.book.borrow().budget_unsure(id);
        if unsure && !self.read_budget(id).await {
            return false;
        }
        for _ in 0..MAX_CONFLICTS {
            let Some(row) = self.book.borrow().next_budget(id, self.clock.now()) else {
                return true;
            };
            match self.put_budget(id, row).await {
                PutEnd::Written => return true,
                PutEnd::Failed => return false,
                PutEnd::Changed => {}
            }
        }
        false
    }

    async fn read_budget(&self, id: &OrganisationId) -> bool {
        let answer = (self.store.read)(budget_key(id)).await;
        let Some(state) = self.note_read("budget", answer) else {
            return false;
        };
        self.take_budget(id, &state)
    }

    fn take_budget(&self, id: &OrganisationId, state: &RowState) -> bool {
        let Some(row) = self.decode::<BudgetRow>(&budget_key(id), state) else {
            return false;
        };
        self.book.borrow_mut().saw_budget(id, state.version, row);
        self.changed.notify(usize::MAX);
        true
    }

    async fn put_budget(&self, id: &OrganisationId, row: BudgetRow) -> PutEnd {
        let Some(bytes) = encode(&row) else {
            return PutEnd::Failed;
        };
        let version = self.book.borrow().budget_version(id);
        let before = self.book.borrow().granted(id);
        self.book
            .borrow_mut()
            .sent_budget(id, row, self.clock.now());
        let answer = (self.store.write)(budget_key(id), version, bytes).await;
        metrics::counter!("guavawell_forward_budget_writes_total").increment(1);
        match self.note_write("budget", answer) {
            Ok(WriteAnswer::Done(version, _)) => {
                self.book.borrow_mut().wrote_budget(id, version);
                self.changed.notify(usize::MAX);
                self.line_bell.notify(usize::MAX);
                self.note_grant(id, before, version);
                PutEnd::Written
            }
            Ok(WriteAnswer::Changed(state)) => {
                self.book.borrow_mut().dropped_budget(id);
                if self.take_budget(id, &state) {
                    PutEnd::Changed
                } else {
                    PutEnd::Failed
                }
            }
            Err(StoreFault::NotDone(_) | StoreFault::HistoryGone) => {
                self.book.borrow_mut().dropped_budget(id);
                PutEnd::Failed
            }
            Err(StoreFault::Unknown(_)) => PutEnd::Failed,
        }
    }

    fn note_grant(&self, id: &OrganisationId, before: u64, version: u64) {
        let facts = self.book.borrow().facts(id, self.clock.now());
        let draft = EventDraft::new("budget.granted")
            .organisation(id)
            .field("before", before)
            .field("grant", facts.grant)
            .field("used", facts.used)
            .field("paid", facts.paid)
            .field("closed", facts.closed)
            .field("committed", facts.committed)
            .field("row", version);
        self.log.emit(draft);
    }

    /// Gives every grant back: the process is about to end.
    pub async fn give_back(&self) {
        self.book.borrow_mut().leave();
        let ids: Vec<OrganisationId> = self.book.borrow().organisations().cloned().collect();
        for id in ids {
            for _ in 0..MAX_CONFLICTS {
                let unsure = self.book.borrow().budget_unsure(&id);
                if unsure && !self.read_budget(&id).await {
                    break;
                }
                let Some(row) = self.book.borrow().last_budget(&id) else {
                    break;
                };
                if self.put_budget(&id, row).await != PutEnd::Changed {
                    break;
                }
            }
        }
    }

    fn line_key(&self) -> RowKey {
        RowKey {
            table: LINE_TABLE,
            part: self.instance.as_str().into(),
            key: ROW_KEY.into(),
        }
    }

    /// Takes note of how the store does; gives the state that was read.
    fn note_read(&self, what: &str, answer: Result<RowState, StoreFault>) -> Option<RowState> {
        let now = self.clock.now();
        match answer {
            Ok(state) => {
                self.note_answer(what, state.time, now);
                self.newest.set(self.newest.get().max(state.newest));
                Some(state)
            }
            Err(fault) => {
                self.note_fault(what, &fault, now);
                None
            }
        }
    }

    fn note_write(
        &self,
        what: &str,
        answer: Result<WriteAnswer, StoreFault>,
    ) -> Result<WriteAnswer, StoreFault> {
        let now = self.clock.now();
        match &answer {
            Ok(WriteAnswer::Done(version, time)) => {
                self.newest.set(self.newest.get().max(*version));
                self.note_answer(what, *time, now);
            }
            Ok(WriteAnswer::Changed(state)) => self.note_answer(what, state.time, now),
            Err(fault) => self.note_fault(what, fault, now),
        }
        answer
    }

    fn note_answer(&self, what: &str, time: Option<ClockTime>, now: ClockTime) {
        if let Some(time) = time {
            self.book.borrow_mut().tell_time(time, now);
        }
        if let Some(since) = self.failing_since.take() {
            let draft = EventDraft::new("store.regained")
                .field("call", what)
                .field("away_ms", now.since(since).as_millis());
            self.log.emit(draft);
        }
    }

    fn note_fault(&self, what: &str, fault: &StoreFault, now: ClockTime) {
        metrics::counter!("guavawell_forward_store_faults_total").increment(1);
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
            let draft = EventDraft::new("store.lost")
                .field("call", what)
                .field("fault", fault);
            self.log.emit(draft);
        }
    }

    /// The row in a state, `Some(None)` if there is none. A value that does
    /// not decode is left alone: nothing is spent by it and nothing written
    /// over it.
    fn decode<T: DeserializeOwned>(&self, key: &RowKey, state: &RowState) -> Option<Option<T>> {
        let Some(value) = &state.value else {
            return Some(None);
        };
        match serde_json::from_slice(value) {
            Ok(row) => Some(Some(row)),
            Err(error) => {
                let draft = EventDraft::new("store.row_unreadable")
                    .field("row", key)
                    .field("version", state.version)
                    .field("error", error);
                self.log.emit(draft);
                None
            }
        }
    }
}

/// Times that a row is written again after it changed meanwhile.
const MAX_CONFLICTS: usize = 5;
/// The shortest wait.
const MILLISECOND: ClockSpan = ClockSpan::from_millis(1);

/// A request that others overtake at the line waits no longer than this.
fn patience_of_lock(patience: ClockSpan) -> ClockSpan {
    patience.max(LOCK_PATIENCE)
}

/// How a write of a budget's row ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PutEnd {
    Written,
    Changed,
    Failed,
}

fn budget_key(id: &OrganisationId) -> RowKey {
    RowKey {
        table: BUDGET_TABLE,
        part: id.as_str().into(),
        key: ROW_KEY.into(),
    }
}

fn encode(row: &impl Serialize) -> Option<Vec<u8>> {
    let encoded = serde_json::to_vec(row);
    encoded
        .inspect_err(|error| log::error!("a row cannot be encoded: {error}"))
        .ok()
}

async fn wait_until(bell: EventListener, limit: Duration) {
    let late = async {
        Timer::after(limit).await;
    };
    bell.or(late).await;
}
