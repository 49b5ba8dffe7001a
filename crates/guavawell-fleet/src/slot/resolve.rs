//! Attempts that a dead router left behind: the backend server's record decides.

use std::sync::Arc;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::ReservedAttempt;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::SlotId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestIdentity;

use super::acquire::is_alive;
use super::driver::SlotDriver;
use super::seat::SlotSeat;
use super::settle::RunCharge;

/// What the backend server's record says of an attempt left behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResolvedAttempt {
    /// It ended whole and used this many tokens.
    Done(TokenCount),
    /// It was cancelled, or never arrived and is marked so.
    NotRun,
    /// It runs still, or nothing is known: it stays held at its worst case.
    InDoubt,
}

/// An attempt whose router is gone.
#[derive(Clone, Debug)]
pub struct OrphanedAttempt {
    /// The request.
    pub identity: RequestIdentity,
    /// The slot that holds it; of another zone where this router took it over.
    pub slot: SlotId,
    /// What the ledger knows.
    pub held: ReservedAttempt,
    /// The holder that answers for it.
    pub holder: InstanceIncarnation,
}

impl OrphanedAttempt {
    fn grant(&self) -> ReserveGrant {
        ReserveGrant {
            holder: self.holder.clone(),
            tenure: self.held.tenure,
            pool: self.held.pool,
            amount: self.held.amount,
        }
    }
}

impl SlotDriver {
    /// Attempts held here whose routers are gone.
    #[must_use]
    pub fn orphans(&self) -> Vec<OrphanedAttempt> {
        let members = (self.parts.members)();
        let mut orphans = Vec::new();
        for seat in self.seats().iter() {
            collect(seat, &mut orphans, |router| is_alive(&members, router));
        }
        orphans
    }

    /// Settles or releases an orphaned attempt as its record says.
    pub async fn resolve(self: &Arc<Self>, orphan: &OrphanedAttempt, found: ResolvedAttempt) {
        match found {
            ResolvedAttempt::InDoubt => {}
            ResolvedAttempt::NotRun => {
                let ask = ReleaseRequest {
                    identity: orphan.identity.clone(),
                    attempt: orphan.held.attempt,
                    before: None,
                };
                self.release_granted(orphan.slot.clone(), ask, &orphan.grant());
            }
            ResolvedAttempt::Done(actual) => {
                let ask = SettleRequest {
                    identity: orphan.identity.clone(),
                    attempt: orphan.held.attempt,
                    grant: orphan.grant(),
                    actual,
                    backend: orphan.held.backend.clone(),
                };
                let budget = orphan.held.budget.clone();
                let slot = orphan.slot.clone();
                self.settle(RunCharge { ask, slot, budget }).await;
            }
        }
    }
}

pub(super) fn collect(
    seat: &SlotSeat,
    orphans: &mut Vec<OrphanedAttempt>,
    is_alive: impl Fn(&InstanceIncarnation) -> bool,
) {
    let state = seat.lock();
    let Some(holder) = state.present() else {
        return;
    };
    let held = holder.ledger().reserved_attempts();
    let gone = held.filter(|(_, held)| !is_alive(&held.router));
    orphans.extend(gone.map(|(identity, held)| OrphanedAttempt {
        identity: identity.clone(),
        slot: seat.slot.clone(),
        held: held.clone(),
        holder: holder.granter(held).unwrap_or(&holder.row().holder).clone(),
    }));
}
