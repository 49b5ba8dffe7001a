//! `backend list`

use guavawell_core::id::ModelId;
use guavawell_core::manifest::BackendEntry;
use guavawell_core::manifest::page::BACKEND_PAGES;

use crate::error::CtlError;
use crate::output::TextTable;
use crate::output::print_report;
use crate::platform::CtlPlatform;
use crate::settings::CtlSettings;

/// Prints the backend servers of the manifest in force.
pub async fn list(settings: &CtlSettings) -> Result<(), CtlError> {
    let platform = CtlPlatform::new(settings)?;
    let backends = read_backends(&platform).await?;
    print_report(settings, &backends, |backends| list_text(backends))
}

/// Reads every backend server, sorted by id.
pub async fn read_backends(platform: &CtlPlatform) -> Result<Vec<BackendEntry>, CtlError> {
    let root = platform.current_root().await?;
    let mut backends = Vec::new();
    for number in 0..BACKEND_PAGES {
        let page = platform.store.read_backends(&root, number).await?;
        backends.extend(page.backends);
    }
    backends.sort_by(|a, b| a.id.cmp(&b.id));
    Ok(backends)
}

fn list_text(backends: &[BackendEntry]) -> String {
    let mut table = TextTable::new(&[
        "BACKEND", "ZONE", "ADDRESS", "KIND", "SLOTS", "FENCES", "STATE", "MODELS",
    ]);
    for backend in backends {
        let models: Vec<&str> = backend.models.iter().map(ModelId::as_str).collect();
        table.push(vec![
            backend.id.to_string(),
            backend.zone.to_string(),
            backend.address.to_string(),
            backend.kind.to_string(),
            backend.slots.to_string(),
            fences(backend).to_owned(),
            if backend.leaving {
                "leaving"
            } else {
                "serving"
            }
            .to_owned(),
            models.join(","),
        ]);
    }
    table.to_string()
}

const fn fences(backend: &BackendEntry) -> &'static str {
    match (backend.fences_orders, backend.fences_requests) {
        (false, false) => "nothing",
        (true, false) => "orders",
        (false, true) => "requests",
        (true, true) => "orders,requests",
    }
}
