//! One router's version in force, event by event.

use guavawell_core::clock::ClockTime;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::ConfigEffect;
use guavawell_core::manifest::ConfigEvent;
use guavawell_core::manifest::ConfigSettings;
use guavawell_core::manifest::ConfigState;
use guavawell_core::manifest::NotInForce;
use guavawell_core::manifest::VersionProof;
use guavawell_core::manifest::VersionRow;
use guavawell_core::platform::Jitter;

use crate::support::row;

/// A router's state and its clock.
struct Router {
    state: ConfigState,
    now: u64,
}

impl Router {
    fn fresh() -> Self {
        Self {
            state: ConfigState::new(ConfigSettings::default()),
            now: 1_000,
        }
    }

    fn step(&mut self, event: ConfigEvent) -> Vec<ConfigEffect> {
        self.state.step(ClockTime::from_millis(self.now), event)
    }

    fn tick(&mut self, after: u64) -> Vec<ConfigEffect> {
        self.now += after;
        let jitter = Jitter(0);
        self.step(ConfigEvent::Tick { jitter })
    }

    /// Reads `row` from the table and loads it.
    fn follow_table(&mut self, row: &VersionRow) {
        assert_eq!(self.tick(4_000), [ConfigEffect::ReadTable]);
        let effects = self.step(ConfigEvent::TableRead(Some(row.clone())));
        assert_eq!(effects, [ConfigEffect::Load(row.clone())]);
        let effects = self.step(ConfigEvent::Loaded(row.clone()));
        assert!(matches!(effects[..], [ConfigEffect::Enforce(_)]));
    }

    fn version(&self) -> u64 {
        let in_force = self.state.in_force();
        in_force.map_or(0, |held| held.row.version.get())
    }

    fn proof(&self) -> VersionProof {
        self.state.in_force().expect("a version is in force").proof
    }
}

fn peer() -> InstanceId {
    "entry-2".parse().expect("a good id")
}

fn hint(version: u64) -> ConfigEvent {
    ConfigEvent::PeerHint {
        instance: peer(),
        version: ManifestVersion::new(version),
    }
}

#[test]
fn a_fresh_router_takes_no_traffic_before_the_pages_are_here() {
    let mut router = Router::fresh();
    let row = row("anna", 3);
    assert_eq!(router.state.readiness(), Err(NotInForce::Unknown));
    assert_eq!(router.tick(0), [ConfigEffect::ReadTable]);
    router.step(ConfigEvent::TableRead(Some(row.clone())));
    assert_eq!(
        router.state.readiness(),
        Err(NotInForce::Loading(row.version))
    );
    router.step(ConfigEvent::Loaded(row));
    assert_eq!(router.state.readiness(), Ok(()));
    assert_eq!(router.proof(), VersionProof::Table);
}

#[test]
fn a_fresh_router_without_any_manifest_says_so() {
    let mut router = Router::fresh();
    router.tick(0);
    assert_eq!(router.step(ConfigEvent::TableRead(None)), []);
    assert_eq!(router.state.readiness(), Err(NotInForce::NoneAccepted));
}

#[test]
fn while_the_table_is_away_a_fresh_router_takes_the_newest_among_its_peers() {
    let mut router = Router::fresh();
    router.tick(0);
    let effects = router.step(ConfigEvent::TableFailed);
    assert_eq!(effects, [ConfigEffect::AskPeers(None)]);
    assert_eq!(router.step(ConfigEvent::PeerRow(row("anna", 2))), []);
    assert_eq!(router.step(ConfigEvent::PeerRow(row("anna", 5))), []);
    assert_eq!(router.step(ConfigEvent::PeerRow(row("anna", 4))), []);
    let effects = router.step(ConfigEvent::PeersDone);
    assert_eq!(effects, [ConfigEffect::Load(row("anna", 5))]);
    router.step(ConfigEvent::Loaded(row("anna", 5)));
    assert_eq!((router.version(), router.proof()), (5, VersionProof::Peers));
}

#[test]
fn the_table_proves_afterwards_what_peers_told() {
    let mut router = Router::fresh();
    router.tick(0);
    router.step(ConfigEvent::TableFailed);
    router.step(ConfigEvent::PeerRow(row("anna", 5)));
    router.step(ConfigEvent::PeersDone);
    router.step(ConfigEvent::Loaded(row("anna", 5)));
    router.tick(4_000);
    let effects = router.step(ConfigEvent::TableRead(Some(row("anna", 5))));
    assert!(matches!(effects[..], [ConfigEffect::Proved(_)]));
    assert_eq!(router.proof(), VersionProof::Table);
}

#[test]
fn a_fresh_router_that_nobody_answers_asks_again_soon() {
    let mut router = Router::fresh();
    router.tick(0);
    router.step(ConfigEvent::TableFailed);
    assert_eq!(router.step(ConfigEvent::PeersDone), []);
    assert_eq!(router.state.readiness(), Err(NotInForce::Unknown));
    assert_eq!(router.tick(500), [ConfigEffect::ReadTable]);
}

#[test]
fn an_older_table_changes_nothing() {
    let mut router = Router::fresh();
    router.follow_table(&row("anna", 5));
    router.tick(4_000);
    let effects = router.step(ConfigEvent::TableRead(Some(row("anna", 4))));
    assert_eq!((effects, router.version()), (Vec::new(), 5));
    router.tick(4_000);
    let effects = router.step(ConfigEvent::TableRead(None));
    assert_eq!((effects, router.version()), (Vec::new(), 5));
    assert_eq!(router.state.counts().table_behind, 2);
}

#[test]
fn other_contents_of_the_version_in_force_are_not_taken() {
    let mut router = Router::fresh();
    router.follow_table(&row("anna", 5));
    router.tick(4_000);
    let effects = router.step(ConfigEvent::TableRead(Some(row("ben", 5))));
    assert_eq!(effects, []);
    assert_eq!(router.state.counts().forked, 1);
    let held = router.state.in_force().expect("in force");
    assert_eq!(held.row, row("anna", 5));
}

#[test]
fn a_peer_with_a_newer_version_gives_rise_to_one_read() {
    let mut router = Router::fresh();
    router.follow_table(&row("anna", 5));
    assert_eq!(router.step(hint(5)), []);
    assert_eq!(router.step(hint(6)), [ConfigEffect::ReadTable]);
    assert_eq!(router.step(hint(6)), []);
    let effects = router.step(ConfigEvent::TableRead(Some(row("anna", 6))));
    assert_eq!(effects, [ConfigEffect::Load(row("anna", 6))]);
}

#[test]
fn hints_give_rise_to_reads_at_a_bounded_rate() {
    let mut router = Router::fresh();
    router.follow_table(&row("anna", 1));
    router.step(hint(2));
    router.step(ConfigEvent::TableRead(Some(row("anna", 2))));
    router.step(ConfigEvent::Loaded(row("anna", 2)));
    assert_eq!(router.step(hint(3)), [], "within the hint interval");
    assert_eq!(router.tick(200), [ConfigEffect::ReadTable]);
}

#[test]
fn a_router_cut_off_from_the_table_follows_its_peers() {
    let mut router = Router::fresh();
    router.follow_table(&row("anna", 5));
    assert_eq!(router.step(hint(7)), [ConfigEffect::ReadTable]);
    let effects = router.step(ConfigEvent::TableFailed);
    assert_eq!(effects, [ConfigEffect::AskPeers(Some(peer()))]);
    let effects = router.step(ConfigEvent::PeerRow(row("anna", 7)));
    assert_eq!(effects, [ConfigEffect::Load(row("anna", 7))]);
    router.step(ConfigEvent::PeersDone);
    router.step(ConfigEvent::Loaded(row("anna", 7)));
    assert_eq!((router.version(), router.proof()), (7, VersionProof::Peers));
}

#[test]
fn a_failed_load_is_tried_again_with_the_newest_version() {
    let mut router = Router::fresh();
    router.follow_table(&row("anna", 1));
    router.tick(4_000);
    router.step(ConfigEvent::TableRead(Some(row("anna", 2))));
    assert_eq!(router.step(ConfigEvent::LoadFailed(row("anna", 2))), []);
    assert_eq!(router.version(), 1);
    router.step(hint(3));
    router.step(ConfigEvent::TableRead(Some(row("anna", 3))));
    assert_eq!(router.tick(500), [ConfigEffect::Load(row("anna", 3))]);
    assert_eq!(router.state.counts().failed_loads, 1);
}

#[test]
fn a_fresh_router_does_not_enforce_what_was_overtaken_while_loading() {
    let mut router = Router::fresh();
    router.tick(0);
    router.step(ConfigEvent::TableRead(Some(row("anna", 1))));
    router.step(hint(2));
    router.step(ConfigEvent::TableRead(Some(row("anna", 2))));
    let effects = router.step(ConfigEvent::Loaded(row("anna", 1)));
    assert_eq!(effects, [ConfigEffect::Load(row("anna", 2))]);
    assert_eq!(router.version(), 0);
}

/// Milliseconds from a tick that polls to the next poll.
fn poll_pause(router: &mut Router, jitter: u16) -> u64 {
    let jitter = Jitter(jitter);
    let effects = router.step(ConfigEvent::Tick { jitter });
    assert_eq!(effects, [ConfigEffect::ReadTable]);
    let next = router.state.next_tick().as_millis();
    router.step(ConfigEvent::TableRead(None));
    let pause = next - router.now;
    router.now = next;
    pause
}

#[test]
fn routers_that_start_together_do_not_go_on_to_poll_together() {
    let draws = [0, u16::MAX / 2, u16::MAX];
    let mut routers = [Router::fresh(), Router::fresh(), Router::fresh()];
    let mut pauses = |draws: [u16; 3]| {
        let pairs = routers.iter_mut().zip(draws);
        pairs
            .map(|(router, draw)| poll_pause(router, draw))
            .collect::<Vec<_>>()
    };
    assert_eq!(pauses(draws), [4_000, 2_001, 0], "the first over the whole");
    assert_eq!(
        pauses(draws),
        [4_000, 4_499, 5_000],
        "later ones keep the bound"
    );
}
