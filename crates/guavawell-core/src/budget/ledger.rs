//! The ledger of a slot: its budget accounts and the requests charged to them.
//!
//! The holder and its witness each keep a copy and apply the same entries, so that
//! a takeover continues from everything that the witness has acknowledged.

use serde::Deserialize;
use serde::Serialize;

use super::account::BudgetAccount;
use super::former::FormerHolder;
use super::message::ReserveGrant;
use super::message::TokenPool;
use super::record::LedgerEntry;
use super::row::FormerUse;
use super::slot::InstanceIncarnation;
use crate::id::AttemptId;
use crate::id::BackendId;
use crate::id::BudgetId;
use crate::id::SlotEpoch;
use crate::id::TokenCount;
use crate::request::RequestDigest;
use crate::request::RequestIdentity;

/// The ledger's record of one request.
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
    Reserved(ReservedAttempt),
    /// The request was charged.
    Settled(ChargedAttempt),
    /// The request is sealed: no attempt of it may start.
    Sealed,
}

/// An attempt that may be running, with the most that it may cost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReservedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The budget drawn on.
    pub budget: BudgetId,
    /// The pool drawn on.
    pub pool: TokenPool,
    /// The tenure it was reserved in; an attempt in the float of an earlier
    /// tenure counts against the frozen float.
    pub tenure: SlotEpoch,
    /// The reserved tokens.
    pub amount: TokenCount,
    /// The router that runs it.
    pub router: InstanceIncarnation,
    /// The backend server, if known.
    pub backend: Option<BackendId>,
    /// Digest of the request's content.
    pub digest: RequestDigest,
}

impl ReservedAttempt {
    /// Returns how much of `actual` is charged to this reservation if the attempt
    /// runs by `grant`: at most the reserved amount, and zero if another float pays.
    ///
    /// The pools differ if a witness that took over knew the attempt as reserved in
    /// the witnessed part while the former holder granted it from its float. That
    /// float pays for it, so the reservation ends without a charge. A reservation
    /// of a later tenure than a grant from the witnessed part pays from either
    /// pool: the granting holder is told to give its own one back.
    #[must_use]
    pub fn chargeable_tokens(&self, grant: &ReserveGrant, actual: TokenCount) -> TokenCount {
        let is_later = grant.pool == TokenPool::Witnessed && self.tenure > grant.tenure;
        if self.pool == grant.pool || is_later {
            actual.min(self.amount)
        } else {
            TokenCount::ZERO
        }
    }

    /// Whether the float of `tenure` pays for the attempt.
    pub(super) fn is_in_float_of(&self, tenure: SlotEpoch) -> bool {
        self.pool == TokenPool::Float && self.tenure == tenure
    }
}

/// The charge of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChargedAttempt {
    /// The attempt that was charged.
    pub attempt: AttemptId,
    /// The budget that was charged.
    pub budget: BudgetId,
    /// The pool that was charged.
    pub pool: TokenPool,
    /// The charge.
    pub charged: TokenCount,
    /// The backend server, if known.
    pub backend: Option<BackendId>,
    /// Digest of the request's content.
    pub digest: RequestDigest,
}

/// The whole ledger of a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotLedger {
    /// The tenure of the current holder.
    pub tenure: SlotEpoch,
    /// Use in tenures before this one is unknown.
    pub unknown_before: SlotEpoch,
    /// Holders of earlier tenures whose float pays for attempts, sorted by tenure.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub former_holders: Vec<FormerHolder>,
    /// Accounts, sorted by budget.
    pub accounts: Vec<BudgetAccount>,
    /// Requests, sorted by identity.
    pub requests: Vec<RequestEntry>,
}

impl SlotLedger {
    /// Creates an empty ledger for a holder whose tenure is `tenure`.
    #[must_use]
    pub const fn new(tenure: SlotEpoch) -> Self {
        Self {
            tenure,
            unknown_before: SlotEpoch::new(0),
            former_holders: Vec::new(),
            accounts: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// Creates the ledger of a holder that an operator appointed after both the
    /// former holder and its witness were lost.
    #[must_use]
    pub const fn after_loss(tenure: SlotEpoch) -> Self {
        let mut ledger = Self::new(tenure);
        ledger.unknown_before = tenure;
        ledger
    }

    /// The use of a budget in earlier tenures, as far as the ledger knows it.
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
        let index = self.account_index(budget).ok()?;
        Some(&self.accounts[index])
    }

    /// The account of a budget; creates an empty one for the current tenure if
    /// there is none.
    pub fn account_mut(&mut self, budget: &BudgetId) -> &mut BudgetAccount {
        let index = match self.account_index(budget) {
            Ok(index) => index,
            Err(index) => {
                let account = BudgetAccount::empty(budget.clone(), self.tenure);
                self.accounts.insert(index, account);
                index
            }
        };
        &mut self.accounts[index]
    }

    /// The state of a request, if it is known.
    #[must_use]
    pub fn request(&self, identity: &RequestIdentity) -> Option<&RequestState> {
        let index = self.request_index(identity).ok()?;
        Some(&self.requests[index].state)
    }

    /// Removes a request unless an attempt of it may still be running.
    fn forget(&mut self, identity: &RequestIdentity) {
        let Ok(index) = self.request_index(identity) else {
            return;
        };
        if !matches!(self.requests[index].state, RequestState::Reserved(_)) {
            self.requests.remove(index);
        }
    }

    /// Continues the ledger under a new holder. Counters restart at zero and the
    /// reservations in floats, which are frozen, no longer count in the accounts.
    /// Running attempts in the witnessed part keep their full reservation.
    pub fn begin_tenure(&mut self, tenure: SlotEpoch) {
        self.tenure = tenure;
        for account in &mut self.accounts {
            account.begin_tenure(tenure);
        }
    }

    /// Applies one entry. An entry that does not fit the ledger, such as the release
    /// of an attempt that is not reserved, changes nothing.
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
                let reserved = ReservedAttempt {
                    attempt: *attempt,
                    budget: budget.clone(),
                    pool: *pool,
                    tenure: self.tenure,
                    amount: *amount,
                    router: router.clone(),
                    backend: None,
                    digest: *digest,
                };
                self.reserve(identity, &reserved);
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

    fn reserve(&mut self, identity: &RequestIdentity, reserved: &ReservedAttempt) {
        match self.request_index(identity) {
            Ok(index) => {
                let state = &mut self.requests[index].state;
                let RequestState::Reserved(previous) = state else {
                    return;
                };
                let previous = previous.clone();
                *state = RequestState::Reserved(reserved.clone());
                self.unreserve(&previous);
            }
            Err(index) => {
                let entry = RequestEntry {
                    identity: identity.clone(),
                    state: RequestState::Reserved(reserved.clone()),
                };
                self.requests.insert(index, entry);
            }
        }
        self.account_mut(&reserved.budget)
            .add_reserved(reserved.pool, reserved.amount);
    }

    fn serve(&mut self, identity: &RequestIdentity, attempt: AttemptId, backend: &BackendId) {
        if let Some(reserved) = self.reserved_attempt_mut(identity, attempt) {
            reserved.backend = Some(backend.clone());
        }
    }

    fn settle(
        &mut self,
        identity: &RequestIdentity,
        attempt: AttemptId,
        charged: TokenCount,
        backend: Option<&BackendId>,
    ) {
        let Some(reserved) = self.reserved_attempt_mut(identity, attempt).cloned() else {
            return;
        };
        let charge = ChargedAttempt {
            attempt,
            budget: reserved.budget.clone(),
            pool: reserved.pool,
            charged,
            backend: backend.cloned().or_else(|| reserved.backend.clone()),
            digest: reserved.digest,
        };
        self.set_state(identity, RequestState::Settled(charge));
        self.unreserve(&reserved);
        if !self.is_frozen(&reserved) {
            let account = self.account_mut(&reserved.budget);
            account.counters.charge(reserved.pool, charged);
        }
    }

    /// Takes a charge back that nobody else knows: its attempt is reserved again.
    pub(super) fn reopen(&mut self, identity: &RequestIdentity, held: &ReservedAttempt) {
        let Some(RequestState::Settled(charge)) = self.request(identity) else {
            return;
        };
        if charge.attempt != held.attempt {
            return;
        }
        let charged = charge.charged;
        self.set_state(identity, RequestState::Reserved(held.clone()));
        if !self.is_frozen(held) {
            let account = self.account_mut(&held.budget);
            account.counters.refund(held.pool, charged);
            account.add_reserved(held.pool, held.amount);
        }
    }

    fn release(&mut self, identity: &RequestIdentity, attempt: AttemptId) {
        let Some(reserved) = self.reserved_attempt_mut(identity, attempt).cloned() else {
            return;
        };
        if let Ok(index) = self.request_index(identity) {
            self.requests.remove(index);
        }
        self.unreserve(&reserved);
    }

    fn seal(&mut self, identity: &RequestIdentity) {
        if let Err(index) = self.request_index(identity) {
            let entry = RequestEntry {
                identity: identity.clone(),
                state: RequestState::Sealed,
            };
            self.requests.insert(index, entry);
        }
    }

    /// Drops the counters of tenures before `tenure`, which the table includes now.
    fn rebase(&mut self, budget: &BudgetId, tenure: SlotEpoch) {
        let account = self.account_mut(budget);
        account.former.retain(|counters| counters.tenure >= tenure);
    }

    /// All attempts that may be running.
    pub fn reserved_attempts(&self) -> impl Iterator<Item = (&RequestIdentity, &ReservedAttempt)> {
        self.requests.iter().filter_map(|entry| match &entry.state {
            RequestState::Reserved(reserved) => Some((&entry.identity, reserved)),
            _ => None,
        })
    }

    /// All requests that were charged or sealed.
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

    /// All requests that were charged.
    pub fn charges(&self) -> impl Iterator<Item = (&RequestIdentity, &ChargedAttempt)> {
        self.requests.iter().filter_map(|entry| match &entry.state {
            RequestState::Settled(charge) => Some((&entry.identity, charge)),
            _ => None,
        })
    }

    /// Whether an attempt is paid for by the frozen float of an earlier tenure.
    #[must_use]
    pub fn is_frozen(&self, reserved: &ReservedAttempt) -> bool {
        reserved.pool == TokenPool::Float && reserved.tenure != self.tenure
    }

    fn unreserve(&mut self, reserved: &ReservedAttempt) {
        if !self.is_frozen(reserved) {
            self.account_mut(&reserved.budget)
                .subtract_reserved(reserved.pool, reserved.amount);
        }
    }

    fn set_state(&mut self, identity: &RequestIdentity, state: RequestState) {
        if let Ok(index) = self.request_index(identity) {
            self.requests[index].state = state;
        }
    }

    fn reserved_attempt_mut(
        &mut self,
        identity: &RequestIdentity,
        attempt: AttemptId,
    ) -> Option<&mut ReservedAttempt> {
        let index = self.request_index(identity).ok()?;
        match &mut self.requests[index].state {
            RequestState::Reserved(reserved) if reserved.attempt == attempt => Some(reserved),
            _ => None,
        }
    }

    fn account_index(&self, budget: &BudgetId) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|account| account.budget.cmp(budget))
    }

    fn request_index(&self, identity: &RequestIdentity) -> Result<usize, usize> {
        self.requests
            .binary_search_by(|entry| entry.identity.cmp(identity))
    }
}
