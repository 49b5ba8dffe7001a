//! Platform writes per 1,000 requests for claims, seals and the journal of
//! one router held to its share, by rate and by the part of non-idempotent
//! requests; and how long their claims waited.
//!
//! `cargo run --release -p guavawell-fleet --example platform_writes`

use std::time::Duration;
use std::time::Instant;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::TokenPool;
use guavawell_core::budget::shard_of;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;
use guavawell_core::platform::PlatformRate;
use guavawell_core::platform::SharePolicy;
use guavawell_core::request::RefusalReason;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::UnsentAttempt;
use guavawell_core::request::billing::BillingRecord;
use guavawell_fleet::claim::BatchSettings;
use guavawell_fleet::claim::ClaimAnswer;
use guavawell_fleet::claim::ClaimDriver;
use guavawell_fleet::claim::RefusalCause;
use guavawell_fleet::clock;
use guavawell_fleet::journal::JournalDriver;
use guavawell_fleet::journal::JournalSettings;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::platform::WriteGate;
use guavawell_standin::fault::FaultChange;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use smol::Timer;

const SECONDS: u64 = 10;
/// Answering delay of the platform, about that of a replicated store.
const PLATFORM_MS: u64 = 5;
const ORGANISATIONS: u64 = 10;
const SHARDS: u16 = 16;
/// One non-idempotent request in this many is refused for good.
const REFUSED_IN: u64 = 100;
/// Longest wait for the share, in milliseconds.
const LONGEST_WAIT_MS: u64 = 500;

/// One row of the report.
struct LoadMix {
    /// Requests a second.
    rate: u64,
    /// Non-idempotent requests with a caller's id, of a hundred.
    once: u64,
}

const MIXES: [LoadMix; 8] = [
    LoadMix { rate: 20, once: 0 },
    LoadMix { rate: 20, once: 10 },
    LoadMix { rate: 200, once: 0 },
    LoadMix {
        rate: 200,
        once: 10,
    },
    LoadMix {
        rate: 200,
        once: 100,
    },
    LoadMix {
        rate: 1_000,
        once: 0,
    },
    LoadMix {
        rate: 1_000,
        once: 10,
    },
    LoadMix {
        rate: 1_000,
        once: 100,
    },
];

struct Router {
    platform: Platform,
    claims: ClaimDriver,
    journal: JournalDriver,
}

fn main() {
    println!(
        "one router, {SECONDS} s a row, {ORGANISATIONS} organisations, {SHARDS} shards, platform answers in {PLATFORM_MS} ms"
    );
    println!(
        "rate/s  once%  requests  claim writes  journal writes  per 1,000  refused  claim p50/p99 ms  bytes a record"
    );
    for mix in MIXES {
        smol::block_on(row(&mix));
    }
}

async fn start() -> Router {
    let platform = Platform::start(PlatformSettings::default())
        .await
        .expect("a free port");
    platform.set_faults(FaultChange {
        delay_ms: Some(PLATFORM_MS),
        ..FaultChange::default()
    });
    let life = InstanceIncarnation {
        instance: "tln-a-1".parse().expect("an id"),
        incarnation: IncarnationId::new(1),
    };
    let longest = ClockSpan::from_millis(LONGEST_WAIT_MS);
    let share = SharePolicy {
        rate: PlatformRate::per_second(20),
        burst: 40,
    };
    let gate = WriteGate::new(share, longest);
    let table = Table::new(platform.address(), PoolSettings::default()).with_writes(&gate);
    let objects = Objects::new(platform.address(), "b", PoolSettings::default()).with_writes(&gate);
    Router {
        claims: ClaimDriver::start(table, life.clone(), BatchSettings::default()),
        journal: JournalDriver::start(objects, life, JournalSettings::default(), drop),
        platform,
    }
}

async fn row(mix: &LoadMix) {
    let LoadMix { rate, once } = mix;
    let router = start().await;
    let requests = rate * SECONDS;
    let begin = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..requests {
        let due = Duration::from_micros(number * 1_000_000 / rate);
        Timer::at(begin + due).await;
        let claims = router.claims.clone();
        let journal = router.journal.clone();
        let is_once = number % 100 < *once;
        tasks.push(smol::spawn(request(claims, journal, number, is_once)));
    }
    let mut waits = Vec::new();
    let mut refused = 0;
    for task in tasks {
        match task.await {
            Ended::Claimed(wait) => waits.push(wait.as_millis()),
            Ended::Refused => refused += 1,
            Ended::Unclaimed => {}
        }
    }
    router.journal.flush().await;
    waits.sort_unstable();
    let at = |percent: usize| waits.get(waits.len() * percent / 100).copied().unwrap_or(0);
    let journal_writes = segments(&router);
    let claim_writes = router.platform.counts().writes - journal_writes;
    let per_thousand = (claim_writes + journal_writes) * 1_000 / requests;
    let (middle, late) = (at(50), at(99));
    let record_bytes = record_bytes(&router);
    println!(
        "{rate:>6}  {once:>5}  {requests:>8}  {claim_writes:>12}  {journal_writes:>14}  {per_thousand:>9}  {refused:>7}  {middle:>9}/{late:<6}  {record_bytes:>14}"
    );
    router.platform.stop().await;
}

fn segments(router: &Router) -> u64 {
    router.platform.object_paths("").len() as u64
}

/// Bytes of the journal for each of its records.
fn record_bytes(router: &Router) -> u64 {
    let mut bytes = 0;
    let mut records = 0;
    for path in router.platform.object_paths("") {
        let body = router.platform.object(&path).unwrap_or_default();
        bytes += body.len() as u64;
        records += body.split(|byte| *byte == b'\n').count() as u64 - 1;
    }
    bytes / records.max(1)
}

/// How a request's claim ended.
enum Ended {
    /// It needed none.
    Unclaimed,
    /// It was held after this wait.
    Claimed(Duration),
    /// The share was used up.
    Refused,
}

async fn request(claims: ClaimDriver, journal: JournalDriver, number: u64, is_once: bool) -> Ended {
    let organisation: OrganisationId = format!("o{}", number % ORGANISATIONS)
        .parse()
        .expect("an id");
    let identity =
        RequestIdentity::from_caller(organisation.clone(), &format!("k{number}")).expect("an id");
    let attempt = UnsentAttempt::new(AttemptId::new(u128::from(number)));
    if is_once && number.is_multiple_of(REFUSED_IN) {
        let cause = RefusalCause {
            reason: RefusalReason::BudgetExhausted,
            detail: "".into(),
            retry_after: None,
        };
        let start = claims.start_try();
        claims
            .refuse(&identity, false, attempt, start, &cause)
            .await;
        return Ended::Unclaimed;
    }
    let mut ended = Ended::Unclaimed;
    if is_once {
        let start = Instant::now();
        let answer = claims.claim(&identity, attempt, claims.start_try()).await;
        if !matches!(answer, ClaimAnswer::Held(_)) {
            return Ended::Refused;
        }
        ended = Ended::Claimed(start.elapsed());
    }
    journal.record(BillingRecord {
        slot: SlotId {
            zone: "tln-a".parse().expect("an id"),
            shard: shard_of(&organisation, SHARDS),
        },
        identity,
        attempt: AttemptId::new(fastrand::u128(..)),
        budget: "budget-0".parse().expect("an id"),
        tenure: SlotEpoch::new(1),
        charged: TokenCount::new(100),
        backend: Some("engine-0-1".parse().expect("an id")),
        counted: TokenCount::new(100 * (number + 1)),
        pool: TokenPool::Witnessed,
        at: clock::now(),
    });
    ended
}
