//! What a sweep of claims costs the platform, by the number of rows.
//!
//! `cargo run --release -p guavawell-fleet --example retention_cost`

use std::time::Instant;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::platform::WriteClass;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::UnsentAttempt;
use guavawell_core::retention::KEPT_GENERATIONS;
use guavawell_fleet::claim::BatchSettings;
use guavawell_fleet::claim::ClaimAnswer;
use guavawell_fleet::claim::ClaimDriver;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::platform::TableOp;
use guavawell_fleet::platform::TableTxn;
use guavawell_fleet::retention::PageAsk;
use guavawell_fleet::retention::RetentionTable;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;

/// Claims written one at a time for the first table.
const CLAIMS: u128 = 1_000;

/// Rows of the sweeps, of which every second one is due.
const SIZES: [usize; 4] = [1_000, 10_000, 40_000, 100_000];

fn main() {
    smol::block_on(async {
        claims().await;
        println!("rows      due  writes/1,000 due  reads/1,000 rows  us a row");
        for size in SIZES {
            sweep(size).await;
        }
    });
}

async fn start() -> (Platform, Table) {
    let platform = Platform::start(PlatformSettings::default())
        .await
        .expect("a stand-in");
    let table = Table::new(platform.address(), PoolSettings::default());
    (platform, table)
}

/// Writes of the claims themselves, one at a time and 64 at once.
async fn claims() {
    let (platform, table) = start().await;
    let life = InstanceIncarnation {
        instance: "tln-a-1".parse().expect("an id"),
        incarnation: IncarnationId::new(1),
    };
    let router = ClaimDriver::start(table, life, BatchSettings::default());
    let begin = Instant::now();
    for number in 0..CLAIMS {
        assert!(claim(&router, number).await, "the first claim of its id");
    }
    let (writes, spent) = (platform.counts().writes, begin.elapsed().as_micros());
    let rows = platform.keys("claim/").len();
    let bytes: usize = platform
        .keys("claim/")
        .iter()
        .map(|key| key.len() + platform.row(key).map_or(0, |value| value.len()))
        .sum();
    println!(
        "{CLAIMS} claims one at a time: {writes} writes, {rows} rows of {} bytes, {} us each",
        bytes / rows,
        spent / CLAIMS
    );
    platform.stop().await;
}

async fn claim(router: &ClaimDriver, number: u128) -> bool {
    let organisation = "saaremaa".parse().expect("an id");
    let identity =
        RequestIdentity::from_caller(organisation, &format!("cancel-{number}")).expect("an id");
    let attempt = UnsentAttempt::new(AttemptId::new(number));
    let answer = router.claim(&identity, attempt, router.start_try()).await;
    matches!(answer, ClaimAnswer::Held(_))
}

async fn sweep(size: usize) {
    let (platform, table) = start().await;
    for place in 0..size / 2 {
        platform.put_row(&format!("claim/saaremaa/cancel-{:08}", place * 2), b"{}");
    }
    let starts = vec![platform.revision() + 1; usize::try_from(KEPT_GENERATIONS).unwrap_or(0) + 1];
    let row =
        serde_json::json!({"aged": 0, "starts": starts, "pass": 0, "cursor": null, "deleted": 0});
    let txn = TableTxn {
        success: vec![TableOp::put(
            "retention/sweep",
            row.to_string().into_bytes(),
        )],
        ..TableTxn::default()
    };
    table.txn(&txn, WriteClass::Rest).await.expect("a write");
    for place in 0..size / 2 {
        platform.put_row(
            &format!("claim/saaremaa/cancel-{:08}", place * 2 + 1),
            b"{}",
        );
    }
    let retention = RetentionTable::new(table);
    let due_before = retention.read().await.expect("a read").due_before();
    let before = platform.counts();
    let begin = Instant::now();
    let (mut cursor, mut seen, mut deleted) = (None, 0, 0);
    loop {
        let page = retention
            .sweep_page(&PageAsk::all(cursor.as_deref()), due_before, false)
            .await
            .expect("a page");
        seen += page.seen;
        deleted += page.deleted;
        cursor = page.cursor;
        if cursor.is_none() {
            break;
        }
    }
    let after = platform.counts();
    let micros = begin.elapsed().as_micros();
    let per_thousand = |count: u64, of: u64| {
        f64::from(u32::try_from(count * 10_000 / of.max(1)).unwrap_or(0)) / 10.0
    };
    println!(
        "{seen:>6}  {deleted:>6}  {:>16}  {:>16}  {:>8}",
        per_thousand(after.writes - before.writes, deleted),
        per_thousand(after.reads - before.reads, seen),
        micros / u128::from(seen.max(1))
    );
    platform.stop().await;
}
