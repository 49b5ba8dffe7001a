//! From an operator's file to a [`FleetManifest`], or to all its findings.

use super::FleetManifest;
use super::check;
use super::section::BackendSection;
use super::section::BudgetSection;
use super::section::FleetSection;
use super::section::ModelSection;
use super::section::OrganisationSection;
use super::section::ServiceSection;
use crate::finding::FindingList;
use crate::finding::FindingProblem;
use crate::finding::SourceText;
use crate::finding::TableReader;
use crate::finding::ValueKind;

/// All sections of a manifest file, as read.
#[derive(Debug)]
pub(super) struct ManifestSections {
    pub fleet: FleetSection,
    pub organisations: Vec<OrganisationSection>,
    pub budgets: Vec<BudgetSection>,
    pub models: Vec<ModelSection>,
    pub backends: Vec<BackendSection>,
    pub services: Vec<ServiceSection>,
}

/// Reads a manifest.
///
/// `file` is the name used in findings, `text` its content.
///
/// # Errors
/// Returns every finding with its place: syntax errors alone if there are any,
/// all others together otherwise.
pub fn parse_manifest(file: &str, text: &str) -> Result<FleetManifest, FindingList> {
    let mut source = SourceText::new(file, text);
    let table = source.parse()?;
    let sections = read_sections(TableReader::root(&table), &mut source);
    drop(table);
    let manifest = check::assemble(sections, &mut source);
    source.into_result(manifest)
}

fn read_sections(mut root: TableReader<'_, '_>, source: &mut SourceText<'_>) -> ManifestSections {
    let fleet = read_fleet(&mut root, source);
    let organisations = read_all(&mut root, "organisation", source, OrganisationSection::read);
    let budgets = read_all(&mut root, "budget", source, BudgetSection::read);
    let models = read_all(&mut root, "model", source, ModelSection::read);
    let backends = read_all(&mut root, "backend", source, BackendSection::read);
    let services = read_all(&mut root, "service", source, ServiceSection::read);
    root.finish(source);
    ManifestSections {
        fleet,
        organisations,
        budgets,
        models,
        backends,
        services,
    }
}

fn read_fleet(root: &mut TableReader<'_, '_>, source: &mut SourceText<'_>) -> FleetSection {
    if let Some(table) = root.table("fleet", source) {
        return FleetSection::read(table, source);
    }
    let expected = ValueKind::Table;
    source.report(0, "fleet", FindingProblem::MissingKey { expected });
    FleetSection::missing()
}

fn read_all<T>(
    root: &mut TableReader<'_, '_>,
    key: &'static str,
    source: &mut SourceText<'_>,
    read: impl Fn(TableReader<'_, '_>, &mut SourceText<'_>) -> Option<T>,
) -> Vec<T> {
    root.tables(key, source)
        .into_iter()
        .filter_map(|table| read(table, source))
        .collect()
}
