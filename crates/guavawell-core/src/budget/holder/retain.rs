//! How long charged and sealed requests are remembered.
//!
//! A charge is kept until its billing record is durable, however long the
//! object store is out: a takeover writes the records of what the ledger
//! remembers again. At the most that may be remembered, the oldest request
//! that waits for no record goes first; a charge without a durable record goes
//! only if nothing else is left. The driver stops reservations before that.

use super::RetainedRequest;
use super::SlotHolder;
use crate::budget::record::LedgerEntry;
use crate::clock::ClockTime;
use crate::request::RequestIdentity;

impl SlotHolder {
    pub(super) fn retain(&mut self, identity: &RequestIdentity, now: ClockTime) {
        self.retained.push_back(RetainedRequest {
            since: now,
            identity: identity.clone(),
            is_awaited: self.settings.is_journaled && self.ledger.is_charged(identity),
        });
    }

    /// Takes word that the records of `identities` (sorted) are durable.
    pub(super) fn take_durable(&mut self, identities: &[RequestIdentity]) {
        for retained in &mut self.retained {
            if retained.is_awaited && identities.binary_search(&retained.identity).is_ok() {
                retained.is_awaited = false;
            }
        }
    }

    pub(super) fn forget_old(&mut self, now: ClockTime) {
        while let Some(place) = self.forgettable(now) {
            let Some(oldest) = self.retained.remove(place) else {
                return;
            };
            self.record(LedgerEntry::Forget {
                identity: oldest.identity,
            });
        }
    }

    /// The place of the oldest request that may be forgotten now.
    fn forgettable(&self, now: ClockTime) -> Option<usize> {
        let is_over = self.retained.len() > self.settings.retained_most;
        let is_old =
            |retained: &RetainedRequest| now.since(retained.since) >= self.settings.retention;
        let place = self
            .retained
            .iter()
            .take_while(|retained| is_over || is_old(retained))
            .position(|retained| !retained.is_awaited);
        place.or(is_over.then_some(0))
    }
}
