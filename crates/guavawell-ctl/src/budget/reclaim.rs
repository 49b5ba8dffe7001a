//! `budget reclaim`: an operator's word about frozen tokens, kept in the table.

use std::fmt;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::FrozenReclaim;
use guavawell_core::budget::RowChange;
use guavawell_core::budget::SlotId;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BudgetId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::platform::WriteClass;
use guavawell_fleet::platform::PlatformError;
use guavawell_fleet::platform::TableCompare;
use guavawell_fleet::platform::TableOp;
use guavawell_fleet::platform::TableTxn;
use serde::Deserialize;
use serde::Serialize;

use super::read::budget_key;
use super::read::read_budget;
use crate::error::CtlError;
use crate::output::print_report;
use crate::output::time_text;
use crate::platform::CtlPlatform;
use crate::platform::read_row;
use crate::settings::CtlSettings;

/// Times that a reclaim is tried against other writers of the row.
const MAX_TRIES: usize = 20;

/// Frozen tokens to end, and why.
#[derive(Clone, Debug)]
pub struct Reclaim {
    /// The budget.
    pub budget: BudgetId,
    /// The frozen tokens, and what of them counts as spent.
    pub frozen: FrozenReclaim,
    /// Why.
    pub word: Box<str>,
}

/// The table's row of a reclaim, under `reclaim/{budget}/{zone}/{shard}/{tenure}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ReclaimRow {
    budget: BudgetId,
    slot: SlotId,
    tenure: SlotEpoch,
    /// Tokens that were frozen.
    tokens: TokenCount,
    /// Tokens of them that count as spent.
    spent: TokenCount,
    who: Box<str>,
    when: ClockTime,
    word: Box<str>,
}

impl fmt::Display for ReclaimRow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "reclaimed {} tokens of {}, slot {} tenure {}: {} spent, the rest unspent\n\
             by {}, {}: {}",
            self.tokens,
            self.budget,
            self.slot,
            self.tenure,
            self.spent,
            self.who,
            time_text(self.when),
            self.word
        )
    }
}

/// Ends frozen tokens once; the row of the reclaim tells who, when and why.
pub async fn reclaim(settings: &CtlSettings, reclaim: Reclaim) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let FrozenReclaim { slot, tenure, .. } = &reclaim.frozen;
    let key = format!("reclaim/{}/{slot}/{tenure}", reclaim.budget);
    for _ in 0..MAX_TRIES {
        // After a lost answer, the row found in place is ours.
        let read = platform.table.get(&key).await?;
        if let Some(row) = &read.row {
            let row: ReclaimRow = read_row(row)?;
            return print_report(settings, &row, ToString::to_string);
        }
        match write(settings, &platform, &reclaim, &key).await {
            Ok(_) | Err(CtlError::Platform(PlatformError::Lost(_))) => {}
            Err(error) => return Err(error),
        }
    }
    Err(CtlError::Contended(budget_key(&reclaim.budget)))
}

/// Writes both rows in one transaction; whether it took effect is read back.
async fn write(
    settings: &CtlSettings,
    platform: &CtlPlatform,
    reclaim: &Reclaim,
    key: &str,
) -> Result<bool, CtlError> {
    let stored = read_budget(platform, &reclaim.budget).await?;
    let row = stored.row.ok_or_else(|| not_found(reclaim))?;
    let tokens = frozen_tokens(&row, &reclaim.frozen);
    let RowChange::Write(changed) = row.reclaim_frozen(&reclaim.frozen)? else {
        return Err(not_found(reclaim));
    };
    let tokens = tokens.ok_or_else(|| not_found(reclaim))?;
    let record = ReclaimRow {
        budget: reclaim.budget.clone(),
        slot: reclaim.frozen.slot.clone(),
        tenure: reclaim.frozen.tenure,
        tokens,
        spent: reclaim.frozen.spent.unwrap_or(tokens).min(tokens),
        who: settings.who.clone(),
        when: now(),
        word: reclaim.word.clone(),
    };
    let budget_key = budget_key(&reclaim.budget);
    let txn = TableTxn {
        compares: vec![
            TableCompare::unchanged(&budget_key, stored.revision),
            TableCompare::absent(key),
        ],
        success: vec![
            TableOp::put(&budget_key, json(&changed)?),
            TableOp::put(key, json(&record)?),
        ],
        failure: Vec::new(),
    };
    let answer = platform.table.txn(&txn, WriteClass::Money).await?;
    Ok(answer.succeeded)
}

fn frozen_tokens(row: &BudgetRow, reclaim: &FrozenReclaim) -> Option<TokenCount> {
    let found = row
        .frozen
        .iter()
        .find(|frozen| frozen.slot == reclaim.slot && frozen.tenure == reclaim.tenure);
    found.map(|frozen| frozen.tokens)
}

fn not_found(reclaim: &Reclaim) -> CtlError {
    let FrozenReclaim { slot, tenure, .. } = &reclaim.frozen;
    CtlError::NotFound {
        kind: "frozen tokens of",
        name: format!("{}, slot {slot} tenure {tenure}", reclaim.budget).into(),
        hint: "; see `budget show`".into(),
    }
}

fn json<T: Serialize>(value: &T) -> Result<Vec<u8>, CtlError> {
    Ok(serde_json::to_vec(value).map_err(std::io::Error::from)?)
}

fn now() -> ClockTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |span| span.as_millis());
    ClockTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
