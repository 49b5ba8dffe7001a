//! Which requests may be hedged.

use guavawell_core::backend::HedgeAsk;
use guavawell_core::backend::should_hedge;
use guavawell_core::clock::ClockSpan;
use guavawell_core::limits::RetryBudget;
use guavawell_core::limits::RetrySettings;

#[test]
fn only_idempotent_requests_hedge_and_only_within_the_budget() {
    let settings = RetrySettings {
        burst: 1,
        ..RetrySettings::default()
    };
    let budget = RetryBudget::new(settings);
    let slow = HedgeAsk {
        idempotent: true,
        first_token_seen: false,
        waited: ClockSpan::from_millis(900),
        after: ClockSpan::from_millis(800),
        attempts: 1,
    };
    let refused = [
        HedgeAsk {
            idempotent: false,
            ..slow
        },
        HedgeAsk {
            first_token_seen: true,
            ..slow
        },
        HedgeAsk {
            attempts: 2,
            ..slow
        },
    ];
    assert!(refused.iter().all(|ask| !should_hedge(ask, &budget)));
    assert!(should_hedge(&slow, &budget));
    assert!(!should_hedge(&slow, &budget), "the budget is spent");
    (0..10).for_each(|_| budget.deposit());
    assert!(should_hedge(&slow, &budget), "ten successes pay for one");
}
