//! Backend servers by id, and by model or service and zone.

use std::sync::Arc;

use crate::id::BackendId;
use crate::id::ModelId;
use crate::id::ServiceId;
use crate::id::ZoneId;
use crate::manifest::BackendEntry;
use crate::manifest::ContentDigest;
use crate::manifest::ServiceEntry;
use crate::manifest::page::BACKEND_PAGES;
use crate::manifest::page::BackendPage;

/// One page of backend servers and its digest.
#[derive(Debug)]
pub struct SharedBackends {
    /// The digest of the page's encoding.
    pub digest: ContentDigest,
    /// The backend servers, sorted by id.
    pub backends: Box<[Arc<BackendEntry>]>,
}

impl SharedBackends {
    /// A page as read.
    pub fn new(digest: ContentDigest, page: BackendPage) -> Self {
        let backends = page.backends.into_iter().map(Arc::new).collect();
        Self { digest, backends }
    }

    /// A page without backend servers.
    pub fn empty() -> Self {
        let page = BackendPage::new(Box::default());
        Self::new(page.encode().digest, page)
    }

    /// The page as it is stored.
    pub fn to_page(&self) -> BackendPage {
        let backends = self.backends.iter().map(|backend| (**backend).clone());
        BackendPage::new(backends.collect())
    }
}

/// The backend servers of one zone that serve one thing.
#[derive(Debug)]
struct ServingGroup<T> {
    target: T,
    zone: ZoneId,
    backends: Box<[Arc<BackendEntry>]>,
}

/// All backend servers.
#[derive(Debug)]
pub struct BackendTable {
    pages: Box<[Arc<SharedBackends>]>,
    by_id: Box<[Arc<BackendEntry>]>,
    by_model: Box<[ServingGroup<ModelId>]>,
    by_service: Box<[ServingGroup<ServiceId>]>,
}

impl BackendTable {
    /// A table without backend servers.
    pub fn empty() -> Self {
        let page = Arc::new(SharedBackends::empty());
        Self::new(vec![page; BACKEND_PAGES].into(), &[])
    }

    /// The table of these pages, for these services.
    pub fn new(pages: Box<[Arc<SharedBackends>]>, services: &[ServiceEntry]) -> Self {
        let mut by_id: Vec<Arc<BackendEntry>> = Vec::new();
        for page in &pages {
            by_id.extend(page.backends.iter().cloned());
        }
        by_id.sort_by(|a, b| a.id.cmp(&b.id));
        Self {
            by_model: group(model_targets(&by_id)),
            by_service: group(service_targets(&by_id, services)),
            by_id: by_id.into(),
            pages,
        }
    }

    /// The pages, [`BACKEND_PAGES`] of them.
    pub const fn pages(&self) -> &[Arc<SharedBackends>] {
        &self.pages
    }

    /// All backend servers, sorted by id.
    pub const fn all(&self) -> &[Arc<BackendEntry>] {
        &self.by_id
    }

    /// The backend server of this id.
    pub fn get(&self, id: &BackendId) -> Option<&Arc<BackendEntry>> {
        find(&self.by_id, id)
    }

    /// The backend servers of a zone that serve a model, sorted by id.
    pub fn of_model(&self, model: &ModelId, zone: &ZoneId) -> &[Arc<BackendEntry>] {
        serving(&self.by_model, model, zone)
    }

    /// The backend servers of a zone that run a service, sorted by id.
    pub fn of_service(&self, service: &ServiceId, zone: &ZoneId) -> &[Arc<BackendEntry>] {
        serving(&self.by_service, service, zone)
    }
}

/// A backend server and one thing that it serves.
type ServingPair<T> = (T, Arc<BackendEntry>);

fn model_targets(backends: &[Arc<BackendEntry>]) -> Vec<ServingPair<ModelId>> {
    let mut pairs = Vec::new();
    for backend in backends {
        let models = backend.models.iter().cloned();
        pairs.extend(models.map(|model| (model, Arc::clone(backend))));
    }
    pairs
}

fn service_targets(
    backends: &[Arc<BackendEntry>],
    services: &[ServiceEntry],
) -> Vec<ServingPair<ServiceId>> {
    let mut pairs = Vec::new();
    for service in services {
        let running = service.backends.iter().filter_map(|id| find(backends, id));
        pairs.extend(running.map(|backend| (service.id.clone(), Arc::clone(backend))));
    }
    pairs
}

fn group<T: Ord + Clone>(mut pairs: Vec<ServingPair<T>>) -> Box<[ServingGroup<T>]> {
    pairs.sort_by(|a, b| (&a.0, &a.1.zone, &a.1.id).cmp(&(&b.0, &b.1.zone, &b.1.id)));
    pairs
        .chunk_by(|a, b| a.0 == b.0 && a.1.zone == b.1.zone)
        .map(|pairs| ServingGroup {
            target: pairs[0].0.clone(),
            zone: pairs[0].1.zone.clone(),
            backends: pairs.iter().map(|pair| Arc::clone(&pair.1)).collect(),
        })
        .collect()
}

fn find<'b>(backends: &'b [Arc<BackendEntry>], id: &BackendId) -> Option<&'b Arc<BackendEntry>> {
    let found = backends.binary_search_by(|backend| backend.id.cmp(id));
    found.ok().map(|index| &backends[index])
}

fn serving<'g, T: Ord>(
    groups: &'g [ServingGroup<T>],
    target: &T,
    zone: &ZoneId,
) -> &'g [Arc<BackendEntry>] {
    let order = |group: &ServingGroup<T>| (&group.target, &group.zone).cmp(&(target, zone));
    let found = groups.binary_search_by(order);
    found.map_or(&[], |index| &groups[index].backends)
}
