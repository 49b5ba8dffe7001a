//! The callers' side: histories written by `guavawell-load --history`, set
//! against what the routers' logs say about the same requests.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;

use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;
use serde::Deserialize;

use super::HistoryBreach;
use super::fact::FactKind;
use super::fact::HistoryFact;
use super::rule::HistoryRule;

/// One request as its caller saw it end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRecord {
    /// The organisation, if the caller's plan names it.
    pub organisation: Option<OrganisationId>,
    /// The request.
    pub request: RequestId,
    /// How it ended.
    pub end: CallerEnd,
    /// Where the history says so, as `file:line`.
    pub place: Box<str>,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerEnd {
    /// With a whole answer, and the tokens that it stated, if it did.
    Answered(Option<u64>),
    /// With a refusal that says not run, now or later.
    NotRun,
    /// Otherwise; nothing follows for the fleet.
    Open,
}

/// A line of a history, as far as it is read here.
#[derive(Deserialize)]
struct HistoryLine {
    organisation: Option<OrganisationId>,
    request: Option<RequestId>,
    tries: Vec<TryLine>,
    end: EndLine,
}

#[derive(Deserialize)]
struct TryLine {
    usage: Option<UsageLine>,
}

#[derive(Clone, Copy, Deserialize)]
struct UsageLine {
    prompt_tokens: u64,
    completion_tokens: u64,
}

#[derive(Deserialize)]
struct EndLine {
    end: Box<str>,
    outcome: Option<Box<str>>,
}

/// Reads a history file. Requests without an id are left out.
///
/// # Errors
///
/// A file that cannot be read, or a line that is no history: a check on half
/// of the answers would prove nothing.
pub fn read_callers(path: &Path) -> io::Result<Vec<CallerRecord>> {
    let reader = BufReader::new(File::open(path)?);
    let mut records = Vec::new();
    for (number, line) in (1_u64..).zip(reader.lines()) {
        let place: Box<str> = format!("{}:{number}", path.display()).into();
        let line: HistoryLine = serde_json::from_str(&line?)
            .map_err(|error| io::Error::other(format!("{place}: {error}")))?;
        let end = end_of(&line);
        let Some(request) = line.request else {
            continue;
        };
        records.push(CallerRecord {
            organisation: line.organisation,
            request,
            end,
            place,
        });
    }
    Ok(records)
}

fn end_of(line: &HistoryLine) -> CallerEnd {
    let usage = line.tries.last().and_then(|last| last.usage);
    match (&*line.end.end, line.end.outcome.as_deref()) {
        ("whole" | "wrong", _) => {
            CallerEnd::Answered(usage.map(|usage| usage.prompt_tokens + usage.completion_tokens))
        }
        ("refused", Some("not_run")) => CallerEnd::NotRun,
        _ => CallerEnd::Open,
    }
}

/// Sets a caller's record against the facts of its request.
pub(super) fn check(record: &CallerRecord, facts: &[HistoryFact]) -> Option<HistoryBreach> {
    let shown = |wanted: &[FactKind]| -> Vec<HistoryFact> {
        let kept = facts.iter().filter(|fact| wanted.contains(&fact.kind));
        kept.cloned().collect()
    };
    let billed = shown(&[FactKind::Billed]);
    let (rule, facts) = match record.end {
        CallerEnd::Answered(_) if billed.is_empty() => (HistoryRule::AnswerBilled, billed),
        CallerEnd::Answered(Some(tokens)) if !bills(&billed, tokens) => {
            (HistoryRule::BillFitsAnswer, billed)
        }
        CallerEnd::NotRun => (
            HistoryRule::RefusalTrue,
            shown(&[FactKind::Billed, FactKind::Ran]),
        ),
        _ => return None,
    };
    if rule == HistoryRule::RefusalTrue && facts.is_empty() {
        return None;
    }
    let named = facts.first().map(|fact| fact.organisation.clone());
    Some(HistoryBreach {
        rule,
        organisation: record.organisation.clone().or(named),
        request: record.request.clone(),
        caller: Some(record.place.clone()),
        facts,
    })
}

/// Whether a bill of exactly these tokens is there, or one that states none.
fn bills(billed: &[HistoryFact], tokens: u64) -> bool {
    billed
        .iter()
        .any(|fact| fact.tokens.is_none_or(|stated| stated.get() == tokens))
}
