//! All pages of a manifest, encoded, as they go to the object store.

use super::BACKEND_PAGES;
use super::BRANCH_PAGES;
use super::BRANCHES;
use super::BackendPage;
use super::BasePage;
use super::BranchPage;
use super::OrganisationPage;
use super::RootPage;
use super::backend_page;
use super::codec::PAGE_FORMAT;
use super::organisation_page;
use crate::manifest::BackendEntry;
use crate::manifest::ContentDigest;
use crate::manifest::FleetManifest;
use crate::manifest::OrganisationEntry;

/// The bytes of a page and the digest that names them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedPage {
    /// The digest of the bytes.
    pub digest: ContentDigest,
    /// The bytes.
    pub bytes: Box<[u8]>,
}

impl EncodedPage {
    /// Names bytes by their digest.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self {
            digest: ContentDigest::of(&bytes),
            bytes: bytes.into(),
        }
    }
}

/// All pages of a manifest.
#[derive(Clone, Debug)]
pub struct ManifestPages {
    /// The root page, which names all others.
    pub root: EncodedPage,
    /// All other pages, sorted by digest, each once.
    pub pages: Vec<EncodedPage>,
}

impl ManifestPages {
    /// Encodes a manifest.
    #[must_use]
    pub fn of(manifest: &FleetManifest) -> Self {
        let mut pages = Vec::new();
        let base = BasePage {
            format: PAGE_FORMAT,
            fleet: manifest.fleet.clone(),
            models: manifest.models.clone(),
            services: manifest.services.clone(),
        };
        let base = keep(base.encode(), &mut pages);
        let backends = encode_backends(&manifest.backends, &mut pages);
        let organisations = encode_organisations(&manifest.organisations, &mut pages);
        let branches = organisations
            .chunks(BRANCH_PAGES)
            .map(|digests| {
                let pages_of_branch = digests.into();
                keep(
                    BranchPage {
                        pages: pages_of_branch,
                    }
                    .encode(),
                    &mut pages,
                )
            })
            .collect();
        let root = RootPage {
            base,
            backends,
            branches,
        };
        pages.sort_by_key(|page| page.digest);
        pages.dedup_by_key(|page| page.digest);
        Self {
            root: root.encode(),
            pages,
        }
    }

    /// The page of a digest, the root page included.
    #[must_use]
    pub fn page(&self, digest: ContentDigest) -> Option<&EncodedPage> {
        if self.root.digest == digest {
            return Some(&self.root);
        }
        let found = self.pages.binary_search_by_key(&digest, |page| page.digest);
        found.ok().map(|index| &self.pages[index])
    }
}

fn keep(page: EncodedPage, pages: &mut Vec<EncodedPage>) -> ContentDigest {
    let digest = page.digest;
    pages.push(page);
    digest
}

fn encode_backends(
    backends: &[BackendEntry],
    pages: &mut Vec<EncodedPage>,
) -> Box<[ContentDigest]> {
    let mut groups: Vec<Vec<BackendEntry>> = vec![Vec::new(); BACKEND_PAGES];
    for backend in backends {
        groups[backend_page(&backend.id)].push(backend.clone());
    }
    groups
        .into_iter()
        .map(|group| keep(BackendPage::new(group.into()).encode(), pages))
        .collect()
}

fn encode_organisations(
    organisations: &[OrganisationEntry],
    pages: &mut Vec<EncodedPage>,
) -> Vec<ContentDigest> {
    let mut groups: Vec<Vec<OrganisationEntry>> = vec![Vec::new(); BRANCHES * BRANCH_PAGES];
    for organisation in organisations {
        groups[organisation_page(&organisation.id)].push(organisation.clone());
    }
    let empty = keep(OrganisationPage::new(Box::default()).encode(), pages);
    groups
        .into_iter()
        .map(|group| {
            if group.is_empty() {
                return empty;
            }
            keep(OrganisationPage::new(group.into()).encode(), pages)
        })
        .collect()
}
