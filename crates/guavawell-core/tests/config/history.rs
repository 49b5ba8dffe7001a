//! Histories of a small fleet: operators accept versions while routers
//! restart, lose the table and lose each other, and answers come late.

use guavawell_core::clock::ClockTime;
use guavawell_core::manifest::ConfigEffect;
use guavawell_core::manifest::ConfigEvent;
use guavawell_core::manifest::ConfigSettings;
use guavawell_core::manifest::ConfigState;
use guavawell_core::manifest::VersionInForce;
use guavawell_core::manifest::VersionProof;
use guavawell_core::manifest::VersionRow;
use guavawell_core::platform::Jitter;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::support::proposal;

const ROUTERS: usize = 4;

/// One thing that happens.
#[derive(Clone, Debug)]
enum Step {
    /// An operator accepts a version.
    Accept,
    /// A router is replaced by a fresh one.
    Restart(usize),
    /// A router loses the platform, or finds it again.
    CutPlatform(usize, bool),
    /// Two routers lose each other, or find each other again.
    CutPeers(usize, usize, bool),
    /// A router hears the version of another.
    Gossip(usize, usize),
    /// Time passes at a router.
    Tick(usize, u64),
    /// A router gets one of its outstanding answers.
    Answer(usize, usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let router = 0..ROUTERS;
    let step = prop_oneof![
        1 => Just(Step::Accept),
        1 => router.clone().prop_map(Step::Restart),
        2 => (router.clone(), any::<bool>()).prop_map(|(r, c)| Step::CutPlatform(r, c)),
        2 => (router.clone(), router.clone(), any::<bool>())
            .prop_map(|(a, b, c)| Step::CutPeers(a, b, c)),
        3 => (router.clone(), router.clone()).prop_map(|(a, b)| Step::Gossip(a, b)),
        6 => (router.clone(), 0..5_000_u64).prop_map(|(r, t)| Step::Tick(r, t)),
        12 => (router, 0..4_usize).prop_map(|(r, n)| Step::Answer(r, n)),
    ];
    proptest::collection::vec(step, 1..300)
}

/// One router and what is on its way to it.
struct Router {
    state: ConfigState,
    now: u64,
    platform_cut: bool,
    answers: Vec<ConfigEvent>,
    /// The newest row that this life was told, by the table or a peer.
    told: u64,
}

impl Router {
    fn fresh() -> Self {
        Self {
            state: ConfigState::new(ConfigSettings::default()),
            now: 0,
            platform_cut: false,
            answers: Vec::new(),
            told: 0,
        }
    }

    fn version(&self) -> u64 {
        let in_force = self.state.in_force();
        in_force.map_or(0, |held| held.row.version.get())
    }
}

/// The fleet and the platform.
struct Fleet {
    accepted: Vec<VersionRow>,
    routers: Vec<Router>,
    /// Pairs of routers that cannot reach each other.
    cut: Vec<(usize, usize)>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            accepted: Vec::new(),
            routers: (0..ROUTERS).map(|_| Router::fresh()).collect(),
            cut: Vec::new(),
        }
    }

    fn carry_out(&mut self, step: &Step) {
        match *step {
            Step::Accept => {
                let base = self.accepted.len() as u64;
                let row = proposal("anna", base).on_top_of(self.accepted.last());
                self.accepted.push(row.expect("the base is in force"));
            }
            Step::Restart(router) => self.routers[router] = Router::fresh(),
            Step::CutPlatform(router, cut) => self.routers[router].platform_cut = cut,
            Step::CutPeers(a, b, cut) => {
                self.cut.retain(|pair| *pair != (a, b) && *pair != (b, a));
                if cut {
                    self.cut.push((a, b));
                }
            }
            Step::Gossip(from, to) => self.gossip(from, to),
            Step::Tick(router, after) => {
                self.routers[router].now += after;
                let jitter = Jitter(u16::try_from(after % 7).expect("small") * 9_000);
                self.step(router, ConfigEvent::Tick { jitter });
            }
            Step::Answer(router, number) => {
                let answers = &mut self.routers[router].answers;
                if number < answers.len() {
                    let event = answers.remove(number);
                    self.step(router, event);
                }
            }
        }
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let version = self.routers[from].version();
        if !self.reaches(from, to) || version == 0 {
            return;
        }
        let event = ConfigEvent::PeerHint {
            instance: format!("r{from}").parse().expect("a good id"),
            version: guavawell_core::id::ManifestVersion::new(version),
        };
        self.step(to, event);
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        a != b && !self.cut.contains(&(a, b)) && !self.cut.contains(&(b, a))
    }

    fn step(&mut self, router: usize, event: ConfigEvent) {
        if let ConfigEvent::TableRead(Some(row)) | ConfigEvent::PeerRow(row) = &event {
            let told = &mut self.routers[router].told;
            *told = row.version.get().max(*told);
        }
        let before = self.routers[router].version();
        let now = ClockTime::from_millis(self.routers[router].now);
        let effects = self.routers[router].state.step(now, event);
        for effect in effects {
            self.answer(router, &effect);
            if let ConfigEffect::Enforce(enforced) = effect {
                self.check_enforced(router, before, &enforced);
            }
        }
        let after = self.routers[router].version();
        assert!(after >= before, "went back from {before} to {after}");
    }

    /// A version comes into force only if it was accepted and is newer; at a
    /// fresh router, only if it is the newest that the router was told.
    fn check_enforced(&self, router: usize, before: u64, enforced: &VersionInForce) {
        assert!(self.accepted.contains(&enforced.row));
        let version = enforced.row.version.get();
        assert!(version > before);
        if before == 0 {
            assert_eq!(version, self.routers[router].told);
        }
    }

    /// Works an effect's answer out now; it is delivered later.
    fn answer(&mut self, router: usize, effect: &ConfigEffect) {
        let cut = self.routers[router].platform_cut;
        let mut answers = Vec::new();
        match effect {
            ConfigEffect::ReadTable if cut => answers.push(ConfigEvent::TableFailed),
            ConfigEffect::ReadTable => {
                answers.push(ConfigEvent::TableRead(self.accepted.last().cloned()));
            }
            ConfigEffect::AskPeers(one) => {
                let peers = (0..ROUTERS).filter(|peer| self.reaches(router, *peer));
                for peer in peers {
                    let asked = one
                        .as_ref()
                        .is_none_or(|one| one.as_str() == format!("r{peer}"));
                    let held = self.routers[peer].state.in_force();
                    let row = held.filter(|_| asked).map(|held| held.row.clone());
                    answers.extend(row.map(ConfigEvent::PeerRow));
                }
                answers.push(ConfigEvent::PeersDone);
            }
            ConfigEffect::Load(row) => {
                let has = |peer: usize| self.routers[peer].version() == row.version.get();
                let peers = (0..ROUTERS).any(|peer| self.reaches(router, peer) && has(peer));
                answers.push(if peers || !cut {
                    ConfigEvent::Loaded(row.clone())
                } else {
                    ConfigEvent::LoadFailed(row.clone())
                });
            }
            ConfigEffect::Enforce(_) | ConfigEffect::Proved(_) => {}
        }
        self.routers[router].answers.extend(answers);
    }

    /// Ends every fault and lets time pass.
    fn heal(&mut self) {
        self.cut.clear();
        for router in 0..ROUTERS {
            self.routers[router].platform_cut = false;
        }
        for _ in 0..40 {
            for router in 0..ROUTERS {
                self.carry_out(&Step::Tick(router, 1_000));
                while !self.routers[router].answers.is_empty() {
                    self.carry_out(&Step::Answer(router, 0));
                }
            }
        }
    }
}

#[test]
fn versions_never_go_back_and_all_routers_end_on_the_newest() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(400), rng);
    let outcome = runner.run(&steps(), |steps| {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.carry_out(step);
        }
        fleet.heal();
        let newest = fleet.accepted.len() as u64;
        for router in &fleet.routers {
            prop_assert_eq!(router.version(), newest);
            let proof = router.state.in_force().map(|held| held.proof);
            prop_assert!(newest == 0 || proof == Some(VersionProof::Table));
        }
        Ok(())
    });
    outcome.expect("every history holds");
}
