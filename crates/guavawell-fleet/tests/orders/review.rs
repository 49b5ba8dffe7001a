//! Reviews of a zone: parted routers, orders left open, lagging reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::FenceNumber;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::Reachability;
use guavawell_core::manifest::FleetView;
use guavawell_core::manifest::parse_manifest;
use guavawell_core::order::OrderRow;
use guavawell_fleet::drill::LinkGate;
use guavawell_fleet::gossip::DriverSettings;
use guavawell_fleet::gossip::FleetKey;
use guavawell_fleet::gossip::FleetKeys;
use guavawell_fleet::gossip::GossipDriver;
use guavawell_fleet::order::ModelBook;
use guavawell_fleet::order::OrderDriver;
use guavawell_fleet::order::OrderParts;
use guavawell_fleet::order::order_key;
use guavawell_fleet::settings::OrderSettings;
use guavawell_fleet::task::TaskThreads;
use guavawell_standin::engine::Engine;
use guavawell_standin::fault::FaultChange;
use smol::Timer;

use crate::support::OrderTest;
use crate::support::held;
use crate::support::is_loading;
use crate::support::issuer;
use crate::support::load;
use crate::support::send_late;

/// Rounds after which something that must happen counts as missing.
const MAX_ROUNDS: usize = 2_000;

/// A router's gossip; alone until it runs and has seeds.
fn gossip(name: &str, seeds: Vec<SocketAddr>) -> GossipDriver {
    let any = SocketAddr::from(([127, 0, 0, 1], 1));
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let keys = FleetKeys::new(FleetKey::from_text("the key of these tests"), Vec::new());
    let own = MemberRecord {
        instance: name.parse().expect("a good id"),
        incarnation: IncarnationId::new(1),
        refutation: 0,
        zone: "tln-a".parse().expect("a good id"),
        caller_address: any,
        peer_address: any,
        gossip_address: listen,
        reachability: Reachability::Reachable,
        leaving: false,
        manifest: ManifestVersion::default(),
    };
    let settings = DriverSettings {
        seeds,
        tick: ClockSpan::from_millis(20),
        ..DriverSettings::new(listen, keys)
    };
    smol::block_on(GossipDriver::bind(settings, own, |_| ())).expect("a free port")
}

/// A manifest that wants `m:2` on two servers of the zone.
fn view(engines: &[Engine]) -> Arc<ArcSwap<FleetView>> {
    view_with(engines, "")
}

/// The same, with `more` in the model's section.
fn view_with(engines: &[Engine], more: &str) -> Arc<ArcSwap<FleetView>> {
    let fleet = "[fleet]\nshards = 1\nzones = [\"tln-a\"]\n[[model]]\nid = \"m\"\n\
                 version = \"2\"\nmax_output = 9\nreplicas_per_zone = 2\n";
    let backend = |(index, engine): (usize, &Engine)| {
        format!(
            "[[backend]]\nid = \"e{index}\"\nzone = \"tln-a\"\naddress = \"{}\"\n\
             kind = \"model\"\nmodels = [\"m\"]\nslots = 4\n",
            engine.address()
        )
    };
    let backends: Vec<String> = engines.iter().enumerate().map(backend).collect();
    let text = fleet.to_owned() + more + &backends.concat();
    let manifest = parse_manifest("test.toml", &text).expect("no findings");
    let view = FleetView::compile(&manifest, ManifestVersion::new(1));
    Arc::new(ArcSwap::from_pointee(view))
}

struct TestReviewer {
    book: Arc<ModelBook>,
    driver: Arc<OrderDriver>,
    _threads: TaskThreads,
}

impl TestReviewer {
    fn start(test: &OrderTest, name: &str, engines: &[Engine], gossip: GossipDriver) -> Self {
        Self::start_with(test, name, view(engines), gossip)
    }

    fn start_with(
        test: &OrderTest,
        name: &str,
        view: Arc<ArcSwap<FleetView>>,
        gossip: GossipDriver,
    ) -> Self {
        let threads = TaskThreads::start(name, 1, &LinkGate::default()).expect("a thread");
        let book = Arc::new(ModelBook::default());
        let driver = OrderDriver::new(OrderParts {
            issuer: issuer(name),
            zone: "tln-a".parse().expect("a good id"),
            view,
            members: Box::new(move || gossip.view()),
            book: Arc::clone(&book),
            ports: test.ports(),
            tasks: threads.spawner(),
            settings: OrderSettings::default(),
        });
        Self {
            book,
            driver: Arc::new(driver),
            _threads: threads,
        }
    }

    /// Takes a report of versions of `m` in.
    fn hear(&self, test: &OrderTest, index: usize, versions: &[&str]) {
        let models = versions.iter().map(|version| served("m", version));
        self.note(test, index, &models.collect::<Vec<_>>());
    }

    /// Takes the engines' reports in as they are.
    fn hear_all(&self, test: &OrderTest, engines: &[Engine]) {
        for (index, engine) in engines.iter().enumerate() {
            let models = engine.load().models;
            let models = models.iter().map(|held| served(&held.model, &held.version));
            self.note(test, index, &models.collect::<Vec<_>>());
        }
    }

    fn note(&self, test: &OrderTest, index: usize, models: &[ServedModel]) {
        let now = ClockTime::from_millis(test.clock.load(Ordering::SeqCst));
        let backend = format!("e{index}").parse().expect("a good id");
        self.book.note(&backend, models, now);
    }

    fn review(&self) {
        smol::block_on(self.driver.review());
    }
}

fn served(model: &str, version: &str) -> ServedModel {
    ServedModel {
        model: model.parse().expect("a good id"),
        version: version.parse().expect("a version"),
    }
}

fn pause() {
    smol::block_on(Timer::after(Duration::from_millis(10)));
}

#[test]
fn two_parted_routers_roll_a_version_out_and_no_engine_is_left_empty() {
    for fences in [true, false] {
        let test = OrderTest::start();
        let engines: Vec<Engine> = (0..2).map(|_| OrderTest::engine(fences, 20)).collect();
        // Each sees itself alone, so that both look after both engines, and
        // each takes the other's open orders over.
        let reviewers = ["r1", "r2"]
            .map(|name| TestReviewer::start(&test, name, &engines, gossip(name, Vec::new())));
        let mut rounds = 0;
        while !engines.iter().all(|engine| held(engine) == ["m:2"]) {
            for reviewer in &reviewers {
                reviewer.hear_all(&test, &engines);
                reviewer.review();
            }
            assert!(!engines.iter().any(|engine| held(engine).is_empty()));
            test.pass(200);
            pause();
            rounds += 1;
            assert!(rounds < MAX_ROUNDS, "{:?}", engines.iter().map(held));
        }
    }
}

#[test]
fn an_order_that_a_living_router_left_open_is_taken_over_late() {
    let test = OrderTest::start();
    let engines: Vec<Engine> = (0..2).map(|_| OrderTest::engine(true, 0)).collect();
    let other = gossip("r2", Vec::new());
    let own = gossip("r1", vec![other.address()]);
    let tasks = [own.clone(), other].map(|driver| smol::spawn(async move { driver.run().await }));
    while own.view().members().len() < 2 {
        pause();
    }
    let zone = "tln-a".parse().expect("a good id");
    let looks_after = |index: usize| {
        let key = format!("e{index}");
        let view = own.view();
        let owner = view.owner_in(&zone, key.as_bytes()).expect("an owner");
        owner.instance.as_str() == "r1"
    };
    let left = OrderRow {
        owner: issuer("r2"),
        fence: FenceNumber::new(7),
        kind: load("2"),
        done: false,
    };
    let value = serde_json::to_vec(&left).expect("a row serialises");
    let keys = [0, 1].map(|index| order_key(&format!("e{index}").parse().expect("a good id")));
    for key in &keys {
        test.platform.put_row(key, &value);
    }
    let reviewer = TestReviewer::start(&test, "r1", &engines, own.clone());
    reviewer.hear_all(&test, &engines);
    reviewer.review();
    pause();
    assert!(
        keys.iter()
            .all(|key| test.platform.row(key) == Some(value.clone()))
    );
    test.pass(60_001);
    reviewer.hear_all(&test, &engines);
    reviewer.review();
    let own: Vec<usize> = (0..2).filter(|index| looks_after(*index)).collect();
    assert!(!own.is_empty(), "the names hash to the other router");
    for index in own {
        let row = || -> OrderRow {
            let value = test.platform.row(&keys[index]).expect("a row");
            serde_json::from_slice(&value).expect("a row that can be read")
        };
        while row().owner != issuer("r1") {
            pause();
        }
        assert_eq!(row().fence.get(), 8);
    }
    drop(tasks);
}

#[test]
fn an_unload_asks_the_engines_and_trusts_no_old_report() {
    let test = OrderTest::start();
    let engines: Vec<Engine> = (0..2).map(|_| OrderTest::engine(false, 0)).collect();
    let reviewer = TestReviewer::start(&test, "r1", &engines, gossip("r1", Vec::new()));
    // One of them has forgotten the new version since its report.
    for index in 0..2 {
        reviewer.hear(&test, index, &["1", "2"]);
    }
    send_late(&engines[0], 1, load("2")).expect("the engine answers");
    reviewer.review();
    pause();
    assert!(test.platform.keys("order/").is_empty());
    assert_eq!(held(&engines[1]), ["m:1"]);
}

#[test]
fn nothing_is_ordered_before_every_engine_was_heard_of() {
    let test = OrderTest::start();
    let engines: Vec<Engine> = (0..2).map(|_| OrderTest::engine(true, 0)).collect();
    let reviewer = TestReviewer::start(&test, "r1", &engines, gossip("r1", Vec::new()));
    reviewer.hear(&test, 0, &["1"]);
    reviewer.review();
    pause();
    assert!(test.platform.keys("order/").is_empty());
    // One that stays silent counts as gone after a while.
    test.pass(30_001);
    reviewer.hear(&test, 0, &["1"]);
    reviewer.review();
    while held(&engines[0]) != ["m:1", "m:2"] {
        pause();
    }
    assert_eq!(held(&engines[1]), ["m:1"]);
}

#[test]
fn a_table_that_is_out_delays_an_order_and_the_fault_gone_it_is_carried_out() {
    let test = OrderTest::start();
    let engines: Vec<Engine> = (0..2).map(|_| OrderTest::engine(true, 0)).collect();
    let reviewer = TestReviewer::start(&test, "r1", &engines, gossip("r1", Vec::new()));
    let outage = |outage| FaultChange {
        outage: Some(outage),
        ..FaultChange::default()
    };
    test.platform.set_faults(outage(true));
    reviewer.hear_all(&test, &engines);
    reviewer.review();
    pause();
    assert!(engines.iter().all(|engine| held(engine) == ["m:1"]));
    test.platform.set_faults(outage(false));
    let mut rounds = 0;
    while !engines.iter().all(|engine| held(engine) == ["m:2"]) {
        reviewer.hear_all(&test, &engines);
        reviewer.review();
        test.pass(200);
        pause();
        rounds += 1;
        assert!(rounds < MAX_ROUNDS);
    }
}

#[test]
fn adapters_follow_their_model() {
    let test = OrderTest::start();
    let engines: Vec<Engine> = (0..2).map(|_| OrderTest::engine(true, 0)).collect();
    let adapter = "[[model.adapter]]\nid = \"a\"\nversion = \"7\"\n";
    let view = view_with(&engines, adapter);
    let reviewer = TestReviewer::start_with(&test, "r1", view, gossip("r1", Vec::new()));
    let mut rounds = 0;
    while !engines.iter().all(|engine| held(engine) == ["a:7", "m:2"]) {
        reviewer.hear_all(&test, &engines);
        reviewer.review();
        for engine in &engines {
            let held = held(engine);
            let alone = held.contains(&"a:7".to_owned()) && !held.contains(&"m:2".to_owned());
            assert!(!alone, "{held:?}");
        }
        test.pass(200);
        pause();
        rounds += 1;
        assert!(rounds < MAX_ROUNDS);
    }
}

#[test]
fn parted_routers_keep_the_fleets_rate_of_loads() {
    let test = OrderTest::start();
    let engines: Vec<Engine> = (0..4).map(|_| OrderTest::engine(false, 60)).collect();
    let reviewers = ["r1", "r2"]
        .map(|name| TestReviewer::start(&test, name, &engines, gossip(name, Vec::new())));
    let mut rounds = 0;
    while !engines.iter().all(|engine| held(engine) == ["m:2"]) {
        for reviewer in &reviewers {
            reviewer.hear_all(&test, &engines);
            reviewer.review();
        }
        let loading = engines.iter().filter(|engine| is_loading(engine)).count();
        assert!(loading <= 1, "the permits' row allows one load at a time");
        test.pass(200);
        pause();
        rounds += 1;
        assert!(rounds < MAX_ROUNDS);
    }
}

#[test]
fn a_server_that_says_it_is_leaving_is_replaced() {
    let test = OrderTest::start();
    let engines: Vec<Engine> = (0..3).map(|_| OrderTest::engine(true, 0)).collect();
    let reviewer = TestReviewer::start(&test, "r1", &engines, gossip("r1", Vec::new()));
    for (index, versions) in [&["2"][..], &["2"], &[]].into_iter().enumerate() {
        reviewer.hear(&test, index, versions);
    }
    reviewer.review();
    pause();
    assert!(test.platform.keys("order/").is_empty(), "nothing lacks");
    let now = ClockTime::from_millis(test.clock.load(Ordering::SeqCst));
    let leaving = "e0".parse().expect("a good id");
    reviewer.book.touch(&leaving, true, now);
    reviewer.review();
    while !held(&engines[2]).contains(&"m:2".to_owned()) {
        pause();
    }
    assert_eq!(held(&engines[0]), ["m:1"], "it takes no order");
}
