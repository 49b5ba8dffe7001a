//! Counters of refusals.

use guavawell_core::request::Refusal;

/// Counts a refusal by outcome and reason, and once more if it said less than
/// could have been known.
pub fn count_refusal(refusal: &Refusal) {
    let outcome = refusal.outcome().as_str();
    let reason = refusal.reason().as_str();
    metrics::counter!("guavawell_refusals_total", "outcome" => outcome, "reason" => reason)
        .increment(1);
    if refusal.is_inexact() {
        metrics::counter!("guavawell_refusals_inexact_total",
            "outcome" => outcome, "reason" => reason)
        .increment(1);
    }
}
