//! Which servers probably hold which prompt prefix.
//!
//! The hints come from late cache events with gaps and from own requests. They
//! live in a table of fixed size, eight ways a set; a wrong hint costs one
//! prefill and nothing else.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use thiserror::Error;

/// Bytes of the concatenated message contents that make up a prefix.
const PREFIX_BYTES: usize = 64;
/// Hex digits of a prefix hash.
const PREFIX_DIGITS: usize = 16;
/// Entries of a set.
const WAYS: usize = 8;
/// Hints looked at per request.
pub(super) const MAX_HINTS: usize = 4;

/// The hash of a prompt's first bytes (see docs/PROTOCOLS.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct PrefixHash(u64);

/// Why a text is not a prefix hash.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a prefix hash; use {PREFIX_DIGITS} hex digits")]
pub struct PrefixError(Box<str>);

impl PrefixHash {
    /// Wraps a plain number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The hash of concatenated message contents.
    #[must_use]
    pub fn of_contents(contents: &[u8]) -> Self {
        let part = &contents[..contents.len().min(PREFIX_BYTES)];
        let digest = Sha256::digest(part);
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(first))
    }
}

impl fmt::Display for PrefixHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for PrefixHash {
    type Err = PrefixError;

    fn from_str(text: &str) -> Result<Self, PrefixError> {
        let number = u64::from_str_radix(text, 16).ok();
        match number {
            Some(number) if text.len() == PREFIX_DIGITS => Ok(Self(number)),
            _ => Err(PrefixError(text.into())),
        }
    }
}

impl TryFrom<Box<str>> for PrefixHash {
    type Error = PrefixError;

    fn try_from(text: Box<str>) -> Result<Self, PrefixError> {
        text.parse()
    }
}

impl From<PrefixHash> for Box<str> {
    fn from(prefix: PrefixHash) -> Self {
        prefix.to_string().into()
    }
}

/// What happened to a prefix at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// One cache event of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number at its server.
    pub seq: u64,
    /// What happened.
    pub kind: CacheChange,
    /// The prefix.
    pub prefix: PrefixHash,
}

/// The answer to `GET /v1/cache-events?after=N`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheBatch {
    /// The events, in order, with gaps.
    pub events: Vec<CacheEvent>,
    /// The number to ask after next.
    pub next: u64,
}

/// A server that may hold a prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CacheHint {
    /// The server's mark.
    pub(super) mark: u32,
    /// The server's cache age when the hint was stored.
    pub(super) age: u8,
}

/// The hints of all servers.
///
/// An entry holds 24 bits of the prefix, the 8-bit age and the 32-bit mark;
/// zero is empty.
#[derive(Debug)]
pub(super) struct AffinityCache {
    entries: Box<[AtomicU64]>,
    victim: AtomicUsize,
}

impl AffinityCache {
    pub(super) fn new(hints: usize) -> Self {
        let size = hints.next_power_of_two().max(WAYS);
        Self {
            entries: (0..size).map(|_| AtomicU64::new(0)).collect(),
            victim: AtomicUsize::new(0),
        }
    }

    /// Remembers that a server holds a prefix.
    pub(super) fn store(&self, prefix: PrefixHash, hint: CacheHint) {
        let set = self.set(prefix);
        let same = set.iter().find(|entry| {
            let packed = entry.load(Ordering::Relaxed);
            tag_matches(packed, prefix) && unpack(packed).mark == hint.mark
        });
        let empty = || set.iter().find(|entry| entry.load(Ordering::Relaxed) == 0);
        let victim = || &set[self.victim.fetch_add(1, Ordering::Relaxed) % WAYS];
        let entry = same.or_else(empty).unwrap_or_else(victim);
        entry.store(pack(prefix, hint), Ordering::Relaxed);
    }

    /// Forgets that a server holds a prefix.
    pub(super) fn evict(&self, prefix: PrefixHash, mark: u32) {
        for entry in self.set(prefix) {
            let packed = entry.load(Ordering::Relaxed);
            if tag_matches(packed, prefix) && unpack(packed).mark == mark {
                entry.store(0, Ordering::Relaxed);
            }
        }
    }

    /// Up to [`MAX_HINTS`] servers that may hold a prefix; `pick` varies which
    /// ones where there are more.
    pub(super) fn find(&self, prefix: PrefixHash, pick: u64) -> [Option<CacheHint>; MAX_HINTS] {
        let set = self.set(prefix);
        let start = usize::try_from(pick % WAYS as u64).unwrap_or(0);
        let mut hints = [None; MAX_HINTS];
        let mut found = 0;
        for step in 0..WAYS {
            let packed = set[(start + step) % WAYS].load(Ordering::Relaxed);
            if packed != 0 && tag_matches(packed, prefix) && found < MAX_HINTS {
                hints[found] = Some(unpack(packed));
                found += 1;
            }
        }
        hints
    }

    fn set(&self, prefix: PrefixHash) -> &[AtomicU64] {
        let sets = self.entries.len() / WAYS;
        let place = usize::try_from(prefix.0 & u64::from(u32::MAX)).unwrap_or(0) % sets;
        &self.entries[place * WAYS..(place + 1) * WAYS]
    }
}

fn tag(prefix: PrefixHash) -> u64 {
    prefix.0 >> 40
}

fn tag_matches(packed: u64, prefix: PrefixHash) -> bool {
    packed >> 40 == tag(prefix)
}

fn pack(prefix: PrefixHash, hint: CacheHint) -> u64 {
    (tag(prefix) << 40) | (u64::from(hint.age) << 32) | u64::from(hint.mark)
}

fn unpack(packed: u64) -> CacheHint {
    CacheHint {
        mark: u32::try_from(packed & u64::from(u32::MAX)).unwrap_or(0),
        age: u8::try_from((packed >> 32) & u64::from(u8::MAX)).unwrap_or(0),
    }
}
