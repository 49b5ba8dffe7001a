//! The pages that an update still needs.

use crate::manifest::ContentDigest;
use crate::manifest::page::PagePlace;

/// Pages to fetch, sorted by digest; several places may want one page.
#[derive(Debug, Default)]
pub struct WantedList {
    pages: Vec<WantedPage>,
    digests: Vec<ContentDigest>,
}

/// A page to fetch and a place where it belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WantedPage {
    digest: ContentDigest,
    place: PagePlace,
}

impl WantedList {
    /// The digests, sorted, each once.
    pub fn digests(&self) -> &[ContentDigest] {
        &self.digests
    }

    /// The places that want a page.
    pub fn places(&self, digest: ContentDigest) -> Vec<PagePlace> {
        let first = self.pages.partition_point(|page| page.digest < digest);
        self.pages[first..]
            .iter()
            .take_while(|page| page.digest == digest)
            .map(|page| page.place)
            .collect()
    }

    /// Adds pages.
    pub fn extend(&mut self, pages: impl Iterator<Item = (ContentDigest, PagePlace)>) {
        let pages = pages.map(|(digest, place)| WantedPage { digest, place });
        self.pages.extend(pages);
        self.pages.sort();
        self.digests = self.pages.iter().map(|page| page.digest).collect();
        self.digests.dedup();
    }

    /// Takes a page off the list, for all its places.
    pub fn remove(&mut self, digest: ContentDigest) {
        let first = self.pages.partition_point(|page| page.digest < digest);
        let after = self.pages.partition_point(|page| page.digest <= digest);
        self.pages.drain(first..after);
        if let Ok(index) = self.digests.binary_search(&digest) {
            self.digests.remove(index);
        }
    }
}
