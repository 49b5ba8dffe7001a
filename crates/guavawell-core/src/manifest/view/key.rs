//! From the digest of a bearer key to the page of its organisation.

use std::sync::Arc;

use crate::manifest::KeyHash;
use crate::manifest::OrganisationEntry;

/// Buckets of the index, one for each first byte of a key hash.
const BUCKETS: usize = 256;

/// Where the organisation of a key hash stands.
#[derive(Clone, Copy, Debug)]
struct KeyPlace {
    hash: KeyHash,
    page: u16,
}

/// All key hashes, in buckets that views share.
#[derive(Clone, Debug)]
pub struct KeyIndex {
    buckets: Box<[Arc<[KeyPlace]>]>,
}

impl KeyIndex {
    /// An index without keys.
    pub fn empty() -> Self {
        let bucket: Arc<[KeyPlace]> = Arc::new([]);
        Self {
            buckets: vec![bucket; BUCKETS].into(),
        }
    }

    /// The page of the organisation with this key.
    pub fn page(&self, hash: &KeyHash) -> Option<usize> {
        let bucket = &self.buckets[bucket_of(hash)];
        let found = bucket.binary_search_by(|place| place.hash.cmp(hash));
        found.ok().map(|index| usize::from(bucket[index].page))
    }

    /// The index after changes, which it sorts; unchanged buckets are shared.
    pub fn changed(&self, mut changes: Vec<KeyChange>) -> Self {
        changes.sort_by_key(|change| (change.hash, change.page.is_some()));
        let mut buckets = self.buckets.clone();
        for group in changes.chunk_by(|a, b| bucket_of(&a.hash) == bucket_of(&b.hash)) {
            let bucket = &mut buckets[bucket_of(&group[0].hash)];
            *bucket = changed_bucket(bucket, group);
        }
        Self { buckets }
    }
}

/// A key that moves to a page, or goes if it has none.
#[derive(Clone, Copy, Debug)]
pub struct KeyChange {
    hash: KeyHash,
    page: Option<u16>,
}

impl KeyChange {
    /// The keys of these organisations go.
    pub fn removed(entries: &[OrganisationEntry]) -> impl Iterator<Item = Self> {
        entries.iter().map(|entry| Self {
            hash: entry.key_hash,
            page: None,
        })
    }

    /// The keys of these organisations, which stand on `page`, come.
    pub fn added(entries: &[OrganisationEntry], page: usize) -> impl Iterator<Item = Self> {
        let page = u16::try_from(page).ok();
        entries.iter().map(move |entry| Self {
            hash: entry.key_hash,
            page,
        })
    }
}

fn bucket_of(hash: &KeyHash) -> usize {
    usize::from(hash.as_bytes()[0])
}

/// Merges a sorted bucket with sorted changes; a removal precedes an addition
/// of the same hash, so the addition counts.
fn changed_bucket(bucket: &[KeyPlace], changes: &[KeyChange]) -> Arc<[KeyPlace]> {
    let touched = |hash: &KeyHash| changes.binary_search_by(|c| c.hash.cmp(hash)).is_ok();
    let mut places: Vec<KeyPlace> = bucket
        .iter()
        .filter(|place| !touched(&place.hash))
        .copied()
        .collect();
    places.extend(changes.iter().filter_map(|change| {
        let page = change.page?;
        Some(KeyPlace {
            hash: change.hash,
            page,
        })
    }));
    places.sort_by_key(|place| place.hash);
    places.into()
}
