//! The row that bounds what an instance can have spent.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::ClockTime;
use crate::id::OrganisationId;

/// Ended boots whose grants are still to be given back; older ones freeze.
const MAX_CLOSED: usize = 6;

/// The bound for one organisation: at the store's time `t` at most
/// `spent + burst + rate x (t - at)` tokens, with `at` of the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendLine {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens reserved or spent by this boot when the row was written.
    pub spent: u64,
    /// Tokens beyond that may be spent at once.
    pub burst: u64,
    /// Tokens a second that may be spent beyond both.
    pub rate: u64,
}

/// An ended boot of an instance and what it spent at most.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedBoot {
    /// The boot's number.
    pub boot: u64,
    /// Tokens spent at most, sorted by organisation.
    pub spent: Vec<(OrganisationId, u64)>,
}

impl ClosedBoot {
    /// The most that the boot can have spent of an organisation's tokens.
    #[must_use]
    pub fn spent_of(&self, organisation: &OrganisationId) -> u64 {
        let place = self.spent.binary_search_by(|(id, _)| id.cmp(organisation));
        place.map_or(0, |place| self.spent[place].1)
    }
}

/// The row of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineRow {
    /// Number of the boot that may spend by this row.
    pub boot: u64,
    /// A random number of that boot, to tell two claimants of one number apart.
    pub nonce: u64,
    /// The store's time at which the lines begin.
    pub at: ClockTime,
    /// Sorted by organisation; one that is missing may not be spent.
    pub lines: Vec<SpendLine>,
    /// Earlier boots whose grants may still stand in organisations' rows.
    pub closed: Vec<ClosedBoot>,
}

impl LineRow {
    /// The most that the boot may have spent at the store's time `now`.
    #[must_use]
    pub fn allowance(&self, organisation: &OrganisationId, now: ClockTime) -> u64 {
        let place = self
            .lines
            .binary_search_by(|line| line.organisation.cmp(organisation));
        let Ok(place) = place else {
            return 0;
        };
        let line = &self.lines[place];
        let unlocked = line.rate.saturating_mul(now.since(self.at).as_millis()) / 1_000;
        line.spent
            .saturating_add(line.burst)
            .saturating_add(unlocked)
    }

    /// The first row of the next boot. `now` is the store's time, told by an
    /// answer to a call that was sent after this boot had ended.
    #[must_use]
    pub fn succeed(&self, nonce: u64, now: ClockTime) -> Self {
        let spent = self.lines.iter().map(|line| {
            let most = self.allowance(&line.organisation, now);
            (line.organisation.clone(), most)
        });
        let ended = ClosedBoot {
            boot: self.boot,
            spent: spent.collect(),
        };
        let mut closed = self.closed.clone();
        if self.boot > 0 {
            closed.push(ended);
        }
        let surplus = closed.len().saturating_sub(MAX_CLOSED);
        closed.drain(..surplus);
        Self {
            boot: self.boot + 1,
            nonce,
            at: now,
            lines: Vec::new(),
            closed,
        }
    }
}
