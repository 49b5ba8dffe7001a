//! Versions and pages of manifests.

use capnp::data_list;
use guavawell_core::manifest::ContentDigest;
use guavawell_core::manifest::VersionRow;

use super::WireError;
use crate::peer_capnp::answer;
use crate::peer_capnp::ask;

/// Writes the digests of wanted pages.
pub fn write_digests(builder: ask::Builder<'_>, digests: &[ContentDigest]) {
    let mut list = builder.init_pages(count(digests.len()));
    for (index, digest) in digests.iter().enumerate() {
        list.set(count(index), digest.as_bytes());
    }
}

/// Reads the digests of wanted pages.
pub fn read_digests(list: data_list::Reader<'_>) -> Result<Vec<ContentDigest>, WireError> {
    let read = |bytes: capnp::Result<&[u8]>| {
        let bytes = bytes?.try_into();
        let bytes = bytes.map_err(|_| WireError::WrongValue("a digest has 32 bytes".into()))?;
        Ok(ContentDigest::from_bytes(bytes))
    };
    list.iter().map(read).collect()
}

/// Writes a version's row; none is empty.
pub fn write_version(mut builder: answer::Builder<'_>, row: Option<&VersionRow>) {
    let bytes = row.map(VersionRow::encode).unwrap_or_default();
    builder.set_version(&bytes);
}

/// Reads a version's row.
pub fn read_version(bytes: &[u8]) -> Result<Option<VersionRow>, WireError> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let row = VersionRow::decode(bytes);
    row.map(Some)
        .map_err(|error| WireError::WrongValue(error.to_string().into()))
}

/// Writes pages.
pub fn write_pages(builder: answer::Builder<'_>, pages: &[Vec<u8>]) {
    let mut list = builder.init_pages(count(pages.len()));
    for (index, page) in pages.iter().enumerate() {
        list.set(count(index), page);
    }
}

/// Reads pages; whoever asked checks them against their digests.
pub fn read_pages(list: data_list::Reader<'_>) -> Result<Vec<Vec<u8>>, WireError> {
    let pages = list.iter().map(|page| Ok(page?.to_vec()));
    pages.collect()
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
