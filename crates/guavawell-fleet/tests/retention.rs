//! Sweeps of claims against the stand-in's platform, fault by fault.

use std::cell::Cell;

use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::ClaimGeneration;
use guavawell_core::id::IncarnationId;
use guavawell_core::platform::WriteClass;
use guavawell_core::request::RefusalOutcome;
use guavawell_core::request::RefusalReason;
use guavawell_core::request::RequestIdentity;
use guavawell_core::request::UnsentAttempt;
use guavawell_core::retention::AttemptStart;
use guavawell_core::retention::KEPT_GENERATIONS;
use guavawell_core::retention::RetentionSettings;
use guavawell_fleet::claim::BatchSettings;
use guavawell_fleet::claim::ClaimAnswer;
use guavawell_fleet::claim::ClaimDriver;
use guavawell_fleet::event::EventLog;
use guavawell_fleet::event::EventLogSettings;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::platform::TableOp;
use guavawell_fleet::platform::TableTxn;
use guavawell_fleet::retention::RetentionDriver;
use guavawell_fleet::retention::RetentionParts;
use guavawell_fleet::retention::RetentionTable;
use guavawell_fleet::retention::SweepPace;
use guavawell_standin::fault::FaultChange;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;

const GENERATION_MS: u64 = 1_000;

struct SweepTest {
    platform: Platform,
    clock: Cell<u64>,
}

impl SweepTest {
    fn start() -> Self {
        let platform = smol::block_on(Platform::start(PlatformSettings::default())).unwrap();
        let clock = Cell::new(0);
        Self { platform, clock }
    }

    fn table(&self) -> Table {
        let settings = PoolSettings {
            answer_timeout: ClockSpan::from_millis(300),
            ..PoolSettings::default()
        };
        Table::new(self.platform.address(), settings)
    }

    fn sweeper(&self) -> RetentionDriver {
        RetentionDriver::new(self.parts())
    }

    fn parts(&self) -> RetentionParts {
        let life = life("s");
        let events = EventLogSettings::default();
        RetentionParts {
            table: self.table(),
            settings: RetentionSettings {
                claims: ClockSpan::from_millis(GENERATION_MS * KEPT_GENERATIONS),
                ..RetentionSettings::default()
            },
            pace: SweepPace::default(),
            events: EventLog::open(&events, life.instance, life.incarnation).unwrap(),
            is_elected: Box::new(|| true),
            toured: Box::new(|| vec!["o".parse().unwrap()]),
            is_toured: Box::new(|id| id.as_str() == "o"),
        }
    }

    fn step(&self, sweeper: &mut RetentionDriver) -> bool {
        let now = || ClockTime::from_millis(self.clock.get());
        smol::block_on(sweeper.step(now)).is_ok()
    }

    fn generation(&self) -> u64 {
        let view = smol::block_on(RetentionTable::new(self.table()).read()).unwrap();
        view.generation.generation.get()
    }

    /// Lets generations end until `last` is in force.
    fn age_to(&self, sweeper: &mut RetentionDriver, last: u64) {
        while self.generation() < last {
            self.step(sweeper);
            self.clock.set(self.clock.get() + GENERATION_MS / 4);
        }
    }

    /// Sweeps until nothing is due in this generation.
    fn sweep(&self, sweeper: &mut RetentionDriver) {
        for _ in 0..20 {
            self.step(sweeper);
        }
    }

    fn router(&self, name: &str) -> ClaimDriver {
        ClaimDriver::start(self.table(), life(name), BatchSettings::default())
    }

    /// Writes claims without routers, many at a time.
    fn fill(&self, prefix: &str, count: usize) {
        self.fill_of("o", prefix, count);
    }

    fn fill_of(&self, organisation: &str, prefix: &str, count: usize) {
        let keys: Vec<String> = (0..count)
            .map(|place| format!("claim/{organisation}/{prefix}{place:05}"))
            .collect();
        for keys in keys.chunks(100) {
            let txn = TableTxn {
                success: keys.iter().map(|key| TableOp::put(key, *b"{}")).collect(),
                ..TableTxn::default()
            };
            smol::block_on(self.table().txn(&txn, WriteClass::Claim)).unwrap();
        }
    }

    fn claims(&self) -> usize {
        self.platform.keys("claim/").len()
    }
}

fn life(name: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: name.parse().unwrap(),
        incarnation: IncarnationId::new(1),
    }
}

fn claim(router: &ClaimDriver, number: u128, start: AttemptStart) -> ClaimAnswer {
    let identity = RequestIdentity::from_caller("o".parse().unwrap(), "k").unwrap();
    let attempt = UnsentAttempt::new(AttemptId::new(number));
    smol::block_on(router.claim(&identity, attempt, start))
}

fn refusal(answer: ClaimAnswer) -> (RefusalOutcome, RefusalReason) {
    match answer {
        ClaimAnswer::Refused(refusal) => (refusal.outcome(), refusal.reason()),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn claims_go_after_their_retention_page_by_page_and_no_younger_one_does() {
    let test = SweepTest::start();
    let mut sweeper = test.sweeper();
    test.fill("old", 1_201);
    test.age_to(&mut sweeper, 1);
    test.fill("young", 7);
    test.age_to(&mut sweeper, KEPT_GENERATIONS + 1);
    test.sweep(&mut sweeper);
    assert_eq!(
        test.claims(),
        1_208,
        "kept for every generation in which a try may count on them"
    );
    test.age_to(&mut sweeper, KEPT_GENERATIONS + 2);
    test.sweep(&mut sweeper);
    assert_eq!(test.platform.keys("claim/o/old").len(), 0);
    assert_eq!(test.platform.keys("claim/o/young").len(), 7);
    test.age_to(&mut sweeper, KEPT_GENERATIONS + 3);
    test.sweep(&mut sweeper);
    assert_eq!(test.claims(), 0);
}

#[test]
fn a_claim_that_is_written_again_stays() {
    let test = SweepTest::start();
    let mut sweeper = test.sweeper();
    test.fill("k", 2);
    test.age_to(&mut sweeper, 5);
    test.fill("k", 1);
    test.age_to(&mut sweeper, KEPT_GENERATIONS + 2);
    test.sweep(&mut sweeper);
    assert_eq!(test.platform.keys("claim/"), ["claim/o/k00000".into()]);
}

#[test]
fn a_router_that_slept_through_a_sweep_claims_nothing() {
    let test = SweepTest::start();
    let mut sweeper = test.sweeper();
    let asleep = test.router("r1");
    let read_before = asleep.start_try();
    // The caller's retry runs elsewhere, and its claim is swept in time.
    let other = test.router("r2");
    assert!(matches!(
        claim(&other, 2, other.start_try()),
        ClaimAnswer::Held(_)
    ));
    test.age_to(&mut sweeper, KEPT_GENERATIONS + 2);
    test.sweep(&mut sweeper);
    assert_eq!(test.claims(), 0);
    let late = refusal(claim(&asleep, 1, read_before));
    assert_eq!(late, (RefusalOutcome::Retry, RefusalReason::Deadline));
    assert_eq!(test.claims(), 0);
    // It has learnt the generation; a new request is served.
    let answer = claim(&asleep, 3, asleep.start_try());
    assert!(matches!(answer, ClaimAnswer::Held(_)), "{answer:?}");
}

#[test]
fn a_claim_under_way_while_a_generation_ends_is_written_in_the_next() {
    let test = SweepTest::start();
    let mut sweeper = test.sweeper();
    let router = test.router("r1");
    let start = router.start_try();
    test.age_to(&mut sweeper, 1);
    let answer = claim(&router, 1, start);
    assert!(matches!(answer, ClaimAnswer::Held(_)), "{answer:?}");
    assert_eq!(router.start_try().started_in, ClaimGeneration::new(1));
    assert_eq!(router.named_generation(), Some(ClaimGeneration::new(1)));
    let fresh = test.router("r2");
    assert_eq!(
        fresh.named_generation(),
        None,
        "the table has told nothing yet"
    );
}

#[test]
fn an_old_id_named_by_its_caller_is_refused_truthfully() {
    let test = SweepTest::start();
    let mut sweeper = test.sweeper();
    let router = test.router("r1");
    assert!(matches!(
        claim(&router, 1, router.start_try()),
        ClaimAnswer::Held(_)
    ));
    let retry = |router: &ClaimDriver| AttemptStart {
        first_used_in: Some(ClaimGeneration::new(0)),
        ..router.start_try()
    };
    test.age_to(&mut sweeper, KEPT_GENERATIONS + 2);
    test.sweep(&mut sweeper);
    let _ = claim(&router, 9, AttemptStart::default());
    let answer = refusal(claim(&router, 2, retry(&router)));
    assert_eq!(answer, (RefusalOutcome::Unknown, RefusalReason::IdExpired));
}

#[test]
fn two_sweepers_with_lost_answers_and_an_outage_end_where_one_does() {
    let test = SweepTest::start();
    let mut sweepers = [test.sweeper(), test.sweeper()];
    test.fill("old", 700);
    test.age_to(&mut sweepers[0], 1);
    test.fill("young", 3);
    for round in 0..400_u64 {
        let change = FaultChange {
            lose_answers: Some(u64::from(round % 3 == 0)),
            refuse_writes: Some(u64::from(round % 5 == 0)),
            // Fewer failures in a row than open the circuit, whose clock is real.
            outage: Some(round % 50 > 47),
            ..FaultChange::default()
        };
        test.platform.set_faults(change);
        for sweeper in &mut sweepers {
            test.step(sweeper);
        }
        test.clock.set(test.clock.get() + 40);
    }
    test.platform.set_faults(FaultChange {
        lose_answers: Some(0),
        refuse_writes: Some(0),
        outage: Some(false),
        ..FaultChange::default()
    });
    // No more generations can have ended than the clock has seen.
    assert!(test.generation() <= test.clock.get() / GENERATION_MS);
    test.age_to(&mut sweepers[1], KEPT_GENERATIONS + 2);
    test.sweep(&mut sweepers[0]);
    let left = test.platform.keys("claim/o/old");
    assert_eq!(left.len(), 0, "in generation {}", test.generation());
}

#[test]
fn claims_of_organisations_that_are_gone_are_found_once_in_a_retention() {
    let test = SweepTest::start();
    let mut sweeper = test.sweeper();
    test.fill_of("a", "left", 25);
    test.fill("kept", 300);
    test.fill_of("z", "left", 45);
    test.age_to(&mut sweeper, KEPT_GENERATIONS + 2);
    let reads = test.platform.counts().reads;
    test.sweep(&mut sweeper);
    assert_eq!(test.claims(), 0);
    // Twenty steps, each with a read of the rows, and a page in seven of them:
    // one of the tour, and of strays two before and after those of `o`.
    assert!(test.platform.counts().reads - reads <= 27);
}

#[test]
fn a_router_that_is_not_picked_sweeps_its_part_and_ends_no_generation() {
    let test = SweepTest::start();
    let mut keeper = test.sweeper();
    test.fill("old", 10);
    test.fill_of("z", "left", 1);
    test.age_to(&mut keeper, KEPT_GENERATIONS + 2);
    let mut other = RetentionDriver::new(RetentionParts {
        is_elected: Box::new(|| false),
        ..test.parts()
    });
    for _ in 0..20 {
        test.step(&mut other);
        test.clock.set(test.clock.get() + GENERATION_MS);
    }
    assert_eq!(test.generation(), KEPT_GENERATIONS + 2);
    assert_eq!(test.platform.keys("claim/"), ["claim/z/left00000".into()]);
}

#[test]
fn a_table_that_went_back_is_refused_until_the_router_starts_anew() {
    let test = SweepTest::start();
    let mut sweeper = test.sweeper();
    test.age_to(&mut sweeper, 1);
    let router = test.router("r1");
    let first = claim(&router, 1, router.start_try());
    assert!(matches!(first, ClaimAnswer::Held(_)), "{first:?}");
    let restore = TableTxn {
        success: vec![
            TableOp::delete("retention/generation"),
            TableOp::delete("claim/o/k"),
        ],
        ..TableTxn::default()
    };
    smol::block_on(test.table().txn(&restore, WriteClass::Rest)).unwrap();
    let again = refusal(claim(&router, 2, router.start_try()));
    let expected = (RefusalOutcome::Retry, RefusalReason::PlatformUnreachable);
    assert_eq!(again, expected);
    assert_eq!(test.claims(), 0);
    let anew = test.router("r1");
    let answer = claim(&anew, 3, anew.start_try());
    assert!(matches!(answer, ClaimAnswer::Held(_)), "{answer:?}");
}
