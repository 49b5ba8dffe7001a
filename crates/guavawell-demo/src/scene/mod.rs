//! What the demo sends, how it judges an answer, and what it gathers at the end.
//!
//! Owns the callers' side of the evidence. Whether the promises were kept is for
//! `proof` to say.

use std::sync::Arc;

use guavawell_core::budget::BudgetRow;
use guavawell_core::id::IdError;
use guavawell_core::id::TokenCount;
use guavawell_load::AnswerCheck;
use guavawell_load::AnswerSeen;
use guavawell_load::AnswerVerdict;
use guavawell_load::history::RequestHistory;
use guavawell_load::plan::CallKind;
use guavawell_load::plan::ChatCall;
use guavawell_load::plan::RequestProfile;
use guavawell_load::plan::ServiceCall;
use guavawell_load::plan::SizeRange;
use guavawell_standin::engine::ChatMessage;
use guavawell_standin::engine::expected_answer;
use guavawell_standin::service::expected_reply;

use crate::fleet::DemoFleet;
use crate::fleet::SERVICE_COST;
use crate::fleet::organisation_key;
use crate::proof::BudgetEvidence;
use crate::proof::RunEvidence;
use crate::proof::RunRecord;

/// A mix for each organisation: streams, whole answers, non-idempotent chats
/// and calls of a plain service that may not be repeated.
///
/// # Errors
///
/// Never: the ids are constants.
pub fn sample_profiles(organisations: usize) -> Result<Vec<RequestProfile>, IdError> {
    let mut profiles = Vec::new();
    for index in 0..organisations {
        let base = RequestProfile {
            organisation: Some(format!("org-{index}").parse()?),
            key: organisation_key(index).into(),
            ..RequestProfile::default()
        };
        let chat = |stream| -> Result<CallKind, IdError> {
            Ok(CallKind::Chat(ChatCall {
                model: "draft-7b".parse()?,
                prompt_bytes: SizeRange { low: 16, high: 400 },
                max_tokens: SizeRange { low: 4, high: 64 },
                stream,
            }))
        };
        profiles.push(RequestProfile {
            name: format!("stream-{index}").into(),
            weight: 5,
            call: chat(true)?,
            ..base.clone()
        });
        profiles.push(RequestProfile {
            name: format!("whole-{index}").into(),
            weight: 3,
            call: chat(false)?,
            ..base.clone()
        });
        profiles.push(RequestProfile {
            name: format!("once-{index}").into(),
            weight: 1,
            call: chat(true)?,
            idempotent: false,
            ..base.clone()
        });
        profiles.push(RequestProfile {
            name: format!("service-{index}").into(),
            weight: 1,
            call: CallKind::Service(ServiceCall {
                service: "registry".parse()?,
                path: "cancel".into(),
                body_bytes: SizeRange { low: 16, high: 200 },
            }),
            idempotent: false,
            ..base
        });
    }
    Ok(profiles)
}

/// Compares each answer with what the engine gives to that very prompt.
#[must_use]
pub fn answer_check() -> AnswerCheck {
    Arc::new(|answer: &AnswerSeen<'_>| {
        let expected = match &answer.profile.call {
            CallKind::Chat(_) => {
                let message = ChatMessage {
                    role: "user".into(),
                    content: answer.prompt.into(),
                };
                expected_answer(&[message], u64::from(answer.max_tokens)).text
            }
            CallKind::Service(_) => expected_reply(answer.prompt.as_bytes()),
        };
        if *expected == *answer.content {
            AnswerVerdict::Right
        } else {
            let why = format!(
                "expected {} bytes, got {} others",
                expected.len(),
                answer.content.len()
            );
            AnswerVerdict::Wrong(why.into())
        }
    })
}

/// Gathers the backend servers' logs and the table's budget rows.
///
/// # Errors
///
/// Never: the ids are constants.
pub fn collect_evidence(
    fleet: &DemoFleet,
    histories: Vec<RequestHistory>,
) -> Result<RunEvidence, IdError> {
    let engines = fleet.engines.iter().flat_map(|engine| engine.truth().runs);
    let services = fleet
        .services
        .iter()
        .flat_map(|service| service.truth().runs);
    let services = services.map(|run| RunRecord::of_service(run, SERVICE_COST));
    let runs = engines.map(RunRecord::of_engine).chain(services);
    let mut budgets = Vec::new();
    for index in 0..fleet.settings.organisations {
        let budget = format!("budget-{index}");
        let row = fleet.platform.row(&format!("budget/{budget}"));
        let row: Option<BudgetRow> = row.and_then(|bytes| serde_json::from_slice(&bytes).ok());
        budgets.push(BudgetEvidence {
            budget: budget.parse()?,
            organisation: format!("org-{index}").parse()?,
            paid: TokenCount::new(fleet.settings.paid_by(index)),
            row,
        });
    }
    Ok(RunEvidence {
        histories,
        runs: runs.collect(),
        budgets,
    })
}
