//! A small world around the real state machines: three instances, one table,
//! one slot, one budget, and a network that loses, delays and reorders.

mod deliver;
mod model;
mod promise;
mod step;
mod table;

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::WitnessMessage;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ShardId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestIdentity;

use crate::plant::PlantedFault;
use model::GrantedAttempt;
use model::HeardAnswers;
pub use model::Letter;
pub use model::LetterBody;
use model::Node;
pub use model::WorldLimits;
pub use model::WorldStep;

/// Time stands still; with timeouts of zero, every tick may fire any timer.
pub const NOW: ClockTime = ClockTime::from_millis(1);
const PAID: TokenCount = TokenCount::new(8);
const AMOUNT: TokenCount = TokenCount::new(2);
/// Asks to release have the attempt's number and this.
pub const RELEASE_ASKS: u64 = 1 << 20;
const ACTUAL: TokenCount = TokenCount::new(1);

#[derive(Clone, Debug, Hash)]
pub struct World {
    pub plant: PlantedFault,
    pub row: SlotRow,
    pub budget: BudgetRow,
    pub nodes: Vec<Node>,
    pub letters: Vec<Letter>,
    pub granted: Vec<GrantedAttempt>,
    heard: HeardAnswers,
    asked: usize,
    pub left: WorldLimits,
    mismatch: bool,
}

pub fn digest(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

pub fn slot() -> SlotId {
    SlotId {
        zone: "z1".parse().unwrap(),
        shard: ShardId::new(0),
    }
}

fn life(node: usize, incarnation: u64) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: ["a", "b", "c"][node].parse().unwrap(),
        incarnation: IncarnationId::new(incarnation),
    }
}

fn identity(request: usize) -> RequestIdentity {
    RequestIdentity::from_caller("org".parse().unwrap(), &format!("r{request}")).unwrap()
}

fn attempt_id(request: usize, attempt: u8) -> AttemptId {
    AttemptId::new((request as u128) * 16 + u128::from(attempt))
}

/// The request and the attempt of an ask or an attempt's id.
pub fn attempt_of(number: u64) -> (usize, u8) {
    let request = usize::try_from(number / 16).unwrap();
    let attempt = u8::try_from(number % 16).unwrap();
    (request, attempt)
}

fn new_witness(life: &InstanceIncarnation) -> SlotWitness {
    SlotWitness::new(life.clone(), slot(), ClockSpan::from_millis(0))
}

fn settings() -> Arc<HolderSettings> {
    let long = ClockSpan::from_millis(1_000_000);
    let none = ClockSpan::from_millis(0);
    Arc::new(HolderSettings {
        witness_timeout: none,
        resend_every: none,
        table_retry: none,
        queue_wait: none,
        exhausted_hold: none,
        float_percent: 50,
        stock_requests: 100,
        report_after: long,
        retention: long,
        retire_wait: long,
        slot_read_every: long,
        ..HolderSettings::default()
    })
}

impl World {
    /// Instance `a` holds the slot, `b` is its witness, request 0 runs and
    /// the float is filled.
    pub fn new(plant: PlantedFault, left: WorldLimits) -> Self {
        let mut world = Self::with_late_ack(plant, left);
        world.deliver_all(|_| true);
        world
    }

    /// As [`World::new`], but with the witness's first acknowledgement still
    /// on its way.
    pub fn with_late_ack(plant: PlantedFault, left: WorldLimits) -> Self {
        let nodes = (0..3).map(|node| Node {
            life: life(node, 1),
            holders: Vec::new(),
            witness: new_witness(&life(node, 1)),
            shadow: None,
        });
        let row = SlotRow::first(life(0, 1));
        let mut world = Self {
            plant,
            row: row.clone(),
            budget: BudgetRow::new("org".parse().unwrap(), PAID, ManifestVersion::new(1)),
            nodes: nodes.collect(),
            letters: Vec::new(),
            granted: Vec::new(),
            heard: HeardAnswers::default(),
            asked: 0,
            left,
            mismatch: false,
        };
        let ledger = SlotLedger::new(row.tenure);
        let holder = SlotHolder::new(settings(), slot(), row, ledger, NOW);
        world.nodes[0].holders.push(holder);
        world.tell(0, 0, HolderEvent::ChangeWitness(Some(life(1, 1))));
        world.deliver_all(|_| true);
        world.ask(0, 0, 0);
        world.deliver_all(|letter| {
            !matches!(letter.body, LetterBody::Witness(WitnessMessage::Ack(_)))
        });
        world
    }

    fn deliver_all(&mut self, is_due: impl Fn(&Letter) -> bool) {
        while let Some(place) = self.letters.iter().position(&is_due) {
            self.apply(WorldStep::Deliver(place));
        }
    }
}
