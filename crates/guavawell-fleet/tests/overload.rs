//! Clients of the platform while it turns requests away over its limit.

use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::PlatformRate;
use guavawell_core::platform::SharePolicy;
use guavawell_core::platform::WriteClass;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PlatformError;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::ReadGate;
use guavawell_fleet::platform::Table;
use guavawell_fleet::platform::TableOp;
use guavawell_fleet::platform::TableTxn;
use guavawell_fleet::platform::WriteGate;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;

const WHOLE: u64 = 1_000;
/// Far more than the platform takes at once.
const TRIES: u32 = 200;

/// Saved up for all tries, and nearly nothing after it.
const SAVED: SharePolicy = SharePolicy {
    rate: PlatformRate::from_milli(1),
    burst: 400,
};

struct LimitedPlatform {
    platform: Platform,
    table: Table,
    objects: Objects,
    writes: WriteGate,
    reads: ReadGate,
}

fn limited(write_cap: u64, read_cap: u64) -> LimitedPlatform {
    let settings = PlatformSettings {
        write_cap,
        read_cap,
        ..PlatformSettings::default()
    };
    let platform = smol::block_on(Platform::start(settings)).expect("a free port");
    let writes = WriteGate::new(SAVED, ClockSpan::default());
    let reads = ReadGate::new(SAVED, ClockSpan::default());
    let table = Table::new(platform.address(), PoolSettings::default());
    let objects = Objects::new(platform.address(), "b", PoolSettings::default());
    LimitedPlatform {
        table: table.with_writes(&writes).with_reads(&reads),
        objects: objects.with_writes(&writes).with_reads(&reads),
        platform,
        writes,
        reads,
    }
}

fn put() -> TableTxn {
    TableTxn {
        success: vec![TableOp::put("a", *b"1")],
        ..TableTxn::default()
    }
}

#[test]
fn a_write_turned_away_halves_the_share_of_writes_and_spends_what_was_saved() {
    let test = limited(1, 0);
    let write = || smol::block_on(test.table.txn(&put(), WriteClass::Money));
    let turned_away = (0..TRIES).map(|_| write()).find(Result::is_err);
    let error = turned_away.expect("a limit of one a second").unwrap_err();
    assert!(matches!(error, PlatformError::Outage(_)), "{error}");
    assert!(test.writes.read().part < WHOLE);
    assert_eq!(test.reads.read().part, WHOLE);
    let written = test.platform.counts().writes;
    let next = write();
    assert!(matches!(next, Err(PlatformError::Throttled(_))), "{next:?}");
    let put = test.objects.put_new("k", Vec::new(), WriteClass::Journal);
    let put = smol::block_on(put);
    assert!(matches!(put, Err(PlatformError::Throttled(_))), "{put:?}");
    assert_eq!(test.platform.counts().writes, written);
}

#[test]
fn a_read_turned_away_leaves_the_writes_alone() {
    let test = limited(0, 1);
    let read = || smol::block_on(test.table.get("a"));
    let turned_away = (0..TRIES).map(|_| read()).find(Result::is_err);
    assert!(turned_away.is_some(), "a limit of one a second");
    assert!(test.reads.read().part < WHOLE);
    let reads = test.platform.counts().reads;
    assert!(matches!(read(), Err(PlatformError::Throttled(_))));
    assert_eq!(test.platform.counts().reads, reads);
    assert_eq!(test.writes.read().part, WHOLE);
    assert!(smol::block_on(test.table.txn(&put(), WriteClass::Money)).is_ok());
}
