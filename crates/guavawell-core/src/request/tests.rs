//! Tests of headers, chat bodies, frames and refusals.

use super::FrameAction;
use super::FrameCheck;
use super::FrameError;
use super::MintedProof;
use super::ProblemDocument;
use super::Refusal;
use super::RefusalOutcome;
use super::RefusalReason;
use super::RequestIdentity;
use super::StreamUsage;
use super::UnsentAttempt;
use super::chat::ChatLimits;
use super::chat::ChatRequest;
use super::head::HeadFields;
use super::head::ParsedHead;
use crate::clock::ClockSpan;
use crate::id::AttemptId;
use crate::id::ClaimGeneration;
use crate::id::OrganisationId;
use crate::id::TokenCount;

const ATTEMPT: AttemptId = AttemptId::new(42);

fn organisation() -> OrganisationId {
    "saaremaa".parse().unwrap()
}

fn chat(body: &str) -> Result<ChatRequest, String> {
    ChatRequest::parse(body.as_bytes(), &ChatLimits::default()).map_err(|errors| errors.to_string())
}

#[test]
fn a_chat_body_is_checked_and_forwarded_with_its_unknown_fields() {
    let request = chat(
        r#"{"model":"m","temperature":0.50,"messages":[{"role":"user","content":"äb"},
        {"role":"assistant","content":null},
        {"role":"user","content":[{"type":"text","text":"xy"}],"name":"n"}],
        "max_completion_tokens":7,"stream":false,"stop":["a\u0062"]}"#,
    )
    .unwrap();
    assert_eq!(request.model.as_str(), "m");
    assert!(!request.stream);
    assert_eq!(request.prompt, TokenCount::new(2));
    assert_eq!(request.prompt_head, "äbxy".as_bytes());
    assert_eq!(request.output, TokenCount::new(7));
    assert_eq!(request.worst_case(), TokenCount::new(9));
    let sent = String::from_utf8(request.engine_body).unwrap();
    assert!(sent.contains(r#""temperature":0.50,"#), "{sent}");
    assert!(sent.contains(r#""stop":["a\u0062"]"#), "{sent}");
    let tail = r#""max_tokens":7,"stream":true,"stream_options":{"include_usage":true}}"#;
    assert!(sent.ends_with(tail), "{sent}");
    assert!(!sent.contains("max_completion_tokens"), "{sent}");
}

#[test]
fn the_prompt_head_ends_after_sixty_four_bytes() {
    let body = |first: &str, second: &str| {
        format!(
            r#"{{"model":"m","messages":[{{"role":"user","content":"{first}"}},
            {{"role":"user","content":"{second}"}}]}}"#
        )
    };
    let long = chat(&body(&"a".repeat(60), &"b".repeat(60))).unwrap();
    let expected = format!("{}{}", "a".repeat(60), "b".repeat(4));
    assert_eq!(long.prompt_head, expected.as_bytes());
    let exact = chat(&body(&"a".repeat(64), "b")).unwrap();
    assert_eq!(exact.prompt_head, "a".repeat(64).as_bytes());
}

#[test]
fn each_error_in_a_chat_body_is_named() {
    let good = r#""messages":[{"role":"u","content":"x"}]"#;
    let cases = [
        ("", "the body is not a JSON object"),
        (r#"{"model":"m","mess"#, "the body is not a JSON object"),
        ("[]", "the body is not a JSON object"),
        (&format!("{{{good}}}"), "`model` is missing"),
        (&format!(r#"{{"model":3,{good}}}"#), "`model` is not a text"),
        (
            &format!(r#"{{"model":"a b",{good}}}"#),
            "`model`: `a b` holds ` `",
        ),
        (
            &format!(r#"{{"model":"m","model":"n",{good}}}"#),
            "`model` stands twice",
        ),
        (r#"{"model":"m"}"#, "`messages` is missing"),
        (r#"{"model":"m","messages":{}}"#, "`messages` is not a list"),
        (r#"{"model":"m","messages":[]}"#, "`messages` is empty"),
        (
            r#"{"model":"m","messages":[{"content":"x"}]}"#,
            "`messages[0]`: `role`",
        ),
        (
            r#"{"model":"m","messages":[{"role":"u","content":5}]}"#,
            "`messages[0]`: not a message",
        ),
        (
            r#"{"model":"m","messages":[{"role":"u","content":[{"type":"image_url"}]}]}"#,
            "`messages[0]`: content part `image_url` is not a text",
        ),
        (
            &format!(r#"{{"model":"m",{good},"max_tokens":0}}"#),
            "`max_tokens` must be at least 1",
        ),
        (
            &format!(r#"{{"model":"m",{good},"max_tokens":-1}}"#),
            "`max_tokens` is not a whole number",
        ),
        (
            &format!(r#"{{"model":"m",{good},"max_tokens":99999}}"#),
            "`max_tokens` is 99999, more than",
        ),
        (
            &format!(r#"{{"model":"m",{good},"max_tokens":1,"max_completion_tokens":2}}"#),
            "differ; send one of them",
        ),
        (&format!(r#"{{"model":"m",{good},"n":2}}"#), "`n` must be 1"),
        (
            &format!(r#"{{"model":"m",{good},"stream":"yes"}}"#),
            "`stream` is not true or false",
        ),
    ];
    for (body, wanted) in cases {
        let text = chat(body).unwrap_err();
        assert!(text.contains(wanted), "{body}: {text}");
    }
    let both = chat(r#"{"max_tokens":0}"#).unwrap_err();
    assert_eq!(
        both,
        "`model` is missing; `messages` is missing; `max_tokens` must be at least 1"
    );
}

#[test]
fn a_body_over_the_size_limit_is_rejected_as_too_large() {
    let limits = ChatLimits {
        max_body_bytes: 4,
        ..ChatLimits::default()
    };
    let errors = ChatRequest::parse(b"{    }", &limits).unwrap_err();
    assert!(errors.is_too_large());
}

#[test]
fn a_head_is_read_with_its_defaults() {
    let head = ParsedHead::parse(organisation(), HeadFields::default(), 7).unwrap();
    assert!(head.identity.minted);
    assert_eq!((head.idempotent, head.priority), (None, 5));
    let fields = HeadFields {
        idempotency_key: Some("k-1"),
        idempotent: Some("false"),
        budget: Some("b"),
        deadline: Some("250"),
        priority: Some("9"),
        generation: Some("12"),
    };
    let head = ParsedHead::parse(organisation(), fields, 7).unwrap();
    assert!(!head.identity.minted);
    assert_eq!(head.idempotent, Some(false));
    assert_eq!(head.deadline, Some(ClockSpan::from_millis(250)));
    assert_eq!(head.priority, 9);
    assert_eq!(head.first_generation, Some(ClaimGeneration::new(12)));
}

#[test]
fn all_errors_in_a_head_are_reported_together() {
    let fields = HeadFields {
        idempotency_key: Some("minted:00"),
        idempotent: Some("no"),
        budget: Some(""),
        deadline: Some("soon"),
        priority: Some("12"),
        generation: Some("tomorrow"),
    };
    let faults = ParsedHead::parse(organisation(), fields, 7).unwrap_err();
    assert_eq!(faults.errors.len(), 6, "{faults}");
}

fn frame(sequence: u64) -> String {
    format!("{ATTEMPT}:{sequence}")
}

const USAGE: &str =
    r#"{"choices":[],"usage":{"prompt_tokens":2,"completion_tokens":1,"total_tokens":3}}"#;

#[test]
fn a_complete_stream_is_accepted_and_can_be_resumed_at_any_frame() {
    let mut check = FrameCheck::new(ATTEMPT);
    assert_eq!(check.last_event_id(), None);
    let fake_usage = r#"{"choices":[{"delta":{"content":"\"usage\":{}"}}],"usage":null}"#;
    assert_eq!(check.accept(&frame(0), fake_usage), Ok(FrameAction::Chunk));
    assert_eq!(check.last_event_id().as_deref(), Some(&*frame(0)));
    let usage = StreamUsage {
        prompt_tokens: TokenCount::new(2),
        completion_tokens: TokenCount::new(1),
    };
    assert_eq!(
        check.accept(&frame(1), USAGE),
        Ok(FrameAction::Usage(usage))
    );
    assert!(!check.is_complete());
    assert_eq!(
        check.accept(&frame(2), "[DONE]"),
        Ok(FrameAction::End(usage))
    );
    assert!(check.is_complete());
    assert_eq!(usage.total(), TokenCount::new(3));
}

#[test]
fn an_invalid_frame_is_rejected() {
    let other = AttemptId::new(41);
    let cases: [(&str, &str, FrameError); 8] = [
        ("", "{}", FrameError::BadId("".into())),
        ("2a:0", "{}", FrameError::BadId("2a:0".into())),
        (
            &format!("{ATTEMPT}:+0"),
            "{}",
            FrameError::BadId(format!("{ATTEMPT}:+0").into()),
        ),
        (
            &format!("{other}:0"),
            "{}",
            FrameError::OtherAttempt {
                expected: ATTEMPT,
                found: other,
            },
        ),
        (
            &frame(1),
            "{}",
            FrameError::OutOfOrder {
                expected: 0,
                found: 1,
            },
        ),
        (&frame(0), "[DONE]", FrameError::NoUsage),
        (
            &format!("{ATTEMPT}:99999999999999999999999"),
            "{}",
            FrameError::BadId(format!("{ATTEMPT}:99999999999999999999999").into()),
        ),
        (
            &frame(0),
            r#"{"usage":{"prompt_tokens":-1}}"#,
            FrameError::BadUsage(
                "invalid value: integer `-1`, expected u64 at line 1 column 28".into(),
            ),
        ),
    ];
    for (id, data, error) in cases {
        let mut check = FrameCheck::new(ATTEMPT);
        assert_eq!(check.accept(id, data), Err(error), "{id} {data}");
    }
    let mut check = FrameCheck::new(ATTEMPT);
    check.accept(&frame(0), "{}").unwrap();
    let again = check.accept(&frame(0), "{}");
    assert!(matches!(again, Err(FrameError::OutOfOrder { .. })));
    check.accept(&frame(1), USAGE).unwrap();
    assert_eq!(check.accept(&frame(2), USAGE), Err(FrameError::SecondUsage));
}

#[test]
fn no_frame_is_accepted_after_the_end_marker() {
    let mut check = FrameCheck::new(ATTEMPT);
    check.accept(&frame(0), USAGE).unwrap();
    check.accept(&frame(1), "[DONE]").unwrap();
    assert_eq!(check.accept(&frame(2), "{}"), Err(FrameError::AfterEnd));
}

#[test]
fn only_a_minted_id_is_refused_as_not_run_without_a_seal() {
    let minted = RequestIdentity::mint(organisation(), 1);
    let chosen = RequestIdentity::from_caller(organisation(), "k").unwrap();
    assert!(MintedProof::new(&chosen, UnsentAttempt::new(ATTEMPT)).is_err());
    let reason = RefusalReason::Overloaded;
    let outcome = |identity| {
        Refusal::unsealed(identity, UnsentAttempt::new(ATTEMPT), reason, "full").outcome()
    };
    assert_eq!(outcome(&minted), RefusalOutcome::NotRun);
    assert_eq!(outcome(&chosen), RefusalOutcome::Retry);
    assert!(Refusal::unknown(RefusalReason::Interrupted, "").is_inexact());
}

#[test]
fn a_problem_document_has_the_fields_of_the_protocol() {
    let identity = RequestIdentity::from_caller(organisation(), "k").unwrap();
    let attempt = UnsentAttempt::new(ATTEMPT);
    let refusal = Refusal::retry(attempt, RefusalReason::BudgetUnreachable, "no holder")
        .after(ClockSpan::from_millis(1_001));
    assert_eq!(refusal.retry_after_seconds(), Some(2));
    let json = refusal.problem(Some(&identity)).to_json();
    assert_eq!(
        String::from_utf8(json.clone()).unwrap(),
        concat!(
            r#"{"type":"about:blank","title":"Budget unreachable","status":503,"#,
            r#""detail":"no holder","outcome":"retry","reason":"budget_unreachable","#,
            r#""retry_after_ms":1001,"request":"k","organisation":"saaremaa"}"#
        )
    );
    let read: ProblemDocument = serde_json::from_slice(&json).unwrap();
    assert_eq!(read.reason, RefusalReason::BudgetUnreachable);
}

#[test]
fn each_reason_has_its_own_name_and_an_error_status() {
    let mut names: Vec<&str> = RefusalReason::ALL.map(RefusalReason::as_str).to_vec();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), RefusalReason::ALL.len());
    for reason in RefusalReason::ALL {
        assert!((400..600).contains(&reason.status()), "{reason}");
        let json = serde_json::to_string(&reason).unwrap();
        assert_eq!(json, format!("\"{reason}\""));
    }
}
