//! From one view to the next, by the pages that differ.

use std::sync::Arc;

use super::FleetView;
use super::backend::BackendTable;
use super::backend::SharedBackends;
use super::branch::SharedPage;
use super::fleet::SharedBase;
use super::key::KeyChanges;
use super::wanted::WantedList;
use crate::id::ManifestVersion;
use crate::manifest::ContentDigest;
use crate::manifest::page::BRANCH_PAGES;
use crate::manifest::page::BackendPage;
use crate::manifest::page::BasePage;
use crate::manifest::page::BranchPage;
use crate::manifest::page::OrganisationPage;
use crate::manifest::page::PageError;
use crate::manifest::page::PagePlace;
use crate::manifest::page::RootPage;

/// A view on its way to a new version.
///
/// Fetch what [`ViewUpdate::wanted`] names, hand it to
/// [`ViewUpdate::supply`], and repeat until nothing is wanted; then
/// [`ViewUpdate::finish`] gives the new view. Pages are asked for only where
/// the new version differs from the old one.
#[derive(Debug)]
pub struct ViewUpdate {
    view: FleetView,
    version: ManifestVersion,
    root: ContentDigest,
    wanted: WantedList,
    base: Option<Arc<SharedBase>>,
    backends: Vec<(usize, Arc<SharedBackends>)>,
    branches: Vec<(usize, ContentDigest)>,
    pages: Vec<(usize, Arc<SharedPage>)>,
    keys: KeyChanges,
}

impl ViewUpdate {
    /// An update of `view` to `version`, whose root page has digest `root`.
    #[must_use]
    pub fn new(view: &FleetView, version: ManifestVersion, root: ContentDigest) -> Self {
        let mut wanted = WantedList::default();
        if view.root != root {
            wanted.extend(std::iter::once((root, PagePlace::Root)));
        }
        Self {
            view: view.clone(),
            version,
            root,
            wanted,
            base: None,
            backends: Vec::new(),
            branches: Vec::new(),
            pages: Vec::new(),
            keys: KeyChanges::new(),
        }
    }

    /// The digests of the pages to fetch next, sorted, each once.
    #[must_use]
    pub fn wanted(&self) -> &[ContentDigest] {
        self.wanted.digests()
    }

    /// Takes a wanted page; it may make further pages wanted.
    ///
    /// # Errors
    /// Returns [`PageError`] if the bytes are not those of the digest, or not
    /// a page of this release's format. The page stays wanted then.
    pub fn supply(&mut self, digest: ContentDigest, bytes: &[u8]) -> Result<(), PageError> {
        let found = ContentDigest::of(bytes);
        if found != digest {
            return Err(PageError::WrongDigest {
                wanted: digest,
                found,
            });
        }
        let places = self.wanted.places(digest);
        if places.is_empty() {
            return Err(PageError::NotWanted(digest));
        }
        for place in places {
            self.place_page(place, digest, bytes)?;
        }
        self.wanted.remove(digest);
        Ok(())
    }

    /// The new view.
    ///
    /// # Errors
    /// Gives the update back if pages are still wanted.
    pub fn finish(mut self) -> Result<FleetView, Box<Self>> {
        if !self.wanted().is_empty() {
            return Err(Box::new(self));
        }
        self.renew_backends();
        self.renew_branches();
        let mut view = self.view;
        view.version = self.version;
        view.root = self.root;
        view.keys = view.keys.changed(self.keys);
        Ok(view)
    }

    fn renew_backends(&mut self) {
        if self.base.is_none() && self.backends.is_empty() {
            return;
        }
        if let Some(base) = self.base.take() {
            self.view.base = base;
        }
        let mut pages: Box<[Arc<SharedBackends>]> = self.view.backends.pages().into();
        for (number, page) in self.backends.drain(..) {
            pages[number] = page;
        }
        let services = &self.view.base.page.services;
        self.view.backends = Arc::new(BackendTable::new(pages, services));
    }

    fn renew_branches(&mut self) {
        for (number, page) in self.pages.drain(..) {
            let branch = &mut self.view.branches[number / BRANCH_PAGES];
            Arc::make_mut(branch).pages[number % BRANCH_PAGES] = page;
        }
        for (number, digest) in self.branches.drain(..) {
            Arc::make_mut(&mut self.view.branches[number]).digest = digest;
        }
    }

    fn place_page(
        &mut self,
        place: PagePlace,
        digest: ContentDigest,
        bytes: &[u8],
    ) -> Result<(), PageError> {
        match place {
            PagePlace::Root => self.place_root(&RootPage::decode(digest, bytes)?),
            PagePlace::Base => {
                let page = BasePage::decode(digest, bytes)?;
                self.base = Some(Arc::new(SharedBase::new(digest, page)));
            }
            PagePlace::Backends(number) => {
                let page = BackendPage::decode(digest, bytes)?;
                let shared = Arc::new(SharedBackends::new(digest, page));
                self.backends.push((number, shared));
            }
            PagePlace::Branch(number) => {
                self.place_branch(number, digest, &BranchPage::decode(digest, bytes)?);
            }
            PagePlace::Organisations(number) => {
                let page = OrganisationPage::decode(digest, bytes)?;
                self.place_organisations(number, SharedPage { digest, page });
            }
        }
        Ok(())
    }

    fn place_root(&mut self, root: &RootPage) {
        let view = &self.view;
        let mut changed = Vec::new();
        if view.base.digest != root.base {
            changed.push((root.base, PagePlace::Base));
        }
        for (number, new) in root.backends.iter().enumerate() {
            if view.backends.pages()[number].digest != *new {
                changed.push((*new, PagePlace::Backends(number)));
            }
        }
        for (number, new) in root.branches.iter().enumerate() {
            if view.branches[number].digest != *new {
                changed.push((*new, PagePlace::Branch(number)));
            }
        }
        self.wanted.extend(changed.into_iter());
    }

    fn place_branch(&mut self, branch: usize, digest: ContentDigest, page: &BranchPage) {
        self.branches.push((branch, digest));
        let old = &self.view.branches[branch].pages;
        let pairs = old.iter().zip(&page.pages).enumerate();
        let changed = pairs.filter(|(_, (old, new))| old.digest != **new);
        let wanted = changed.map(|(index, (_, new))| {
            let number = branch * BRANCH_PAGES + index;
            (*new, PagePlace::Organisations(number))
        });
        self.wanted.extend(wanted);
    }

    fn place_organisations(&mut self, number: usize, page: SharedPage) {
        let old = &self.view.page(number).page.organisations;
        self.keys.replace(number, old, &page.page.organisations);
        self.pages.push((number, Arc::new(page)));
    }
}
