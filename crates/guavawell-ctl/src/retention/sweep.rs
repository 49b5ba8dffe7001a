//! `retention sweep`

use guavawell_fleet::retention::PageAsk;
use guavawell_fleet::retention::RetentionTable;
use serde::Serialize;

use crate::error::CtlError;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// What a sweep came to.
#[derive(Debug, Default, Serialize)]
struct SweepReport {
    /// Claims looked at.
    seen: u64,
    /// Claims that were due.
    due: u64,
    /// Claims deleted, as far as answers tell.
    deleted: u64,
    /// Pages in which a delete met another write, or got no answer.
    open_pages: u64,
}

/// Deletes what is due, or only counts it.
pub async fn sweep(settings: &CtlSettings, dry_run: bool) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let table = RetentionTable::new(platform.table);
    let due_before = table.read().await?.due_before();
    let mut report = SweepReport::default();
    let mut cursor: Option<Box<str>> = None;
    loop {
        let page = table
            .sweep_page(&PageAsk::all(cursor.as_deref()), due_before, dry_run)
            .await?;
        report.seen += page.seen;
        report.due += page.due;
        report.deleted += page.deleted;
        report.open_pages += u64::from(page.is_open);
        cursor = page.cursor;
        if cursor.is_none() {
            break;
        }
    }
    print_report(settings, &report, sweep_text)
}

fn sweep_text(report: &SweepReport) -> String {
    let SweepReport {
        seen,
        due,
        deleted,
        open_pages,
    } = report;
    let counts = format!("{seen} claims looked at, {due} due, {deleted} deleted\n");
    if *open_pages == 0 {
        return counts;
    }
    format!("{counts}{open_pages} pages may still hold due claims: run it again\n")
}
