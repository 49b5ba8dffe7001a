//! From checked sections to the typed, sorted manifest.

use super::name::sorted_unique;
use super::reference::check_references;
use crate::finding::SourceText;
use crate::id::BudgetId;
use crate::id::OrganisationId;
use crate::id::ZoneId;
use crate::manifest::AdapterEntry;
use crate::manifest::BackendEntry;
use crate::manifest::BudgetEntry;
use crate::manifest::BudgetList;
use crate::manifest::FleetManifest;
use crate::manifest::FleetShape;
use crate::manifest::ModelEntry;
use crate::manifest::OrganisationEntry;
use crate::manifest::ServiceEntry;
use crate::manifest::parse::ManifestSections;
use crate::manifest::section::BackendSection;
use crate::manifest::section::BudgetSection;
use crate::manifest::section::ModelSection;
use crate::manifest::section::OrganisationSection;
use crate::manifest::section::ServiceSection;

/// Checks the sections and assembles the manifest.
///
/// Entries that miss something that they need are left out; a finding has been
/// reported for each.
pub fn assemble(sections: ManifestSections, source: &mut SourceText<'_>) -> FleetManifest {
    check_references(&sections, source);
    let zones = sorted_unique(sections.fleet.zones, "fleet.zones", source);
    let models = sorted_by_id(
        sections.models,
        |section| Some(model_entry(section, &zones, source)),
        |model| &model.id,
    );
    let backends = sorted_by_id(
        sections.backends,
        |section| backend_entry(section, source),
        |backend| &backend.id,
    );
    let services = sorted_by_id(
        sections.services,
        |section| Some(service_entry(section, source)),
        |service| &service.id,
    );
    let organisations = organisation_entries(sections.organisations, sections.budgets, source);
    let fleet = FleetShape {
        shards: sections.fleet.shards,
        zones,
    };
    FleetManifest {
        fleet,
        organisations,
        models,
        backends,
        services,
    }
}

fn sorted_by_id<S, E, I: Ord>(
    sections: Vec<S>,
    build: impl FnMut(S) -> Option<E>,
    id: impl Fn(&E) -> &I,
) -> Box<[E]> {
    let mut entries: Vec<E> = sections.into_iter().filter_map(build).collect();
    entries.sort_by(|a, b| id(a).cmp(id(b)));
    entries.into()
}

fn organisation_entries(
    organisations: Vec<OrganisationSection>,
    budgets: Vec<BudgetSection>,
    source: &mut SourceText<'_>,
) -> Box<[OrganisationEntry]> {
    let mut budgets = owned_budgets(budgets).into_iter().peekable();
    let mut entries = sorted_by_id(
        organisations,
        |section| organisation_entry(section, source),
        |organisation| &organisation.id,
    );
    for entry in &mut entries {
        while budgets.next_if(|budget| budget.owner < entry.id).is_some() {}
        let mut own = Vec::new();
        while let Some(budget) = budgets.next_if(|budget| budget.owner == entry.id) {
            own.push(budget.entry);
        }
        entry.budgets = own.into_iter().collect();
    }
    entries
}

/// A budget and the organisation that paid for it.
struct OwnedBudget {
    owner: OrganisationId,
    entry: BudgetEntry,
}

/// The budgets, sorted by organisation and id.
fn owned_budgets(budgets: Vec<BudgetSection>) -> Vec<OwnedBudget> {
    let mut owned: Vec<OwnedBudget> = budgets
        .into_iter()
        .filter_map(|section| {
            let entry = BudgetEntry {
                id: section.id.value,
                paid: section.paid,
            };
            let owner = section.organisation?.value;
            Some(OwnedBudget { owner, entry })
        })
        .collect();
    owned.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    owned
}

const fn sort_key(budget: &OwnedBudget) -> (&OrganisationId, &BudgetId) {
    (&budget.owner, &budget.entry.id)
}

fn organisation_entry(
    section: OrganisationSection,
    source: &mut SourceText<'_>,
) -> Option<OrganisationEntry> {
    let key = format!("{}.adapters", section.path);
    Some(OrganisationEntry {
        id: section.id.value,
        key_hash: section.key_hash?.value,
        default_budget: section.default_budget?.value,
        weight: section.weight,
        adapters: sorted_unique(section.adapters, &key, source),
        budgets: BudgetList::default(),
    })
}

fn model_entry(
    section: ModelSection,
    all_zones: &[ZoneId],
    source: &mut SourceText<'_>,
) -> ModelEntry {
    let key = format!("{}.zones", section.path);
    let zones = if section.zones.is_empty() {
        all_zones.into()
    } else {
        sorted_unique(section.zones, &key, source)
    };
    let mut adapters: Vec<AdapterEntry> = section
        .adapters
        .into_iter()
        .map(|adapter| AdapterEntry {
            id: adapter.id.value,
            version: adapter.version,
        })
        .collect();
    adapters.sort_by(|a, b| a.id.cmp(&b.id));
    ModelEntry {
        id: section.id.value,
        version: section.version,
        max_output: section.max_output,
        replicas_per_zone: section.replicas_per_zone,
        zones,
        adapters: adapters.into(),
    }
}

fn backend_entry(section: BackendSection, source: &mut SourceText<'_>) -> Option<BackendEntry> {
    let key = format!("{}.models", section.path);
    Some(BackendEntry {
        id: section.id.value,
        zone: section.zone?.value,
        address: section.address?.value.get(),
        kind: section.kind?.value,
        models: sorted_unique(section.models, &key, source),
        slots: section.slots,
        fences_orders: section.fences_orders,
        fences_requests: section.fences_requests,
        leaving: section.leaving,
    })
}

fn service_entry(section: ServiceSection, source: &mut SourceText<'_>) -> ServiceEntry {
    let key = format!("{}.backends", section.path);
    ServiceEntry {
        id: section.id.value,
        cost_tokens: section.cost_tokens,
        idempotent: section.idempotent,
        backends: sorted_unique(section.backends, &key, source),
    }
}
