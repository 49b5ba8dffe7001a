//! Unique names and references between sections.

use super::name::NameTable;
use super::name::StatedName;
use crate::finding::FindingProblem;
use crate::finding::PlacedValue;
use crate::finding::SourceText;
use crate::id::BudgetId;
use crate::id::OrganisationId;
use crate::manifest::BackendKind;
use crate::manifest::parse::ManifestSections;
use crate::manifest::section::BackendSection;
use crate::manifest::section::BudgetSection;
use crate::manifest::section::ServiceSection;

/// Reports every name stated twice and every reference that leads nowhere.
pub fn check_references(sections: &ManifestSections, source: &mut SourceText<'_>) {
    check_fleet(sections, source);
    check_organisations(sections, source);
    check_models(sections, source);
    check_backends(sections, source);
    check_services(sections, source);
}

fn check_fleet(sections: &ManifestSections, source: &mut SourceText<'_>) {
    if sections.fleet.zones.is_empty() {
        let reason = "a fleet needs at least one availability zone".into();
        let problem = FindingProblem::Conflict { reason };
        source.report(sections.fleet.offset, "fleet.zones", problem);
    }
}

fn check_organisations(sections: &ManifestSections, source: &mut SourceText<'_>) {
    let organisations = organisation_names(sections, source);
    let budgets = budget_names(sections, source);
    let adapters = adapter_names(sections);
    let owners = budget_owners(&sections.budgets);
    check_key_hashes(sections, source);
    for section in &sections.organisations {
        let key = format!("{}.adapters", section.path);
        for adapter in &section.adapters {
            adapters.check(adapter.value.as_str(), adapter.offset, &key, source);
        }
        let Some(budget) = &section.default_budget else {
            continue;
        };
        let key = format!("{}.default_budget", section.path);
        if budgets.check(budget.value.as_str(), budget.offset, &key, source) {
            check_owner(&owners, budget, &section.id.value, &key, source);
        }
    }
    for section in &sections.budgets {
        let Some(organisation) = &section.organisation else {
            continue;
        };
        let key = format!("{}.organisation", section.path);
        let name = organisation.value.as_str();
        organisations.check(name, organisation.offset, &key, source);
    }
}

fn check_key_hashes(sections: &ManifestSections, source: &mut SourceText<'_>) {
    let hashes: Vec<(String, usize, &str)> = sections
        .organisations
        .iter()
        .filter_map(|section| {
            let hash = section.key_hash.as_ref()?;
            Some((hash.value.to_string(), hash.offset, &*section.path))
        })
        .collect();
    let names = hashes.iter().map(|(name, offset, path)| StatedName {
        name,
        offset: *offset,
        path,
        key: "key_hash",
    });
    NameTable::new("key hash", names.collect(), source);
}

/// Who paid for each budget, sorted by budget.
type OwnerList<'s> = Vec<(&'s BudgetId, &'s OrganisationId)>;

fn budget_owners(budgets: &[BudgetSection]) -> OwnerList<'_> {
    let mut owners: OwnerList<'_> = budgets
        .iter()
        .filter_map(|section| Some((&section.id.value, &section.organisation.as_ref()?.value)))
        .collect();
    owners.sort();
    owners
}

fn check_owner(
    owners: &OwnerList<'_>,
    budget: &PlacedValue<BudgetId>,
    organisation: &OrganisationId,
    key: &str,
    source: &mut SourceText<'_>,
) {
    let Ok(index) = owners.binary_search_by_key(&&budget.value, |owner| owner.0) else {
        return;
    };
    let owner = owners[index].1;
    if owner == organisation {
        return;
    }
    let reason = format!(
        "budget `{}` belongs to organisation `{owner}`; name a budget of `{organisation}`",
        budget.value
    );
    let reason = reason.into();
    source.report(budget.offset, key, FindingProblem::Conflict { reason });
}

fn check_models(sections: &ManifestSections, source: &mut SourceText<'_>) {
    // Callers name a model or an adapter in the same field, so both share one
    // name space.
    let mut names = Vec::new();
    for section in &sections.models {
        names.push(StatedName {
            name: section.id.value.as_str(),
            offset: section.id.offset,
            path: &section.path,
            key: "id",
        });
        names.extend(section.adapters.iter().map(|adapter| StatedName {
            name: adapter.id.value.as_str(),
            offset: adapter.id.offset,
            path: &adapter.path,
            key: "id",
        }));
    }
    NameTable::new("model or adapter", names, source);
    let zones = zone_names(sections);
    for section in &sections.models {
        let key = format!("{}.zones", section.path);
        for zone in &section.zones {
            zones.check(zone.value.as_str(), zone.offset, &key, source);
        }
    }
}

fn check_backends(sections: &ManifestSections, source: &mut SourceText<'_>) {
    let names = sections.backends.iter().map(|section| StatedName {
        name: section.id.value.as_str(),
        offset: section.id.offset,
        path: &section.path,
        key: "id",
    });
    NameTable::new("backend", names.collect(), source);
    check_addresses(sections, source);
    let zones = zone_names(sections);
    let models = model_names(sections);
    for section in &sections.backends {
        if let Some(zone) = &section.zone {
            let key = format!("{}.zone", section.path);
            zones.check(zone.value.as_str(), zone.offset, &key, source);
        }
        let key = format!("{}.models", section.path);
        for model in &section.models {
            models.check(model.value.as_str(), model.offset, &key, source);
        }
        if is_service(section) && !section.models.is_empty() {
            let reason = "a backend server of kind `service` serves no models".into();
            let problem = FindingProblem::Conflict { reason };
            source.report(section.models[0].offset, &key, problem);
        }
    }
}

fn check_addresses(sections: &ManifestSections, source: &mut SourceText<'_>) {
    let addresses: Vec<(String, usize, &str)> = sections
        .backends
        .iter()
        .filter_map(|section| {
            let address = section.address.as_ref()?;
            Some((address.value.to_string(), address.offset, &*section.path))
        })
        .collect();
    let names = addresses.iter().map(|(name, offset, path)| StatedName {
        name,
        offset: *offset,
        path,
        key: "address",
    });
    NameTable::new("address", names.collect(), source);
}

fn check_services(sections: &ManifestSections, source: &mut SourceText<'_>) {
    let names = sections.services.iter().map(|section| StatedName {
        name: section.id.value.as_str(),
        offset: section.id.offset,
        path: &section.path,
        key: "id",
    });
    NameTable::new("service", names.collect(), source);
    let backends = service_backend_names(sections);
    for section in &sections.services {
        check_service(section, &backends, source);
    }
}

fn check_service(section: &ServiceSection, backends: &NameTable<'_>, source: &mut SourceText<'_>) {
    let key = format!("{}.backends", section.path);
    if section.backends.is_empty() {
        let reason = "a service needs at least one backend server".into();
        let problem = FindingProblem::Conflict { reason };
        source.report(section.id.offset, &key, problem);
    }
    for backend in &section.backends {
        backends.check(backend.value.as_str(), backend.offset, &key, source);
    }
}

fn is_service(section: &BackendSection) -> bool {
    let kind = section.kind.as_ref().map(|kind| kind.value);
    kind == Some(BackendKind::Service)
}

fn organisation_names<'s>(
    sections: &'s ManifestSections,
    source: &mut SourceText<'_>,
) -> NameTable<'s> {
    let names = sections.organisations.iter().map(|section| StatedName {
        name: section.id.value.as_str(),
        offset: section.id.offset,
        path: &section.path,
        key: "id",
    });
    NameTable::new("organisation", names.collect(), source)
}

fn budget_names<'s>(sections: &'s ManifestSections, source: &mut SourceText<'_>) -> NameTable<'s> {
    let names = sections.budgets.iter().map(|section| StatedName {
        name: section.id.value.as_str(),
        offset: section.id.offset,
        path: &section.path,
        key: "id",
    });
    NameTable::new("budget", names.collect(), source)
}

fn adapter_names(sections: &ManifestSections) -> NameTable<'_> {
    let adapters = sections.models.iter().flat_map(|model| &model.adapters);
    NameTable::unchecked("adapter", adapters.map(|adapter| adapter.id.value.as_str()))
}

fn model_names(sections: &ManifestSections) -> NameTable<'_> {
    let models = sections.models.iter();
    NameTable::unchecked("model", models.map(|model| model.id.value.as_str()))
}

fn zone_names(sections: &ManifestSections) -> NameTable<'_> {
    let zones = sections.fleet.zones.iter();
    NameTable::unchecked("zone", zones.map(|zone| zone.value.as_str()))
}

fn service_backend_names(sections: &ManifestSections) -> NameTable<'_> {
    let backends = sections
        .backends
        .iter()
        .filter(|section| is_service(section));
    let names = backends.map(|section| section.id.value.as_str());
    NameTable::unchecked("backend server of kind `service`", names)
}
