//! All backend servers that requests are forwarded to.

use std::cmp::Ordering;

use crate::clock::ClockSpan;
use crate::clock::ClockTime;
use crate::forward::ServerEntry;
use crate::forward::ServerLife;
use crate::forward::ServerPhase;
use crate::id::BackendId;
use crate::id::ServiceId;

/// Lives of forgotten servers that are remembered, so that a late entry of one
/// that was succeeded, or that left, is not taken for a new server: about ten
/// times the servers that a fleet sees start again in a minute.
const MAX_FORMER: usize = 256;

/// The newest life of a server that was forgotten.
#[derive(Clone, Debug)]
struct FormerLife {
    life: ServerLife,
    /// Whether it said that it leaves.
    said_leaving: bool,
    /// Counts up with each life that is forgotten.
    turn: u64,
}

/// All backend servers, sorted by id: the newest life of each.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: Vec<ServerEntry>,
    /// The newest lives of servers that were forgotten, sorted by id.
    former: Vec<FormerLife>,
    /// Lives that were forgotten so far.
    turns: u64,
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
        let place = self.find(id);
        self.servers.get(place.ok()?)
    }

    /// A life of a server, unless a later one has begun.
    #[must_use]
    pub fn get(&self, life: &ServerLife) -> Option<&ServerEntry> {
        self.newest(&life.id).filter(|entry| entry.life == *life)
    }

    /// A life of a server, to be changed; `None` once a later one has begun.
    pub fn get_mut(&mut self, life: &ServerLife) -> Option<&mut ServerEntry> {
        let place = self.find(&life.id).ok()?;
        let entry = &mut self.servers[place];
        (entry.life == *life).then_some(entry)
    }

    /// Takes in what the platform lists of a server, and returns the life that
    /// this one succeeds.
    ///
    /// A known life keeps its load and health, and one that leaves never comes
    /// back as ready. A later life begins with nothing; what is told of an
    /// earlier one changes nothing.
    pub fn upsert(&mut self, entry: ServerEntry) -> Option<ServerLife> {
        let place = match self.find(&entry.life.id) {
            Ok(place) => place,
            Err(place) => {
                if !self.is_over(&entry.life) {
                    self.servers.insert(place, entry);
                }
                return None;
            }
        };
        let held = &mut self.servers[place];
        match entry.life.born.cmp(&held.life.born) {
            // Servers that tell their birth always do: not its own entry.
            Ordering::Less if entry.life.born.is_none() => {
                held.end_listing(ServerPhase::Unreadable);
                None
            }
            Ordering::Less => None,
            Ordering::Greater => Some(std::mem::replace(held, entry).life),
            Ordering::Equal => {
                held.take_listing(entry);
                None
            }
        }
    }

    /// A server is no longer listed, or not readably. It is dropped once
    /// nothing runs there.
    pub fn remove(&mut self, life: &ServerLife, phase: ServerPhase) {
        if let Some(entry) = self.get_mut(life) {
            entry.end_listing(phase);
        }
    }

    /// How long it takes until the first server of a service wants requests
    /// again, if all that there are asked for a pause.
    #[must_use]
    pub fn resumes_in(&self, service: &ServiceId, now: ClockTime) -> Option<ClockSpan> {
        let serves = |entry: &&ServerEntry| entry.service == *service && entry.takes_requests(now);
        let pauses = self.servers.iter().filter(serves);
        let soonest = pauses.map(|entry| entry.health.paused_until).min()?;
        Some(soonest.since(now)).filter(|span| *span > ClockSpan::ZERO)
    }

    /// Forgets servers that left and hold no request of this instance.
    pub fn sweep(&mut self, now: ClockTime) {
        let gone =
            |entry: &mut ServerEntry| !entry.takes_requests(now) && entry.load.in_flight == 0;
        let forgotten: Vec<ServerEntry> = self.servers.extract_if(.., gone).collect();
        for entry in forgotten {
            self.remember(entry);
        }
    }

    /// Whether a forgotten life is not to come back: a later one is known, or it
    /// said that it leaves.
    fn is_over(&self, life: &ServerLife) -> bool {
        let Ok(place) = self.find_former(&life.id) else {
            return false;
        };
        let held = &self.former[place];
        held.life.born > life.born || (held.life == *life && held.said_leaving)
    }

    fn remember(&mut self, entry: ServerEntry) {
        self.turns += 1;
        let former = FormerLife {
            life: entry.life,
            said_leaving: entry.said_leaving,
            turn: self.turns,
        };
        match self.find_former(&former.life.id) {
            Ok(place) => self.former[place] = former,
            Err(place) => self.former.insert(place, former),
        }
        if self.former.len() > MAX_FORMER {
            let eldest = (0..self.former.len()).min_by_key(|place| self.former[*place].turn);
            eldest.map(|place| self.former.remove(place));
        }
    }

    fn find_former(&self, id: &BackendId) -> Result<usize, usize> {
        self.former.binary_search_by(|held| held.life.id.cmp(id))
    }

    fn find(&self, id: &BackendId) -> Result<usize, usize> {
        self.servers.binary_search_by(|entry| entry.life.id.cmp(id))
    }
}
