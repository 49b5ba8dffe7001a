//! Retry budgets: retries and hedges as a fraction of what succeeds.
//!
//! In a brown-out few requests succeed, so few retries are paid for and the
//! load on the servers stays near the offered load.

use crate::atomic::AtomicU64;
use crate::atomic::Ordering;

/// Parts of one retry in the account.
const UNITS_PER_RETRY: u64 = 1_000;

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
    balance: AtomicU64,
}

impl RetryBudget {
    /// A full account.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        let balance = AtomicU64::new(settings.burst * UNITS_PER_RETRY);
        Self { settings, balance }
    }

    /// A request succeeded.
    pub fn deposit(&self) {
        let max_balance = self.settings.burst * UNITS_PER_RETRY;
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                Some((balance + self.settings.per_success).min(max_balance))
            });
    }

    /// Asks for one retry; false means that the request's failure is final.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                balance.checked_sub(UNITS_PER_RETRY)
            })
            .is_ok()
    }
}
