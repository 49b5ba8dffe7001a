//! Whether the charges of a budget agree with its row.

use std::time::Duration;
use std::time::Instant;

use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::TokenPool;
use guavawell_core::id::BudgetId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::request::billing::AuditGap;
use guavawell_core::request::billing::BillingRecord;
use guavawell_core::request::billing::ChainFault;
use guavawell_core::request::billing::ChainGap;
use guavawell_core::request::billing::audit_budget;
use guavawell_core::request::billing::audit_chains;
use guavawell_core::request::billing::fold_records;
use serde::Serialize;
use smol::Timer;

use super::journal::read_records;
use crate::budget::read_budget;
use crate::error::CtlError;
use crate::exit::ExitCode;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Time between two looks at the journal.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

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
    /// Tokens that the row holds after the run's last record.
    trailing: TokenCount,
}

impl ChainLine {
    fn of(gap: &ChainGap) -> Self {
        let mut line = Self {
            slot: gap.chain.slot.to_string().into(),
            tenure: gap.chain.tenure,
            pool: gap.chain.pool,
            after: gap.after,
            missing: TokenCount::ZERO,
            doubled: TokenCount::ZERO,
            trailing: TokenCount::ZERO,
        };
        match gap.fault {
            ChainFault::Missing(tokens) => line.missing = tokens,
            ChainFault::Doubled(tokens) => line.doubled = tokens,
            ChainFault::Trailing(tokens) => line.trailing = tokens,
        }
        line
    }

    fn text(&self) -> String {
        let Self { slot, tenure, .. } = self;
        let place = format!("gap: slot {slot} tenure {tenure}, after {}", self.after);
        if self.doubled > TokenCount::ZERO {
            return format!("{place}: {} tokens are told of twice", self.doubled);
        }
        if self.trailing > TokenCount::ZERO {
            let tokens = self.trailing;
            return format!("{place}: the row holds {tokens} tokens more; no record tells of them");
        }
        let tokens = self.missing;
        format!("{place}: {tokens} tokens are told of by no record")
    }
}

impl BudgetAudit {
    fn of(budget: &BudgetId, row: &BudgetRow, records: Vec<BillingRecord>) -> Self {
        let chains = audit_chains(budget, row, &records);
        let fold = fold_records(records);
        let line = audit_budget(budget, row, row.refunded, &fold);
        let requests = fold
            .charges
            .iter()
            .filter(|charge| charge.budget == *budget);
        let (gap, gap_tokens) = gap(line.gap);
        Self {
            budget: budget.clone(),
            organisation: row.organisation.clone(),
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
        }
    }

    fn is_sound(&self) -> bool {
        matches!(self.gap, GapKind::None | GapKind::Unreported)
            && self.chain_gaps.is_empty()
            && self.owed == TokenCount::ZERO
            && self.charged <= self.paid
    }

    /// Whether another look may find no gap: a segment is on its way, or the
    /// row was read before a grant was raised.
    fn may_change(&self) -> bool {
        let is_trailing = |line: &ChainLine| line.trailing > TokenCount::ZERO;
        let is_behind = self.gap == GapKind::Unrecorded || self.gap == GapKind::Overdrawn;
        let is_behind = is_behind || self.chain_gaps.iter().any(is_trailing);
        is_behind && self.chain_gaps.iter().all(is_trailing)
    }
}

/// Audits one budget, and looks again for at most `wait` while all that is
/// missing may be on its way.
pub async fn audit(
    settings: &CtlSettings,
    platform: &CtlPlatform,
    budget: &BudgetId,
    wait: Duration,
) -> Result<ExitCode, CtlError> {
    let begin = Instant::now();
    // The row first: what is settled by then comes into the journal, or is lost.
    let mut row = read_row(platform, budget).await?;
    let report = loop {
        let records = read_records(platform, &row.organisation).await?;
        let report = BudgetAudit::of(budget, &row, records);
        if !report.may_change() || begin.elapsed() >= wait {
            break report;
        }
        Timer::after(LOOK_INTERVAL).await;
        if report.gap == GapKind::Overdrawn {
            // A grant may have been raised, and drawn on, since the row was read.
            row = read_row(platform, budget).await?;
        }
    };
    print_report(settings, &report, audit_text)?;
    if report.is_sound() {
        Ok(ExitCode::Success)
    } else {
        Ok(ExitCode::AuditGap)
    }
}

async fn read_row(platform: &CtlPlatform, budget: &BudgetId) -> Result<BudgetRow, CtlError> {
    let row = read_budget(platform, budget).await?.row;
    row.ok_or_else(|| CtlError::NotFound {
        kind: "row of budget",
        name: budget.as_str().into(),
        hint: "; nothing was drawn from it, or there is no such budget".into(),
    })
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
