//! All backend servers that requests are forwarded to.

use std::cmp::Ordering;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::ServerEntry;
use crate::forward::ServerIncarnation;
use crate::forward::ServerPhase;
use crate::id::BackendId;
use crate::id::ServiceId;

/// Lives of forgotten servers that are remembered, so that a late entry of one
/// that was succeeded, or that left, is not taken for a new server: about ten
/// times the servers that a fleet sees start again in a minute.
const MAX_FORGOTTEN: usize = 256;

/// The newest life of a server that was forgotten.
#[derive(Clone, Debug)]
struct ForgottenServer {
    incarnation: ServerIncarnation,
    /// Whether it said that it leaves.
    announced_leaving: bool,
    /// Counts up with each life that is forgotten.
    sequence: u64,
}

/// All backend servers, sorted by id: the newest life of each.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: Vec<ServerEntry>,
    /// The newest lives of servers that were forgotten, sorted by id.
    forgotten: Vec<ForgottenServer>,
    /// Lives that were forgotten so far.
    forgotten_count: u64,
}

impl ServerTable {
    /// All servers.
    #[must_use]
    pub fn servers(&self) -> &[ServerEntry] {
        &self.servers
    }

    /// The newest life of a server.
    #[must_use]
    pub fn newest(&self, id: &BackendId) -> Option<&ServerEntry> {
        let index = self.find(id);
        self.servers.get(index.ok()?)
    }

    /// A life of a server, unless a later one has begun.
    #[must_use]
    pub fn get(&self, incarnation: &ServerIncarnation) -> Option<&ServerEntry> {
        self.newest(&incarnation.id)
            .filter(|entry| entry.incarnation == *incarnation)
    }

    /// A life of a server, to be changed; `None` once a later one has begun.
    pub fn get_mut(&mut self, incarnation: &ServerIncarnation) -> Option<&mut ServerEntry> {
        let index = self.find(&incarnation.id).ok()?;
        let entry = &mut self.servers[index];
        (entry.incarnation == *incarnation).then_some(entry)
    }

    /// Takes in what the platform lists of a server, and returns the life that
    /// this one succeeds.
    ///
    /// A known life keeps its load and health, and one that leaves never comes
    /// back as ready. A later life begins with nothing; what is told of an
    /// earlier one changes nothing.
    pub fn upsert(&mut self, entry: ServerEntry) -> Option<ServerIncarnation> {
        let index = match self.find(&entry.incarnation.id) {
            Ok(index) => index,
            Err(index) => {
                if !self.has_ended(&entry.incarnation) {
                    self.servers.insert(index, entry);
                }
                return None;
            }
        };
        let existing = &mut self.servers[index];
        match entry.incarnation.born.cmp(&existing.incarnation.born) {
            // Servers that tell their birth always do: not its own entry.
            Ordering::Less if entry.incarnation.born.is_none() => {
                existing.end_listing(ServerPhase::Unreadable);
                None
            }
            Ordering::Less => None,
            Ordering::Greater => Some(std::mem::replace(existing, entry).incarnation),
            Ordering::Equal => {
                existing.update_listing(entry);
                None
            }
        }
    }

    /// A server is no longer listed, or not readably. It is dropped once
    /// nothing runs there.
    pub fn remove(&mut self, incarnation: &ServerIncarnation, phase: ServerPhase) {
        if let Some(entry) = self.get_mut(incarnation) {
            entry.end_listing(phase);
        }
    }

    /// How long it takes until the first server of a service wants requests
    /// again, if all that there are asked for a pause.
    #[must_use]
    pub fn resumes_in(&self, service: &ServiceId, now: ClockTime) -> Option<ClockSpan> {
        let serves = |entry: &&ServerEntry| entry.service == *service && entry.takes_requests(now);
        let pauses = self.servers.iter().filter(serves);
        let earliest = pauses.map(|entry| entry.health.paused_until).min()?;
        Some(earliest.since(now)).filter(|span| *span > ClockSpan::ZERO)
    }

    /// Forgets servers that left and hold no request of this instance.
    pub fn sweep(&mut self, now: ClockTime) {
        let is_removable =
            |entry: &mut ServerEntry| !entry.takes_requests(now) && entry.load.in_flight == 0;
        let removed: Vec<ServerEntry> = self.servers.extract_if(.., is_removable).collect();
        for entry in removed {
            self.remember(entry);
        }
    }

    /// Whether a forgotten life is not to come back: a later one is known, or it
    /// said that it leaves.
    fn has_ended(&self, incarnation: &ServerIncarnation) -> bool {
        let Ok(index) = self.find_forgotten(&incarnation.id) else {
            return false;
        };
        let existing = &self.forgotten[index];
        existing.incarnation.born > incarnation.born
            || (existing.incarnation == *incarnation && existing.announced_leaving)
    }

    fn remember(&mut self, entry: ServerEntry) {
        self.forgotten_count += 1;
        let forgotten = ForgottenServer {
            incarnation: entry.incarnation,
            announced_leaving: entry.announced_leaving,
            sequence: self.forgotten_count,
        };
        match self.find_forgotten(&forgotten.incarnation.id) {
            Ok(index) => self.forgotten[index] = forgotten,
            Err(index) => self.forgotten.insert(index, forgotten),
        }
        if self.forgotten.len() > MAX_FORGOTTEN {
            let oldest =
                (0..self.forgotten.len()).min_by_key(|index| self.forgotten[*index].sequence);
            oldest.map(|index| self.forgotten.remove(index));
        }
    }

    fn find_forgotten(&self, id: &BackendId) -> Result<usize, usize> {
        self.forgotten
            .binary_search_by(|existing| existing.incarnation.id.cmp(id))
    }

    fn find(&self, id: &BackendId) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|entry| entry.incarnation.id.cmp(id))
    }
}
