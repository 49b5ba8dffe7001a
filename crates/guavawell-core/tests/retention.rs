//! Generations: how age is known without trust in clocks, and what is due.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ClaimGeneration;
use guavawell_core::id::OrganisationId;
use guavawell_core::retention::AgedKey;
use guavawell_core::retention::KEPT_GENERATIONS;
use guavawell_core::retention::KeeperEffect;
use guavawell_core::retention::KeeperWrite;
use guavawell_core::retention::RetentionKeeper;
use guavawell_core::retention::RetentionSettings;
use guavawell_core::retention::RetentionView;
use guavawell_core::retention::SweepTour;
use guavawell_core::retention::TryStart;
use guavawell_core::retention::may_sweep;
use guavawell_core::retention::plan_page;
use guavawell_core::retention::step_over;

/// A generation of 1,000 ms, noted every 250 ms.
fn settings() -> RetentionSettings {
    RetentionSettings {
        claims: ClockSpan::from_millis(1_000 * KEPT_GENERATIONS),
        ..RetentionSettings::default()
    }
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// The table's rows, changed by compare-and-swap.
#[derive(Default)]
struct Rows {
    view: RetentionView,
    revision: u64,
}

impl Rows {
    fn write(&mut self, over: &RetentionView, write: &KeeperWrite) -> bool {
        if *over != self.view {
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

/// Routers with clocks of their own, each slower than the true time or equal;
/// some pause between the read and the write, some die.
#[test]
fn no_generation_is_shorter_than_stated_whatever_routers_do() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut rows = Rows::default();
        let mut keepers: Vec<_> = (0..3)
            .map(|_| (RetentionKeeper::new(settings()), rows.view.clone(), 0_u64))
            .collect();
        let (mut time, mut began, mut ended) = (0, 0, 0);
        while ended < 3 && time < 100_000 {
            time += random.u64(1..60);
            let (keeper, seen, offset) = &mut keepers[random.usize(0..3)];
            let now = at(time + *offset);
            match random.u8(0..10) {
                0 => {
                    *keeper = RetentionKeeper::new(settings());
                    *offset = random.u64(0..1_000_000);
                }
                1..6 => {
                    *seen = rows.view.clone();
                    keeper.read(seen.clone(), now);
                }
                _ => {
                    if let KeeperEffect::Write(write) = keeper.next(now) {
                        let before = rows.generation();
                        let is_applied = rows.write(seen, &write);
                        if is_applied && rows.generation() > before {
                            assert!(time - began >= 1_000, "seed {seed}: {}", time - began);
                            began = time;
                            ended += 1;
                        }
                        keeper.forget();
                    }
                }
            }
        }
        assert_eq!(ended, 3, "seed {seed}: generations never end");
    }
}

#[test]
fn a_wait_that_nobody_saw_whole_does_not_count() {
    let rows = Rows::default();
    let mut keeper = RetentionKeeper::new(settings());
    assert_eq!(
        keeper.next(at(9_000)),
        KeeperEffect::Rest,
        "nothing was read"
    );
    keeper.read(rows.view.clone(), at(9_000));
    let KeeperEffect::Write(write) = keeper.next(at(9_250)) else {
        panic!("a quarter of a generation is noted");
    };
    assert_eq!(write.sweep.aged, ClockSpan::from_millis(250));
    assert_eq!(write.advance, None);
    keeper.forget();
    assert_eq!(keeper.next(at(99_000)), KeeperEffect::Rest);
}

/// Ends `count` generations; the claims of generation `n` are the revisions
/// between the starts of `n` and `n + 1`.
fn aged(count: u64) -> (Rows, Vec<u64>) {
    let mut rows = Rows::default();
    let mut keeper = RetentionKeeper::new(settings());
    let mut starts = vec![0];
    for round in 0..count {
        rows.revision += 100;
        keeper.read(rows.view.clone(), at(round * 2_000));
        let KeeperEffect::Write(write) = keeper.next(at(round * 2_000 + 1_000)) else {
            panic!("generation {round} is over");
        };
        assert!(rows.write(&rows.view.clone(), &write));
        keeper.forget();
        starts.push(rows.view.generation_revision);
    }
    (rows, starts)
}

#[test]
fn a_sweep_takes_exactly_the_generations_that_may_go() {
    for count in 0..2 * KEPT_GENERATIONS + 6 {
        let (rows, starts) = aged(count);
        let current = ClaimGeneration::new(count);
        let may_go = (0..count).filter(|old| may_sweep(ClaimGeneration::new(*old), current));
        let first_kept = may_go.count();
        assert_eq!(rows.view.due_before(), starts[first_kept], "{count}");
        let length = u64::try_from(rows.view.sweep.starts.len()).unwrap();
        assert!(length <= KEPT_GENERATIONS + 1, "{length}");
    }
}

#[test]
fn a_pass_goes_on_where_it_was_noted_and_runs_once_a_retention() {
    let (rows, _) = aged(KEPT_GENERATIONS + 2);
    let due_before = rows.view.due_before();
    let mut keeper = RetentionKeeper::new(settings());
    keeper.read(rows.view.clone(), at(0));
    let scan = |after: Option<&str>| KeeperEffect::Scan {
        after: after.map(Into::into),
        due_before,
    };
    assert_eq!(keeper.next(at(0)), scan(None));
    keeper.swept(Some("claim/o/m".into()), 7);
    assert_eq!(keeper.next(at(1)), scan(Some("claim/o/m")));
    let KeeperEffect::Write(write) = keeper.next(at(250)) else {
        panic!("progress is noted");
    };
    let mut noted = rows;
    assert!(noted.write(&noted.view.clone(), &write));
    let mut successor = RetentionKeeper::new(settings());
    successor.read(noted.view.clone(), at(70_000));
    assert_eq!(successor.next(at(70_000)), scan(Some("claim/o/m")));
    successor.swept(None, 2);
    assert_eq!(successor.next(at(70_001)), KeeperEffect::Rest);
    let mut later = noted.view;
    later.generation.generation = ClaimGeneration::new(2 * KEPT_GENERATIONS + 2);
    later.sweep.pass = ClaimGeneration::new(KEPT_GENERATIONS + 2);
    later.sweep.cursor = None;
    successor.read(later.clone(), at(70_002));
    assert_eq!(successor.next(at(70_002)), scan(None), "a retention later");
    later.sweep.pass = later.sweep.pass.next();
    successor.read(later, at(70_003));
    assert_eq!(successor.next(at(70_003)), KeeperEffect::Rest);
}

#[test]
fn a_tour_looks_at_every_page_of_its_organisations_once() {
    let ids = ["a", "b"].map(|id| id.parse().unwrap());
    let mut tour = SweepTour::new(ClaimGeneration::new(4), ids);
    assert_eq!(tour.next(), Some(("claim/a/", None)));
    tour.looked(Some("claim/a/k".into()));
    assert_eq!(tour.next(), Some(("claim/a/", Some("claim/a/k"))));
    tour.looked(None);
    assert_eq!(tour.next(), Some(("claim/b/", None)));
    tour.looked(None);
    assert_eq!(tour.next(), None);
    let is_toured = |id: &OrganisationId| id.as_str() == "a";
    assert!(&*step_over("claim/a/k", is_toured) > "claim/a/zzz");
    assert!(&*step_over("claim/a/k", is_toured) < "claim/aa/k");
    assert_eq!(&*step_over("claim/b/k", is_toured), "claim/b/k");
}

#[test]
fn a_page_gives_up_old_rows_only() {
    let row = |key: &str, mod_revision| AgedKey {
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
fn an_id_that_its_caller_calls_old_is_forgotten_with_its_claim() {
    let first = ClaimGeneration::new(3);
    let start = TryStart {
        first: Some(first),
        ..TryStart::new(ClaimGeneration::new(20))
    };
    for number in 3..30 {
        let current = ClaimGeneration::new(number);
        assert_eq!(start.is_forgotten(current), may_sweep(first, current));
    }
    assert!(!TryStart::default().is_forgotten(ClaimGeneration::new(99)));
}
