//! The ledger of a slot: what its holder did and its witness knows.
//!
//! The holder and the witness apply the same entries to the same type, so
//! that a takeover goes on from what was acknowledged.

use serde::Deserialize;
use serde::Serialize;

use super::account::BudgetAccount;
use super::message::TokenPool;
use super::record::LedgerEntry;
use super::row::FormerUse;
use super::slot::InstanceLife;
use crate::id::AttemptId;
use crate::id::BackendId;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;
use crate::request::RequestDigest;
use crate::request::RequestIdentity;

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestEntry {
    /// The request.
    pub identity: RequestIdentity,
    /// Its state.
    pub state: RequestState,
}

/// The state of a request in a slot's ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// An attempt may be running.
    Reserved(HeldAttempt),
    /// The request was charged.
    Settled(ChargedAttempt),
    /// The request never runs.
    Sealed,
}

/// An attempt that may be running, at its worst case.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The budget drawn on.
    pub budget: BudgetId,
    /// The pool drawn on.
    pub pool: TokenPool,
    /// The tenure it was reserved under; a float attempt of a former tenure
    /// belongs to the frozen float.
    pub tenure: SlotEpoch,
    /// The reserved tokens.
    pub amount: TokenCount,
    /// The router that runs it.
    pub router: InstanceLife,
    /// The backend server, where it is known.
    pub backend: Option<BackendId>,
    /// What is asked.
    pub digest: RequestDigest,
}

impl HeldAttempt {
    /// What a charge of `actual` to `pool` takes here.
    ///
    /// An attempt that its router was granted from a float, while the witness
    /// had it as its own part, was paid by the former holder's float: here it
    /// only ends.
    #[must_use]
    pub fn owes(&self, pool: TokenPool, actual: TokenCount) -> TokenCount {
        if self.pool == pool {
            actual.min(self.amount)
        } else {
            TokenCount::ZERO
        }
    }
}

/// The charge of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChargedAttempt {
    /// The attempt that was charged.
    pub attempt: AttemptId,
    /// The budget that was charged.
    pub budget: BudgetId,
    /// The pool that paid.
    pub pool: TokenPool,
    /// The charge.
    pub charged: TokenCount,
    /// The backend server, where it is known.
    pub backend: Option<BackendId>,
    /// What was asked.
    pub digest: RequestDigest,
}

/// The whole ledger of a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotLedger {
    /// The holder's tenure.
    pub tenure: SlotEpoch,
    /// Of tenures before this one nothing is known.
    pub unknown_before: SlotEpoch,
    /// Accounts, sorted by budget.
    pub accounts: Vec<BudgetAccount>,
    /// Requests, sorted by identity.
    pub requests: Vec<RequestEntry>,
}

impl SlotLedger {
    /// An empty ledger of a holder that begins at `tenure`.
    #[must_use]
    pub const fn new(tenure: SlotEpoch) -> Self {
        Self {
            tenure,
            unknown_before: SlotEpoch::new(0),
            accounts: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// The ledger of a holder that an operator's word put in the place of a
    /// destroyed holder and witness.
    #[must_use]
    pub const fn after_loss(tenure: SlotEpoch) -> Self {
        let mut ledger = Self::new(tenure);
        ledger.unknown_before = tenure;
        ledger
    }

    /// What the ledger knows of former tenures' use of a budget.
    #[must_use]
    pub fn former_use(&self, budget: &BudgetId) -> FormerUse {
        FormerUse {
            unknown_before: self.unknown_before,
            counters: self
                .account(budget)
                .map(|account| account.former.clone())
                .unwrap_or_default(),
        }
    }

    /// The account of a budget, if it has one.
    #[must_use]
    pub fn account(&self, budget: &BudgetId) -> Option<&BudgetAccount> {
        let place = self.account_place(budget).ok()?;
        Some(&self.accounts[place])
    }

    /// The account of a budget, made empty under the present tenure if new.
    pub fn account_mut(&mut self, budget: &BudgetId) -> &mut BudgetAccount {
        let place = match self.account_place(budget) {
            Ok(place) => place,
            Err(place) => {
                let account = BudgetAccount::empty(budget.clone(), self.tenure);
                self.accounts.insert(place, account);
                place
            }
        };
        &mut self.accounts[place]
    }

    /// The state of a request, if it is known.
    #[must_use]
    pub fn request(&self, identity: &RequestIdentity) -> Option<&RequestState> {
        let place = self.request_place(identity).ok()?;
        Some(&self.requests[place].state)
    }

    fn forget(&mut self, identity: &RequestIdentity) {
        let Ok(place) = self.request_place(identity) else {
            return;
        };
        if !matches!(self.requests[place].state, RequestState::Reserved(_)) {
            self.requests.remove(place);
        }
    }

    /// Goes on under a new holder: counters start anew, floats freeze, and
    /// running attempts of the witnessed part stay at their worst case.
    pub fn begin_tenure(&mut self, tenure: SlotEpoch) {
        self.tenure = tenure;
        for account in &mut self.accounts {
            account.begin_tenure(tenure);
        }
    }

    /// Applies one entry. An entry that does not fit the ledger (an attempt
    /// released before, a request charged before) changes nothing.
    pub fn apply(&mut self, entry: &LedgerEntry) {
        match entry {
            LedgerEntry::Reserve {
                identity,
                attempt,
                budget,
                pool,
                amount,
                router,
                digest,
            } => {
                let held = HeldAttempt {
                    attempt: *attempt,
                    budget: budget.clone(),
                    pool: *pool,
                    tenure: self.tenure,
                    amount: *amount,
                    router: router.clone(),
                    backend: None,
                    digest: *digest,
                };
                self.reserve(identity, &held);
            }
            LedgerEntry::Serve {
                identity,
                attempt,
                backend,
            } => self.serve(identity, *attempt, backend),
            LedgerEntry::Settle {
                identity,
                attempt,
                charged,
                backend,
            } => self.settle(identity, *attempt, *charged, backend.as_ref()),
            LedgerEntry::Release { identity, attempt } => self.release(identity, *attempt),
            LedgerEntry::Seal { identity } => self.seal(identity),
            LedgerEntry::Forget { identity } => self.forget(identity),
            LedgerEntry::RaiseFloat { budget, tokens } => {
                let account = self.account_mut(budget);
                account.counters.float = account.counters.float.saturating_add(*tokens);
            }
            LedgerEntry::LowerFloat { budget, tokens } => {
                let account = self.account_mut(budget);
                account.counters.float = account.counters.float.saturating_sub(*tokens);
            }
            LedgerEntry::Rebase { budget, tenure } => self.rebase(budget, *tenure),
        }
    }

    fn reserve(&mut self, identity: &RequestIdentity, held: &HeldAttempt) {
        match self.request_place(identity) {
            Ok(place) => {
                let state = &mut self.requests[place].state;
                let RequestState::Reserved(former) = state else {
                    return;
                };
                let former = former.clone();
                *state = RequestState::Reserved(held.clone());
                self.free(&former);
            }
            Err(place) => {
                let entry = RequestEntry {
                    identity: identity.clone(),
                    state: RequestState::Reserved(held.clone()),
                };
                self.requests.insert(place, entry);
            }
        }
        self.account_mut(&held.budget).hold(held.pool, held.amount);
    }

    fn serve(&mut self, identity: &RequestIdentity, attempt: AttemptId, backend: &BackendId) {
        if let Some(held) = self.held_mut(identity, attempt) {
            held.backend = Some(backend.clone());
        }
    }

    fn settle(
        &mut self,
        identity: &RequestIdentity,
        attempt: AttemptId,
        charged: TokenCount,
        backend: Option<&BackendId>,
    ) {
        let Some(held) = self.held_mut(identity, attempt).cloned() else {
            return;
        };
        let charge = ChargedAttempt {
            attempt,
            budget: held.budget.clone(),
            pool: held.pool,
            charged,
            backend: backend.cloned().or_else(|| held.backend.clone()),
            digest: held.digest,
        };
        self.replace(identity, RequestState::Settled(charge));
        self.free(&held);
        if !self.is_frozen(&held) {
            let account = self.account_mut(&held.budget);
            account.counters.charge(held.pool, charged);
        }
    }

    fn release(&mut self, identity: &RequestIdentity, attempt: AttemptId) {
        let Some(held) = self.held_mut(identity, attempt).cloned() else {
            return;
        };
        if let Ok(place) = self.request_place(identity) {
            self.requests.remove(place);
        }
        self.free(&held);
    }

    fn seal(&mut self, identity: &RequestIdentity) {
        if let Err(place) = self.request_place(identity) {
            let entry = RequestEntry {
                identity: identity.clone(),
                state: RequestState::Sealed,
            };
            self.requests.insert(place, entry);
        }
    }

    fn rebase(&mut self, budget: &BudgetId, tenure: SlotEpoch) {
        let account = self.account_mut(budget);
        account.former.retain(|counters| counters.tenure >= tenure);
    }

    /// Every attempt that may be running.
    pub fn held_attempts(&self) -> impl Iterator<Item = (&RequestIdentity, &HeldAttempt)> {
        self.requests.iter().filter_map(|entry| match &entry.state {
            RequestState::Reserved(held) => Some((&entry.identity, held)),
            _ => None,
        })
    }

    /// Every request that was charged or sealed.
    pub fn ended_requests(&self) -> impl Iterator<Item = &RequestIdentity> {
        self.requests
            .iter()
            .filter(|entry| !matches!(entry.state, RequestState::Reserved(_)))
            .map(|entry| &entry.identity)
    }

    /// Whether a request was charged.
    #[must_use]
    pub fn is_charged(&self, identity: &RequestIdentity) -> bool {
        matches!(self.request(identity), Some(RequestState::Settled(_)))
    }

    /// Every request that was charged.
    pub fn charges(&self) -> impl Iterator<Item = (&RequestIdentity, &ChargedAttempt)> {
        self.requests.iter().filter_map(|entry| match &entry.state {
            RequestState::Settled(charge) => Some((&entry.identity, charge)),
            _ => None,
        })
    }

    /// Whether an attempt is paid from a float that a takeover froze.
    #[must_use]
    pub fn is_frozen(&self, held: &HeldAttempt) -> bool {
        held.pool == TokenPool::Float && held.tenure != self.tenure
    }

    fn free(&mut self, held: &HeldAttempt) {
        if !self.is_frozen(held) {
            self.account_mut(&held.budget).free(held.pool, held.amount);
        }
    }

    fn replace(&mut self, identity: &RequestIdentity, state: RequestState) {
        if let Ok(place) = self.request_place(identity) {
            self.requests[place].state = state;
        }
    }

    fn held_mut(
        &mut self,
        identity: &RequestIdentity,
        attempt: AttemptId,
    ) -> Option<&mut HeldAttempt> {
        let place = self.request_place(identity).ok()?;
        match &mut self.requests[place].state {
            RequestState::Reserved(held) if held.attempt == attempt => Some(held),
            _ => None,
        }
    }

    fn account_place(&self, budget: &BudgetId) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|account| account.budget.cmp(budget))
    }

    fn request_place(&self, identity: &RequestIdentity) -> Result<usize, usize> {
        self.requests
            .binary_search_by(|entry| entry.identity.cmp(identity))
    }
}
