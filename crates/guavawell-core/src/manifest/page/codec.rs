//! Pages of entries: canonical JSON, one encoding for each content.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::EncodedPage;
use crate::manifest::BackendEntry;
use crate::manifest::ContentDigest;
use crate::manifest::FleetShape;
use crate::manifest::ModelEntry;
use crate::manifest::OrganisationEntry;
use crate::manifest::ServiceEntry;

/// The format that this release writes and reads.
pub const PAGE_FORMAT: u8 = 1;

/// Why the bytes of a page are not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PageError {
    /// The bytes are not those that the digest names.
    #[error("page {wanted} holds other bytes, of digest {found}")]
    WrongDigest {
        /// The digest asked for.
        wanted: ContentDigest,
        /// The digest of the bytes.
        found: ContentDigest,
    },
    /// No page of that digest was asked for.
    #[error("page {0} was not asked for")]
    NotWanted(ContentDigest),
    /// The bytes do not read as a page of their place.
    #[error("page {digest} cannot be read: {reason}")]
    Unreadable {
        /// The page.
        digest: ContentDigest,
        /// What is wrong.
        reason: Box<str>,
    },
    /// The page was written in a format that this release does not read.
    #[error("page {digest} has format {format}; this release reads format {PAGE_FORMAT}")]
    UnknownFormat {
        /// The page.
        digest: ContentDigest,
        /// Its format.
        format: u8,
    },
}

/// Fleet, models and services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BasePage {
    /// The page format.
    pub format: u8,
    /// The fleet's shape.
    pub fleet: FleetShape,
    /// The models, sorted by id.
    pub models: Box<[ModelEntry]>,
    /// The services, sorted by id.
    pub services: Box<[ServiceEntry]>,
}

/// The backend servers whose ids hash to one page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendPage {
    /// The page format.
    pub format: u8,
    /// The backend servers, sorted by id.
    pub backends: Box<[BackendEntry]>,
}

/// The organisations whose ids hash to one page, with their budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationPage {
    /// The page format.
    pub format: u8,
    /// The organisations, sorted by id.
    pub organisations: Box<[OrganisationEntry]>,
}

/// Reads only the format of a page.
#[derive(Deserialize)]
struct PageHeader {
    format: u8,
}

impl BasePage {
    /// The base page before any manifest.
    #[must_use]
    pub fn empty() -> Self {
        let fleet = FleetShape {
            shards: 1,
            zones: Box::default(),
        };
        Self {
            format: PAGE_FORMAT,
            fleet,
            models: Box::default(),
            services: Box::default(),
        }
    }

    /// The page's one encoding.
    #[must_use]
    pub fn encode(&self) -> EncodedPage {
        encode(self)
    }

    /// Reads a page back.
    ///
    /// # Errors
    /// Returns [`PageError`] if the bytes are not a page of this format.
    pub fn decode(digest: ContentDigest, bytes: &[u8]) -> Result<Self, PageError> {
        decode(digest, bytes)
    }
}

impl BackendPage {
    /// A page of backend servers sorted by id.
    #[must_use]
    pub const fn new(backends: Box<[BackendEntry]>) -> Self {
        Self {
            format: PAGE_FORMAT,
            backends,
        }
    }

    /// The page's one encoding.
    #[must_use]
    pub fn encode(&self) -> EncodedPage {
        encode(self)
    }

    /// Reads a page back.
    ///
    /// # Errors
    /// Returns [`PageError`] if the bytes are not a page of this format.
    pub fn decode(digest: ContentDigest, bytes: &[u8]) -> Result<Self, PageError> {
        decode(digest, bytes)
    }
}

impl OrganisationPage {
    /// A page of organisations sorted by id.
    #[must_use]
    pub const fn new(organisations: Box<[OrganisationEntry]>) -> Self {
        Self {
            format: PAGE_FORMAT,
            organisations,
        }
    }

    /// The page's one encoding.
    #[must_use]
    pub fn encode(&self) -> EncodedPage {
        encode(self)
    }

    /// Reads a page back.
    ///
    /// # Errors
    /// Returns [`PageError`] if the bytes are not a page of this format.
    pub fn decode(digest: ContentDigest, bytes: &[u8]) -> Result<Self, PageError> {
        decode(digest, bytes)
    }
}

fn encode(page: &impl Serialize) -> EncodedPage {
    // Strings, numbers, lists and structs always have a JSON form.
    EncodedPage::new(serde_json::to_vec(page).unwrap_or_default())
}

fn decode<P: DeserializeOwned + Serialize>(
    digest: ContentDigest,
    bytes: &[u8],
) -> Result<P, PageError> {
    let unreadable = |reason: &dyn std::fmt::Display| PageError::Unreadable {
        digest,
        reason: reason.to_string().into(),
    };
    let header: PageHeader = serde_json::from_slice(bytes).map_err(|error| unreadable(&error))?;
    if header.format != PAGE_FORMAT {
        let format = header.format;
        return Err(PageError::UnknownFormat { digest, format });
    }
    let page: P = serde_json::from_slice(bytes).map_err(|error| unreadable(&error))?;
    // A page is passed on to peers in its own encoding, so there must be one only.
    if encode(&page).digest != digest {
        return Err(unreadable(&"not in the canonical encoding"));
    }
    Ok(page)
}
