//! Root and branch pages: lists of digests, concatenated after a format byte.

use super::BACKEND_PAGES;
use super::BRANCH_PAGES;
use super::BRANCHES;
use super::EncodedPage;
use super::PageError;
use super::codec::PAGE_FORMAT;
use crate::manifest::ContentDigest;
use crate::manifest::digest::DIGEST_BYTES;

/// The digests of all pages of a manifest but those of organisations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RootPage {
    /// The base page.
    pub base: ContentDigest,
    /// The pages of backend servers, [`BACKEND_PAGES`] of them.
    pub backends: Box<[ContentDigest]>,
    /// The branch pages, [`BRANCHES`] of them.
    pub branches: Box<[ContentDigest]>,
}

/// The digests of the pages of organisations under one branch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BranchPage {
    /// The pages of organisations, [`BRANCH_PAGES`] of them.
    pub pages: Box<[ContentDigest]>,
}

impl RootPage {
    /// The page's one encoding.
    #[must_use]
    pub fn encode(&self) -> EncodedPage {
        let backends = self.backends.iter();
        let digests = std::iter::once(&self.base).chain(backends);
        encode(digests.chain(&self.branches))
    }

    /// Reads a page back.
    ///
    /// # Errors
    /// Returns [`PageError`] if the bytes are not a root page of this format.
    pub fn decode(digest: ContentDigest, bytes: &[u8]) -> Result<Self, PageError> {
        let digests = decode(digest, bytes, 1 + BACKEND_PAGES + BRANCHES)?;
        let (backends, branches) = digests[1..].split_at(BACKEND_PAGES);
        Ok(Self {
            base: digests[0],
            backends: backends.into(),
            branches: branches.into(),
        })
    }
}

impl BranchPage {
    /// The page's one encoding.
    #[must_use]
    pub fn encode(&self) -> EncodedPage {
        encode(self.pages.iter())
    }

    /// Reads a page back.
    ///
    /// # Errors
    /// Returns [`PageError`] if the bytes are not a branch page of this format.
    pub fn decode(digest: ContentDigest, bytes: &[u8]) -> Result<Self, PageError> {
        let pages = decode(digest, bytes, BRANCH_PAGES)?.into();
        Ok(Self { pages })
    }
}

fn encode<'d>(digests: impl Iterator<Item = &'d ContentDigest>) -> EncodedPage {
    let mut bytes = vec![PAGE_FORMAT];
    for digest in digests {
        bytes.extend_from_slice(digest.as_bytes());
    }
    EncodedPage::new(bytes)
}

fn decode(
    digest: ContentDigest,
    bytes: &[u8],
    count: usize,
) -> Result<Vec<ContentDigest>, PageError> {
    let unreadable = |reason: &str| PageError::Unreadable {
        digest,
        reason: reason.into(),
    };
    let (format, body) = bytes.split_first().ok_or_else(|| unreadable("empty"))?;
    if *format != PAGE_FORMAT {
        let format = *format;
        return Err(PageError::UnknownFormat { digest, format });
    }
    let (digests, rest) = body.as_chunks::<DIGEST_BYTES>();
    if digests.len() != count || !rest.is_empty() {
        return Err(unreadable("not a list of the expected length"));
    }
    Ok(digests
        .iter()
        .copied()
        .map(ContentDigest::from_bytes)
        .collect())
}
