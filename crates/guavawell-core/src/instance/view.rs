//! Snapshot of the fleet as one instance knows it.

use std::sync::Arc;

use super::note::GossipNote;
use super::owner::owner;
use super::record::MemberRecord;
use crate::id::InstanceId;
use crate::id::ZoneId;

/// An immutable snapshot of the members and notes, for routing and for operators.
///
/// It never says that an instance is dead: a grant or a claim may end only
/// through the tables in the platform's store.
#[derive(Clone, Debug)]
pub struct MemberView {
    own: Arc<MemberRecord>,
    /// All members including this instance, sorted by id.
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

    /// Returns this instance's own record.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns every known member including this instance, sorted by id.
    #[must_use]
    pub fn members(&self) -> &[Arc<MemberRecord>] {
        &self.members
    }

    /// Returns the members that new work may be sent to, including this instance
    /// unless it is leaving.
    pub fn routable(&self) -> impl Iterator<Item = &MemberRecord> {
        let members = self.members.iter().map(|member| &**member);
        members.filter(|member| member.is_routable())
    }

    /// Returns the routable members of one zone.
    pub fn routable_in<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a MemberRecord> {
        self.routable().filter(move |member| member.zone == *zone)
    }

    /// Returns the member's record, if it is known.
    #[must_use]
    pub fn find(&self, instance: &InstanceId) -> Option<&MemberRecord> {
        let index = self
            .members
            .binary_search_by(|member| member.instance.cmp(instance))
            .ok()?;
        Some(&self.members[index])
    }

    /// Returns the routable member of `zone` that rendezvous hashing picks for `key`.
    #[must_use]
    pub fn owner_in(&self, zone: &ZoneId, key: &[u8]) -> Option<&MemberRecord> {
        let members = self.routable_in(zone).map(|member| &member.instance);
        self.find(owner(members, key)?)
    }

    /// Returns all notes, sorted by key.
    #[must_use]
    pub fn notes(&self) -> &[Arc<GossipNote>] {
        &self.notes
    }

    /// Returns the note under `key`, if there is one.
    #[must_use]
    pub fn note(&self, key: &str) -> Option<&GossipNote> {
        let index = self
            .notes
            .binary_search_by(|note| (*note.key).cmp(key))
            .ok()?;
        Some(&self.notes[index])
    }
}
