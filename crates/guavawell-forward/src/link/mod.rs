//! The network link of this instance: counts its bytes, and decides what it carries.

mod charge;
mod meter;
mod watch;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::KeeperSettings;
use guavawell_core::forward::LinkAdmission;
use guavawell_core::forward::LinkReadiness;
use guavawell_core::forward::LinkSettings;
use guavawell_core::forward::LoadKeeper;
use guavawell_core::forward::ReadinessSettings;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::TokenCount;
use guavawell_core::number::fraction;

pub use self::charge::LinkCharge;
pub use self::charge::charge_link;
pub use self::meter::ByteMeter;
pub use self::watch::watch_link;
use crate::settings::ForwardSettings;

/// For how long after a refusal the link counts as nearly full.
const NEARLY_FULL_SPAN: ClockSpan = ClockSpan::from_millis(1_000);
/// Demand up to which the link is little used, in parts of it. Above it, an instance that
/// is not ready ends kept connections.
const LITTLE_USED: f64 = 0.3;

/// The decisions on the link, where they are called for.
#[derive(Debug)]
struct LinkControl {
    admission: LinkAdmission,
    readiness: LinkReadiness,
    keeper: LoadKeeper,
    /// Bytes that the link carries in a second.
    rate: f64,
}

/// What was refused and which connections ended since the last report.
#[derive(Debug, Default)]
struct LinkCounts {
    accepted: Cell<u64>,
    refused: Cell<u64>,
    /// Connections of callers that ended, and the requests that they brought.
    ended: Cell<u64>,
    brought: Cell<u64>,
}

/// The network link of this instance.
#[derive(Debug)]
pub struct InstanceLink {
    /// Connections of callers.
    pub callers: Rc<ByteMeter>,
    /// Connections to backend servers.
    pub servers: Rc<ByteMeter>,
    /// Connections to and from other instances.
    pub instances: Rc<ByteMeter>,
    control: Option<RefCell<LinkControl>>,
    counts: LinkCounts,
}

impl InstanceLink {
    /// The link of an instance with these settings. It decides only if overload is
    /// expected and the rate of the link is stated. `instances` counts the bytes of
    /// connections to other instances.
    #[must_use]
    pub fn new(settings: &ForwardSettings, instances: Rc<ByteMeter>) -> Self {
        let rate = settings.capacity.link.filter(|_| settings.expects_overload);
        let control = rate.map(|rate| {
            RefCell::new(LinkControl {
                admission: LinkAdmission::new(LinkSettings::default(), rate),
                readiness: LinkReadiness::new(ReadinessSettings::default()),
                keeper: LoadKeeper::new(KeeperSettings::default()),
                rate: rate.bytes_per_second(),
            })
        });
        Self {
            callers: Rc::default(),
            servers: Rc::default(),
            instances,
            control,
            counts: LinkCounts::default(),
        }
    }

    /// Whether this part decides; otherwise the connection times alone show a full link.
    #[must_use]
    pub const fn decides(&self) -> bool {
        self.control.is_some()
    }

    /// Whether new connections are welcome.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let control = self.control.as_ref();
        control.is_none_or(|control| control.borrow().readiness.is_ready())
    }

    /// Whether the link is nearly full, so that nothing is sent that can be left out: the
    /// instance is not ready or keeps its load, and its link is still used; or it refused
    /// a request just now.
    #[must_use]
    pub fn is_nearly_full(&self, now: ClockTime) -> bool {
        let control = self.control.as_ref();
        control.is_some_and(|control| {
            let mut control = control.borrow_mut();
            let is_used = control.admission.demand(now) > LITTLE_USED;
            let is_full = control.readiness.is_full();
            (is_full && is_used) || control.admission.refuses(NEARLY_FULL_SPAN, now)
        })
    }

    /// Whether a caller's connection is to be ended after its present response, so that
    /// the caller opens the next one to another instance.
    #[must_use]
    pub fn ends_connections(&self, now: ClockTime) -> bool {
        let Some(control) = &self.control else {
            return false;
        };
        let mut control = control.borrow_mut();
        control.readiness.ends_kept_connections(now) && control.admission.demand(now) > LITTLE_USED
    }

    /// Records a request of an organisation and the tokens that it needs at most.
    pub fn note_tokens(&self, organisation: &OrganisationId, tokens: TokenCount, now: ClockTime) {
        if let Some(control) = &self.control {
            let keeper = &mut control.borrow_mut().keeper;
            keeper.note_request(organisation, tokens, now);
        }
    }

    /// Records how long a connection to a server took to be accepted or refused.
    pub fn note_connect(&self, took: ClockSpan, now: ClockTime) {
        if let Some(control) = &self.control {
            control.borrow_mut().keeper.note_connect(took, now);
        }
    }

    /// Records a new connection of a caller.
    pub fn connection_began(&self) {
        if let Some(control) = &self.control {
            control.borrow_mut().readiness.note_connection();
        }
    }

    /// Records a caller's connection that ended after this number of requests.
    pub fn connection_ended(&self, requests: u64) {
        if !self.decides() {
            return;
        }
        metrics::histogram!("guavawell_forward_connection_requests").record(fraction(requests));
        self.counts.ended.set(self.counts.ended.get() + 1);
        let brought = self.counts.brought.get() + requests;
        self.counts.brought.set(brought);
    }
}
