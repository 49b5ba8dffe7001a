//! Pages and branches of organisations, shared between views.

use std::sync::Arc;

use crate::id::OrganisationId;
use crate::manifest::ContentDigest;
use crate::manifest::OrganisationEntry;
use crate::manifest::page::BRANCH_PAGES;
use crate::manifest::page::BranchPage;
use crate::manifest::page::EncodedPage;
use crate::manifest::page::OrganisationPage;

/// One page of organisations and its digest.
#[derive(Debug)]
pub struct SharedPage {
    /// The digest of the page's encoding.
    pub digest: ContentDigest,
    /// The organisations, sorted by id.
    pub page: OrganisationPage,
}

impl SharedPage {
    /// A page without organisations.
    pub fn empty() -> Self {
        let page = OrganisationPage::new(Box::default());
        let digest = page.encode().digest;
        Self { digest, page }
    }

    /// The organisation of this id.
    pub fn organisation(&self, id: &OrganisationId) -> Option<&OrganisationEntry> {
        let entries = &self.page.organisations;
        let found = entries.binary_search_by(|entry| entry.id.cmp(id));
        found.ok().map(|index| &entries[index])
    }
}

/// One branch of pages and its digest.
#[derive(Clone, Debug)]
pub struct SharedBranch {
    /// The digest of the branch page.
    pub digest: ContentDigest,
    /// The pages, [`BRANCH_PAGES`] of them.
    pub pages: Box<[Arc<SharedPage>]>,
}

impl SharedBranch {
    /// A branch of pages without organisations.
    pub fn empty() -> Self {
        let page = Arc::new(SharedPage::empty());
        let pages: Box<[Arc<SharedPage>]> = vec![page; BRANCH_PAGES].into();
        let digest = branch_page(&pages).encode().digest;
        Self { digest, pages }
    }

    /// The branch page's encoding.
    pub fn encode(&self) -> EncodedPage {
        branch_page(&self.pages).encode()
    }
}

fn branch_page(pages: &[Arc<SharedPage>]) -> BranchPage {
    let pages = pages.iter().map(|page| page.digest).collect();
    BranchPage { pages }
}
