//! From a key to the pages of organisations that hold it.

use std::sync::Arc;

/// Where a key stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct KeyPlace<K> {
    key: K,
    page: u16,
}

/// All keys of one kind, in sorted buckets that views share.
#[derive(Clone, Debug)]
pub struct PageIndex<K> {
    buckets: Arc<[Arc<[KeyPlace<K>]>]>,
    /// The bucket of a key, below the number of buckets; a larger key is never
    /// in an earlier bucket.
    bucket_of: fn(&K) -> usize,
}

/// Keys that leave or join pages.
#[derive(Debug)]
pub struct PageChanges<K> {
    removed: Vec<KeyPlace<K>>,
    added: Vec<KeyPlace<K>>,
}

impl<K: Copy + Ord> PageIndex<K> {
    /// An index without keys.
    pub fn empty(buckets: usize, bucket_of: fn(&K) -> usize) -> Self {
        let bucket: Arc<[KeyPlace<K>]> = Arc::new([]);
        Self {
            buckets: vec![bucket; buckets].into(),
            bucket_of,
        }
    }

    /// The pages that hold a key.
    pub fn pages(&self, key: K) -> impl Iterator<Item = usize> {
        let bucket = &self.buckets[(self.bucket_of)(&key)];
        let first = bucket.partition_point(|place| place.key < key);
        let places = bucket[first..].iter();
        places
            .take_while(move |place| place.key == key)
            .map(|place| usize::from(place.page))
    }

    /// The index after changes; buckets without changes are shared.
    pub fn changed(&self, changes: PageChanges<K>) -> Self {
        let (removed, added) = changes.without_both();
        let mut touched: Vec<usize> = removed
            .iter()
            .chain(&added)
            .map(|place| (self.bucket_of)(&place.key))
            .collect();
        touched.sort_unstable();
        touched.dedup();
        if touched.is_empty() {
            return self.clone();
        }
        let mut buckets = self.buckets.to_vec();
        for number in touched {
            let old = buckets[number].iter();
            let kept = old.filter(|place| removed.binary_search(place).is_err());
            let joined = self.in_bucket(&added, number).iter();
            let mut places: Vec<KeyPlace<K>> = kept.chain(joined).copied().collect();
            places.sort_unstable();
            buckets[number] = places.into();
        }
        Self {
            buckets: buckets.into(),
            bucket_of: self.bucket_of,
        }
    }

    /// The part of sorted places that lies in a bucket.
    fn in_bucket<'p>(&self, places: &'p [KeyPlace<K>], number: usize) -> &'p [KeyPlace<K>] {
        let first = places.partition_point(|place| (self.bucket_of)(&place.key) < number);
        let after = places.partition_point(|place| (self.bucket_of)(&place.key) <= number);
        &places[first..after]
    }
}

impl<K: Copy + Ord> PageChanges<K> {
    /// No changes.
    pub const fn new() -> Self {
        Self {
            removed: Vec::new(),
            added: Vec::new(),
        }
    }

    /// Keys leave a page.
    pub fn remove(&mut self, page: usize, keys: impl Iterator<Item = K>) {
        self.removed.extend(places(page, keys));
    }

    /// Keys join a page.
    pub fn add(&mut self, page: usize, keys: impl Iterator<Item = K>) {
        self.added.extend(places(page, keys));
    }

    /// What is removed and what is added, each sorted, less what is both.
    fn without_both(mut self) -> (Vec<KeyPlace<K>>, Vec<KeyPlace<K>>) {
        self.removed.sort_unstable();
        self.added.sort_unstable();
        let (mut removed, mut added) = (self.removed.clone(), self.added.clone());
        removed.retain(|place| self.added.binary_search(place).is_err());
        added.retain(|place| self.removed.binary_search(place).is_err());
        added.dedup();
        (removed, added)
    }
}

fn places<K>(page: usize, keys: impl Iterator<Item = K>) -> impl Iterator<Item = KeyPlace<K>> {
    // There are 4,096 pages of organisations.
    let page = u16::try_from(page).unwrap_or(u16::MAX);
    keys.map(move |key| KeyPlace { key, page })
}
