//! What every request of this router shares.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use guavawell_core::backend::BackendTable;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BackendId;
use guavawell_core::limits::RetryBudget;
use guavawell_core::manifest::FleetView;
use guavawell_core::request::chat::ChatLimits;

use super::admit::AdmissionDoor;
use super::doubt::DoubtBook;
use super::share::RouterShares;
use crate::caller::BodyMemory;
use crate::claim::ClaimDriver;
use crate::drill::LinkGate;
use crate::engine::EngineClient;
use crate::event::EventLog;
use crate::journal::JournalDriver;
use crate::order::ModelBook;
use crate::platform::InstanceList;
use crate::platform::Table;
use crate::settings::RouterSettings;
use crate::slot::SlotDriver;
use crate::task::TaskSpawner;

/// The shared state of a router. Requests read it without a lock.
pub struct RouterCore {
    /// The settings.
    pub settings: RouterSettings,
    /// This router's life.
    pub life: InstanceIncarnation,
    /// The manifest in force, compiled.
    pub view: Arc<ArcSwap<FleetView>>,
    /// Backend servers.
    pub backends: ArcSwap<BackendTable>,
    /// What the backend servers reported to hold.
    pub models: Arc<ModelBook>,
    /// Admission.
    pub door: Arc<AdmissionDoor>,
    /// Backend servers' protocol.
    pub engines: EngineClient,
    /// Money.
    pub slots: Arc<SlotDriver>,
    /// Billing records.
    pub journal: JournalDriver,
    /// Attempts of this router whose outcome is in doubt.
    pub doubts: DoubtBook,
    /// Claims and seals.
    pub claims: ClaimDriver,
    /// The platform's table.
    pub table: Table,
    /// The platform's list of instances.
    pub instances: InstanceList,
    /// Shares of the platform's writes and reads.
    pub shares: Arc<RouterShares>,
    /// Retries allowed.
    pub retries: RetryBudget,
    /// The event log.
    pub events: EventLog,
    /// Where tasks run.
    pub tasks: TaskSpawner,
    /// Cuts links in failure drills.
    pub gate: LinkGate,
    /// Memory for the bodies of callers' requests.
    pub bodies: Arc<BodyMemory>,
    /// Limits of chat requests.
    pub chat: ChatLimits,
    /// Set once a graceful shutdown began.
    pub leaving: AtomicBool,
    /// Set while callers may be served.
    pub ready: AtomicBool,
}

impl RouterCore {
    /// Draws an attempt id.
    #[must_use]
    pub fn draw_attempt() -> AttemptId {
        AttemptId::new(fastrand::u128(..))
    }

    /// Whether a graceful shutdown began.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Whether callers may be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// A backend server's address, as the manifest in force says.
    #[must_use]
    pub fn address_of(&self, backend: &BackendId) -> Option<SocketAddr> {
        self.view.load().backend(backend).map(|entry| entry.address)
    }
}
