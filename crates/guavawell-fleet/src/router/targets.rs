//! What the manifest's entries mean for routing and admission.

use guavawell_core::backend::BackendSpec;
use guavawell_core::backend::ModelVersion;
use guavawell_core::backend::RouteTarget;
use guavawell_core::backend::ServedModel;
use guavawell_core::id::ModelId;
use guavawell_core::manifest::FleetView;

/// Every model, adapter and service of the manifest.
#[must_use]
pub fn route_targets(view: &FleetView) -> Vec<RouteTarget> {
    let models = view.models().iter();
    let models = models.map(|model| RouteTarget::Model(model.id.clone()));
    let services = view.services().iter();
    let services = services.map(|service| RouteTarget::Service(service.id.clone()));
    models.chain(services).collect()
}

/// Every backend server of the manifest as routing needs it.
#[must_use]
pub fn backend_specs(view: &FleetView) -> Vec<BackendSpec> {
    let spec = |entry: &guavawell_core::manifest::BackendEntry| BackendSpec {
        id: entry.id.clone(),
        zone: entry.zone.clone(),
        models: entry
            .models
            .iter()
            .filter_map(|model| served_model(view, model))
            .collect(),
        services: view
            .services()
            .iter()
            .filter(|service| service.backends.contains(&entry.id))
            .map(|service| service.id.clone())
            .collect(),
        leaving: entry.leaving,
    };
    view.backends().iter().map(|entry| spec(entry)).collect()
}

fn served_model(view: &FleetView, model: &ModelId) -> Option<ServedModel> {
    let entry = view.model(model)?;
    let version: ModelVersion = entry.version.parse().ok()?;
    Some(ServedModel {
        model: model.clone(),
        version,
    })
}
