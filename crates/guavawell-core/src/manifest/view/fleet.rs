//! One version of the manifest, ready for lookups.

use std::sync::Arc;

use super::ViewUpdate;
use super::backend::BackendTable;
use super::branch::SharedBranch;
use super::branch::SharedPage;
use super::key::KeyIndex;
use crate::budget::shard_of;
use crate::id::BackendId;
use crate::id::BudgetId;
use crate::id::ManifestVersion;
use crate::id::ModelId;
use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::id::ShardId;
use crate::id::ZoneId;
use crate::manifest::AdapterEntry;
use crate::manifest::BackendEntry;
use crate::manifest::ContentDigest;
use crate::manifest::FleetManifest;
use crate::manifest::FleetShape;
use crate::manifest::KeyHash;
use crate::manifest::ModelEntry;
use crate::manifest::OrganisationEntry;
use crate::manifest::ServiceEntry;
use crate::manifest::StatedBudget;
use crate::manifest::page;
use crate::manifest::page::BRANCH_PAGES;
use crate::manifest::page::BRANCHES;
use crate::manifest::page::BasePage;
use crate::manifest::page::EncodedPage;
use crate::manifest::page::ManifestPages;
use crate::manifest::page::RootPage;

/// One version of the manifest, in the form that requests read.
///
/// A lookup is a hash or a binary search; none grows with the number of
/// organisations or budgets but by the depth of a binary search. A view shares
/// each unchanged part with the view that it was updated from.
#[derive(Clone, Debug)]
pub struct FleetView {
    pub(super) version: ManifestVersion,
    pub(super) root: ContentDigest,
    pub(super) base: Arc<SharedBase>,
    pub(super) backends: Arc<BackendTable>,
    pub(super) branches: Box<[Arc<SharedBranch>]>,
    pub(super) keys: KeyIndex,
}

/// The base page, its digest and the models' adapters.
#[derive(Debug)]
pub struct SharedBase {
    /// The digest of the page's encoding.
    pub digest: ContentDigest,
    /// The page.
    pub page: BasePage,
    /// Each adapter with the index of its model, sorted by adapter.
    adapters: Box<[(ModelId, usize)]>,
}

/// What a caller's `model` field names: a model, or an adapter of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelChoice<'v> {
    /// The model.
    pub model: &'v ModelEntry,
    /// The adapter, if one was named.
    pub adapter: Option<&'v AdapterEntry>,
}

impl SharedBase {
    /// A base page as read.
    pub fn new(digest: ContentDigest, page: BasePage) -> Self {
        let mut adapters: Vec<(ModelId, usize)> = Vec::new();
        for (index, model) in page.models.iter().enumerate() {
            let ids = model.adapters.iter().map(|adapter| adapter.id.clone());
            adapters.extend(ids.map(|id| (id, index)));
        }
        adapters.sort();
        Self {
            digest,
            page,
            adapters: adapters.into(),
        }
    }

    fn empty() -> Self {
        let page = BasePage::empty();
        Self::new(page.encode().digest, page)
    }
}

impl FleetView {
    /// The view before any manifest: version 0, nothing in it.
    #[must_use]
    pub fn empty() -> Self {
        let branch = Arc::new(SharedBranch::empty());
        let mut view = Self {
            version: ManifestVersion::default(),
            root: ContentDigest::of(&[]),
            base: Arc::new(SharedBase::empty()),
            backends: Arc::new(BackendTable::empty()),
            branches: vec![branch; BRANCHES].into(),
            keys: KeyIndex::empty(),
        };
        view.root = view.root_page().encode().digest;
        view
    }

    /// The view of a manifest that is in force as `version`.
    #[must_use]
    pub fn compile(manifest: &FleetManifest, version: ManifestVersion) -> Self {
        let pages = ManifestPages::of(manifest);
        let empty = Arc::new(Self::empty());
        let mut update = ViewUpdate::new(&empty, version, pages.root.digest);
        while let Some(page) = update.wanted().first().and_then(|d| pages.page(*d)) {
            // The pages were encoded above, so each is readable.
            if update.supply(page.digest, &page.bytes).is_err() {
                break;
            }
        }
        update.finish().unwrap_or_else(|_| (*empty).clone())
    }

    /// The version.
    #[must_use]
    pub const fn version(&self) -> ManifestVersion {
        self.version
    }

    /// The digest of the root page: equal digests mean equal manifests.
    #[must_use]
    pub const fn root(&self) -> ContentDigest {
        self.root
    }

    /// The fleet's shape.
    #[must_use]
    pub fn fleet(&self) -> &FleetShape {
        &self.base.page.fleet
    }

    /// The shard of an organisation.
    #[must_use]
    pub fn shard_of(&self, organisation: &OrganisationId) -> ShardId {
        shard_of(organisation, self.fleet().shards)
    }

    /// The organisation of this id.
    #[must_use]
    pub fn organisation(&self, id: &OrganisationId) -> Option<&OrganisationEntry> {
        self.page(page::organisation_page(id)).organisation(id)
    }

    /// The organisation whose bearer key has this digest.
    #[must_use]
    pub fn organisation_by_key(&self, hash: &KeyHash) -> Option<&OrganisationEntry> {
        let page = self.page(self.keys.key_page(hash)?);
        let mut entries = page.page.organisations.iter();
        entries.find(|entry| entry.key_hash == *hash)
    }

    /// All organisations, in the order of their pages.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationEntry> {
        let pages = self.branches.iter().flat_map(|branch| &branch.pages);
        pages.flat_map(|page| &page.page.organisations)
    }

    /// The budget of this id, if it belongs to the organisation.
    #[must_use]
    pub fn budget(&self, organisation: &OrganisationId, id: &BudgetId) -> Option<StatedBudget<'_>> {
        self.organisation(organisation)?.budget(id)
    }

    /// The organisation that owns a budget.
    #[must_use]
    pub fn budget_owner(&self, id: &BudgetId) -> Option<&OrganisationEntry> {
        let pages = self.keys.budget_pages(id).map(|number| self.page(number));
        let mut entries = pages.flat_map(|page| &page.page.organisations);
        entries.find(|entry| entry.budget(id).is_some())
    }

    /// The models, sorted by id.
    #[must_use]
    pub fn models(&self) -> &[ModelEntry] {
        &self.base.page.models
    }

    /// The model of this id.
    #[must_use]
    pub fn model(&self, id: &ModelId) -> Option<&ModelEntry> {
        let models = self.models();
        let found = models.binary_search_by(|model| model.id.cmp(id));
        found.ok().map(|index| &models[index])
    }

    /// The model, or the adapter with its model, that a caller names.
    #[must_use]
    pub fn model_choice(&self, id: &ModelId) -> Option<ModelChoice<'_>> {
        if let Some(model) = self.model(id) {
            let adapter = None;
            return Some(ModelChoice { model, adapter });
        }
        let adapters = &self.base.adapters;
        let found = adapters
            .binary_search_by(|adapter| adapter.0.cmp(id))
            .ok()?;
        let model = &self.models()[adapters[found].1];
        let adapter = model.adapters.iter().find(|adapter| adapter.id == *id);
        Some(ModelChoice { model, adapter })
    }

    /// The services, sorted by id.
    #[must_use]
    pub fn services(&self) -> &[ServiceEntry] {
        &self.base.page.services
    }

    /// The service of this id.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceEntry> {
        let services = self.services();
        let found = services.binary_search_by(|service| service.id.cmp(id));
        found.ok().map(|index| &services[index])
    }

    /// The backend servers, sorted by id.
    #[must_use]
    pub fn backends(&self) -> &[Arc<BackendEntry>] {
        self.backends.all()
    }

    /// The backend server of this id.
    #[must_use]
    pub fn backend(&self, id: &BackendId) -> Option<&Arc<BackendEntry>> {
        self.backends.get(id)
    }

    /// The backend servers of a zone that serve a model, sorted by id. Leaving
    /// ones are among them; their entries say so.
    #[must_use]
    pub fn backends_of_model(&self, model: &ModelId, zone: &ZoneId) -> &[Arc<BackendEntry>] {
        self.backends.of_model(model, zone)
    }

    /// The backend servers of a zone that run a service, sorted by id. Leaving
    /// ones are among them; their entries say so.
    #[must_use]
    pub fn backends_of_service(&self, service: &ServiceId, zone: &ZoneId) -> &[Arc<BackendEntry>] {
        self.backends.of_service(service, zone)
    }

    /// The stored form of one of this view's pages, for a peer that asks.
    #[must_use]
    pub fn stored_page(&self, digest: ContentDigest) -> Option<EncodedPage> {
        if digest == self.root {
            return Some(self.root_page().encode());
        }
        if digest == self.base.digest {
            return Some(self.base.page.encode());
        }
        if let Some(branch) = self.branches.iter().find(|b| b.digest == digest) {
            return Some(branch.encode());
        }
        let mut backends = self.backends.pages().iter();
        if let Some(page) = backends.find(|page| page.digest == digest) {
            return Some(page.to_page().encode());
        }
        let mut pages = self.branches.iter().flat_map(|branch| &branch.pages);
        let found = pages.find(|page| page.digest == digest)?;
        Some(found.page.encode())
    }

    /// The whole manifest, as it was stated.
    #[must_use]
    pub fn to_manifest(&self) -> FleetManifest {
        let mut organisations: Vec<OrganisationEntry> = self.organisations().cloned().collect();
        organisations.sort_by(|a, b| a.id.cmp(&b.id));
        FleetManifest {
            fleet: self.fleet().clone(),
            organisations: organisations.into(),
            models: self.models().into(),
            backends: self.backends().iter().map(|b| (**b).clone()).collect(),
            services: self.services().into(),
        }
    }

    /// The page of organisations with this number, counted over all branches.
    pub(super) fn page(&self, number: usize) -> &Arc<SharedPage> {
        &self.branches[number / BRANCH_PAGES].pages[number % BRANCH_PAGES]
    }

    fn root_page(&self) -> RootPage {
        let backends = self.backends.pages().iter().map(|page| page.digest);
        RootPage {
            base: self.base.digest,
            backends: backends.collect(),
            branches: self.branches.iter().map(|branch| branch.digest).collect(),
        }
    }
}
