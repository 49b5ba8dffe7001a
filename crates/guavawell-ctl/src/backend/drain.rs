//! `backend drain`

use guavawell_core::finding::nearest_word;
use guavawell_core::id::BackendId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::page::BackendPage;
use guavawell_core::manifest::page::ManifestPages;
use guavawell_core::manifest::page::RootPage;
use guavawell_core::manifest::page::backend_page;
use serde::Serialize;

use super::list::read_backends;
use crate::error::CtlError;
use crate::manifest::commit;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Times that the mark is put on top of another operator's new version.
const MAX_TRIES: usize = 5;

/// A backend server that is marked as leaving.
#[derive(Debug, Serialize)]
struct DrainReport {
    backend: BackendId,
    /// The version that marks it.
    version: ManifestVersion,
    /// Whether this command marked it; false if it was marked before.
    changed: bool,
}

/// Marks a backend server as leaving, on top of the version in force.
pub async fn drain(settings: &CtlSettings, backend: &BackendId) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    for _ in 0..MAX_TRIES {
        match try_drain(settings, &platform, backend).await {
            Ok(report) => {
                return print_report(settings, &report, |report| {
                    format!(
                        "{} is leaving by version {}; it gets no new work",
                        report.backend, report.version
                    )
                });
            }
            // The mark fits any version: put it on top of the newer one.
            Err(CtlError::Conflict(_)) => {}
            Err(error) => return Err(error),
        }
    }
    Err(CtlError::Contended("version".into()))
}

async fn try_drain(
    settings: &CtlSettings,
    platform: &CtlPlatform,
    backend: &BackendId,
) -> Result<DrainReport, CtlError> {
    let current = platform.current().await?;
    let root = platform.store.read_root(current.root).await?;
    let number = backend_page(backend);
    let page = platform.store.read_backends(&root, number).await?;
    let Some(entry) = page.backends.iter().find(|entry| entry.id == *backend) else {
        return Err(not_found(platform, backend).await?);
    };
    if entry.leaving {
        return Ok(DrainReport {
            backend: backend.clone(),
            version: current.version,
            changed: false,
        });
    }
    let pages = marked_pages(root, number, page, backend);
    let row = commit(settings, platform, current.version, &pages).await?;
    Ok(DrainReport {
        backend: backend.clone(),
        version: row.version,
        changed: true,
    })
}

/// The two pages that the mark renews.
fn marked_pages(
    mut root: RootPage,
    number: usize,
    mut page: BackendPage,
    backend: &BackendId,
) -> ManifestPages {
    for entry in &mut page.backends {
        entry.leaving |= entry.id == *backend;
    }
    let page = page.encode();
    root.backends[number] = page.digest;
    ManifestPages {
        root: root.encode(),
        pages: vec![page],
    }
}

async fn not_found(platform: &CtlPlatform, backend: &BackendId) -> Result<CtlError, CtlError> {
    let backends = read_backends(platform).await?;
    let names: Vec<&str> = backends.iter().map(|entry| entry.id.as_str()).collect();
    let nearest = nearest_word(backend.as_str(), &names);
    let hint = nearest.map_or_else(String::new, |name| format!("; the nearest is `{name}`"));
    Ok(CtlError::NotFound {
        kind: "backend server",
        name: backend.as_str().into(),
        hint: hint.into(),
    })
}
