//! Attempts that a dead router left in a slot of another zone, which this
//! router took over as its witness: they are resolved in that slot.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::LedgerEntry;
use guavawell_core::budget::RequestState;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TokenPool;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::TokenCount;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::Membership;
use guavawell_core::instance::MembershipSettings;
use guavawell_core::instance::Reachability;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;
use smol::Timer;

use super::life;
use crate::drill::LinkGate;
use crate::event::EventLog;
use crate::journal::JournalDriver;
use crate::journal::JournalSettings;
use crate::peer::PeerError;
use crate::peer::PeerFailure;
use crate::platform::Objects;
use crate::platform::PoolSettings;
use crate::platform::Table;
use crate::slot::OrphanedAttempt;
use crate::slot::PeerLink;
use crate::slot::ResolvedAttempt;
use crate::slot::SlotDriver;
use crate::slot::SlotParts;
use crate::slot::SlotTable;
use crate::slot::SlotTimes;
use crate::task::TaskThreads;

/// The router's zone.
const OWN_ZONE: &str = "z1";

/// The zone whose slot it took over.
const OTHER_ZONE: &str = "z0";

/// The router.
const OWN: &str = "own";

/// Looks at the ledger before an attempt counts as never resolved.
const MAX_LOOKS: usize = 100;

/// Wait between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// A router that holds its own zone's slot and one of another zone.
struct TwoZones {
    driver: Arc<SlotDriver>,
    threads: TaskThreads,
}

fn slot(zone: &str) -> SlotId {
    format!("{zone}/0").parse().unwrap()
}

fn identity() -> RequestIdentity {
    RequestIdentity::from_caller("org-0".parse().unwrap(), "r1").unwrap()
}

/// The fleet: the router alone.
fn view() -> Arc<MemberView> {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
    let own = MemberRecord {
        instance: OWN.parse().unwrap(),
        incarnation: IncarnationId::new(1),
        refutation: 0,
        zone: OWN_ZONE.parse().unwrap(),
        caller_address: address,
        peer_address: address,
        gossip_address: address,
        reachability: Reachability::Reachable,
        leaving: false,
        manifest: ManifestVersion::new(1),
    };
    let settings = MembershipSettings::default();
    let membership = Membership::start(settings, own, 1, ClockTime::from_millis(1));
    Arc::new(membership.view())
}

fn parts(threads: &TaskThreads) -> SlotParts {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let objects = Objects::new(nowhere, "b", PoolSettings::default());
    let settings = JournalSettings::default();
    let (journal, _) = JournalDriver::prepare(objects, life(OWN), settings, |_| {});
    let table = Table::new(nowhere, PoolSettings::default());
    let members = view();
    SlotParts {
        life: life(OWN),
        zone: OWN_ZONE.parse().unwrap(),
        witness_zones: Vec::new(),
        witness_near: true,
        shards: Box::new(|| 1),
        members: Box::new(move || Arc::clone(&members)),
        table: SlotTable::new(table, Arc::new(|_| None)),
        link: PeerLink {
            call: Box::new(|_, _| Box::pin(async { Err(PeerError::Lost(PeerFailure::TimedOut)) })),
        },
        events: EventLog::off(OWN.parse().unwrap(), IncarnationId::new(1)),
        tasks: threads.spawner(),
        journal,
        holder: Arc::new(HolderSettings::default()),
        times: SlotTimes::default(),
    }
}

impl TwoZones {
    /// The other zone's slot came with an attempt of a dead router.
    fn start() -> Self {
        let threads = TaskThreads::start("slot", 1, &LinkGate::default()).unwrap();
        let driver = SlotDriver::new(parts(&threads));
        for zone in [OWN_ZONE, OTHER_ZONE] {
            let row = SlotRow::first(life("gone")).with_holder(life(OWN));
            let mut ledger = SlotLedger::new(row.tenure);
            if zone == OTHER_ZONE {
                ledger.apply(&LedgerEntry::Reserve {
                    identity: identity(),
                    attempt: AttemptId::new(1),
                    budget: "budget-0".parse().unwrap(),
                    pool: TokenPool::Witnessed,
                    amount: TokenCount::new(100),
                    router: life("dead"),
                    digest: RequestDigest::default(),
                });
            }
            driver.begin(&driver.seat_or_new(&slot(zone)), row, ledger);
        }
        Self { driver, threads }
    }

    fn orphan(&self) -> OrphanedAttempt {
        let mut orphans = self.driver.orphans();
        assert_eq!(orphans.len(), 1, "{orphans:?}");
        orphans.remove(0)
    }

    fn resolve(&self, found: ResolvedAttempt) {
        smol::block_on(self.driver.resolve(&self.orphan(), found));
    }

    /// What the other zone's slot knows of the request.
    fn state(&self) -> Option<RequestState> {
        let seat = self.driver.seat(&slot(OTHER_ZONE)).unwrap();
        let state = seat.lock();
        state
            .present()
            .unwrap()
            .ledger()
            .request(&identity())
            .cloned()
    }

    /// Waits until the attempt is reserved no more, or long enough.
    fn wait_resolved(&self) -> Option<RequestState> {
        for _ in 0..MAX_LOOKS {
            if !matches!(self.state(), Some(RequestState::Reserved(_))) {
                break;
            }
            smol::block_on(async { Timer::after(LOOK_PAUSE).await });
        }
        self.state()
    }
}

impl Drop for TwoZones {
    fn drop(&mut self) {
        self.threads.stop();
    }
}

#[test]
fn an_orphan_of_another_zone_that_did_not_run_is_released() {
    let zones = TwoZones::start();
    zones.resolve(ResolvedAttempt::NotRun);
    assert_eq!(zones.wait_resolved(), None);
}

#[test]
fn an_orphan_of_another_zone_that_ended_is_charged() {
    let zones = TwoZones::start();
    zones.resolve(ResolvedAttempt::Done(TokenCount::new(60)));
    let state = zones.wait_resolved();
    let is_charged =
        matches!(&state, Some(RequestState::Settled(charge)) if charge.charged.get() == 60);
    assert!(is_charged, "{state:?}");
}
