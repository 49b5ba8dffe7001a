//! Tests of the age of generations, which does not depend on wall clocks, and of
//! the choice of claims to delete.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ClaimGeneration;
use guavawell_core::id::OrganisationId;
use guavawell_core::retention::AttemptStart;
use guavawell_core::retention::KEPT_GENERATIONS;
use guavawell_core::retention::KeyRevision;
use guavawell_core::retention::OrganisationSweep;
use guavawell_core::retention::RetentionEffect;
use guavawell_core::retention::RetentionScheduler;
use guavawell_core::retention::RetentionSettings;
use guavawell_core::retention::RetentionView;
use guavawell_core::retention::RetentionWrite;
use guavawell_core::retention::may_sweep;
use guavawell_core::retention::plan_page;
use guavawell_core::retention::skip_covered;

/// Generations of 1,000 ms with a checkpoint every 250 ms.
fn settings() -> RetentionSettings {
    RetentionSettings {
        claims: ClockSpan::from_millis(1_000 * KEPT_GENERATIONS),
        ..RetentionSettings::default()
    }
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// The two table rows, changed by compare-and-swap.
#[derive(Default)]
struct Rows {
    view: RetentionView,
    revision: u64,
}

impl Rows {
    fn write(&mut self, expected: &RetentionView, write: &RetentionWrite) -> bool {
        if *expected != self.view {
            return false;
        }
        self.revision += 1;
        self.view.sweep = write.sweep.clone();
        self.view.sweep_revision = self.revision;
        if let Some(generation) = write.advance {
            self.view.generation = generation;
            self.view.generation_revision = self.revision;
        }
        true
    }

    fn generation(&self) -> u64 {
        self.view.generation.generation.get()
    }
}

/// Three routers with independent clock offsets read and write the rows in random
/// order. Some pause between read and write, and some restart. A generation that
/// ended early would delete claims too soon.
#[test]
fn no_generation_is_shorter_than_configured_despite_pauses_and_restarts() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut rows = Rows::default();
        let mut schedulers: Vec<_> = (0..3)
            .map(|_| {
                (
                    RetentionScheduler::new(settings()),
                    rows.view.clone(),
                    0_u64,
                )
            })
            .collect();
        let (mut time, mut began, mut ended) = (0, 0, 0);
        while ended < 3 && time < 100_000 {
            time += random.u64(1..60);
            let (scheduler, seen, offset) = &mut schedulers[random.usize(0..3)];
            let now = at(time + *offset);
            match random.u8(0..10) {
                0 => {
                    *scheduler = RetentionScheduler::new(settings());
                    *offset = random.u64(0..1_000_000);
                }
                1..6 => {
                    *seen = rows.view.clone();
                    scheduler.observe(seen.clone(), now);
                }
                _ => {
                    if let RetentionEffect::Write(write) = scheduler.next(now) {
                        let before = rows.generation();
                        let is_applied = rows.write(seen, &write);
                        if is_applied && rows.generation() > before {
                            assert!(time - began >= 1_000, "seed {seed}: {}", time - began);
                            began = time;
                            ended += 1;
                        }
                        scheduler.reset();
                    }
                }
            }
        }
        assert_eq!(ended, 3, "seed {seed}: generations never end");
    }
}

#[test]
fn time_outside_an_observed_span_does_not_count() {
    let rows = Rows::default();
    let mut scheduler = RetentionScheduler::new(settings());
    assert_eq!(
        scheduler.next(at(9_000)),
        RetentionEffect::Idle,
        "nothing was read"
    );
    scheduler.observe(rows.view.clone(), at(9_000));
    let RetentionEffect::Write(write) = scheduler.next(at(9_250)) else {
        panic!("a quarter of a generation is noted");
    };
    assert_eq!(write.sweep.aged, ClockSpan::from_millis(250));
    assert_eq!(write.advance, None);
    scheduler.reset();
    assert_eq!(scheduler.next(at(99_000)), RetentionEffect::Idle);
}

/// Ends `count` generations and returns the rows and the revisions at which each
/// generation began. Claims of generation `n` have the revisions between the
/// starts of `n` and `n + 1`.
fn rows_after(count: u64) -> (Rows, Vec<u64>) {
    let mut rows = Rows::default();
    let mut scheduler = RetentionScheduler::new(settings());
    let mut starts = vec![0];
    for round in 0..count {
        rows.revision += 100;
        scheduler.observe(rows.view.clone(), at(round * 2_000));
        let RetentionEffect::Write(write) = scheduler.next(at(round * 2_000 + 1_000)) else {
            panic!("generation {round} is over");
        };
        assert!(rows.write(&rows.view.clone(), &write));
        scheduler.reset();
        starts.push(rows.view.generation_revision);
    }
    (rows, starts)
}

#[test]
fn a_sweep_deletes_exactly_the_expired_generations() {
    for count in 0..2 * KEPT_GENERATIONS + 6 {
        let (rows, starts) = rows_after(count);
        let current = ClaimGeneration::new(count);
        let expired = (0..count).filter(|old| may_sweep(ClaimGeneration::new(*old), current));
        let first_kept = expired.count();
        assert_eq!(rows.view.due_before(), starts[first_kept], "{count}");
        let length = u64::try_from(rows.view.sweep.starts.len()).unwrap();
        assert!(length <= KEPT_GENERATIONS + 1, "{length}");
    }
}

#[test]
fn a_pass_resumes_at_its_checkpoint_and_runs_once_per_retention() {
    let (rows, _) = rows_after(KEPT_GENERATIONS + 2);
    let due_before = rows.view.due_before();
    let mut scheduler = RetentionScheduler::new(settings());
    scheduler.observe(rows.view.clone(), at(0));
    let scan = |after: Option<&str>| RetentionEffect::Scan {
        after: after.map(Into::into),
        due_before,
    };
    assert_eq!(scheduler.next(at(0)), scan(None));
    scheduler.record_page(Some("claim/o/m".into()), 7);
    assert_eq!(scheduler.next(at(1)), scan(Some("claim/o/m")));
    let RetentionEffect::Write(write) = scheduler.next(at(250)) else {
        panic!("progress is noted");
    };
    let mut checkpointed = rows;
    assert!(checkpointed.write(&checkpointed.view.clone(), &write));
    let mut successor = RetentionScheduler::new(settings());
    successor.observe(checkpointed.view.clone(), at(70_000));
    assert_eq!(successor.next(at(70_000)), scan(Some("claim/o/m")));
    successor.record_page(None, 2);
    assert_eq!(successor.next(at(70_001)), RetentionEffect::Idle);
    let mut later = checkpointed.view;
    later.generation.generation = ClaimGeneration::new(2 * KEPT_GENERATIONS + 2);
    later.sweep.pass = ClaimGeneration::new(KEPT_GENERATIONS + 2);
    later.sweep.cursor = None;
    successor.observe(later.clone(), at(70_002));
    assert_eq!(successor.next(at(70_002)), scan(None), "a retention later");
    later.sweep.pass = later.sweep.pass.next();
    successor.observe(later, at(70_003));
    assert_eq!(successor.next(at(70_003)), RetentionEffect::Idle);
}

#[test]
fn an_organisation_sweep_scans_every_page_once() {
    let ids = ["a", "b"].map(|id| id.parse().unwrap());
    let mut sweep = OrganisationSweep::new(ClaimGeneration::new(4), ids);
    assert_eq!(sweep.next(), Some(("claim/a/", None)));
    sweep.record_page(Some("claim/a/k".into()));
    assert_eq!(sweep.next(), Some(("claim/a/", Some("claim/a/k"))));
    sweep.record_page(None);
    assert_eq!(sweep.next(), Some(("claim/b/", None)));
    sweep.record_page(None);
    assert_eq!(sweep.next(), None);
    let is_covered = |id: &OrganisationId| id.as_str() == "a";
    assert!(&*skip_covered("claim/a/k", is_covered) > "claim/a/zzz");
    assert!(&*skip_covered("claim/a/k", is_covered) < "claim/aa/k");
    assert_eq!(&*skip_covered("claim/b/k", is_covered), "claim/b/k");
}

#[test]
fn only_old_rows_of_a_page_are_deleted() {
    let row = |key: &str, mod_revision| KeyRevision {
        key: key.into(),
        mod_revision,
    };
    let page = vec![row("a", 9), row("b", 10), row("c", 3)];
    let step = plan_page(page.clone(), true, 10);
    assert_eq!(step.due, [row("a", 9), row("c", 3)]);
    assert_eq!(step.cursor.as_deref(), Some("c"));
    assert_eq!(plan_page(page, false, 0).due, []);
}

#[test]
fn an_id_first_used_in_an_expired_generation_may_be_swept() {
    let first = ClaimGeneration::new(3);
    let start = AttemptStart {
        first_used_in: Some(first),
        ..AttemptStart::new(ClaimGeneration::new(20))
    };
    for number in 3..30 {
        let current = ClaimGeneration::new(number);
        assert_eq!(start.may_be_swept(current), may_sweep(first, current));
    }
    assert!(!AttemptStart::default().may_be_swept(ClaimGeneration::new(99)));
}
