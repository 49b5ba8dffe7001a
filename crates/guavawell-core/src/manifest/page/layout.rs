//! Which page an entry belongs to.

use crate::id::BackendId;
use crate::id::OrganisationId;

/// Branch pages of a manifest.
pub const BRANCHES: usize = 64;
/// Organisation pages under one branch page.
pub const BRANCH_PAGES: usize = 64;
/// Pages of backend servers of a manifest.
pub const BACKEND_PAGES: usize = 64;

/// Organisation pages of a manifest.
const ORGANISATION_PAGES: usize = BRANCHES * BRANCH_PAGES;

/// FNV-1a, 64 bits: offset basis and prime.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The place of a page in the manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PagePlace {
    /// The root page.
    Root,
    /// The base page.
    Base,
    /// The page of backend servers with this number.
    Backends(usize),
    /// The branch page with this number.
    Branch(usize),
    /// The page of organisations with this number, counted over all branches.
    Organisations(usize),
}

/// The page of organisations that holds an organisation, counted over all
/// branches.
#[must_use]
pub fn organisation_page(organisation: &OrganisationId) -> usize {
    bucket(stable_hash(organisation.as_str()), ORGANISATION_PAGES)
}

/// The page of backend servers that holds a backend server.
#[must_use]
pub fn backend_page(backend: &BackendId) -> usize {
    bucket(stable_hash(backend.as_str()), BACKEND_PAGES)
}

fn bucket(hash: u64, buckets: usize) -> usize {
    let buckets = u64::try_from(buckets).unwrap_or(u64::MAX);
    usize::try_from(hash % buckets).unwrap_or_default()
}

/// A hash that is the same in every process and release: FNV-1a with the
/// finaliser of `MurmurHash3`, so that the low bits are well mixed.
pub fn stable_hash(text: &str) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    let mut hash = text.bytes().fold(FNV_BASIS, fold);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
