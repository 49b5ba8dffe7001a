//! Acceptance: pages first, then one transaction on the version row.

use guavawell_core::manifest::ContentDigest;
use guavawell_core::manifest::VERSION_KEY;
use guavawell_core::manifest::VersionConflict;
use guavawell_core::manifest::VersionProposal;
use guavawell_core::manifest::VersionRow;
use guavawell_core::manifest::VersionWord;
use guavawell_core::manifest::history_key;
use guavawell_core::manifest::page::BranchPage;
use guavawell_core::manifest::page::EncodedPage;
use guavawell_core::manifest::page::ManifestPages;
use guavawell_core::manifest::page::RootPage;
use guavawell_core::platform::WriteClass;

use super::ManifestStore;
use super::store::decode_row;
use crate::platform::PlatformError;
use crate::platform::TableCompare;
use crate::platform::TableOp;
use crate::platform::TableTxn;

/// Times that a write without an answer is looked up and sent again.
const MAX_RESENDS: usize = 5;

/// How an acceptance ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The manifest is accepted.
    Accepted(VersionRow),
    /// Another version is in force than the stated base.
    Conflict(VersionConflict),
    /// The platform gave no answer to the end: the row may be accepted still.
    InDoubt(VersionRow),
}

impl ManifestStore {
    /// Puts a manifest into force, on top of the base that the proposal states.
    ///
    /// Pages that the version in force has are not written again.
    ///
    /// # Errors
    /// [`PlatformError`] if nothing was accepted and nothing will be.
    pub async fn accept(
        &self,
        proposal: &VersionProposal,
        pages: &ManifestPages,
    ) -> Result<AcceptOutcome, PlatformError> {
        let stored = self.current().await?;
        let row = match proposal.on_top_of(stored.row.as_ref()) {
            Ok(row) => row,
            Err(conflict) => return Ok(AcceptOutcome::Conflict(conflict)),
        };
        let there = self.stored_pages(stored.row.as_ref(), pages).await;
        let missing: Vec<&EncodedPage> = pages
            .pages
            .iter()
            .chain([&pages.root])
            .filter(|page| there.binary_search(&page.digest).is_err())
            .collect();
        self.put_pages(&missing).await?;
        self.commit(row, stored.revision).await
    }

    /// The digests of new pages that the version in force has too, sorted.
    ///
    /// Only branch pages that differ are read, so that a change of one
    /// organisation reads two pages.
    async fn stored_pages(
        &self,
        current: Option<&VersionRow>,
        pages: &ManifestPages,
    ) -> Vec<ContentDigest> {
        let Some(current) = current else {
            return Vec::new();
        };
        // Without the old lists every page is written, which does no harm.
        let Ok(old) = self.read_root(current.root).await else {
            return Vec::new();
        };
        let Ok(new) = RootPage::decode(pages.root.digest, &pages.root.bytes) else {
            return Vec::new();
        };
        let mut there = vec![current.root, old.base];
        there.extend(&*old.backends);
        there.extend(&*old.branches);
        for (old, new) in old.branches.iter().zip(&new.branches) {
            if old == new {
                there.extend(branch_digests(pages.page(*new)));
            } else if let Ok(branch) = self.read_branch(*old).await {
                there.extend(&*branch.pages);
            }
        }
        there.sort();
        there
    }

    /// Writes a version row and its history, if the version row is still at
    /// `revision`. Its pages must be stored already.
    ///
    /// # Errors
    /// [`PlatformError`] if nothing was accepted and nothing will be.
    pub async fn commit(
        &self,
        row: VersionRow,
        revision: u64,
    ) -> Result<AcceptOutcome, PlatformError> {
        let txn = acceptance(&row, revision);
        let mut lost = false;
        for _ in 0..=MAX_RESENDS {
            match self.table.txn(&txn, WriteClass::Rest).await {
                Ok(answer) if answer.succeeded => return Ok(AcceptOutcome::Accepted(row)),
                Ok(answer) => {
                    let history = answer.row(0).map(decode_row).transpose()?;
                    let current = answer.row(1).map(decode_row).transpose()?;
                    return Ok(refused(row, history.as_ref(), current));
                }
                Err(PlatformError::Lost(_)) => lost = true,
                // An earlier send may still take effect.
                Err(_) if lost => {}
                Err(error) => return Err(error),
            }
            // Read back before the second try.
            match self.history(row.version).await {
                Ok(history) => match row.judge(history.as_ref()) {
                    VersionWord::Accepted => return Ok(AcceptOutcome::Accepted(row)),
                    VersionWord::Conflict(conflict) => {
                        return Ok(AcceptOutcome::Conflict(*conflict));
                    }
                    VersionWord::Open => {}
                },
                Err(error) => log::debug!("reading back version {}: {error}", row.version),
            }
        }
        Ok(AcceptOutcome::InDoubt(row))
    }
}

/// Writes the row and its history if the version row is as it was read.
fn acceptance(row: &VersionRow, revision: u64) -> TableTxn {
    let history = history_key(row.version);
    TableTxn {
        compares: vec![
            TableCompare::unchanged(VERSION_KEY, revision),
            TableCompare::absent(&history),
        ],
        success: vec![
            TableOp::put(VERSION_KEY, row.encode()),
            TableOp::put(&history, row.encode()),
        ],
        failure: vec![TableOp::get(&history), TableOp::get(VERSION_KEY)],
    }
}

/// The compare failed: our own earlier send was applied, or another's write.
fn refused(
    row: VersionRow,
    history: Option<&VersionRow>,
    current: Option<VersionRow>,
) -> AcceptOutcome {
    match row.judge(history) {
        VersionWord::Accepted => AcceptOutcome::Accepted(row),
        VersionWord::Conflict(conflict) => AcceptOutcome::Conflict(*conflict),
        VersionWord::Open => AcceptOutcome::Conflict(VersionConflict {
            stated: row.base,
            current,
        }),
    }
}

fn branch_digests(page: Option<&EncodedPage>) -> Vec<ContentDigest> {
    let decoded = page.and_then(|page| BranchPage::decode(page.digest, &page.bytes).ok());
    decoded.map_or_else(Vec::new, |branch| branch.pages.into())
}
