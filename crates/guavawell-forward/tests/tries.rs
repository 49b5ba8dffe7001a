//! Earlier tries of a hedged call stay open while later ones are started, so that
//! a late answer on a slow link still counts.

use std::time::Duration;

use guavawell_forward::http::HedgedTries;
use guavawell_forward::http::HedgedTry;
use smol::Timer;

/// Longer than any test runs.
const NEVER: Duration = Duration::from_secs(600);

/// Does not wait at all.
const NONE: Duration = Duration::ZERO;

type NumberTry = HedgedTry<'static, u32, &'static str>;

fn silent() -> NumberTry {
    Box::pin(std::future::pending())
}

fn failed() -> NumberTry {
    Box::pin(async { Err("failed") })
}

#[test]
fn a_late_answer_to_an_earlier_try_counts() {
    smol::block_on(async {
        let mut tries = HedgedTries::new(3);
        let late: NumberTry = Box::pin(async {
            Timer::after(Duration::from_millis(20)).await;
            Ok(1)
        });
        assert_eq!(tries.first_answer(late, NONE).await, None);
        assert_eq!(tries.first_answer(silent(), NEVER).await, Some(Ok(1)));
    });
}

#[test]
fn a_failure_of_the_newest_try_is_returned_at_once_and_an_open_one_still_counts() {
    smol::block_on(async {
        let mut tries = HedgedTries::new(3);
        let late: NumberTry = Box::pin(async {
            Timer::after(Duration::from_millis(20)).await;
            Ok(1)
        });
        assert_eq!(tries.first_answer(late, NONE).await, None);
        let result = tries.first_answer(failed(), NEVER).await;
        assert_eq!(result, Some(Err("failed")));
        assert_eq!(tries.first_answer(silent(), NEVER).await, Some(Ok(1)));
    });
}

#[test]
fn a_failure_of_an_earlier_try_is_ignored() {
    smol::block_on(async {
        let mut tries = HedgedTries::new(3);
        let later: NumberTry = Box::pin(async {
            Timer::after(Duration::from_millis(10)).await;
            Err("failed")
        });
        assert_eq!(tries.first_answer(later, NONE).await, None);
        let answer: NumberTry = Box::pin(async {
            Timer::after(Duration::from_millis(40)).await;
            Ok(2)
        });
        assert_eq!(tries.first_answer(answer, NEVER).await, Some(Ok(2)));
    });
}

#[test]
fn a_failure_without_other_open_tries_is_returned_at_once() {
    smol::block_on(async {
        let mut tries = HedgedTries::new(3);
        let result = tries.first_answer(failed(), NEVER).await;
        assert_eq!(result, Some(Err("failed")));
    });
}

#[test]
fn an_answer_cancels_all_other_tries_and_a_new_try_replaces_the_oldest() {
    smol::block_on(async {
        let mut tries = HedgedTries::new(2);
        let slow = |number, millis| -> NumberTry {
            Box::pin(async move {
                Timer::after(Duration::from_millis(millis)).await;
                Ok(number)
            })
        };
        assert_eq!(tries.first_answer(slow(1, 10), NONE).await, None);
        assert_eq!(tries.first_answer(silent(), NONE).await, None);
        // The first try was dropped when this one was started.
        assert_eq!(tries.first_answer(slow(3, 40), NEVER).await, Some(Ok(3)));
        assert_eq!(
            tries.first_answer(failed(), NEVER).await,
            Some(Err("failed"))
        );
    });
}
