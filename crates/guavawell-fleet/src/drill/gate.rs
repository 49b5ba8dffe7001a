//! The gate that a router's messages pass.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use guavawell_core::id::InstanceId;
use smol::Timer;

use super::LinkCuts;
use super::pause::PauseSwitch;

/// Time between two looks at whether a held call may go on.
const HOLD_LOOK: Duration = Duration::from_millis(10);

/// The gate that a router's messages pass; clones share it.
#[derive(Clone, Debug, Default)]
pub struct LinkGate {
    shared: Arc<GateState>,
}

#[derive(Debug, Default)]
struct GateState {
    /// Whether anything is cut; the only thing read while nothing is.
    is_cutting: AtomicBool,
    cuts: ArcSwap<LinkCuts>,
    pause: PauseSwitch,
}

impl PartialEq for LinkGate {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.shared, &other.shared)
    }
}

impl Eq for LinkGate {}

impl LinkGate {
    /// Replaces what is cut.
    pub fn set_cuts(&self, cuts: LinkCuts) {
        let is_cutting = !cuts.is_empty();
        self.shared.cuts.store(Arc::new(cuts));
        self.shared.is_cutting.store(is_cutting, Ordering::Release);
    }

    /// What is cut now.
    #[must_use]
    pub fn cuts(&self) -> Arc<LinkCuts> {
        self.shared.cuts.load_full()
    }

    /// Freezes the router's tasks, or lets them go on where they stood.
    pub fn set_paused(&self, paused: bool) {
        self.shared.pause.set(paused);
    }

    /// Whether the router's tasks are frozen.
    #[must_use]
    pub fn is_paused(&self) -> bool {
        self.shared.pause.is_set()
    }

    /// Whether calls to and from an instance are cut.
    #[must_use]
    pub fn cuts_peer(&self, instance: &InstanceId) -> bool {
        self.is_cutting() && self.shared.cuts.load().cuts_peer(instance)
    }

    /// Whether datagrams to and from an address are cut.
    #[must_use]
    pub fn cuts_gossip(&self, address: SocketAddr) -> bool {
        self.is_cutting() && self.shared.cuts.load().cuts_gossip(address)
    }

    /// Whether the platform is cut off.
    #[must_use]
    pub fn cuts_platform(&self) -> bool {
        self.is_cutting() && self.shared.cuts.load().cuts_platform()
    }

    /// Blocks the calling thread while the router is frozen.
    pub fn wait_while_paused(&self) {
        self.shared.pause.wait();
    }

    /// Holds a call from or to an instance while the link is cut or the
    /// router is frozen: whoever waits for it sees silence.
    pub async fn hold(&self, instance: &InstanceId) {
        while self.is_paused() || self.cuts_peer(instance) {
            Timer::after(HOLD_LOOK).await;
        }
    }

    fn is_cutting(&self) -> bool {
        self.shared.is_cutting.load(Ordering::Relaxed)
    }
}
