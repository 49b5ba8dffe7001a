//! The verdict on each promise.

use std::fmt;

use guavawell_core::budget::BudgetRow;
use guavawell_load::history::RefusalOutcome;
use guavawell_load::history::RequestHistory;
use guavawell_load::history::TryEnd;
use guavawell_load::hooks::AnswerUsage;
use serde::Serialize;

use super::BudgetEvidence;
use super::RunEvidence;
use super::RunRecord;

/// Most broken cases that the report names for a promise.
const MAX_CASES: usize = 5;

/// One promise with its count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PromiseCount {
    /// The promise.
    pub promise: &'static str,
    /// Cases looked at.
    pub checked: u64,
    /// Cases in which it broke.
    pub broken: u64,
    /// Some of the broken cases.
    pub cases: Vec<Box<str>>,
}

/// The closing report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DemoReport {
    /// Requests sent.
    pub requests: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Tokens charged for good, by the table.
    pub billed_tokens: u64,
    /// Tokens beyond what was paid.
    pub overspend: u64,
    /// Requests refused in the end as `not_run`.
    pub refused_not_run: u64,
    /// Requests refused in the end as `retry`.
    pub refused_retry: u64,
    /// Requests refused in the end as `unknown`.
    pub refused_unknown: u64,
    /// Requests that ended otherwise: incomplete or unreachable.
    pub unfinished: u64,
    /// The promises.
    pub promises: Vec<PromiseCount>,
}

impl DemoReport {
    /// Whether every promise was kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.promises.iter().all(|promise| promise.broken == 0)
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "requests           {:>8}", self.requests)?;
        writeln!(formatter, "answered whole     {:>8}", self.answered)?;
        writeln!(formatter, "refused, not run   {:>8}", self.refused_not_run)?;
        writeln!(formatter, "refused, retry     {:>8}", self.refused_retry)?;
        writeln!(formatter, "refused, unknown   {:>8}", self.refused_unknown)?;
        writeln!(formatter, "unfinished         {:>8}", self.unfinished)?;
        writeln!(formatter, "billed tokens      {:>8}", self.billed_tokens)?;
        writeln!(formatter, "overspent tokens   {:>8}", self.overspend)?;
        for promise in &self.promises {
            let word = if promise.broken == 0 {
                "kept"
            } else {
                "BROKEN"
            };
            writeln!(
                formatter,
                "{word:<6} {:<60} {:>6} checked {:>4} broken",
                promise.promise, promise.checked, promise.broken
            )?;
            for case in &promise.cases {
                writeln!(formatter, "       {case}")?;
            }
        }
        Ok(())
    }
}

/// Judges a run.
#[must_use]
pub fn judge(evidence: &RunEvidence) -> DemoReport {
    let mut runs: Vec<&RunRecord> = evidence.runs.iter().collect();
    runs.sort_by(|a, b| key(a).cmp(&key(b)));
    let refused = |outcome| {
        count(
            &evidence.histories,
            |history| matches!(&history.end, TryEnd::Refused { outcome: found, .. } if *found == outcome),
        )
    };
    let promises = vec![
        spend(&evidence.budgets),
        accounts(&evidence.budgets),
        billed_once(evidence, &runs),
        right_answers(&evidence.histories),
        at_most_once(&evidence.histories, &runs),
        truthful(&evidence.histories, &runs),
    ];
    DemoReport {
        requests: evidence.histories.len() as u64,
        answered: count(&evidence.histories, |history| history.end == TryEnd::Whole),
        billed_tokens: evidence.budgets.iter().map(settled).sum(),
        overspend: evidence.budgets.iter().map(overspent).sum(),
        refused_not_run: refused(RefusalOutcome::NotRun),
        refused_retry: refused(RefusalOutcome::Retry),
        refused_unknown: refused(RefusalOutcome::Unknown),
        unfinished: count(&evidence.histories, |history| {
            !matches!(
                history.end,
                TryEnd::Whole | TryEnd::Wrong { .. } | TryEnd::Refused { .. }
            )
        }),
        promises,
    }
}

fn key(run: &RunRecord) -> (&str, &str) {
    (&run.organisation, &run.request)
}

fn count(histories: &[RequestHistory], is: impl Fn(&RequestHistory) -> bool) -> u64 {
    histories.iter().filter(|history| is(history)).count() as u64
}

fn settled(budget: &BudgetEvidence) -> u64 {
    budget.row.as_ref().map_or(0, |row| row.settled.get())
}

/// Tokens settled, granted or frozen beyond what was paid.
fn overspent(budget: &BudgetEvidence) -> u64 {
    let committed = budget.row.as_ref().map_or(0, |row| row.committed().get());
    committed.saturating_sub(budget.paid.get())
}

/// Collects the broken cases of one promise.
struct Tally(PromiseCount);

impl Tally {
    fn new(promise: &'static str) -> Self {
        Self(PromiseCount {
            promise,
            checked: 0,
            broken: 0,
            cases: Vec::new(),
        })
    }

    fn check(&mut self, is_kept: bool, case: impl FnOnce() -> String) {
        self.0.checked += 1;
        if is_kept {
            return;
        }
        self.0.broken += 1;
        if self.0.cases.len() < MAX_CASES {
            self.0.cases.push(case().into());
        }
    }
}

fn spend(budgets: &[BudgetEvidence]) -> PromiseCount {
    let mut tally = Tally::new("no organisation spends beyond what it paid");
    for budget in budgets {
        let over = overspent(budget);
        tally.check(over == 0, || format!("{}: {over} tokens", budget.budget));
    }
    tally.0
}

fn accounts(budgets: &[BudgetEvidence]) -> PromiseCount {
    let mut tally = Tally::new("settled, granted and frozen tokens stay within the row");
    for budget in budgets {
        let is_balanced = budget.row.as_ref().is_none_or(BudgetRow::is_balanced);
        tally.check(is_balanced, || budget.budget.to_string());
    }
    tally.0
}

/// The sum charged is the sum of one charge for each request that ended.
///
/// It can't be more than one whole run of each request, and is no less than
/// what callers got whole, but for what a dead router's float keeps frozen.
fn billed_once(evidence: &RunEvidence, runs: &[&RunRecord]) -> PromiseCount {
    let mut tally = Tally::new("each request is billed exactly once");
    for budget in &evidence.budgets {
        let organisation = budget.organisation.as_str();
        let most = one_run_each(runs, organisation);
        let least = answered_tokens(&evidence.histories, organisation);
        let settled = settled(budget);
        let frozen: u64 = budget
            .row
            .iter()
            .flat_map(|row| &row.frozen)
            .map(|frozen| frozen.tokens.get())
            .sum();
        let open: u64 = budget
            .row
            .iter()
            .flat_map(|row| &row.grants)
            .map(|grant| grant.open.get())
            .sum();
        let is_kept = settled <= most && least <= settled + frozen + open;
        tally.check(is_kept, || {
            format!(
                "{}: settled {settled}, open {open}, frozen {frozen}, answered {least}, run {most}",
                budget.budget
            )
        });
    }
    tally.0
}

/// Tokens of the largest run of each request.
fn one_run_each(runs: &[&RunRecord], organisation: &str) -> u64 {
    let mut sum = 0;
    let own: Vec<&&RunRecord> = runs
        .iter()
        .filter(|run| &*run.organisation == organisation)
        .collect();
    for request in own.chunk_by(|a, b| a.request == b.request) {
        sum += request.iter().map(|run| run.tokens).max().unwrap_or(0);
    }
    sum
}

fn answered_tokens(histories: &[RequestHistory], organisation: &str) -> u64 {
    let own = histories.iter().filter(|history| {
        history.end == TryEnd::Whole
            && history
                .organisation
                .as_ref()
                .is_some_and(|id| id.as_str() == organisation)
    });
    own.filter_map(RequestHistory::usage)
        .map(AnswerUsage::total)
        .sum()
}

fn right_answers(histories: &[RequestHistory]) -> PromiseCount {
    let mut tally = Tally::new("every caller receives its own complete answer");
    for history in histories {
        let wrong = history.tries.iter().find_map(|tried| match &tried.end {
            TryEnd::Wrong { why } => Some(why),
            _ => None,
        });
        tally.check(wrong.is_none(), || {
            format!("{:?}: {}", history.request, wrong.map_or("", |why| why))
        });
    }
    tally.0
}

fn at_most_once(histories: &[RequestHistory], runs: &[&RunRecord]) -> PromiseCount {
    let mut tally = Tally::new("a non-idempotent request runs at most once");
    for history in histories.iter().filter(|history| !history.idempotent) {
        let count = runs_of(history, runs).count();
        tally.check(count <= 1, || {
            format!("{:?}: ran {count} times", history.request)
        });
    }
    tally.0
}

/// A final `not_run` means no run at all; a request whose every try ended in
/// `retry` was not run either, unless the caller sent it again later.
fn truthful(histories: &[RequestHistory], runs: &[&RunRecord]) -> PromiseCount {
    let mut tally = Tally::new("a refusal that says \"not run\" is true");
    for history in histories {
        let denied = history.tries.iter().any(|tried| {
            matches!(
                tried.end,
                TryEnd::Refused {
                    outcome: RefusalOutcome::NotRun,
                    ..
                }
            )
        });
        let only_denials = history.tries.iter().all(
            |tried| matches!(&tried.end, TryEnd::Refused { outcome, .. } if outcome.denies_run()),
        );
        if !denied && !only_denials {
            continue;
        }
        let count = runs_of(history, runs).count();
        tally.check(count == 0, || {
            format!("{:?}: denied, but ran {count} times", history.request)
        });
    }
    tally.0
}

fn runs_of<'a>(
    history: &'a RequestHistory,
    runs: &'a [&'a RunRecord],
) -> impl Iterator<Item = &'a &'a RunRecord> {
    let organisation = history
        .organisation
        .as_ref()
        .map_or("", |organisation| organisation.as_str());
    let request = history
        .request
        .as_ref()
        .map_or("", |request| request.as_str());
    let start = runs.partition_point(|run| key(run) < (organisation, request));
    runs[start..]
        .iter()
        .take_while(move |run| key(run) == (organisation, request))
}
