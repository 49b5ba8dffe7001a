//! Turns the outcome of a claim step into an attempt to send or a refusal.

use crate::clock::ClockSpan;
use crate::request::attempt::UnsentAttempt;
use crate::request::claim::row::ClaimRow;
use crate::request::claim::step::ClaimOutcome;
use crate::request::claim::step::ClaimStep;
use crate::request::reason::RefusalReason;
use crate::request::refusal::Refusal;

/// Returns the attempt for sending if the step holds its claim.
///
/// # Errors
///
/// Returns the refusal for the caller otherwise. `retry_after` is added if the
/// platform could not be reached.
pub fn run_or_refuse(
    step: &ClaimStep,
    unsent: UnsentAttempt,
    retry_after: ClockSpan,
) -> Result<UnsentAttempt, Refusal> {
    match step.outcome() {
        Some(ClaimOutcome::Held { .. }) => Ok(unsent),
        Some(ClaimOutcome::Sealed) => Err(sealed_refusal(step, unsent, RefusalReason::Sealed)),
        Some(ClaimOutcome::TakenBy(row)) => Err(taken_refusal(row)),
        Some(ClaimOutcome::IdExpired) => Err(expired_refusal()),
        Some(ClaimOutcome::TryExpired) => {
            let detail = "the try took longer than claims are kept; this try was not sent";
            Err(Refusal::retry(unsent, RefusalReason::Deadline, detail))
        }
        _ => {
            let detail = "the table could not confirm the claim; nothing was sent";
            let refusal = Refusal::retry(unsent, RefusalReason::PlatformUnreachable, detail);
            Err(refusal.after(retry_after))
        }
    }
}

/// The refusal for `reason` after a step that should have sealed the id.
#[must_use]
pub fn seal_refusal(
    step: &ClaimStep,
    unsent: UnsentAttempt,
    reason: RefusalReason,
    detail: &str,
) -> Refusal {
    match step.outcome() {
        Some(ClaimOutcome::Sealed) => sealed_refusal(step, unsent, reason),
        Some(ClaimOutcome::TakenBy(row)) => taken_refusal(row),
        Some(ClaimOutcome::IdExpired) => expired_refusal(),
        _ => Refusal::retry(unsent, reason, detail).inexact(),
    }
}

fn sealed_refusal(step: &ClaimStep, unsent: UnsentAttempt, reason: RefusalReason) -> Refusal {
    match step.seal_proof(unsent) {
        Ok(proof) => Refusal::not_run(&proof.into(), reason, "the request id is sealed"),
        Err(unsent) => Refusal::retry(unsent, reason, "this try was not sent").inexact(),
    }
}

fn taken_refusal(row: &ClaimRow) -> Refusal {
    let detail = format!(
        "attempt {} of router {} holds the request id",
        row.attempt, row.router.instance
    );
    Refusal::unknown(RefusalReason::AlreadyRan, detail)
}

fn expired_refusal() -> Refusal {
    let detail = "the id is older than claims are kept; nobody can tell whether it ran";
    Refusal::unknown(RefusalReason::IdExpired, detail)
}
