//! Ranks instances so that the first ones are of different availability zones.

use crate::grant::FleetMember;
use crate::id::InstanceId;
use crate::id::ZoneId;
use crate::instance::owners;

/// The instances of a fleet in the order of their rank for a key: first the best-ranked
/// one of each availability zone, then all others.
///
/// Instances that know the same fleet find the same order. The loss of a zone takes at
/// most one of the first ones.
#[must_use]
pub fn spread_over_zones(members: &[FleetMember], key: u64) -> Vec<&InstanceId> {
    let instances = members.iter().map(|member| &member.instance);
    let ranked = owners(instances, &key.to_le_bytes());
    let (mut order, others) = split_by_zone(ranked, |instance| {
        let member = members.iter().find(|member| member.instance == *instance);
        member.map(|member| &member.zone)
    });
    order.extend(others);
    order
}

/// Splits ranked instances into the first one of each zone and all others. Those whose
/// zone is unknown are among the others.
pub(super) fn split_by_zone<'a>(
    ranked: Vec<&'a InstanceId>,
    zone_of: impl Fn(&InstanceId) -> Option<&'a ZoneId>,
) -> (Vec<&'a InstanceId>, Vec<&'a InstanceId>) {
    let mut zones: Vec<&ZoneId> = Vec::new();
    ranked.into_iter().partition(|instance| {
        let zone = zone_of(instance);
        let is_first = zone.is_some_and(|zone| !zones.contains(&zone));
        zones.extend(zone.filter(|_| is_first));
        is_first
    })
}
