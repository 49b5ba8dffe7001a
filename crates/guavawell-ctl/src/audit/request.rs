//! Why one request was billed, refused or left in doubt.

use std::fmt::Write;

use guavawell_core::id::AttemptId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::billing::BillingRecord;
use guavawell_core::request::billing::fold_records;
use guavawell_core::request::claim::ClaimRow;
use guavawell_core::request::claim::ClaimState;
use serde::Serialize;

use super::journal::read_records;
use crate::error::CtlError;
use crate::exit::ExitCode;
use crate::output::print_report;
use crate::output::time_text;
use crate::platform::CtlPlatform;
use crate::platform::read_row;
use crate::settings::CtlSettings;

/// What became of a request, as journal and table tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestVerdict {
    /// It ran and one charge stands.
    Billed,
    /// The id is sealed, and yet a charge stands: the refusal was not true.
    BilledAlthoughSealed,
    /// It was refused for good: no attempt runs under the id.
    Sealed,
    /// An attempt holds the claim, and no charge is in the journal: it may
    /// run, or may have run.
    InDoubt,
    /// An attempt gave the id up unsent; the id may be sent again.
    Released,
    /// Neither journal nor table knows the id. An idempotent request leaves no
    /// other trace when it is refused; a charge of the last seconds may not be
    /// in the journal yet.
    Unknown,
}

impl RequestVerdict {
    const fn explain(self) -> &'static str {
        match self {
            Self::Billed => "billed: it ran, and one charge stands",
            Self::BilledAlthoughSealed => {
                "PROMISE BROKEN: the id is sealed as never run, and yet a charge stands"
            }
            Self::Sealed => "refused for good: the id is sealed, and nothing runs under it",
            Self::InDoubt => {
                "in doubt: an attempt holds the claim, and no charge is in the journal"
            }
            Self::Released => "not run: the attempt gave the id up unsent; it may be sent again",
            Self::Unknown => {
                "no charge: neither journal nor table knows the id \
                 (a charge of the last seconds may not be written yet)"
            }
        }
    }
}

/// A second charge of an identity, to be given back.
#[derive(Debug, Serialize)]
struct SecondCharge {
    attempt: AttemptId,
    tokens: TokenCount,
}

/// The audit of one request.
#[derive(Debug, Serialize)]
struct RequestReport {
    organisation: OrganisationId,
    request: RequestId,
    verdict: RequestVerdict,
    charge: Option<BillingRecord>,
    second_charges: Vec<SecondCharge>,
    claim: Option<ClaimRow>,
}

/// Audits one request.
pub async fn audit_request(
    settings: &CtlSettings,
    platform: &CtlPlatform,
    organisation: &OrganisationId,
    request: &RequestId,
) -> Result<ExitCode, CtlError> {
    let mut records = read_records(platform, organisation).await?;
    records.retain(|record| {
        let identity = &record.identity;
        identity.organisation == *organisation && identity.request == *request
    });
    let fold = fold_records(records);
    let claim = read_claim(platform, organisation, request).await?;
    let second_charges = fold.refunds.iter().map(|refund| SecondCharge {
        attempt: refund.attempt,
        tokens: refund.tokens,
    });
    let report = RequestReport {
        organisation: organisation.clone(),
        request: request.clone(),
        verdict: judge(!fold.charges.is_empty(), claim.as_ref()),
        second_charges: second_charges.collect(),
        charge: fold.charges.into_iter().next(),
        claim,
    };
    print_report(settings, &report, request_text)?;
    let broken = report.verdict == RequestVerdict::BilledAlthoughSealed;
    if broken || !report.second_charges.is_empty() {
        return Ok(ExitCode::AuditGap);
    }
    Ok(ExitCode::Success)
}

async fn read_claim(
    platform: &CtlPlatform,
    organisation: &OrganisationId,
    request: &RequestId,
) -> Result<Option<ClaimRow>, CtlError> {
    let key = format!("claim/{organisation}/{request}");
    let read = platform.table.get(&key).await?;
    read.row.as_ref().map(read_row).transpose()
}

fn judge(charged: bool, claim: Option<&ClaimRow>) -> RequestVerdict {
    let state = claim.map(|claim| claim.state);
    if charged && state == Some(ClaimState::Sealed) {
        return RequestVerdict::BilledAlthoughSealed;
    }
    if charged {
        return RequestVerdict::Billed;
    }
    match state {
        Some(ClaimState::Sealed) => RequestVerdict::Sealed,
        Some(ClaimState::Claimed) => RequestVerdict::InDoubt,
        Some(ClaimState::Released) => RequestVerdict::Released,
        None => RequestVerdict::Unknown,
    }
}

fn request_text(report: &RequestReport) -> String {
    let mut lines = vec![format!(
        "request {} of {}: {}",
        report.request,
        report.organisation,
        report.verdict.explain()
    )];
    lines.extend(report.charge.as_ref().map(charge_text));
    for second in &report.second_charges {
        let SecondCharge { attempt, tokens } = second;
        lines.push(format!(
            "second charge: {tokens} tokens by attempt {attempt}, to be given back"
        ));
    }
    lines.extend(report.claim.as_ref().map(|claim| {
        format!(
            "claim: {} by attempt {} at {} (life {}), {}",
            state_text(claim.state),
            claim.attempt,
            claim.router.instance,
            claim.router.incarnation,
            time_text(claim.at)
        )
    }));
    lines.join("\n")
}

fn charge_text(charge: &BillingRecord) -> String {
    let mut text = format!(
        "charge: {} tokens of budget {} by attempt {}, slot {} tenure {}, {}",
        charge.charged,
        charge.budget,
        charge.attempt,
        charge.slot,
        charge.tenure,
        time_text(charge.at)
    );
    if let Some(backend) = &charge.backend {
        // Writing to a string cannot fail.
        let _ = write!(text, ", run by {backend}");
    }
    text
}

const fn state_text(state: ClaimState) -> &'static str {
    match state {
        ClaimState::Claimed => "held",
        ClaimState::Sealed => "sealed",
        ClaimState::Released => "released",
    }
}
