//! Notes: small versioned values that ride on gossip.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::settings::MembershipSettings;
use crate::clock::ClockTime;
use crate::id::ZoneId;

/// Longest key of a note, in bytes.
pub const MAX_NOTE_KEY_BYTES: usize = 64;

/// Which instances keep and pass on a note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoteScope {
    /// Instances of one zone; dropped when not renewed.
    Zone(ZoneId),
    /// Every instance; kept until a newer version comes.
    Fleet,
    /// Every instance, by gossip alone; dropped when not renewed. For what is
    /// renewed so often that comparisons would always differ.
    Passing,
}

/// A small value under a key; the highest version wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipNote {
    /// The key, at most [`MAX_NOTE_KEY_BYTES`].
    pub key: Box<str>,
    /// Who keeps it.
    pub scope: NoteScope,
    /// The version; one writer for each key is expected.
    pub version: u64,
    /// The value, opaque to gossip.
    pub bytes: Box<[u8]>,
}

/// Why a note is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NoteError {
    /// The key is too long.
    #[error("note key `{0}` is longer than {MAX_NOTE_KEY_BYTES} bytes")]
    KeyTooLong(Box<str>),
    /// The value is too large.
    #[error("note `{key}` has {bytes} bytes, more than the {limit} allowed")]
    TooLarge {
        /// The note's key.
        key: Box<str>,
        /// Its size.
        bytes: usize,
        /// The largest size.
        limit: usize,
    },
    /// As many notes as allowed are kept already.
    #[error("note `{0}` would exceed the number of notes kept")]
    TooMany(Box<str>),
    /// It belongs to another zone.
    #[error("note `{0}` belongs to another zone")]
    OtherZone(Box<str>),
}

#[derive(Clone, Debug)]
struct StoredNote {
    note: Arc<GossipNote>,
    renewed_at: ClockTime,
}

/// The notes that one instance keeps, sorted by key.
#[derive(Clone, Debug, Default)]
pub(super) struct NoteStore {
    notes: Vec<StoredNote>,
}

impl NoteStore {
    /// Takes a note in; `Ok(true)` if it was news.
    pub(super) fn apply(
        &mut self,
        note: &GossipNote,
        zone: &ZoneId,
        settings: &MembershipSettings,
        now: ClockTime,
    ) -> Result<bool, NoteError> {
        validate(note, zone, settings)?;
        let position = self.position(&note.key);
        let stored = StoredNote {
            note: Arc::new(note.clone()),
            renewed_at: now,
        };
        match position {
            Ok(index) if self.notes[index].note.version >= note.version => Ok(false),
            Ok(index) => {
                self.notes[index] = stored;
                Ok(true)
            }
            Err(_) if self.notes.len() >= settings.max_notes => {
                Err(NoteError::TooMany(note.key.clone()))
            }
            Err(index) => {
                self.notes.insert(index, stored);
                Ok(true)
            }
        }
    }

    /// The note under `key`.
    pub(super) fn find(&self, key: &str) -> Option<&Arc<GossipNote>> {
        let index = self.position(key).ok()?;
        Some(&self.notes[index].note)
    }

    /// Drops notes that were not renewed, but for those of the fleet; true if any went.
    pub(super) fn expire(&mut self, settings: &MembershipSettings, now: ClockTime) -> bool {
        let before = self.notes.len();
        self.notes.retain(|stored| {
            stored.note.scope == NoteScope::Fleet
                || now.since(stored.renewed_at) < settings.note_lifetime
        });
        before != self.notes.len()
    }

    /// All notes, sorted by key.
    pub(super) fn all(&self) -> impl Iterator<Item = &Arc<GossipNote>> {
        self.notes.iter().map(|stored| &stored.note)
    }

    /// The notes that every instance keeps.
    pub(super) fn fleet_notes(&self) -> impl Iterator<Item = &Arc<GossipNote>> {
        self.all().filter(|note| note.scope == NoteScope::Fleet)
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.notes
            .binary_search_by(|stored| (*stored.note.key).cmp(key))
    }
}

fn validate(
    note: &GossipNote,
    zone: &ZoneId,
    settings: &MembershipSettings,
) -> Result<(), NoteError> {
    if note.key.len() > MAX_NOTE_KEY_BYTES {
        return Err(NoteError::KeyTooLong(note.key.clone()));
    }
    if note.bytes.len() > settings.max_note_bytes {
        return Err(NoteError::TooLarge {
            key: note.key.clone(),
            bytes: note.bytes.len(),
            limit: settings.max_note_bytes,
        });
    }
    match &note.scope {
        NoteScope::Zone(other) if other != zone => Err(NoteError::OtherZone(note.key.clone())),
        NoteScope::Zone(_) | NoteScope::Fleet | NoteScope::Passing => Ok(()),
    }
}
