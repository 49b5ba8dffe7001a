//! What one instance sees of the fleet at one moment.

use std::sync::Arc;

use super::note::GossipNote;
use super::owner::owner;
use super::record::MemberRecord;
use crate::id::InstanceId;
use crate::id::ZoneId;

/// An immutable picture of the fleet, for routing and for operators.
///
/// It holds no verdict that an instance is gone for good: a grant or a claim
/// may end only through the platform's table.
#[derive(Clone, Debug)]
pub struct MemberView {
    own: Arc<MemberRecord>,
    /// All members with this instance, sorted by id.
    members: Box<[Arc<MemberRecord>]>,
    /// All notes, sorted by key.
    notes: Box<[Arc<GossipNote>]>,
}

impl MemberView {
    pub(super) fn new(
        own: &MemberRecord,
        others: impl Iterator<Item = Arc<MemberRecord>>,
        notes: impl Iterator<Item = Arc<GossipNote>>,
    ) -> Self {
        let own = Arc::new(own.clone());
        let mut members: Vec<_> = others.chain([Arc::clone(&own)]).collect();
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        Self {
            own,
            members: members.into(),
            notes: notes.collect(),
        }
    }

    /// This instance.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Every known member with this instance, sorted by id.
    #[must_use]
    pub fn members(&self) -> &[Arc<MemberRecord>] {
        &self.members
    }

    /// Members that new work may be sent to, with this instance unless it leaves.
    pub fn routable(&self) -> impl Iterator<Item = &MemberRecord> {
        let members = self.members.iter().map(|member| &**member);
        members.filter(|member| member.is_routable())
    }

    /// The routable members of one zone.
    pub fn routable_in<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a MemberRecord> {
        self.routable().filter(move |member| member.zone == *zone)
    }

    /// The member, if known.
    #[must_use]
    pub fn find(&self, instance: &InstanceId) -> Option<&MemberRecord> {
        let index = self
            .members
            .binary_search_by(|member| member.instance.cmp(instance))
            .ok()?;
        Some(&self.members[index])
    }

    /// The routable member of `zone` that rendezvous hashing picks for `key`.
    #[must_use]
    pub fn owner_in(&self, zone: &ZoneId, key: &[u8]) -> Option<&MemberRecord> {
        let members = self.routable_in(zone).map(|member| &member.instance);
        self.find(owner(members, key)?)
    }

    /// All notes, sorted by key.
    #[must_use]
    pub fn notes(&self) -> &[Arc<GossipNote>] {
        &self.notes
    }

    /// The note under `key`.
    #[must_use]
    pub fn note(&self, key: &str) -> Option<&GossipNote> {
        let index = self
            .notes
            .binary_search_by(|note| (*note.key).cmp(key))
            .ok()?;
        Some(&self.notes[index])
    }
}
