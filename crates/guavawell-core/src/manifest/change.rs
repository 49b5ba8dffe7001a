//! What may change from one version to the next.

use super::FleetShape;
use crate::finding::Finding;
use crate::finding::FindingList;
use crate::finding::FindingPlace;

/// Checks a new fleet shape against the one in force.
///
/// The number of shards may not change: an organisation's budgets and request
/// ids would move to slots of another number, and a request could be answered
/// and billed by its old and its new slot.
///
/// # Errors
/// Returns the findings, if any.
pub fn check_change(file: &str, old: &FleetShape, new: &FleetShape) -> Result<(), FindingList> {
    let mut findings = FindingList::default();
    if old.shards != new.shards {
        let place = FindingPlace {
            file: file.into(),
            key: "fleet.shards".into(),
            ..FindingPlace::default()
        };
        let reason = format!(
            "the fleet in force has {} shards; state the same, because requests already \
             billed would move to another slot",
            old.shards
        );
        findings.push(Finding::new(place, reason));
    }
    findings.into_result(())
}
