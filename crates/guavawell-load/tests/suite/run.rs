//! Whole runs against a scripted responder: retries, ends and counts.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::BudgetId;
use guavawell_core::id::TokenCount;
use guavawell_load::AnswerVerdict;
use guavawell_load::LoadHooks;
use guavawell_load::LoadPlan;
use guavawell_load::LoadReport;
use guavawell_load::history::IncompleteCause;
use guavawell_load::history::RefusalOutcome;
use guavawell_load::history::RequestHistory;
use guavawell_load::history::TryEnd;
use guavawell_load::plan::ArrivalMode;
use guavawell_load::plan::BudgetExpectation;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::ChatCall;
use guavawell_load::plan::RequestProfile;
use guavawell_load::plan::RetryPolicy;
use guavawell_load::plan::ServiceCall;
use guavawell_load::plan::SizeRange;
use guavawell_load::plan::TargetKind;
use guavawell_load::run;

use crate::env::Reply;
use crate::env::Responder;

/// A problem that asks for another try at once.
const RETRY: Reply = Reply::Problem {
    status: 503,
    body: r#"{"outcome":"retry","reason":"overloaded","retry_after_ms":1}"#,
};

/// A plan of `requests` requests over one connection, with quick retries.
fn quick_plan(responder: &Responder, requests: u64) -> LoadPlan {
    LoadPlan {
        targets: Box::new([responder.address]),
        arrival: ArrivalMode::Closed { connections: 1 },
        duration: None,
        requests: Some(requests),
        idle_timeout: ClockSpan::from_millis(10_000),
        retry: RetryPolicy {
            base_delay: ClockSpan::from_millis(1),
            ..RetryPolicy::default()
        },
        ..LoadPlan::default()
    }
}

/// Runs a plan and gives its report and histories.
fn run_recorded(plan: LoadPlan) -> (LoadReport, Vec<RequestHistory>) {
    let histories: Arc<Mutex<Vec<RequestHistory>>> = Arc::default();
    let record = Arc::clone(&histories);
    let hooks = LoadHooks {
        history: Some(Arc::new(move |history: &RequestHistory| {
            record.lock().expect("no poison").push(history.clone());
        })),
        ..LoadHooks::default()
    };
    let report = run(plan, hooks).expect("a plan without findings");
    let histories = histories.lock().expect("no poison").clone();
    (report, histories)
}

#[test]
fn whole_streams_are_counted_and_measured_over_one_connection() {
    let responder = Responder::start(|_, _| Reply::Stream {
        parts: 4,
        done: true,
    });
    let (report, histories) = run_recorded(quick_plan(&responder, 25));
    assert_eq!(report.counts.answered, 25);
    assert_eq!(report.counts.tries, 25);
    assert_eq!(report.counts.completion_tokens, 100);
    assert_eq!(report.whole.first_token.count, 25);
    assert_eq!(report.whole.between_tokens.count, 75);
    assert_eq!(report.cut.total.count, 0);
    assert_eq!(histories.len(), 25);
}

#[test]
fn a_cut_answer_is_asked_for_again_under_the_same_id() {
    let responder = Responder::start(|number, _| match number {
        0 => Reply::Break { parts: 2 },
        1 => Reply::Stream {
            parts: 3,
            done: false,
        },
        _ => Reply::Stream {
            parts: 4,
            done: true,
        },
    });
    let (report, histories) = run_recorded(quick_plan(&responder, 1));
    assert_eq!(report.counts.answered_after_retries, 1);
    assert_eq!(report.cut.first_token.count, 2);
    let ends: Vec<&TryEnd> = histories[0].tries.iter().map(|t| &t.end).collect();
    let cut = |why| TryEnd::Incomplete { why };
    assert_eq!(ends[0], &cut(IncompleteCause::Closed));
    assert_eq!(ends[1], &cut(IncompleteCause::NoEndMarker));
    assert_eq!(ends[2], &TryEnd::Whole);
    let seen = responder.seen();
    assert_eq!(seen.len(), 3);
    assert!(
        seen.iter()
            .all(|s| s.header("idempotency-key") == Some("load-0"))
    );
    assert!(seen.iter().all(|s| s.body == seen[0].body));
}

#[test]
fn an_answer_closed_before_its_head_is_asked_for_again() {
    let responder = Responder::start(|number, _| match number {
        0 => Reply::Close,
        _ => Reply::Whole { tokens: 1 },
    });
    let (report, _) = run_recorded(quick_plan(&responder, 1));
    assert_eq!(report.counts.answered_after_retries, 1);
}

#[test]
fn refusals_are_retried_by_their_outcome() {
    let unknown = Reply::Problem {
        status: 502,
        body: r#"{"outcome":"unknown","reason":"backend_failed"}"#,
    };
    let not_run = Reply::Problem {
        status: 402,
        body: r#"{"outcome":"not_run","reason":"budget_exhausted"}"#,
    };
    let script = [RETRY, unknown, not_run];
    let responder = Responder::start(move |number, _| script[number].clone());
    let (report, histories) = run_recorded(quick_plan(&responder, 1));
    assert_eq!(report.counts.refused, 1);
    assert_eq!(histories[0].tries.len(), 3);
    let final_end = TryEnd::Refused {
        outcome: RefusalOutcome::NotRun,
        reason: "budget_exhausted".into(),
    };
    assert_eq!(histories[0].end, final_end);
    assert_eq!(report.try_ends.len(), 3);
}

#[test]
fn a_caller_without_an_id_repeats_only_what_was_not_run() {
    let script = [
        RETRY,
        Reply::StreamError {
            parts: 2,
            problem: r#"{"outcome":"unknown","reason":"interrupted"}"#,
        },
    ];
    let responder = Responder::start(move |number, _| script[number].clone());
    let plan = LoadPlan {
        profiles: Box::new([RequestProfile {
            request_id: false,
            ..RequestProfile::default()
        }]),
        ..quick_plan(&responder, 1)
    };
    let (report, histories) = run_recorded(plan);
    assert_eq!(histories[0].tries.len(), 2);
    assert_eq!(report.counts.refused, 1);
    assert_eq!(report.cut.first_token.count, 1);
    let named = histories[0].request.as_ref().map(ToString::to_string);
    assert_eq!(named.as_deref(), Some("minted"));
}

#[test]
fn tries_are_bounded() {
    let responder = Responder::start(|_, _| RETRY);
    let (report, _) = run_recorded(quick_plan(&responder, 3));
    assert_eq!(report.counts.refused, 3);
    assert_eq!(report.counts.tries, 12);
}

#[test]
fn a_router_that_refuses_connections_is_skipped() {
    let responder = Responder::start(|_, _| Reply::Whole { tokens: 1 });
    let closed = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let dead = closed.local_addr().expect("a bound address");
    drop(closed);
    let mut plan = quick_plan(&responder, 10);
    plan.targets = Box::new([dead, responder.address]);
    let (report, _) = run_recorded(plan.clone());
    assert_eq!(report.counts.answered, 10);
    assert_eq!(report.counts.tries, 10);
    plan.targets = Box::new([dead]);
    let (report, _) = run_recorded(plan);
    assert_eq!(report.counts.unreachable, 10);
}

#[test]
fn a_silent_connection_ends_the_try() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let responder = Responder::start(|_, _| Reply::Whole { tokens: 1 });
    let mut plan = quick_plan(&responder, 1);
    plan.targets = Box::new([listener.local_addr().expect("a bound address")]);
    plan.idle_timeout = ClockSpan::from_millis(30);
    plan.retry.max_tries = 2;
    let (report, _) = run_recorded(plan);
    assert_eq!(report.counts.incomplete_by(IncompleteCause::Silent), 1);
    assert_eq!(report.counts.tries, 2);
}

#[test]
fn the_embedders_check_has_the_last_word() {
    let responder = Responder::start(|_, _| Reply::Stream {
        parts: 2,
        done: true,
    });
    let hooks = LoadHooks {
        check: Arc::new(|answer| {
            assert_eq!(answer.content, "w0 w1 ");
            AnswerVerdict::Wrong("not its own".into())
        }),
        ..LoadHooks::default()
    };
    let report = run(quick_plan(&responder, 3), hooks).expect("a plan without findings");
    assert_eq!(report.counts.wrong, 3);
    assert_eq!(report.counts.tries, 3);
}

#[test]
fn usage_that_does_not_fit_the_parts_is_wrong() {
    let responder = Responder::start(|_, _| Reply::Whole { tokens: 99 });
    let (report, _) = run_recorded(quick_plan(&responder, 1));
    assert_eq!(report.counts.wrong, 1);
}

#[test]
fn headers_and_paths_follow_the_profile() {
    let responder = Responder::start(|_, seen| {
        if seen.path.starts_with("/services/") {
            Reply::Plain { body: "ok" }
        } else {
            Reply::Whole { tokens: 1 }
        }
    });
    let chat = RequestProfile {
        key: "secret".into(),
        idempotent: false,
        budget: Some("b".parse().expect("an id")),
        deadline: Some(ClockSpan::from_millis(900)),
        priority: Some(7),
        call: CallKind::Chat(ChatCall {
            prompt_bytes: SizeRange::exactly(200),
            stream: false,
            ..ChatCall::default()
        }),
        ..RequestProfile::default()
    };
    let service = RequestProfile {
        name: "lookup".into(),
        call: CallKind::Service(ServiceCall {
            service: "slots".parse().expect("an id"),
            path: "find".into(),
            body_bytes: SizeRange::exactly(40),
        }),
        ..RequestProfile::default()
    };
    let plan = LoadPlan {
        profiles: Box::new([chat, service]),
        ..quick_plan(&responder, 40)
    };
    let (report, _) = run_recorded(plan);
    assert_eq!(report.counts.answered, 40);
    let seen = responder.seen();
    let chat = seen.iter().find(|s| s.path == "/v1/chat/completions");
    let chat = chat.expect("both profiles are drawn");
    assert_eq!(chat.header("authorization"), Some("Bearer secret"));
    assert_eq!(chat.header("x-guavawell-idempotent"), Some("false"));
    assert_eq!(chat.header("x-guavawell-budget"), Some("b"));
    assert_eq!(chat.header("x-guavawell-deadline-ms"), Some("900"));
    assert_eq!(chat.header("x-guavawell-priority"), Some("7"));
    let service = seen.iter().find(|s| s.path == "/services/slots/find");
    assert_eq!(service.expect("both profiles are drawn").body.len(), 40);
}

#[test]
fn an_engine_gets_attempts_and_no_keys() {
    let responder = Responder::start(|_, _| Reply::Stream {
        parts: 1,
        done: true,
    });
    let plan = LoadPlan {
        target_kind: TargetKind::Engine,
        ..quick_plan(&responder, 2)
    };
    run_recorded(plan);
    let seen = responder.seen();
    let attempts: Vec<_> = seen
        .iter()
        .map(|s| s.header("x-guavawell-attempt"))
        .collect();
    assert!(attempts.iter().all(|a| a.is_some_and(|a| a.len() == 32)));
    assert_ne!(attempts[0], attempts[1]);
    assert!(seen.iter().all(|s| s.header("idempotency-key").is_none()));
    assert!(seen[0].body.contains("include_usage"));
}

#[test]
fn open_arrivals_end_after_their_count_and_shed_past_the_bound() {
    let responder = Responder::start(|_, _| Reply::Whole { tokens: 1 });
    let plan = LoadPlan {
        arrival: ArrivalMode::Open { rate: 50_000.0 },
        threads: 2,
        ..quick_plan(&responder, 200)
    };
    let (report, _) = run_recorded(plan);
    assert_eq!(report.counts.requests, 200);
    assert_eq!(report.counts.answered, 200);

    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let plan = LoadPlan {
        targets: Box::new([listener.local_addr().expect("a bound address")]),
        arrival: ArrivalMode::Open { rate: 50_000.0 },
        max_in_flight: 3,
        idle_timeout: ClockSpan::from_millis(500),
        retry: RetryPolicy {
            max_tries: 1,
            ..RetryPolicy::default()
        },
        ..quick_plan(&responder, 20)
    };
    let (report, _) = run_recorded(plan);
    assert_eq!(report.counts.requests, 20);
    assert_eq!(report.counts.shed + report.counts.incomplete, 20);
    assert!(report.counts.shed > 0);
}

#[test]
fn the_mix_depends_on_the_seed_alone() {
    let draw = |threads| {
        let responder = Responder::start(|_, _| Reply::Whole { tokens: 1 });
        let named = |name: &str, weight| RequestProfile {
            name: name.into(),
            weight,
            ..RequestProfile::default()
        };
        let plan = LoadPlan {
            threads,
            arrival: ArrivalMode::Closed { connections: 4 },
            profiles: Box::new([named("rare", 1), named("often", 9)]),
            ..quick_plan(&responder, 200)
        };
        let (report, _) = run_recorded(plan);
        report.profiles[0].counts.requests
    };
    let rare = draw(1);
    assert_eq!(rare, draw(3));
    assert!(
        (5..60).contains(&rare),
        "{rare} of 200 at a weight of 1 in 10"
    );
}

/// A plan of one connection that draws on a budget with `left` tokens; each
/// request costs at most 16 tokens of prompt and 16 of answer.
fn budget_plan(responder: &Responder, left: u64) -> LoadPlan {
    let budget: BudgetId = "b".parse().expect("an id");
    LoadPlan {
        budgets: Box::new([BudgetExpectation {
            budget: budget.clone(),
            left: TokenCount::new(left),
        }]),
        profiles: Box::new([RequestProfile {
            budget: Some(budget),
            ..RequestProfile::default()
        }]),
        ..quick_plan(responder, 10)
    }
}

/// Answers three requests, then refuses for want of budget.
fn nearly_empty() -> Responder {
    Responder::start(|number, _| match number {
        0..3 => Reply::Stream {
            parts: 4,
            done: true,
        },
        _ => Reply::Problem {
            status: 402,
            body: r#"{"outcome":"not_run","reason":"budget_exhausted"}"#,
        },
    })
}

#[test]
fn refusals_that_the_rest_would_have_covered_are_counted_as_false() {
    // Three answers use 7 tokens each; a request needs 32 at worst.
    let (report, _) = run_recorded(budget_plan(&nearly_empty(), 21 + 31));
    assert_eq!(report.budgets[0].used, 21);
    assert_eq!(report.budgets[0].refused, 7);
    assert_eq!(report.budgets[0].refused_falsely, 0);
    let (report, _) = run_recorded(budget_plan(&nearly_empty(), 21 + 32));
    assert_eq!(report.budgets[0].refused_falsely, 7);
    assert_eq!(report.budgets[0].overspend, 0);
}

#[test]
fn answers_beyond_a_budget_are_counted_as_overspend() {
    let (report, _) = run_recorded(budget_plan(&nearly_empty(), 20));
    assert_eq!(report.budgets[0].overspend, 1);
}

#[test]
fn an_answer_that_stayed_incomplete_counts_at_its_worst() {
    let responder = Responder::start(|number, _| match number {
        0 => Reply::Break { parts: 1 },
        _ => Reply::Problem {
            status: 402,
            body: r#"{"outcome":"not_run","reason":"budget_exhausted"}"#,
        },
    });
    let mut plan = budget_plan(&responder, 63);
    plan.retry.max_tries = 1;
    let (report, _) = run_recorded(plan);
    assert_eq!(report.budgets[0].refused, 9);
    assert_eq!(report.budgets[0].refused_falsely, 0);
}
