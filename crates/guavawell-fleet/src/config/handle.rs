//! What requests, peers and operators read of the configuration.

use std::sync::Arc;

use arc_swap::ArcSwap;
use guavawell_core::manifest::ConfigCounts;
use guavawell_core::manifest::ContentDigest;
use guavawell_core::manifest::FleetView;
use guavawell_core::manifest::NotInForce;
use guavawell_core::manifest::VersionInForce;

/// The configuration at one moment.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    /// The view of the version in force; empty before any.
    pub view: Arc<FleetView>,
    /// The version in force, how it is proved, and since when.
    pub in_force: Option<VersionInForce>,
    /// Why the router may not take traffic, if it may not.
    pub not_ready: Option<NotInForce>,
    /// What has happened so far.
    pub counts: ConfigCounts,
}

/// The configuration as it changes; clones read the same.
#[derive(Clone, Debug)]
pub struct ConfigHandle {
    snapshot: Arc<ArcSwap<ConfigSnapshot>>,
}

impl ConfigHandle {
    /// A handle of a router that has just started.
    pub(super) fn fresh() -> Self {
        let snapshot = ConfigSnapshot {
            view: Arc::new(FleetView::empty()),
            in_force: None,
            not_ready: Some(NotInForce::Unknown),
            counts: ConfigCounts::default(),
        };
        Self {
            snapshot: Arc::new(ArcSwap::from_pointee(snapshot)),
        }
    }

    /// A handle of a fixed view, for tests and for parts that need no driver.
    #[must_use]
    pub fn fixed(view: FleetView) -> Self {
        let handle = Self::fresh();
        let snapshot = ConfigSnapshot {
            view: Arc::new(view),
            in_force: None,
            not_ready: None,
            counts: ConfigCounts::default(),
        };
        handle.replace(snapshot);
        handle
    }

    /// The configuration now. A request loads it once and keeps to it.
    #[must_use]
    pub fn load(&self) -> Arc<ConfigSnapshot> {
        self.snapshot.load_full()
    }

    /// The view now.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.snapshot.load().view)
    }

    /// Whether the router may take traffic.
    ///
    /// # Errors
    /// Returns [`NotInForce`] until a version is in force.
    pub fn readiness(&self) -> Result<(), NotInForce> {
        self.snapshot.load().not_ready.map_or(Ok(()), Err)
    }

    /// The pages of the view that a peer asks for, as they are stored.
    #[must_use]
    pub fn stored_pages(&self, digests: &[ContentDigest]) -> Vec<Vec<u8>> {
        let view = self.view();
        let pages = digests
            .iter()
            .filter_map(|digest| view.stored_page(*digest));
        pages.map(|page| page.bytes.into()).collect()
    }

    pub(super) fn replace(&self, snapshot: ConfigSnapshot) {
        self.snapshot.store(Arc::new(snapshot));
    }
}
