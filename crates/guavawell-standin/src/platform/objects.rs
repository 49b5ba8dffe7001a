//! The objects and their listing, without any protocol.

use std::sync::Arc;

/// One stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StoredObject {
    /// `bucket/key`.
    pub path: Box<str>,
    pub content: Arc<[u8]>,
    pub tag: Box<str>,
}

/// Part of a listing.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ObjectPage {
    /// Objects in order of their keys.
    pub objects: Vec<StoredObject>,
    pub truncated: bool,
}

/// The object already exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ObjectExists;

/// All objects, sorted by path.
#[derive(Debug, Default)]
pub(super) struct ObjectStore {
    objects: Vec<StoredObject>,
}

impl ObjectStore {
    /// Stores an object and returns its entity tag.
    pub(super) fn put(
        &mut self,
        path: &str,
        content: Vec<u8>,
        only_new: bool,
    ) -> Result<Box<str>, ObjectExists> {
        let hash = blake3::hash(&content).to_hex();
        let tag: Box<str> = format!("\"{}\"", &hash[..32]).into();
        let object = StoredObject {
            path: path.into(),
            content: content.into(),
            tag: tag.clone(),
        };
        match self.find(path) {
            Ok(_) if only_new => return Err(ObjectExists),
            Ok(index) => self.objects[index] = object,
            Err(index) => self.objects.insert(index, object),
        }
        Ok(tag)
    }

    pub(super) fn get(&self, path: &str) -> Option<StoredObject> {
        let index = self.find(path).ok()?;
        Some(self.objects[index].clone())
    }

    /// Objects whose path starts with `prefix` and lies after `after`.
    pub(super) fn list(&self, prefix: &str, after: &str, most: usize) -> ObjectPage {
        let first = self
            .objects
            .partition_point(|object| &*object.path < prefix || &*object.path <= after);
        let mut matching = self.objects[first..]
            .iter()
            .take_while(|object| object.path.starts_with(prefix));
        let objects = matching.by_ref().take(most).cloned().collect();
        ObjectPage {
            objects,
            truncated: matching.next().is_some(),
        }
    }

    fn find(&self, path: &str) -> Result<usize, usize> {
        self.objects
            .binary_search_by(|object| (*object.path).cmp(path))
    }
}
