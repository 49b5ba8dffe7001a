//! `manifest check`

use std::fs;
use std::path::Path;

use guavawell_core::manifest::FleetManifest;
use guavawell_core::manifest::parse_manifest;
use serde::Serialize;

use crate::error::CtlError;
use crate::output::print_report;
use crate::settings::CtlSettings;

/// What a clean manifest holds.
#[derive(Debug, Serialize)]
struct CheckReport {
    shards: u16,
    zones: usize,
    organisations: usize,
    budgets: usize,
    models: usize,
    backends: usize,
    services: usize,
}

/// Checks a manifest and prints what it holds.
pub fn check(settings: &CtlSettings, file: &Path) -> Result<(), CtlError> {
    let manifest = read_manifest(file)?;
    let budgets = manifest.organisations.iter().map(|o| o.budgets.len());
    let report = CheckReport {
        shards: manifest.fleet.shards,
        zones: manifest.fleet.zones.len(),
        organisations: manifest.organisations.len(),
        budgets: budgets.sum(),
        models: manifest.models.len(),
        backends: manifest.backends.len(),
        services: manifest.services.len(),
    };
    print_report(settings, &report, |report| {
        format!(
            "no findings: {} organisations, {} budgets, {} models, {} backend servers, \
             {} services, {} zones, {} shards",
            report.organisations,
            report.budgets,
            report.models,
            report.backends,
            report.services,
            report.zones,
            report.shards
        )
    })
}

/// Reads a manifest; its findings are an error.
pub fn read_manifest(file: &Path) -> Result<FleetManifest, CtlError> {
    let text = fs::read_to_string(file).map_err(|source| CtlError::File {
        path: file.into(),
        source,
    })?;
    parse_manifest(&file.display().to_string(), &text).map_err(CtlError::Findings)
}
