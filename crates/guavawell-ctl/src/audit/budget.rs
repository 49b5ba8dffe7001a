//! Whether the charges of a budget agree with its row.

use guavawell_core::budget::TokenPool;
use guavawell_core::id::BudgetId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::request::billing::AuditGap;
use guavawell_core::request::billing::ChainFault;
use guavawell_core::request::billing::ChainGap;
use guavawell_core::request::billing::audit_budget;
use guavawell_core::request::billing::audit_chains;
use guavawell_core::request::billing::fold_records;
use serde::Serialize;

use super::journal::read_records;
use crate::budget::read_budget;
use crate::error::CtlError;
use crate::exit::ExitCode;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// How journal and row differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum GapKind {
    /// They agree.
    None,
    /// The row holds more than the journal.
    Unrecorded,
    /// The journal holds more than the row, within the open grants.
    Unreported,
    /// The journal holds more than the grants covered.
    Overdrawn,
}

/// The audit of one budget, all sums in tokens.
#[derive(Debug, Serialize)]
struct BudgetAudit {
    budget: BudgetId,
    organisation: OrganisationId,
    paid: TokenCount,
    settled: TokenCount,
    requests: usize,
    charged: TokenCount,
    owed: TokenCount,
    gap: GapKind,
    gap_tokens: TokenCount,
    /// Runs of charges, one for each slot, tenure and pool.
    chains: usize,
    /// Records with a place in a run.
    placed: usize,
    chain_gaps: Vec<ChainLine>,
}

/// One place where records do not lie end to end.
#[derive(Debug, Serialize)]
struct ChainLine {
    slot: Box<str>,
    tenure: SlotEpoch,
    pool: TokenPool,
    after: TokenCount,
    missing: TokenCount,
    doubled: TokenCount,
}

impl ChainLine {
    fn of(gap: &ChainGap) -> Self {
        let (missing, doubled) = match gap.fault {
            ChainFault::Missing(tokens) => (tokens, TokenCount::ZERO),
            ChainFault::Doubled(tokens) => (TokenCount::ZERO, tokens),
        };
        Self {
            slot: gap.chain.slot.to_string().into(),
            tenure: gap.chain.tenure,
            pool: gap.chain.pool,
            after: gap.after,
            missing,
            doubled,
        }
    }

    fn text(&self) -> String {
        let Self { slot, tenure, .. } = self;
        if self.doubled > TokenCount::ZERO {
            let tokens = self.doubled;
            return format!("gap: slot {slot} tenure {tenure}: {tokens} tokens are told of twice");
        }
        let tokens = self.missing;
        format!("gap: slot {slot} tenure {tenure}: {tokens} tokens are told of by no record")
    }
}

/// Audits one budget.
pub async fn audit(
    settings: &CtlSettings,
    platform: &CtlPlatform,
    budget: &BudgetId,
) -> Result<ExitCode, CtlError> {
    // The row first: what is settled by then is in the journal or a gap.
    let row = read_budget(platform, budget).await?.row;
    let row = row.ok_or_else(|| CtlError::NotFound {
        kind: "row of budget",
        name: budget.as_str().into(),
        hint: "; nothing was drawn from it, or there is no such budget".into(),
    })?;
    let records = read_records(platform, &row.organisation).await?;
    let chains = audit_chains(budget, &row, &records);
    let fold = fold_records(records);
    let line = audit_budget(budget, &row, row.refunded, &fold);
    let requests = fold
        .charges
        .iter()
        .filter(|charge| charge.budget == *budget);
    let (gap, gap_tokens) = gap(line.gap);
    let report = BudgetAudit {
        budget: budget.clone(),
        organisation: row.organisation,
        paid: line.paid,
        settled: line.settled,
        requests: requests.count(),
        charged: line.charged,
        owed: line.owed,
        gap,
        gap_tokens,
        chains: chains.chains,
        placed: chains.records,
        chain_gaps: chains.gaps.iter().map(ChainLine::of).collect(),
    };
    print_report(settings, &report, audit_text)?;
    let sound = matches!(gap, GapKind::None | GapKind::Unreported);
    let sound = sound && report.chain_gaps.is_empty();
    if sound && report.owed == TokenCount::ZERO && report.charged <= report.paid {
        Ok(ExitCode::Success)
    } else {
        Ok(ExitCode::AuditGap)
    }
}

const fn gap(gap: AuditGap) -> (GapKind, TokenCount) {
    match gap {
        AuditGap::None => (GapKind::None, TokenCount::ZERO),
        AuditGap::Unrecorded(tokens) => (GapKind::Unrecorded, tokens),
        AuditGap::Unreported(tokens) => (GapKind::Unreported, tokens),
        AuditGap::Overdrawn(tokens) => (GapKind::Overdrawn, tokens),
    }
}

fn audit_text(report: &BudgetAudit) -> String {
    let tokens = report.gap_tokens;
    let gap = match report.gap {
        GapKind::None => "journal and row agree".to_owned(),
        GapKind::Unrecorded => format!(
            "gap: the row settled {tokens} tokens that no record tells of; a segment is not \
             written yet, or is lost"
        ),
        GapKind::Unreported => format!(
            "{tokens} tokens are charged and not reported to the row yet; open grants cover them"
        ),
        GapKind::Overdrawn => {
            format!("gap: records tell of {tokens} tokens more than the row's grants covered")
        }
    };
    let mut text = format!(
        "budget {} of {}: paid {}, settled {}\n\
         journal: {} requests, {} tokens charged, {} tokens charged twice and owed\n{gap}\n\
         {} records lie end to end in {} runs of slots and tenures; gaps: {}",
        report.budget,
        report.organisation,
        report.paid,
        report.settled,
        report.requests,
        report.charged,
        report.owed,
        report.placed,
        report.chains,
        report.chain_gaps.len()
    );
    for line in &report.chain_gaps {
        text.push('\n');
        text.push_str(&line.text());
    }
    text
}
