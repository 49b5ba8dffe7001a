//! Regions of availability zones, and the home regions of routes and
//! organisations: the only regions in which their requests may run.

use crate::id::RegionId;
use crate::id::ZoneId;

/// The region of each availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRegions {
    /// Sorted by zone.
    regions: Vec<(ZoneId, RegionId)>,
}

impl ZoneRegions {
    /// Creates the map from zones to regions.
    #[must_use]
    pub fn new(mut regions: Vec<(ZoneId, RegionId)>) -> Self {
        regions.sort();
        Self { regions }
    }

    /// The region of a zone; `None` if the settings do not name the zone.
    #[must_use]
    pub fn region(&self, zone: &ZoneId) -> Option<&RegionId> {
        let index = self.regions.binary_search_by(|(known, _)| known.cmp(zone));
        self.regions.get(index.ok()?).map(|(_, region)| region)
    }
}

/// The home regions of a request. A list without regions does not restrict it;
/// if route and organisation both have home regions, both apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HomeRegions<'a> {
    /// Home regions of the route.
    pub route: &'a [RegionId],
    /// Home regions of the organisation.
    pub organisation: &'a [RegionId],
}

impl HomeRegions<'_> {
    /// Whether the request may run in a zone. One with home regions does not run
    /// in a zone whose region is unknown.
    #[must_use]
    pub fn allow(&self, zone: &ZoneId, regions: &ZoneRegions) -> bool {
        [self.route, self.organisation]
            .iter()
            .filter(|homes| !homes.is_empty())
            .all(|homes| {
                let region = regions.region(zone);
                region.is_some_and(|region| homes.contains(region))
            })
    }
}
