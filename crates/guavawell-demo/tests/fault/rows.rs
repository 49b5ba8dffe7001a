//! What the rows of the platform's table say of budgets and slots.

use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::SlotRow;
use guavawell_core::id::InstanceId;

use crate::env::FaultEnv;

impl FaultEnv {
    /// The first organisation's budget.
    pub fn budget(&self) -> Option<BudgetRow> {
        let row = self.fleet.platform.row("budget/budget-0")?;
        serde_json::from_slice(&row).ok()
    }

    /// Tokens of the first organisation's budget that froze.
    pub fn frozen(&self) -> u64 {
        frozen(self.budget().as_ref())
    }

    /// The row of a slot.
    pub fn slot(&self, zone: usize, shard: u16) -> SlotRow {
        self.find_slot(zone, shard).expect("the slot is held")
    }

    /// The row of a slot, once somebody has held it.
    pub fn find_slot(&self, zone: usize, shard: u16) -> Option<SlotRow> {
        let row = self
            .fleet
            .platform
            .row(&format!("slot/zone-{zone}/{shard}"))?;
        Some(serde_json::from_slice(&row).expect("a slot's row"))
    }

    /// The slot of a zone that decides for the first organisation.
    pub fn money_slot(&self, zone: usize) -> SlotRow {
        let organisation = "org-0".parse().expect("a constant id");
        let shards = self.fleet.settings.shards;
        let shard = guavawell_core::budget::shard_of(&organisation, shards);
        self.slot(zone, shard.get())
    }

    /// The place of a router.
    pub fn index(&self, instance: &InstanceId) -> usize {
        let found = self
            .fleet
            .routers
            .iter()
            .position(|router| router.id == *instance);
        found.expect("a router of the fleet")
    }

    /// The router that holds a zone's slot of the first organisation.
    pub fn holder(&self, zone: usize) -> usize {
        self.index(&self.money_slot(zone).holder.instance)
    }

    /// The router that witnesses that slot.
    pub fn witness(&self, zone: usize) -> usize {
        let witness = self
            .money_slot(zone)
            .witness
            .expect("the slot has a witness");
        self.index(&witness.instance)
    }

    /// A router of the zone that does not hold its slot.
    pub fn bystander(&self, zone: usize) -> usize {
        let holder = self.holder(zone);
        let routers = self.fleet.routers.iter().enumerate();
        let mut others = routers.filter(|(index, router)| {
            router.zone == zone && *index != holder && router.handle.is_some()
        });
        others.next().expect("a second router").0
    }
}

/// Tokens of a budget that froze.
pub fn frozen(row: Option<&BudgetRow>) -> u64 {
    let frozen = row.iter().flat_map(|row| &row.frozen);
    frozen.map(|frozen| frozen.tokens.get()).sum()
}
