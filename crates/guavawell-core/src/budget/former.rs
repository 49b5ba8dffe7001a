//! Who held the slot in tenures whose frozen float still pays for attempts.

use serde::Deserialize;
use serde::Serialize;

use super::ledger::ReservedAttempt;
use super::ledger::SlotLedger;
use super::slot::InstanceIncarnation;
use crate::id::SlotEpoch;

/// The holder of an earlier tenure.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FormerHolder {
    /// The tenure.
    pub tenure: SlotEpoch,
    /// Its holder, which reports the tenure's float.
    pub holder: InstanceIncarnation,
}

impl SlotLedger {
    /// Remembers who holds the slot in the tenure that ends, as long as attempts
    /// in the float of that tenure are known.
    pub fn end_tenure(&mut self, holder: InstanceIncarnation) {
        let tenure = self.tenure;
        self.former_holders.push(FormerHolder { tenure, holder });
        let former_holders = std::mem::take(&mut self.former_holders);
        self.former_holders = former_holders
            .into_iter()
            .filter(|former| self.pays_in_float(former.tenure))
            .collect();
    }

    fn pays_in_float(&self, tenure: SlotEpoch) -> bool {
        self.reserved_attempts()
            .any(|(_, reserved)| reserved.is_in_float_of(tenure))
    }

    /// The holder whose frozen float pays for an attempt; `None` if it is not
    /// known.
    #[must_use]
    pub fn float_holder(&self, reserved: &ReservedAttempt) -> Option<&InstanceIncarnation> {
        let index = self
            .former_holders
            .binary_search_by_key(&reserved.tenure, |former| former.tenure)
            .ok()?;
        Some(&self.former_holders[index].holder)
    }
}
