//! Facts in little memory: names that recur are kept once.

use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;
use guavawell_core::id::TokenCount;

use super::fact::FactKind;
use super::fact::HistoryFact;

/// Names, each kept once and known by a number.
struct NameTable<T> {
    names: Vec<T>,
    /// Numbers of the names, sorted by name.
    sorted: Vec<u32>,
}

impl<T: Ord> NameTable<T> {
    const fn new() -> Self {
        Self {
            names: Vec::new(),
            sorted: Vec::new(),
        }
    }

    /// The number of a name, new or known.
    fn number(&mut self, name: T) -> u32 {
        let found = self
            .sorted
            .binary_search_by(|number| self.names[*number as usize].cmp(&name));
        match found {
            Ok(place) => self.sorted[place],
            Err(place) => {
                let number = u32::try_from(self.names.len()).expect("fewer names than events");
                self.names.push(name);
                self.sorted.insert(place, number);
                number
            }
        }
    }

    fn name(&self, number: u32) -> &T {
        &self.names[number as usize]
    }
}

/// One fact, its organisation and instance by number.
struct StoredFact {
    request: RequestId,
    attempt: Option<AttemptId>,
    tokens: Option<TokenCount>,
    at: ClockTime,
    order: u64,
    line: u64,
    position: u64,
    organisation: u32,
    instance: u32,
    source: u32,
    kind: FactKind,
    idempotent: bool,
}

/// All facts of a history.
pub(super) struct FactStore {
    organisations: NameTable<OrganisationId>,
    instances: NameTable<InstanceId>,
    facts: Vec<StoredFact>,
}

impl Default for FactStore {
    fn default() -> Self {
        Self {
            organisations: NameTable::new(),
            instances: NameTable::new(),
            facts: Vec::new(),
        }
    }
}

impl FactStore {
    /// Facts kept so far.
    pub(super) fn len(&self) -> u64 {
        self.facts.len() as u64
    }

    /// Keeps a fact.
    pub(super) fn push(&mut self, fact: HistoryFact) {
        let stored = StoredFact {
            organisation: self.organisations.number(fact.organisation),
            instance: self.instances.number(fact.instance),
            request: fact.request,
            attempt: fact.attempt,
            tokens: fact.tokens,
            at: fact.at,
            order: fact.order,
            line: fact.line,
            position: fact.position,
            source: fact.source,
            kind: fact.kind,
            idempotent: fact.idempotent,
        };
        self.facts.push(stored);
    }

    /// Sorts by request, then organisation, then the time line's order.
    pub(super) fn sort(&mut self) {
        self.facts.sort_unstable_by(|a, b| {
            let by_request = a.request.cmp(&b.request);
            let by_identity = by_request.then(a.organisation.cmp(&b.organisation));
            by_identity.then(a.position.cmp(&b.position))
        });
    }

    /// The facts of each identity in turn, once sorted.
    pub(super) fn identities(&self) -> impl Iterator<Item = Vec<HistoryFact>> {
        let same = |a: &StoredFact, b: &StoredFact| {
            a.organisation == b.organisation && a.request == b.request
        };
        let groups = self.facts.chunk_by(same);
        groups.map(|group| group.iter().map(|fact| self.fact(fact)).collect())
    }

    /// The facts of a request, once sorted; of any organisation, if none is named.
    pub(super) fn of_request(
        &self,
        organisation: Option<&OrganisationId>,
        request: &RequestId,
    ) -> Vec<HistoryFact> {
        let first = self.facts.partition_point(|fact| fact.request < *request);
        let same = self.facts[first..].iter();
        let same = same.take_while(|fact| fact.request == *request);
        let facts = same.map(|fact| self.fact(fact));
        facts
            .filter(|fact| organisation.is_none_or(|named| *named == fact.organisation))
            .collect()
    }

    fn fact(&self, stored: &StoredFact) -> HistoryFact {
        HistoryFact {
            position: stored.position,
            kind: stored.kind,
            organisation: self.organisations.name(stored.organisation).clone(),
            request: stored.request.clone(),
            attempt: stored.attempt,
            tokens: stored.tokens,
            idempotent: stored.idempotent,
            instance: self.instances.name(stored.instance).clone(),
            at: stored.at,
            order: stored.order,
            source: stored.source,
            line: stored.line,
        }
    }
}
