//! History checks of what the fleet promises, over the merged events.
//!
//! Only events that a rule looks at are kept, as small facts; they are sorted
//! by identity once, and each identity's facts pass the rules in their order.

mod caller;
mod fact;
mod rule;
mod store;

use std::fmt::Write;

use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;
use serde::Serialize;

use crate::output::time_text;
use crate::source::PlacedEvent;

pub use caller::CallerEnd;
pub use caller::CallerRecord;
pub use caller::read_callers;
pub use fact::FactKind;
pub use fact::HistoryFact;
pub use rule::HistoryRule;
use store::FactStore;

/// One broken promise with the events that show it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HistoryBreach {
    /// The rule that is broken.
    pub rule: HistoryRule,
    /// The organisation, if any side names it.
    pub organisation: Option<OrganisationId>,
    /// The request.
    pub request: RequestId,
    /// Where the caller's history shows it, as `file:line`, if it does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller: Option<Box<str>>,
    /// The events that show it, in their order.
    pub facts: Vec<HistoryFact>,
}

/// What the checks looked at and found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct HistoryReport {
    /// Request identities seen.
    pub requests: u64,
    /// Billing records seen.
    pub billed: u64,
    /// Attempts seen.
    pub attempts: u64,
    /// Charges seen without their reservation, whose amount is unproved.
    pub unproved_charges: u64,
    /// Callers' records set against the logs.
    pub callers: u64,
    /// Names of the logs, that the facts' sources count from 0.
    pub logs: Vec<Box<str>>,
    /// Every broken promise.
    pub breaches: Vec<HistoryBreach>,
}

/// Collects facts and checks them.
#[derive(Default)]
pub struct HistoryChecker {
    facts: FactStore,
    callers: Vec<CallerRecord>,
}

impl HistoryChecker {
    /// Takes callers' records in, to be set against the events.
    pub fn add_callers(&mut self, records: Vec<CallerRecord>) {
        self.callers.extend(records);
    }

    /// Takes the next event of the time line in.
    pub fn add(&mut self, event: &PlacedEvent) {
        if let Some(fact) = HistoryFact::of(event, self.facts.len()) {
            self.facts.push(fact);
        }
    }

    /// Checks everything taken in, read from `logs`.
    #[must_use]
    pub fn finish(mut self, logs: &[Box<str>]) -> HistoryReport {
        self.facts.sort();
        let mut report = HistoryReport {
            logs: logs.into(),
            ..HistoryReport::default()
        };
        for facts in self.facts.identities() {
            report.requests += 1;
            report.billed += count(&facts, FactKind::Billed);
            report.attempts += count(&facts, FactKind::Started);
            rule::check(&facts, &mut report);
        }
        for record in &self.callers {
            report.callers += 1;
            let organisation = record.organisation.as_ref();
            let facts = self.facts.of_request(organisation, &record.request);
            report.breaches.extend(caller::check(record, &facts));
        }
        report
    }
}

fn count(facts: &[HistoryFact], kind: FactKind) -> u64 {
    facts.iter().filter(|fact| fact.kind == kind).count() as u64
}

/// The report as text, each breach with its events.
///
/// # Panics
///
/// Never: a string takes every write.
#[must_use]
pub fn check_text(report: &HistoryReport) -> String {
    let mut out = String::new();
    for breach in &report.breaches {
        writeln!(out, "{}", breach_text(breach)).expect("a string");
        for fact in &breach.facts {
            writeln!(out, "  {}", fact_text(fact, &report.logs)).expect("a string");
        }
    }
    writeln!(
        out,
        "{} requests, {} attempts, {} billing records, {} unproved charges, \
         {} callers' records, {} breaches",
        report.requests,
        report.attempts,
        report.billed,
        report.unproved_charges,
        report.callers,
        report.breaches.len()
    )
    .expect("a string");
    out
}

fn breach_text(breach: &HistoryBreach) -> String {
    let organisation = breach.organisation.as_ref();
    let organisation = organisation.map_or("-", OrganisationId::as_str);
    let mut line = format!("{}: {organisation} {}", breach.rule, breach.request);
    if let Some(place) = &breach.caller {
        write!(line, ", told to its caller at {place}").expect("a string");
    }
    line
}

fn fact_text(fact: &HistoryFact, names: &[Box<str>]) -> String {
    let mut line = format!(
        "{:>8}  {:<23}  {:<16}  {:<22}",
        fact.order,
        time_text(fact.at),
        fact.instance.as_str(),
        fact.kind.as_str()
    );
    if let Some(attempt) = fact.attempt {
        write!(line, " attempt={attempt}").expect("a string");
    }
    if let Some(tokens) = fact.tokens {
        write!(line, " tokens={tokens}").expect("a string");
    }
    let place = crate::merge::place_text(names, fact.place());
    write!(line, " at {place}").expect("a string");
    line
}
