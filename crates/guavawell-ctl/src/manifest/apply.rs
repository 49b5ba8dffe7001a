//! `manifest apply`

use std::path::Path;

use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::FleetManifest;
use guavawell_core::manifest::VersionProposal;
use guavawell_core::manifest::VersionRow;
use guavawell_core::manifest::check_change;
use guavawell_core::manifest::page::ManifestPages;
use guavawell_fleet::clock;
use guavawell_fleet::config::AcceptOutcome;

use super::check::read_manifest;
use crate::error::CtlError;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Puts a manifest into force on top of a stated version.
pub async fn apply(
    settings: &CtlSettings,
    base: ManifestVersion,
    file: &Path,
) -> Result<(), CtlError> {
    let manifest = read_manifest(file)?;
    let platform = CtlPlatform::new(settings)?;
    check_shape(&platform, base, file, &manifest).await?;
    let pages = ManifestPages::of(&manifest);
    let row = commit(settings, &platform, base, &pages).await?;
    print_report(settings, &row, |row| {
        format!("accepted as version {}, root {}", row.version, row.root)
    })
}

/// Puts pages into force on top of a stated version.
pub async fn commit(
    settings: &CtlSettings,
    platform: &CtlPlatform,
    base: ManifestVersion,
    pages: &ManifestPages,
) -> Result<VersionRow, CtlError> {
    let proposal = VersionProposal {
        base,
        root: pages.root.digest,
        who: settings.who.clone(),
        when: clock::now(),
        nonce: fastrand::u64(..),
    };
    match platform.store.accept(&proposal, pages).await? {
        AcceptOutcome::Accepted(row) => Ok(row),
        AcceptOutcome::Conflict(conflict) => Err(CtlError::Conflict(Box::new(conflict))),
        AcceptOutcome::InDoubt(row) => Err(CtlError::VersionInDoubt(Box::new(row))),
    }
}

/// Compares the shape with the one in force. On another base than the one in
/// force the acceptance will report the conflict.
async fn check_shape(
    platform: &CtlPlatform,
    base: ManifestVersion,
    file: &Path,
    manifest: &FleetManifest,
) -> Result<(), CtlError> {
    let current = platform.store.current().await?.row;
    let Some(current) = current.filter(|row| row.version == base) else {
        return Ok(());
    };
    let root = platform.store.read_root(current.root).await?;
    let old = platform.store.read_base(&root).await?;
    let file = file.display().to_string();
    check_change(&file, &old.fleet, &manifest.fleet).map_err(CtlError::Findings)
}
