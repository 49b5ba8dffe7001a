//! Notes: small versioned key-value pairs that are replicated by gossip.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::settings::MembershipSettings;
use crate::clock::ClockTime;
use crate::id::ZoneId;

/// Maximum length of a note's key, in bytes.
pub const MAX_NOTE_KEY_BYTES: usize = 64;

/// Which instances store and pass on a note, and when it expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoteScope {
    /// Instances of one zone; expires unless renewed by a newer version.
    Zone(ZoneId),
    /// Every instance, also spread by sync; never expires.
    Fleet,
    /// Every instance, spread by gossip only; expires unless renewed by a newer
    /// version. For notes renewed so often that every sync would find a difference.
    Passing,
}

/// A small value under a key; the highest version replaces the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipNote {
    /// The key, at most [`MAX_NOTE_KEY_BYTES`] long.
    pub key: Box<str>,
    /// Which instances store it.
    pub scope: NoteScope,
    /// The version. Each key should have one writer: of two notes with the same
    /// version the first one stays.
    pub version: u64,
    /// The value, which gossip does not interpret.
    pub bytes: Box<[u8]>,
}

/// Why a note is rejected.
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
        /// The value's size, in bytes.
        bytes: usize,
        /// The maximum size, in bytes.
        limit: usize,
    },
    /// The maximum number of notes is stored already.
    #[error("note `{0}` exceeds the maximum number of notes")]
    TooMany(Box<str>),
    /// The note is for another zone.
    #[error("note `{0}` belongs to another zone")]
    OtherZone(Box<str>),
}

#[derive(Clone, Debug)]
struct StoredNote {
    note: Arc<GossipNote>,
    renewed_at: ClockTime,
}

/// The notes that one instance stores, sorted by key.
#[derive(Clone, Debug, Default)]
pub(super) struct NoteStore {
    notes: Vec<StoredNote>,
}

impl NoteStore {
    /// Stores a note; `Ok(true)` if it was new or a newer version.
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

    /// Returns the note under `key`.
    pub(super) fn find(&self, key: &str) -> Option<&Arc<GossipNote>> {
        let index = self.position(key).ok()?;
        Some(&self.notes[index].note)
    }

    /// Drops notes that were not renewed in time, except those with fleet scope;
    /// true if any was dropped.
    pub(super) fn expire(&mut self, settings: &MembershipSettings, now: ClockTime) -> bool {
        let before = self.notes.len();
        self.notes.retain(|stored| {
            stored.note.scope == NoteScope::Fleet
                || now.since(stored.renewed_at) < settings.note_lifetime
        });
        before != self.notes.len()
    }

    /// Returns all notes, sorted by key.
    pub(super) fn all(&self) -> impl Iterator<Item = &Arc<GossipNote>> {
        self.notes.iter().map(|stored| &stored.note)
    }

    /// Returns the notes with fleet scope.
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
