//! What the platform is asked for: claims, journal segments, polls, and one
//! budget's row that seven zones draw on.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

use guavawell_core::budget::FormerUse;
use guavawell_core::budget::GrantChange;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::SlotRow;
use guavawell_core::budget::TokenPool;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::ShardId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::request::UnsentAttempt;
use guavawell_core::request::billing::BillingRecord;
use guavawell_fleet::claim::BatchSettings;
use guavawell_fleet::claim::ClaimAnswer;
use guavawell_fleet::claim::ClaimDriver;
use guavawell_fleet::journal::JournalDriver;
use guavawell_fleet::journal::JournalSettings;
use guavawell_fleet::platform::InstanceList;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::slot::BudgetBase;
use guavawell_fleet::slot::SlotTable;
use guavawell_standin::engine::Engine;
use guavawell_standin::engine::EngineSettings;
use guavawell_standin::engine::ModelEntry;
use guavawell_standin::fault::FaultChange;
use guavawell_standin::platform::InstanceEntry;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;

use crate::measure::micros_each;
use crate::measure::thread_seconds;
use crate::measure::time_of;
use crate::rig::ACTUAL;
use crate::rig::budget;
use crate::rig::identity;
use crate::rig::life;

/// Threads of the stand-ins, whose time is not the router's.
const STANDIN: &str = "standin";
/// The tenure that a fresh slot begins with.
pub const FIRST_TENURE: SlotEpoch = SlotEpoch::new(1);

const CLAIMS: u64 = 960;
const RECORDS: u64 = 1_000;
const ZONES: usize = 7;
const NODES: usize = 390;
/// Changes of the contended row by each zone.
const CHANGES: u64 = 40;
/// The table's answers come after this time in the contended case.
const TABLE_DELAY_MS: u64 = 2;
/// Polls measured for their time.
const POLLS: usize = 20;

pub fn run() {
    for width in [1, 8, 64] {
        claims(width);
    }
    for slots in [1, 3, 8] {
        journal(slots);
    }
    println!("polls: rows  bytes received  processor us");
    for shards in [64, 128, 512, 1_024] {
        slot_rows(shards);
    }
    instance_list();
    contended_row();
}

fn platform() -> Platform {
    smol::block_on(Platform::start(PlatformSettings::default())).expect("free ports")
}

fn table(platform: &Platform) -> Table {
    Table::new(platform.address(), PoolSettings::default())
}

/// Processor time of everything but the stand-ins, in seconds.
fn router_seconds() -> f64 {
    thread_seconds(&[""]) - thread_seconds(&[STANDIN])
}

fn claims(width: u64) {
    let platform = platform();
    let driver = ClaimDriver::start(table(&platform), life(0), BatchSettings::default());
    let before = router_seconds();
    smol::block_on(async {
        for round in 0..CLAIMS / width {
            let round = (0..width).map(|place| claim(&driver, round * width + place));
            futures::future::join_all(round).await;
        }
    });
    let spent = (router_seconds() - before) * 1e6 / CLAIMS as f64;
    let counts = platform.counts();
    println!(
        "claims, {width} at once: {:.3} table writes and {spent:.1} us a request",
        counts.writes as f64 / CLAIMS as f64,
    );
}

async fn claim(driver: &ClaimDriver, number: u64) {
    let attempt = UnsentAttempt::new(AttemptId::new(u128::from(number)));
    let answer = driver
        .claim(&identity(number, 0), attempt, driver.start_try())
        .await;
    assert!(matches!(answer, ClaimAnswer::Held(_)), "{answer:?}");
}

fn journal(slots: u16) {
    let platform = platform();
    let objects = Objects::new(platform.address(), "b", PoolSettings::default());
    let journal = JournalDriver::start(objects, life(0), JournalSettings::default(), |_| ());
    let before = router_seconds();
    for number in 0..RECORDS {
        let shard = u16::try_from(number).unwrap_or_default() % slots;
        journal.record(record(number, shard));
    }
    smol::block_on(journal.flush());
    let spent = (router_seconds() - before) * 1e6 / RECORDS as f64;
    let paths = platform.object_paths("");
    let bytes: usize = paths
        .iter()
        .filter_map(|path| platform.object(path))
        .map(|object| object.len())
        .sum();
    println!(
        "journal, {RECORDS} records of {slots} slots at once: {} objects, {:.0} bytes and {spent:.1} us a record",
        paths.len(),
        bytes as f64 / RECORDS as f64,
    );
}

fn record(number: u64, shard: u16) -> BillingRecord {
    BillingRecord {
        identity: identity(number, 0),
        attempt: AttemptId::new(u128::from(number)),
        budget: budget(0),
        slot: slot(0, shard),
        tenure: FIRST_TENURE,
        charged: ACTUAL,
        backend: Some("engine-0-1".parse().expect("a good id")),
        counted: TokenCount::new(1_000_000 + number),
        pool: TokenPool::Witnessed,
        at: ClockTime::from_millis(1_700_000_000_000 + number),
    }
}

fn slot(zone: usize, shard: u16) -> SlotId {
    SlotId {
        zone: format!("zone-{zone}").parse().expect("a good id"),
        shard: ShardId::new(shard),
    }
}

fn holder(zone: usize) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: format!("router-{zone}-17").parse().expect("a good id"),
        incarnation: IncarnationId::new(0x1234_5678_9abc),
    }
}

fn put_slot_row(platform: &Platform, zone: usize, shard: u16) {
    let row = SlotRow::first(holder(zone));
    let row = SlotRow {
        witness: Some(holder(zone + 1)),
        ..row
    };
    let value = serde_json::to_vec(&row).expect("a row has a JSON form");
    platform.put_row(&format!("slot/{}", slot(zone, shard)), &value);
}

fn slot_rows(shards: u16) {
    let platform = platform();
    for shard in 0..shards {
        put_slot_row(&platform, 0, shard);
    }
    let slots = SlotTable::new(table(&platform), Arc::new(|_| None));
    let spent = time_of(|| {
        for _ in 0..POLLS {
            let rows = smol::block_on(slots.read_zone("zone-0")).expect("the table answers");
            assert_eq!(rows.len(), usize::from(shards));
        }
    });
    let (start, end) = ("c2xvdC96b25lLTAv", "c2xvdC96b25lLTAw");
    let body = format!("{{\"key\":\"{start}\",\"range_end\":\"{end}\"}}");
    let head = format!(
        "POST /v3/kv/range HTTP/1.1\r\nhost: t\r\ncontent-length: {}\r\nconnection: close",
        body.len()
    );
    let bytes = answer_bytes(platform.address(), &format!("{head}\r\n\r\n{body}"));
    println!(
        "slot rows  {shards:>6}  {bytes:>14}  {:>12.0}",
        micros_each(spent, POLLS)
    );
}

/// What a router asks of a backend server, with both directions' bytes.
pub fn engine_polls() {
    let engine = Engine::start(EngineSettings {
        models: vec![ModelEntry {
            model: "draft-7b".into(),
            version: "1".into(),
        }],
        ..EngineSettings::default()
    });
    let engine = smol::block_on(engine).expect("it starts");
    for path in ["/v1/load", "/v1/cache-events?after=0"] {
        let head = format!("GET {path} HTTP/1.1\r\nhost: 10.20.30.40:8000\r\n");
        let asked = head.len() + 2;
        let request = format!("{head}connection: close\r\n\r\n");
        let answered = answer_bytes(engine.address(), &request);
        println!("{path:<26} {asked:>4} asked {answered:>4} answered");
    }
}

fn instance_list() {
    let platform = platform();
    let entry = |number: usize| InstanceEntry {
        instance: format!("router-{number:03}").into(),
        zone: format!("zone-{}", number % ZONES).into(),
        address: format!("10.20.{}.{}", number / 250, number % 250).into(),
        terminating: false,
    };
    platform.set_instances((0..NODES).map(entry).collect());
    let list = InstanceList::new(platform.address(), "default", PoolSettings::default());
    let spent = time_of(|| {
        for _ in 0..POLLS {
            let entries = smol::block_on(list.read()).expect("the list is there");
            assert_eq!(entries.len(), NODES);
        }
    });
    let target = "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices";
    let head = format!("GET {target} HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n");
    let bytes = answer_bytes(platform.address(), &head);
    println!(
        "instances  {NODES:>6}  {bytes:>14}  {:>12.0}",
        micros_each(spent, POLLS)
    );
}

/// Bytes of the answer to one request on a connection of its own.
fn answer_bytes(address: SocketAddr, request: &str) -> usize {
    let mut stream = TcpStream::connect(address).expect("the stand-in listens");
    stream.write_all(request.as_bytes()).expect("it reads");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("it answers");
    answer.len()
}

/// Seven holders change one row as fast as the table answers.
fn contended_row() {
    for zones in [1, ZONES] {
        let platform = platform();
        for zone in 0..zones {
            put_slot_row(&platform, zone, 0);
        }
        platform.set_faults(FaultChange {
            delay_ms: Some(TABLE_DELAY_MS),
            ..FaultChange::default()
        });
        let started = Instant::now();
        let tasks: Vec<_> = (0..zones)
            .map(|zone| smol::spawn(change_often(table(&platform), zone)))
            .collect();
        let given_up = smol::block_on(futures::future::join_all(tasks));
        let given_up: usize = given_up.iter().sum();
        let took = started.elapsed();
        let done = CHANGES as f64 * zones as f64 - given_up as f64;
        let counts = platform.counts();
        println!(
            "one row, {zones} zones, table after {TABLE_DELAY_MS} ms: {:.2} writes and {:.2} reads a change, {:.0} changes a second in all, {given_up} given up",
            counts.writes as f64 / done,
            counts.reads as f64 / done,
            done / took.as_secs_f64(),
        );
    }
}

/// The changes that were given up because other zones came first too often.
async fn change_often(table: Table, zone: usize) -> usize {
    let base = |_: &_| {
        Some(BudgetBase {
            organisation: identity(0, 0).organisation,
            paid: TokenCount::new(1_000_000_000_000),
            version: ManifestVersion::new(1),
        })
    };
    let slots = SlotTable::new(table, Arc::new(base));
    let mut given_up = 0;
    for sequence in 1..=CHANGES {
        let change = GrantChange {
            slot: slot(zone, 0),
            tenure: FIRST_TENURE,
            sequence,
            former: FormerUse::default(),
            settled: TokenCount::ZERO,
            float_settled: TokenCount::ZERO,
            hand_back: TokenCount::ZERO,
            need: ACTUAL,
            want: ACTUAL,
            demand: ACTUAL,
        };
        if slots.change_grant(&budget(0), &change).await.is_err() {
            given_up += 1;
        }
    }
    given_up
}
