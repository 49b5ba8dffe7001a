//! Loans between instances: what they cost the lender, and replays of cuts
//! that part all instances of a large fleet from the store, or a third of them.

mod grant_rows;

use fastrand::Rng;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::BookSettings;
use guavawell_core::grant::GrantBook;
use guavawell_core::grant::LoanAsk;
use guavawell_core::grant::LoanScope;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::InstanceId;

use grant_rows::StoreRows;
use grant_rows::at;
use grant_rows::organisation;

/// Instances of the fleet.
const FLEET: usize = 40;
/// Requests a second of the one organisation, over all instances.
const RATE: f64 = 14.0;
/// Tokens of the shortest request; one in eight is ten times as long.
const SHORT: u64 = 1_200;
/// Step of the replay, in milliseconds.
const STEP: u64 = 100;
/// The same in seconds.
const STEP_SECONDS: f64 = 0.1;
/// The store is away from here to there, in milliseconds.
const CUT: std::ops::Range<u64> = 20_000..29_000;
/// Instances that are asked for one request.
const LENDERS: usize = 4;

struct Fleet {
    rows: StoreRows,
    books: Vec<GrantBook>,
    random: Rng,
    /// Instances that callers reach, the first ones.
    reached: usize,
    /// Instances that a cut parts from the store, the first ones.
    cut_off: usize,
    /// Whether a lender that reaches the store fetches what it has not.
    fetches: bool,
    spent: u64,
    refused_in_cut: u64,
    asked_in_cut: u64,
}

impl Fleet {
    fn start(paid: u64, seed: u64) -> Self {
        let settings = BookSettings {
            instances: FLEET,
            ..BookSettings::default()
        };
        let mut rows = StoreRows::new(FLEET);
        let books = (0..FLEET).map(|place| {
            let instance: InstanceId = format!("i{place}").parse().expect("a valid id");
            let mut book = GrantBook::new(instance, place as u64 + 1, at(0), settings);
            book.set_paid(&organisation(), paid, 1);
            rows.begin(place, &mut book, at(0));
            book
        });
        let books = books.collect();
        Self {
            rows,
            books,
            random: Rng::with_seed(seed),
            reached: FLEET,
            cut_off: FLEET,
            fetches: false,
            spent: 0,
            refused_in_cut: 0,
            asked_in_cut: 0,
        }
    }

    fn reserve(&mut self, place: usize, tokens: u64, now: ClockTime) -> bool {
        let answer = self.books[place].reserve(&organisation(), tokens, now);
        matches!(
            answer,
            ReserveAnswer::Granted | ReserveAnswer::GrantedLoan(_)
        )
    }

    fn borrow(&mut self, place: usize, tokens: u64, now: ClockTime) -> bool {
        let id = organisation();
        let holders = self.books[place].lenders(&id);
        let mut able: Vec<usize> = holders
            .iter()
            .map(|(instance, _)| instance.as_str()[1..].parse().expect("its place"))
            .collect();
        self.random.shuffle(&mut able);
        if self.fetches {
            let mut others: Vec<usize> = (0..FLEET).filter(|other| *other != place).collect();
            self.random.shuffle(&mut others);
            able.extend(others);
        }
        for lender in able.into_iter().take(LENDERS) {
            let ask = self.books[place].loan_ask(&id, tokens, now);
            let lent = self.lend(lender, ask, now);
            let signature = self.books[lender].lender_id();
            self.books[place].take_loan(&id, signature, lent, now);
            if self.reserve(place, tokens, now) {
                return true;
            }
        }
        false
    }

    fn lend(&mut self, lender: usize, ask: LoanAsk, now: ClockTime) -> u64 {
        let id = organisation();
        let book = &mut self.books[lender];
        let lent = book.lend(&id, ask, now).tokens;
        let later = book.lend_later(&id, ask, now);
        let (0, Some(missing), true) = (lent, later, self.fetches && lender >= self.cut_off) else {
            return lent;
        };
        book.wait(&id, missing, true);
        self.rows.keep(lender, book, now);
        book.wait(&id, missing, false);
        book.lend(&id, ask, now).tokens
    }

    fn request(&mut self, now: ClockTime, loans: bool, cut: bool) {
        let place = self.random.usize(..self.reached);
        let cut = cut && place < self.cut_off;
        let long = self.random.u8(..8) == 0;
        let tokens = SHORT * if long { 10 } else { 1 };
        let id = organisation();
        let mut served = self.reserve(place, tokens, now);
        if !served && loans && cut {
            served = self.borrow(place, tokens, now);
        }
        if served {
            self.spent += tokens;
        } else if !cut {
            self.books[place].wait(&id, tokens, true);
            self.rows.keep(place, &mut self.books[place], now);
            self.books[place].wait(&id, tokens, false);
            if self.reserve(place, tokens, now) {
                self.spent += tokens;
            }
        }
        if cut {
            self.asked_in_cut += 1;
            self.refused_in_cut += u64::from(!served);
        }
    }

    fn play(mut self, loans: bool) -> Self {
        for millis in (STEP..CUT.end).step_by(usize::try_from(STEP).expect("small")) {
            let now = at(millis);
            let cut = CUT.contains(&millis);
            for place in 0..FLEET {
                if !cut || place >= self.cut_off {
                    self.rows.keep(place, &mut self.books[place], now);
                }
            }
            let mut due = RATE * STEP_SECONDS;
            while due > 0.0 {
                if self.random.f64() < due {
                    self.request(now, loans, cut);
                }
                due -= 1.0;
            }
        }
        self
    }
}

#[test]
fn loans_serve_most_of_what_a_cut_of_all_instances_would_refuse() {
    for seed in 0..4 {
        let paid = 3_500_000;
        let alone = Fleet::start(paid, seed).play(false);
        let together = Fleet::start(paid, seed).play(true);
        println!(
            "seed {seed}: of {} asked, {} refused alone and {} with loans",
            alone.asked_in_cut, alone.refused_in_cut, together.refused_in_cut
        );
        assert!(alone.refused_in_cut > 0);
        assert!(together.refused_in_cut * 2 < alone.refused_in_cut);
    }
}

/// One instance has all callers of the organisation, and the store turns it and
/// a third of the others away.
fn third_cut_off(paid: u64, seed: u64, fetches: bool) -> Fleet {
    let fleet = Fleet {
        reached: 1,
        cut_off: FLEET / 3,
        fetches,
        ..Fleet::start(paid, seed)
    };
    fleet.play(true)
}

#[test]
fn instances_that_the_store_serves_fetch_for_those_that_it_turns_away() {
    for seed in 0..4 {
        let paid = 1_150_000;
        let lent = third_cut_off(paid, seed, false);
        let fetched = third_cut_off(paid, seed, true);
        println!(
            "seed {seed}: of {} asked, {} refused with loans alone and {} with fetched ones",
            lent.asked_in_cut, lent.refused_in_cut, fetched.refused_in_cut
        );
        assert!(lent.refused_in_cut > 0);
        assert!(fetched.refused_in_cut * 4 < lent.refused_in_cut);
        assert!(fetched.spent <= paid);
    }
}

#[test]
fn what_nobody_holds_bounds_what_is_fetched() {
    for seed in 0..12 {
        let paid = 200_000 + seed * 40_000;
        let fleet = third_cut_off(paid, seed, true);
        assert!(fleet.spent <= paid, "{} of {paid}", fleet.spent);
    }
}

#[test]
fn a_fleet_with_loans_never_spends_more_than_was_paid() {
    for seed in 0..12 {
        let paid = 60_000 + seed * 40_000;
        let fleet = Fleet::start(paid, seed).play(true);
        assert!(fleet.spent <= paid, "{} of {paid}", fleet.spent);
    }
}

#[test]
fn what_is_lent_is_spent_for_the_lender_and_within_its_bounds() {
    let mut fleet = Fleet::start(2_000_000, 1).play(false);
    let id = organisation();
    let now = at(CUT.end);
    let rich = (0..FLEET)
        .max_by_key(|place| fleet.books[*place].facts(&id, now).grant)
        .expect("a fleet");
    let book = &mut fleet.books[rich];
    let all = LoanAsk {
        needed: 1,
        wanted: u64::MAX / 4,
        scope: LoanScope::Spare,
    };
    let before = book.facts(&id, now);
    let lent = book.lend(&id, all, now).tokens;
    let after = book.facts(&id, now);
    assert!(lent > 0);
    assert_eq!(after.used, before.used + lent);
    assert!(after.used <= after.grant.min(after.allowed));
    // A boot that gives its grants back lends nothing more.
    book.leave();
    assert_eq!(book.lend(&id, all, at(CUT.end + 5_000)).tokens, 0);
}

#[test]
fn nobody_is_asked_again_at_once_for_what_all_declined() {
    let mut fleet = Fleet::start(100_000, 1);
    let id = organisation();
    let book = &mut fleet.books[0];
    assert!(book.may_borrow(&id, 500, true, at(10)));
    book.note_declined(&id, 500, at(10));
    assert!(!book.may_borrow(&id, 500, true, at(100)));
    assert!(book.may_borrow(&id, 100, true, at(100)));
    assert!(book.may_borrow(&id, 500, true, at(600)));
}
