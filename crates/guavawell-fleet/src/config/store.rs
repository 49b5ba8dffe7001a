//! Versions in the table and pages in the object store.

use futures::StreamExt;
use futures::TryStreamExt;
use futures::stream;
use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::ContentDigest;
use guavawell_core::manifest::VERSION_KEY;
use guavawell_core::manifest::VersionRow;
use guavawell_core::manifest::history_key;
use guavawell_core::manifest::page::EncodedPage;
use guavawell_core::platform::WriteClass;

use crate::platform::Objects;
use crate::platform::PlatformError;
use crate::platform::Table;
use crate::platform::TableRow;

/// Pages written at once.
const PARALLEL_WRITES: usize = 4;

/// Versions and pages of manifests at the platform; clones share connections.
#[derive(Clone, Debug)]
pub struct ManifestStore {
    pub(super) table: Table,
    objects: Objects,
}

/// The version row and the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredVersion {
    /// The row; `None` if no manifest was ever accepted.
    pub row: Option<VersionRow>,
    /// The revision to compare with when writing; 0 for no row.
    pub revision: u64,
}

/// The object store's key of a page.
fn page_key(digest: ContentDigest) -> Box<str> {
    format!("manifest/{digest}").into()
}

impl ManifestStore {
    /// A store in this table and this bucket.
    #[must_use]
    pub const fn new(table: Table, objects: Objects) -> Self {
        Self { table, objects }
    }

    /// Reads the version in force.
    ///
    /// # Errors
    /// [`PlatformError`] if the table cannot be read, or holds no usable row.
    pub async fn current(&self) -> Result<StoredVersion, PlatformError> {
        let read = self.table.get(VERSION_KEY).await?;
        let revision = read.mod_revision();
        let row = read.row.as_ref().map(decode_row).transpose()?;
        Ok(StoredVersion { row, revision })
    }

    /// Reads a version's row of history.
    ///
    /// # Errors
    /// [`PlatformError`] if the table cannot be read, or holds no usable row.
    pub async fn history(
        &self,
        version: ManifestVersion,
    ) -> Result<Option<VersionRow>, PlatformError> {
        let read = self.table.get(&history_key(version)).await?;
        read.row.as_ref().map(decode_row).transpose()
    }

    /// Reads a page; `None` if it is not there. The bytes are not checked.
    ///
    /// # Errors
    /// [`PlatformError`] if the object store cannot be read.
    pub async fn page(&self, digest: ContentDigest) -> Result<Option<Vec<u8>>, PlatformError> {
        self.objects.get(&page_key(digest)).await
    }

    /// Writes pages; those that are there already stay.
    ///
    /// # Errors
    /// [`PlatformError`] if a page may not have been written.
    pub async fn put_pages(&self, pages: &[&EncodedPage]) -> Result<(), PlatformError> {
        let writes = stream::iter(pages).map(|page| self.put_page(page));
        writes
            .buffer_unordered(PARALLEL_WRITES)
            .try_collect::<()>()
            .await
    }

    /// Writes a page. A page's key is the digest of its bytes, so a second
    /// write after a lost answer does no harm.
    async fn put_page(&self, page: &EncodedPage) -> Result<(), PlatformError> {
        let key = page_key(page.digest);
        let put = || {
            let body = page.bytes.to_vec();
            self.objects.put_new(&key, body, WriteClass::Rest)
        };
        match put().await {
            Err(PlatformError::Lost(_)) => put().await.map(drop),
            outcome => outcome.map(drop),
        }
    }
}

pub(super) fn decode_row(row: &TableRow) -> Result<VersionRow, PlatformError> {
    VersionRow::decode(&row.value).map_err(|error| {
        let detail = format!("the row at `{}`: {error}", row.key);
        PlatformError::Refused(detail.into())
    })
}
