//! Notes on how much of the platform a router could use beyond its floor.
//!
//! They go to the own zone only, about 50 bytes each, and only from routers
//! that want to borrow; a note that is not renewed is dropped by gossip.

use guavawell_core::clock::ClockTime;
use guavawell_core::instance::GossipNote;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::NoteScope;
use guavawell_core::instance::Reachability;
use guavawell_core::platform::PlatformRate;
use serde::Deserialize;
use serde::Serialize;

/// What a note's key begins with.
const PREFIX: &str = "demand/";

/// Demand beyond the floor, as it rides on gossip.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandNote {
    /// Writes.
    pub writes: PlatformRate,
    /// Reads.
    pub reads: PlatformRate,
}

impl DemandNote {
    /// The note of the instance whose view this is.
    pub fn to_gossip(self, members: &MemberView, now: ClockTime) -> Option<GossipNote> {
        let own = members.own();
        Some(GossipNote {
            key: format!("{PREFIX}{}", own.instance).into(),
            scope: NoteScope::Zone(own.zone.clone()),
            version: now.as_millis(),
            bytes: postcard::to_allocvec(&self).ok()?.into(),
        })
    }
}

/// What the other routers of the zone announced. Who is suspected may still
/// borrow; who is gone or leaving does not.
pub fn heard_demands(members: &MemberView) -> Vec<DemandNote> {
    let notes = members.notes();
    let start = notes.partition_point(|note| &*note.key < PREFIX);
    let notes = notes[start..].iter();
    let own = &members.own().instance;
    notes
        .map_while(|note| Some((note.key.strip_prefix(PREFIX)?, note)))
        .filter_map(|(name, note)| {
            let member = members.find(&name.parse().ok()?)?;
            let is_gone = member.reachability == Reachability::Unreachable || member.leaving;
            let counts = member.instance != *own && !is_gone;
            counts.then(|| postcard::from_bytes(&note.bytes).ok())?
        })
        .collect()
}
