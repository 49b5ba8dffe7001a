//! Retry budgets: limit retries and hedged requests to a fraction of successes.
//!
//! During a brownout few requests succeed, so few retries are allowed, and the
//! load on the servers stays near the offered load.

use crate::atomic::AtomicU64;
use crate::atomic::Ordering;

/// Balance units that one retry costs.
const UNITS_PER_RETRY: u64 = 1_000;

/// Earnings and size of a retry budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Retries earned by a success, in thousandths.
    pub per_success: u64,
    /// Initial and greatest balance, in retries.
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

/// The retry budget of one router, or of one of its targets.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// In thousandths of a retry.
    balance: AtomicU64,
}

impl RetryBudget {
    /// A budget with a full balance.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        let balance = AtomicU64::new(settings.burst * UNITS_PER_RETRY);
        Self { settings, balance }
    }

    /// Records a success, which earns a part of a retry.
    pub fn deposit(&self) {
        let max_balance = self.settings.burst * UNITS_PER_RETRY;
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                Some((balance + self.settings.per_success).min(max_balance))
            });
    }

    /// Takes one retry from the budget; false means that the request must not be
    /// retried.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                balance.checked_sub(UNITS_PER_RETRY)
            })
            .is_ok()
    }
}
