//! The promises that every state has to keep.

use guavawell_core::budget::TokenPool;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestIdentity;

use super::World;
use super::identity;
use super::model::GrantedAttempt;
use super::model::ReleaseState;

impl World {
    pub fn is_granted(&self, request: &RequestIdentity) -> bool {
        self.granted
            .iter()
            .any(|granted| identity(granted.request) == *request)
    }

    /// Whether the holder that the table names lacks an attempt that runs on
    /// the witnessed part. Its tokens would be granted a second time.
    fn is_forgotten(&self) -> bool {
        let mut holders = self.nodes.iter().flat_map(|node| &node.holders);
        let Some(present) = holders.find(|holder| holder.ledger().tenure == self.row.tenure) else {
            return false;
        };
        let is_unknown = |granted: &GrantedAttempt| {
            granted.grant.pool == TokenPool::Witnessed
                && granted.release == ReleaseState::Unasked
                && present
                    .ledger()
                    .request(&identity(granted.request))
                    .is_none()
        };
        self.granted.iter().any(is_unknown)
    }

    /// Whether an attempt was joined that never ran: its own ask was refused,
    /// or the holder that the table names has never heard of it.
    fn is_joined_in_vain(&self) -> bool {
        let mut holders = self.nodes.iter().flat_map(|node| &node.holders);
        let present = holders.find(|holder| holder.ledger().tenure == self.row.tenure);
        let is_known = |request: usize| {
            present.is_none_or(|holder| holder.ledger().request(&identity(request)).is_some())
        };
        self.heard.joined.iter().any(|joined| {
            let is_it = |granted: &&GrantedAttempt| (granted.request, granted.attempt) == *joined;
            match self.granted.iter().find(is_it) {
                Some(_) => false,
                None => !is_known(joined.0) || self.heard.refused.binary_search(joined).is_ok(),
            }
        })
    }

    /// The promise that this state breaks, if any.
    pub fn broken(&self) -> Option<&'static str> {
        let spent: TokenCount = self
            .granted
            .iter()
            .filter(|granted| granted.release == ReleaseState::Unasked)
            .map(|granted| granted.charged.unwrap_or(granted.grant.amount))
            .sum();
        if spent > self.budget.paid {
            return Some("overspend");
        }
        if !self.budget.is_balanced() {
            return Some("unbalanced row");
        }
        if self.is_forgotten() {
            return Some("a granted attempt is unknown to the present holder");
        }
        if self.heard.is_joined_late {
            return Some("a released attempt is joined");
        }
        if self.is_joined_in_vain() {
            return Some("an attempt is joined that never ran");
        }
        if self.mismatch {
            return Some("account mismatch");
        }
        let firsts = self
            .granted
            .iter()
            .filter(|granted| granted.grant.pool == TokenPool::Witnessed && granted.attempt == 0)
            .filter(|granted| granted.release == ReleaseState::Unasked);
        for first in firsts {
            // A later tenure's attempt is unknown to a former holder's float.
            let is_excused = |other: &GrantedAttempt| {
                first.request > 0
                    && other.grant.pool == TokenPool::Float
                    && other.grant.tenure != first.grant.tenure
            };
            let again = |other: &GrantedAttempt| {
                other.request == first.request
                    && other.attempt != first.attempt
                    && !is_excused(other)
            };
            if self.granted.iter().any(again) {
                return Some("granted twice");
            }
        }
        None
    }
}
