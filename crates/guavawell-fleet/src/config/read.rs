//! Reads single parts of a version, a few pages each.

use guavawell_core::id::OrganisationId;
use guavawell_core::manifest::ContentDigest;
use guavawell_core::manifest::OrganisationEntry;
use guavawell_core::manifest::page::BRANCH_PAGES;
use guavawell_core::manifest::page::BackendPage;
use guavawell_core::manifest::page::BasePage;
use guavawell_core::manifest::page::BranchPage;
use guavawell_core::manifest::page::OrganisationPage;
use guavawell_core::manifest::page::PageError;
use guavawell_core::manifest::page::RootPage;
use guavawell_core::manifest::page::organisation_page;

use super::FetchError;
use super::ManifestStore;

impl ManifestStore {
    /// Reads the root page of a version.
    ///
    /// # Errors
    /// [`FetchError`] if the page is missing, unreadable or out of reach.
    pub async fn read_root(&self, root: ContentDigest) -> Result<RootPage, FetchError> {
        let bytes = self.whole_page(root).await?;
        Ok(RootPage::decode(root, &bytes)?)
    }

    /// Reads the base page that a root page names.
    ///
    /// # Errors
    /// [`FetchError`] if the page is missing, unreadable or out of reach.
    pub async fn read_base(&self, root: &RootPage) -> Result<BasePage, FetchError> {
        let bytes = self.whole_page(root.base).await?;
        Ok(BasePage::decode(root.base, &bytes)?)
    }

    /// Reads a page of backend servers that a root page names.
    ///
    /// # Errors
    /// [`FetchError`] if the page is missing, unreadable or out of reach.
    pub async fn read_backends(
        &self,
        root: &RootPage,
        number: usize,
    ) -> Result<BackendPage, FetchError> {
        let digest = root.backends[number];
        let bytes = self.whole_page(digest).await?;
        Ok(BackendPage::decode(digest, &bytes)?)
    }

    /// Reads an organisation of a version.
    ///
    /// # Errors
    /// [`FetchError`] if a page is missing, unreadable or out of reach.
    pub async fn read_organisation(
        &self,
        root: &RootPage,
        organisation: &OrganisationId,
    ) -> Result<Option<OrganisationEntry>, FetchError> {
        let number = organisation_page(organisation);
        let branch = self
            .read_branch(root.branches[number / BRANCH_PAGES])
            .await?;
        let digest = branch.pages[number % BRANCH_PAGES];
        let bytes = self.whole_page(digest).await?;
        let page = OrganisationPage::decode(digest, &bytes)?;
        let mut entries = page.organisations.into_iter();
        Ok(entries.find(|entry| entry.id == *organisation))
    }

    pub(super) async fn read_branch(
        &self,
        branch: ContentDigest,
    ) -> Result<BranchPage, FetchError> {
        let bytes = self.whole_page(branch).await?;
        Ok(BranchPage::decode(branch, &bytes)?)
    }

    /// Reads a page and checks its bytes against its digest.
    async fn whole_page(&self, digest: ContentDigest) -> Result<Vec<u8>, FetchError> {
        let bytes = self.page(digest).await?;
        let bytes = bytes.ok_or(FetchError::Missing(digest))?;
        let found = ContentDigest::of(&bytes);
        if found != digest {
            let wanted = digest;
            return Err(PageError::WrongDigest { wanted, found }.into());
        }
        Ok(bytes)
    }
}
