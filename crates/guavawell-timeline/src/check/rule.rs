//! The rules, each over the facts of one request in their order.

use std::fmt;

use guavawell_core::id::TokenCount;
use serde::Serialize;

use super::HistoryBreach;
use super::HistoryReport;
use super::fact::FactKind;
use super::fact::HistoryFact;

/// A promise that a history can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryRule {
    /// A request is billed at most once.
    BilledOnce,
    /// A non-idempotent request starts at most one attempt.
    RunOnce,
    /// No attempt starts after the request was sealed or finally refused.
    NothingAfterSeal,
    /// No charge is above its reservation.
    ChargeWithinReservation,
    /// A request answered whole is billed.
    AnswerBilled,
    /// The bill states the tokens that the answer stated.
    BillFitsAnswer,
    /// A request refused as not run was neither run nor billed.
    RefusalTrue,
}

impl fmt::Display for HistoryRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::BilledOnce => "billed more than once",
            Self::RunOnce => "non-idempotent, but started more than once",
            Self::NothingAfterSeal => "started after a seal or final refusal",
            Self::ChargeWithinReservation => "charged above its reservation",
            Self::AnswerBilled => "answered, but not billed in these logs",
            Self::BillFitsAnswer => "billed other than answered",
            Self::RefusalTrue => "refused as not run, but run or billed",
        })
    }
}

/// Checks one request's facts by every rule.
pub(super) fn check(facts: &[HistoryFact], report: &mut HistoryReport) {
    let found = [
        (HistoryRule::BilledOnce, billed_twice(facts)),
        (HistoryRule::RunOnce, run_twice(facts)),
        (HistoryRule::NothingAfterSeal, started_after_seal(facts)),
        (HistoryRule::ChargeWithinReservation, charged_above(facts)),
    ];
    for (rule, shown) in found {
        if shown.is_empty() {
            continue;
        }
        report.breaches.push(HistoryBreach {
            rule,
            organisation: Some(shown[0].organisation.clone()),
            request: shown[0].request.clone(),
            caller: None,
            facts: shown.into_iter().cloned().collect(),
        });
    }
    report.unproved_charges += unproved_charges(facts);
}

fn of_kind(facts: &[HistoryFact], kind: FactKind) -> Vec<&HistoryFact> {
    facts.iter().filter(|fact| fact.kind == kind).collect()
}

fn billed_twice(facts: &[HistoryFact]) -> Vec<&HistoryFact> {
    let billed = of_kind(facts, FactKind::Billed);
    if billed.len() > 1 { billed } else { Vec::new() }
}

fn run_twice(facts: &[HistoryFact]) -> Vec<&HistoryFact> {
    let started = of_kind(facts, FactKind::Started);
    let bound = started.iter().any(|fact| !fact.idempotent);
    if bound && started.len() > 1 {
        started
    } else {
        Vec::new()
    }
}

fn started_after_seal(facts: &[HistoryFact]) -> Vec<&HistoryFact> {
    let ends =
        |fact: &HistoryFact| matches!(fact.kind, FactKind::Sealed | FactKind::RefusedFinally);
    let Some(end) = facts.iter().position(ends) else {
        return Vec::new();
    };
    let late = of_kind(&facts[end..], FactKind::Started);
    if late.is_empty() {
        return Vec::new();
    }
    let mut shown = vec![&facts[end]];
    shown.extend(late);
    shown
}

fn charged_above(facts: &[HistoryFact]) -> Vec<&HistoryFact> {
    let mut shown = Vec::new();
    for (index, charge) in facts.iter().enumerate() {
        if !is_charge(charge) {
            continue;
        }
        let Some(reserved) = reservation_of(charge, &facts[..index]) else {
            continue;
        };
        if charge.tokens > reserved.tokens {
            shown.push(reserved);
            shown.push(charge);
        }
    }
    shown
}

fn unproved_charges(facts: &[HistoryFact]) -> u64 {
    let unproved = |(index, charge): &(usize, &HistoryFact)| {
        is_charge(charge) && reservation_of(charge, &facts[..*index]).is_none()
    };
    facts.iter().enumerate().filter(unproved).count() as u64
}

/// Whether the fact is a charge of a stated amount.
fn is_charge(fact: &HistoryFact) -> bool {
    let charges = matches!(fact.kind, FactKind::Settled | FactKind::Billed);
    charges && fact.tokens.is_some_and(|tokens| tokens > TokenCount::ZERO)
}

/// The latest reservation before a charge, of the same attempt where both
/// name one.
fn reservation_of<'a>(charge: &HistoryFact, earlier: &'a [HistoryFact]) -> Option<&'a HistoryFact> {
    earlier.iter().rev().find(|fact| {
        let same = match (fact.attempt, charge.attempt) {
            (Some(reserved), Some(charged)) => reserved == charged,
            _ => true,
        };
        fact.kind == FactKind::Reserved && fact.tokens.is_some() && same
    })
}
