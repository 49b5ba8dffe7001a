//! `manifest history`

use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::VersionRow;

use crate::error::CtlError;
use crate::output::TextTable;
use crate::output::print_report;
use crate::output::time_text;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Prints accepted versions, newest first.
pub async fn history(settings: &CtlSettings, limit: u64) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let newest = platform.current().await?.version.get();
    let oldest = newest.saturating_sub(limit.saturating_sub(1)).max(1);
    let mut rows = Vec::new();
    for version in (oldest..=newest)
        .rev()
        .take(limit.try_into().unwrap_or(usize::MAX))
    {
        let version = ManifestVersion::new(version);
        rows.extend(platform.store.history(version).await?);
    }
    print_report(settings, &rows, |rows| history_text(rows))
}

fn history_text(rows: &[VersionRow]) -> String {
    let mut table = TextTable::new(&["VERSION", "BASE", "WHO", "WHEN", "ROOT"]);
    for row in rows {
        table.push(vec![
            row.version.to_string(),
            row.base.to_string(),
            row.who.to_string(),
            time_text(row.when),
            row.root.to_string(),
        ]);
    }
    table.to_string()
}
