//! Model checks of the lock-free limits: `loom` runs every interleaving of a few
//! threads.

use loom::sync::Arc;
use loom::thread;

use super::ConcurrencyLimit;
use super::RetryBudget;
use super::RetrySettings;
use crate::atomic::AtomicU64;
use crate::atomic::Ordering;
use crate::atomic::explore;
use crate::clock::ClockTime;

const LATER: ClockTime = ClockTime::from_millis(1_001);

const SETTINGS: RetrySettings = RetrySettings {
    per_success: 500,
    burst: 2,
};

#[test]
fn a_retry_is_withdrawn_once() {
    explore("three withdrawals of two retries", || {
        let budget = Arc::new(RetryBudget::new(SETTINGS));
        let others: Vec<_> = (0..2)
            .map(|_| {
                let budget = Arc::clone(&budget);
                thread::spawn(move || budget.withdraw())
            })
            .collect();
        let own = budget.withdraw();
        let others = others.into_iter().map(|other| other.join().unwrap());
        let granted = others.chain([own]).filter(|granted| *granted).count();
        assert_eq!(granted, 2);
    });
}

#[test]
fn concurrent_deposits_and_withdrawals_are_both_counted() {
    explore("two deposits against two withdrawals", || {
        let budget = Arc::new(RetryBudget::new(RetrySettings {
            per_success: 500,
            burst: 1,
        }));
        let other = Arc::clone(&budget);
        let deposits = thread::spawn(move || {
            other.deposit();
            other.deposit();
        });
        let granted = u32::from(budget.withdraw()) + u32::from(budget.withdraw());
        deposits.join().unwrap();
        // The initial balance covers one retry. The deposits cover another one,
        // unless they arrive while the balance is full.
        let rest = u32::from(budget.withdraw());
        assert!((1..=2).contains(&(granted + rest)));
        assert!(!budget.withdraw());
    });
}

/// A faulty budget that reads and writes in two steps, to show that the model
/// check detects it.
#[derive(Debug)]
struct NonAtomicBudget(AtomicU64);

impl NonAtomicBudget {
    fn withdraw(&self) -> bool {
        let balance = self.0.load(Ordering::Relaxed);
        if balance == 0 {
            return false;
        }
        self.0.store(balance - 1, Ordering::Relaxed);
        true
    }
}

#[test]
#[should_panic(expected = "one retry, granted twice")]
fn a_withdrawal_in_two_steps_is_detected() {
    explore("planted: withdrawal in two steps", || {
        let budget = Arc::new(NonAtomicBudget(AtomicU64::new(1)));
        let other = Arc::clone(&budget);
        let other = thread::spawn(move || other.withdraw());
        let own = budget.withdraw();
        let theirs = other.join().unwrap();
        assert!(!(own && theirs), "one retry, granted twice");
    });
}

#[test]
fn threads_that_see_the_same_overload_decrease_once() {
    explore("two overloads of one moment", || {
        let limit = Arc::new(ConcurrencyLimit::new(1, 100, 1_000));
        let other = Arc::clone(&limit);
        let other = thread::spawn(move || other.overload(ClockTime::from_millis(1_000)));
        limit.overload(ClockTime::from_millis(1_001));
        other.join().unwrap();
        assert_eq!(limit.get(), 90);
    });
}

#[test]
fn the_limit_stays_within_its_bounds() {
    explore("overload, waiting and free reports", || {
        let limit = Arc::new(ConcurrencyLimit::new(4, 4, 5));
        let overloaded = Arc::clone(&limit);
        let waiting = Arc::clone(&limit);
        let threads = [
            thread::spawn(move || overloaded.overload(ClockTime::from_millis(1_000))),
            thread::spawn(move || waiting.report(64, 8, 1, 1, LATER)),
        ];
        limit.report(1, 8, 5, 8, LATER);
        assert!((4..=5).contains(&limit.get()));
        for thread in threads {
            thread.join().unwrap();
        }
        assert!((4..=5).contains(&limit.get()));
    });
}
