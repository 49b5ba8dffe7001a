//! A promise broken on purpose is caught by the verdict.

use guavawell_core::budget::BudgetRow;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::TokenCount;
use guavawell_demo::proof::BudgetEvidence;
use guavawell_demo::proof::RunEvidence;
use guavawell_demo::proof::RunRecord;
use guavawell_demo::proof::judge;
use guavawell_load::history::RefusalOutcome;
use guavawell_load::history::RequestHistory;
use guavawell_load::history::TryEnd;
use guavawell_load::history::TryRecord;

fn history(request: &str, idempotent: bool, end: TryEnd) -> RequestHistory {
    RequestHistory {
        request: request.parse().ok(),
        organisation: "org-0".parse().ok(),
        profile: "test".into(),
        budget: None,
        idempotent,
        tries: vec![TryRecord {
            target: "127.0.0.1:1".into(),
            started_ms: 0,
            ended_ms: 1,
            attempt: None,
            usage: None,
            parts: 0,
            end: end.clone(),
        }],
        end,
    }
}

fn run(request: &str, attempt: &str) -> RunRecord {
    RunRecord {
        attempt: attempt.into(),
        organisation: "org-0".into(),
        request: request.into(),
        is_whole: true,
        tokens: 20,
    }
}

fn budget(paid: u64, settled: u64) -> BudgetEvidence {
    let organisation: guavawell_core::id::OrganisationId = "org-0".parse().expect("an id");
    let paid = TokenCount::new(paid);
    let mut row = BudgetRow::new(organisation.clone(), paid, ManifestVersion::new(1));
    row.settled = TokenCount::new(settled);
    BudgetEvidence {
        budget: "budget-0".parse().expect("an id"),
        organisation,
        paid,
        row: Some(row),
    }
}

fn kept() -> RunEvidence {
    RunEvidence {
        histories: vec![
            history("a", true, TryEnd::Whole),
            history("b", false, TryEnd::Whole),
            history(
                "c",
                true,
                TryEnd::Refused {
                    outcome: RefusalOutcome::NotRun,
                    reason: "deadline".into(),
                },
            ),
        ],
        runs: vec![run("a", "1"), run("a", "2"), run("b", "3")],
        budgets: vec![budget(100, 40)],
    }
}

fn broken(evidence: &RunEvidence) -> Vec<&'static str> {
    let report = judge(evidence);
    let broken = report.promises.iter().filter(|promise| promise.broken > 0);
    broken.map(|promise| promise.promise).collect()
}

#[test]
fn a_clean_run_keeps_every_promise() {
    assert_eq!(broken(&kept()), Vec::<&str>::new());
}

#[test]
fn overspend_is_caught() {
    let mut evidence = kept();
    evidence.budgets = vec![budget(30, 40)];
    let found = broken(&evidence);
    assert!(found.contains(&"no organisation spends beyond what it paid"));
}

#[test]
fn a_second_bill_is_caught() {
    let mut evidence = kept();
    evidence.budgets = vec![budget(100, 60)];
    assert_eq!(broken(&evidence), ["each request is billed exactly once"]);
}

#[test]
fn a_wrong_answer_is_caught() {
    let mut evidence = kept();
    let end = TryEnd::Wrong {
        why: "another's".into(),
    };
    evidence.histories[0] = history("a", true, end);
    let found = broken(&evidence);
    assert!(found.contains(&"every caller receives its own complete answer"));
}

#[test]
fn a_second_run_of_a_non_idempotent_request_is_caught() {
    let mut evidence = kept();
    evidence.runs.push(run("b", "4"));
    let found = broken(&evidence);
    assert_eq!(found, ["a non-idempotent request runs at most once"]);
}

#[test]
fn a_false_not_run_is_caught() {
    let mut evidence = kept();
    evidence.runs.push(run("c", "5"));
    let found = broken(&evidence);
    assert_eq!(found, ["a refusal that says \"not run\" is true"]);
}
