//! A made-up fleet of a given size.

use std::net::SocketAddr;

use guavawell_core::id::TokenCount;
use guavawell_core::manifest::BackendEntry;
use guavawell_core::manifest::BackendKind;
use guavawell_core::manifest::BudgetEntry;
use guavawell_core::manifest::FleetManifest;
use guavawell_core::manifest::FleetShape;
use guavawell_core::manifest::FleetView;
use guavawell_core::manifest::KeyHash;
use guavawell_core::manifest::ModelEntry;
use guavawell_core::manifest::OrganisationEntry;
use guavawell_core::manifest::StatedBudget;
use guavawell_core::manifest::page::BACKEND_PAGES;
use guavawell_core::manifest::page::BRANCH_PAGES;
use guavawell_core::manifest::page::BRANCHES;
use guavawell_core::manifest::page::BackendPage;
use guavawell_core::manifest::page::BranchPage;
use guavawell_core::manifest::page::EncodedPage;
use guavawell_core::manifest::page::ManifestPages;
use guavawell_core::manifest::page::OrganisationPage;
use guavawell_core::manifest::page::RootPage;
use guavawell_core::manifest::page::backend_page;
use guavawell_core::manifest::page::organisation_page;

/// How much of everything.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub organisations: usize,
    pub budgets: usize,
    pub backends: usize,
    pub models: usize,
    pub zones: usize,
}

pub fn organisation_name(number: usize) -> String {
    format!("organisation-{number:05}")
}

pub fn budget_name(organisation: usize, number: usize) -> String {
    format!("budget-{organisation:05}-{number:04}")
}

pub fn key_hash(organisation: usize) -> KeyHash {
    KeyHash::of(organisation_name(organisation).as_bytes())
}

impl FleetSize {
    /// Budgets of an organisation; the first ones take what is left over.
    pub fn budgets_of(&self, organisation: usize) -> usize {
        let left_over = usize::from(organisation < self.budgets % self.organisations);
        self.budgets / self.organisations + left_over
    }
}

fn organisation(number: usize, budgets: usize) -> OrganisationEntry {
    let budgets = (0..budgets).map(|budget| BudgetEntry {
        id: budget_name(number, budget).parse().expect("a good id"),
        paid: TokenCount::new(1_000_000 + budget as u64),
    });
    OrganisationEntry {
        id: organisation_name(number).parse().expect("a good id"),
        key_hash: key_hash(number),
        default_budget: budget_name(number, 0).parse().expect("a good id"),
        weight: 1,
        adapters: Box::default(),
        budgets: budgets.collect(),
    }
}

/// A page of one organisation with many budgets.
pub fn organisation_of(budgets: usize) -> OrganisationPage {
    OrganisationPage::new(Box::new([organisation(0, budgets)]))
}

/// A fleet with backend servers and models but no organisations.
fn machinery(size: &FleetSize) -> FleetManifest {
    let zones: Vec<_> = (0..size.zones)
        .map(|zone| format!("zone-{zone}").parse().expect("a good id"))
        .collect();
    let models = (0..size.models).map(|model| ModelEntry {
        id: format!("model-{model:02}").parse().expect("a good id"),
        version: "1".into(),
        max_output: TokenCount::new(4_096),
        replicas_per_zone: 3,
        zones: zones.clone().into(),
        adapters: Box::default(),
    });
    let models: Box<[ModelEntry]> = models.collect();
    let backends = (0..size.backends).map(|backend| BackendEntry {
        id: format!("run-{backend:04}").parse().expect("a good id"),
        zone: zones[backend % zones.len()].clone(),
        address: address(backend),
        kind: BackendKind::Model,
        models: Box::new([models[backend % models.len()].id.clone()]),
        slots: 16,
        fences_orders: true,
        fences_requests: false,
        leaving: false,
    });
    let backends = backends.collect();
    FleetManifest {
        fleet: FleetShape {
            shards: 1_024,
            zones: zones.into(),
        },
        organisations: Box::default(),
        models,
        backends,
        services: Box::default(),
    }
}

fn address(backend: usize) -> SocketAddr {
    let number = u16::try_from(backend).expect("a small fleet");
    let [high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 9_000))
}

/// The pages of a fleet, made page by page, so that little besides them is
/// ever held.
pub fn encode(size: &FleetSize) -> ManifestPages {
    let mut pages = ManifestPages::of(&machinery(size));
    let mut groups: Vec<Vec<usize>> = vec![Vec::new(); BRANCHES * BRANCH_PAGES];
    for number in 0..size.organisations {
        let id = organisation_name(number).parse().expect("a good id");
        groups[organisation_page(&id)].push(number);
    }
    let mut root = RootPage::decode(pages.root.digest, &pages.root.bytes).expect("a root page");
    for (branch, groups) in groups.chunks(BRANCH_PAGES).enumerate() {
        let digests = groups.iter().map(|group| {
            let entries = group.iter().map(|n| organisation(*n, size.budgets_of(*n)));
            let page = OrganisationPage::new(entries.collect()).encode();
            let digest = page.digest;
            pages.pages.push(page);
            digest
        });
        let page = BranchPage {
            pages: digests.collect(),
        };
        let page = page.encode();
        root.branches[branch] = page.digest;
        pages.pages.push(page);
    }
    pages.root = root.encode();
    pages.pages.sort_by_key(|page| page.digest);
    pages.pages.dedup_by_key(|page| page.digest);
    pages
}

fn cheaper(budget: StatedBudget<'_>) -> BudgetEntry {
    BudgetEntry {
        id: budget.id.parse().expect("a good id"),
        paid: TokenCount::new(budget.paid.get() - 1),
    }
}

/// The pages that differ after a change of one organisation's paid budget.
pub fn with_changed_organisation(
    view: &FleetView,
    pages: &ManifestPages,
    number: usize,
) -> ManifestPages {
    let id = organisation_name(number).parse().expect("a good id");
    let place = organisation_page(&id);
    let mut root = RootPage::decode(view.root(), &pages.root.bytes).expect("a root page");
    let branch = root.branches[place / BRANCH_PAGES];
    let bytes = &pages.page(branch).expect("a branch page").bytes;
    let mut branch = BranchPage::decode(branch, bytes).expect("a branch page");
    let digest = branch.pages[place % BRANCH_PAGES];
    let bytes = &pages.page(digest).expect("a page").bytes;
    let mut page = OrganisationPage::decode(digest, bytes).expect("a page");
    for entry in page.organisations.iter_mut().filter(|entry| entry.id == id) {
        entry.budgets = entry.budgets.iter().map(cheaper).collect();
    }
    let page = page.encode();
    branch.pages[place % BRANCH_PAGES] = page.digest;
    let branch = branch.encode();
    root.branches[place / BRANCH_PAGES] = branch.digest;
    changed_pages(&root, vec![page, branch])
}

/// The pages that differ after one backend server is marked as leaving.
pub fn with_changed_backend(
    view: &FleetView,
    pages: &ManifestPages,
    number: usize,
) -> ManifestPages {
    let id = format!("run-{number:04}").parse().expect("a good id");
    let place = backend_page(&id);
    assert!(place < BACKEND_PAGES);
    let mut root = RootPage::decode(view.root(), &pages.root.bytes).expect("a root page");
    let digest = root.backends[place];
    let bytes = &pages.page(digest).expect("a page").bytes;
    let mut page = BackendPage::decode(digest, bytes).expect("a page");
    for entry in page.backends.iter_mut().filter(|entry| entry.id == id) {
        entry.leaving = true;
    }
    let page = page.encode();
    root.backends[place] = page.digest;
    changed_pages(&root, vec![page])
}

fn changed_pages(root: &RootPage, mut pages: Vec<EncodedPage>) -> ManifestPages {
    pages.sort_by_key(|page| page.digest);
    ManifestPages {
        root: root.encode(),
        pages,
    }
}

/// The fleet as an operator's file.
pub fn toml_text(size: &FleetSize) -> String {
    let mut sections = vec!["[fleet]\nshards = 1024\nzones = [\"zone-0\"]\n".to_owned()];
    for number in 0..size.organisations {
        let (name, hash) = (organisation_name(number), key_hash(number));
        let default = budget_name(number, 0);
        sections.push(format!(
            "[[organisation]]\nid = \"{name}\"\nkey_hash = \"{hash}\"\ndefault_budget = \"{default}\"\n"
        ));
        for budget in 0..size.budgets_of(number) {
            let budget = budget_name(number, budget);
            sections.push(format!(
                "[[budget]]\nid = \"{budget}\"\norganisation = \"{name}\"\npaid = 1_000_000\n"
            ));
        }
    }
    sections.concat()
}
