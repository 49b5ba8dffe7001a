//! Retry budgets: retries and hedges as a fraction of what succeeds.
//!
//! In a brown-out few requests succeed, so few retries are paid for and the
//! load on the servers stays near the offered load.

use crate::atomic::AtomicU64;
use crate::atomic::Ordering;

/// Parts of one retry in the account.
const RETRY: u64 = 1_000;

/// How retries are paid for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Retries earned by a success, in thousandths.
    pub per_success: u64,
    /// Retries at the start, and the most that can be saved up.
    pub burst: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            per_success: 100,
            burst: 20,
        }
    }
}

/// The account of one router, or of one target of it.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// In thousandths of a retry.
    saved: AtomicU64,
}

impl RetryBudget {
    /// A full account.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        let saved = AtomicU64::new(settings.burst * RETRY);
        Self { settings, saved }
    }

    /// A request succeeded.
    pub fn deposit(&self) {
        let most = self.settings.burst * RETRY;
        let _ = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |saved| {
                Some((saved + self.settings.per_success).min(most))
            });
    }

    /// Asks for one retry; false means that the request's failure is final.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        self.saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |saved| {
                saved.checked_sub(RETRY)
            })
            .is_ok()
    }
}
