//! Exchanges carried by peers, against a tiny fake platform and fake peers.

#[expect(dead_code, reason = "these tests use a part of the fake")]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use futures::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::BackoffPolicy;
use guavawell_core::platform::CircuitPolicy;
use guavawell_core::platform::PlatformRate;
use guavawell_core::platform::RelayPeer;
use guavawell_core::platform::SharePolicy;
use guavawell_core::platform::WriteClass;
use guavawell_fleet::platform::CarriedAnswer;
use guavawell_fleet::platform::CarriedAsk;
use guavawell_fleet::platform::CarriedService;
use guavawell_fleet::platform::CarrierLink;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PlatformError;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::platform::TableCompare;
use guavawell_fleet::platform::TableOp;
use guavawell_fleet::platform::TableTxn;
use guavawell_fleet::platform::WriteGate;

use support::FakePlatform;
use support::FakeReply;

type AskLog = Arc<Mutex<Vec<(String, CarriedAsk)>>>;

/// A link to the peers `near` and `far`, which answer as `answer` says.
fn link(
    answer: impl Fn(&str) -> CarriedAnswer + Send + Sync + 'static,
) -> (Arc<CarrierLink>, AskLog) {
    let log = AskLog::default();
    let asked = Arc::clone(&log);
    let peer = |name: &str, is_local| RelayPeer {
        instance: name.parse().unwrap(),
        is_local,
    };
    let peers = vec![peer("far", false), peer("near", true)];
    let link = CarrierLink {
        peers: Box::new(move || peers.clone()),
        call: Box::new(move |instance, ask| {
            let answer = answer(instance.as_str());
            asked.lock().unwrap().push((instance.to_string(), ask));
            async move { answer }.boxed()
        }),
        max_bytes: 1_000,
        timeout: ClockSpan::from_millis(400),
    };
    (Arc::new(link), log)
}

fn names(log: &AskLog) -> Vec<String> {
    let asked = log.lock().unwrap();
    asked.iter().map(|(name, _)| name.clone()).collect()
}

fn applied(_: &str) -> CarriedAnswer {
    CarriedAnswer::Answered {
        status: 200,
        body: br#"{"succeeded":true,"header":{"revision":"7"}}"#.to_vec(),
    }
}

fn insert() -> TableTxn {
    TableTxn {
        compares: vec![TableCompare::absent("a")],
        success: vec![TableOp::put("a", *b"1")],
        ..TableTxn::default()
    }
}

/// An address where nobody listens.
fn nowhere() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn write(table: &Table, txn: &TableTxn) -> Result<u64, PlatformError> {
    let answer = smol::block_on(table.txn(txn, WriteClass::Claim))?;
    Ok(answer.revision)
}

/// Settings whose circuit opens at once and stays open.
fn touchy() -> PoolSettings {
    let hour = ClockSpan::from_millis(3_600_000);
    PoolSettings {
        circuit: CircuitPolicy {
            failures: 1,
            probes: BackoffPolicy {
                first: hour,
                longest: hour,
            },
            ..CircuitPolicy::default()
        },
        ..PoolSettings::default()
    }
}

#[test]
fn an_exchange_that_was_not_begun_is_carried_by_the_near_peer() {
    let (link, log) = link(applied);
    let table = Table::new(nowhere(), PoolSettings::default()).with_relay(&link);
    assert_eq!(write(&table, &insert()), Ok(7));
    assert_eq!(names(&log), ["near"]);
    let asked = log.lock().unwrap();
    assert_eq!(asked[0].1.class, Some(WriteClass::Claim));
    assert_eq!(asked[0].1.budget, ClockSpan::from_millis(300));
}

#[test]
fn a_peer_that_declines_is_followed_by_one_elsewhere_and_then_left_alone() {
    let (link, log) = link(|name| match name {
        "near" => CarriedAnswer::Declined("out".into()),
        name => applied(name),
    });
    let table = Table::new(nowhere(), touchy()).with_relay(&link);
    assert_eq!(write(&table, &insert()), Ok(7));
    assert!(table.is_link_out() && !table.is_out(), "peers reach it");
    assert_eq!(write(&table, &insert()), Ok(7));
    assert_eq!(names(&log), ["near", "far", "far"]);
}

#[test]
fn a_router_that_the_platform_turns_away_is_carried_once_its_circuit_is_open() {
    let fake = FakePlatform::start(|_| FakeReply::Answer(503, "not you".into()));
    let (link, log) = link(applied);
    let table = Table::new(fake.address, touchy()).with_relay(&link);
    let turned = write(&table, &insert());
    assert!(
        matches!(turned, Err(PlatformError::Outage(_))),
        "{turned:?}"
    );
    assert_eq!(write(&table, &insert()), Ok(7));
    assert_eq!(names(&log), ["near"]);
}

#[test]
fn a_lost_answer_is_lost_and_goes_to_no_second_peer() {
    let (link, log) = link(|_| CarriedAnswer::Lost("closed".into()));
    let table = Table::new(nowhere(), PoolSettings::default()).with_relay(&link);
    let lost = write(&table, &insert());
    assert_eq!(lost, Err(PlatformError::Lost("closed".into())));
    assert_eq!(names(&log), ["near"]);
}

#[test]
fn an_own_write_in_doubt_is_not_relayed() {
    let fake = FakePlatform::start(|_| FakeReply::Close);
    let (link, log) = link(applied);
    let table = Table::new(fake.address, PoolSettings::default()).with_relay(&link);
    let lost = write(&table, &insert());
    assert!(matches!(lost, Err(PlatformError::Lost(_))), "{lost:?}");
    assert!(names(&log).is_empty());
}

#[test]
fn unconditional_writes_and_large_ones_are_not_relayed() {
    let (link, log) = link(applied);
    let table = Table::new(nowhere(), touchy()).with_relay(&link);
    let unconditional = TableTxn {
        compares: Vec::new(),
        ..insert()
    };
    let large = TableTxn {
        success: vec![TableOp::put("a", vec![b'1'; 1_000])],
        ..insert()
    };
    for txn in [unconditional, large] {
        let out = write(&table, &txn);
        assert!(matches!(out, Err(PlatformError::Outage(_))), "{out:?}");
    }
    let alone = table.without_relay();
    assert!(write(&alone, &insert()).is_err());
    assert!(names(&log).is_empty());
}

fn carried(service: CarriedService, class: Option<WriteClass>, target: &str) -> CarriedAsk {
    CarriedAsk {
        service,
        class,
        target: target.into(),
        body: b"{}".to_vec(),
        budget: ClockSpan::from_millis(300),
    }
}

#[test]
fn a_carrier_that_lost_the_platform_too_declines_and_relays_nothing() {
    let (link, log) = link(|_| CarriedAnswer::Declined("out".into()));
    let table = Table::new(nowhere(), touchy()).with_relay(&link);
    let ask = carried(CarriedService::Table, None, "/v3/kv/range");
    for _ in 0..2 {
        let answer = smol::block_on(table.carry(&ask));
        assert!(matches!(answer, CarriedAnswer::Declined(_)), "{answer:?}");
    }
    assert!(names(&log).is_empty());
}

#[test]
fn carried_writes_count_against_the_carriers_share() {
    let fake = FakePlatform::start(|_| FakeReply::Answer(200, "{}".into()));
    let policy = SharePolicy {
        rate: PlatformRate::ZERO,
        burst: 1,
    };
    let gate = WriteGate::new(policy, ClockSpan::default());
    let table = Table::new(fake.address, PoolSettings::default()).with_writes(&gate);
    let ask = carried(CarriedService::Table, Some(WriteClass::Money), "/v3/kv/txn");
    let first = smol::block_on(table.carry(&ask));
    assert!(matches!(first, CarriedAnswer::Answered { status: 200, .. }));
    let second = smol::block_on(table.carry(&ask));
    assert!(matches!(second, CarriedAnswer::Declined(_)), "{second:?}");
}

#[test]
fn objects_are_carried_in_the_own_bucket_alone() {
    let fake = FakePlatform::start(|ask| {
        assert_eq!(ask.line, "PUT /b/k");
        FakeReply::Answer(412, String::new())
    });
    let objects = Objects::new(fake.address, "b", PoolSettings::default());
    let class = Some(WriteClass::Journal);
    let put = |target| {
        let ask = carried(CarriedService::Objects, class, target);
        smol::block_on(objects.carry(&ask))
    };
    assert!(matches!(
        put("/b/k"),
        CarriedAnswer::Answered { status: 412, .. }
    ));
    for target in ["/bb/k", "/", "/b", "b/k", "/b/../c/k", "/b/%2E%2e/c/k"] {
        assert!(
            matches!(put(target), CarriedAnswer::Declined(_)),
            "{target}"
        );
    }
}
