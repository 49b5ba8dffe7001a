//! A small driver of slots for tests and experiments: several availability
//! zones with two instances each, one table, cuts, crashes and lost answers.
//!
//! Messages travel at once unless a cut or the loss rate stops them; the
//! exhaustive search covers late and reordered ones.
#![allow(dead_code, reason = "each test uses its own part of the driver")]

mod deliver;
mod drive;
mod random;
mod table;

use std::collections::VecDeque;
use std::sync::Arc;

use guavawell_core::budget::AskId;
use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotHolder;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::TableIntent;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::BudgetId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ShardId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;

pub use random::SeededRandom;

/// Instances in each zone.
pub const ZONE_SIZE: usize = 2;
/// Asks with this number or more are the driver's own.
const OWN_ASKS: u64 = 1 << 60;

pub struct FleetInstance {
    pub life: InstanceIncarnation,
    pub zone: usize,
    pub is_up: bool,
    pub holders: Vec<SlotHolder>,
    pub witnesses: Vec<SlotWitness>,
}

#[derive(Clone, Debug)]
enum FleetLetter {
    Holder(usize, usize, Option<SlotEpoch>, HolderEvent),
    Witness(usize, usize, WitnessEvent),
    Table(usize, usize, SlotEpoch, TableIntent),
}

pub struct Fleet {
    pub now: ClockTime,
    pub instances: Vec<FleetInstance>,
    pub rows: Vec<SlotRow>,
    pub budgets: Vec<(BudgetId, BudgetRow)>,
    pub answers: Vec<(AskId, HolderAnswer)>,
    /// Zones that reach neither the platform nor other zones.
    pub cut: Vec<bool>,
    /// Whether the platform's table answers.
    pub is_table_up: bool,
    /// Messages lost of a hundred.
    pub loss_percent: u64,
    /// Table answers lost of a hundred, after the write took effect.
    pub lost_answer_percent: u64,
    pub table_writes: u64,
    pub mismatches: u64,
    /// Zones whose slot was taken without a ledger.
    pub seized: Vec<bool>,
    pub random: SeededRandom,
    /// Whether a seized slot's grants count as ended, as a lapsed lease's.
    pub plants_lease_expiry: bool,
    /// Whether witnesses are chosen in the holder's own zone.
    pub prefers_near_witness: bool,
    settings: Arc<HolderSettings>,
    letters: VecDeque<FleetLetter>,
    later: Vec<FleetLetter>,
}

pub fn slot(zone: usize) -> SlotId {
    SlotId {
        zone: format!("z{zone}").parse().unwrap(),
        shard: ShardId::new(0),
    }
}

fn is_of(holder: &SlotHolder, zone: usize) -> bool {
    *holder.slot() == slot(zone)
}

fn zone_of(slot: &SlotId) -> usize {
    slot.zone.as_str()[1..].parse().unwrap()
}

impl Fleet {
    pub fn new(
        zones: usize,
        settings: HolderSettings,
        paid: &[(BudgetId, TokenCount)],
        seed: u64,
    ) -> Self {
        let retry = ClockSpan::from_millis(500);
        let instance = |place: usize| {
            let life = InstanceIncarnation {
                instance: format!("i{place}").parse().unwrap(),
                incarnation: IncarnationId::new(1),
            };
            let witness = |zone| SlotWitness::new(life.clone(), slot(zone), retry);
            FleetInstance {
                witnesses: (0..zones).map(witness).collect(),
                life,
                zone: place / ZONE_SIZE,
                is_up: true,
                holders: Vec::new(),
            }
        };
        let budget = |(id, paid): &(BudgetId, TokenCount)| {
            let version = ManifestVersion::new(1);
            let row = BudgetRow::new("org".parse().unwrap(), *paid, version);
            (id.clone(), row)
        };
        let mut fleet = Self {
            now: ClockTime::from_millis(1),
            instances: (0..zones * ZONE_SIZE).map(instance).collect(),
            rows: Vec::new(),
            budgets: paid.iter().map(budget).collect(),
            answers: Vec::new(),
            cut: vec![false; zones],
            is_table_up: true,
            loss_percent: 0,
            lost_answer_percent: 0,
            table_writes: 0,
            mismatches: 0,
            seized: vec![false; zones],
            random: SeededRandom::new(seed),
            plants_lease_expiry: false,
            prefers_near_witness: false,
            settings: Arc::new(settings),
            letters: VecDeque::new(),
            later: Vec::new(),
        };
        fleet.budgets.sort_by(|one, other| one.0.cmp(&other.0));
        for zone in 0..zones {
            let row = SlotRow::first(fleet.instances[zone * ZONE_SIZE].life.clone());
            fleet.rows.push(row.clone());
            let ledger = SlotLedger::new(row.tenure);
            fleet.begin(zone * ZONE_SIZE, zone, row, ledger);
        }
        fleet.tick(ClockSpan::from_millis(1));
        fleet
    }

    /// The instance and the place of the holder that the table names.
    pub fn holder(&self, zone: usize) -> Option<(usize, usize)> {
        let row = &self.rows[zone];
        let instance = self.instance_of(&row.holder)?;
        let place = self.instances[instance]
            .holders
            .iter()
            .position(|holder| holder.ledger().tenure == row.tenure && is_of(holder, zone))?;
        Some((instance, place))
    }

    pub fn instance_of(&self, life: &InstanceIncarnation) -> Option<usize> {
        self.instances
            .iter()
            .position(|instance| instance.is_up && instance.life == *life)
    }

    /// The instance whose holder of the zone's slot knows no successor.
    pub fn newest_holder(&self, zone: usize) -> Option<usize> {
        (0..self.instances.len()).find(|place| {
            let instance = &self.instances[*place];
            instance.is_up
                && instance
                    .holders
                    .iter()
                    .any(|holder| is_of(holder, zone) && !holder.is_retired())
        })
    }

    /// What the zone's present holder may spend at once.
    pub fn free(&self, zone: usize, budget: &str) -> TokenCount {
        let budget = budget.parse().unwrap();
        self.holder(zone)
            .map(|(instance, place)| &self.instances[instance].holders[place])
            .map_or(TokenCount::ZERO, |holder| holder.free_tokens(&budget))
    }

    pub fn reaches_table(&self, instance: usize) -> bool {
        self.is_table_up && !self.cut[self.instances[instance].zone]
    }

    pub(super) fn can_talk(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.instances[from], &self.instances[to]);
        let is_joined = from.zone == to.zone || !(self.cut[from.zone] || self.cut[to.zone]);
        from.is_up && to.is_up && is_joined
    }

    pub(super) fn begin(&mut self, instance: usize, zone: usize, row: SlotRow, ledger: SlotLedger) {
        let settings = self.settings.clone();
        let holder = SlotHolder::new(settings, slot(zone), row, ledger, self.now);
        self.instances[instance].holders.push(holder);
    }
}
