//! Loans between instances: how they count for the lender, and simulated
//! outages in which the store is unreachable for all instances of a large fleet
//! or for a third.

mod grant_rows;

use fastrand::Rng;
use guavawell_core::clock::ClockTime;
use guavawell_core::grant::GrantLedger;
use guavawell_core::grant::LedgerSettings;
use guavawell_core::grant::LoanRequest;
use guavawell_core::grant::LoanScope;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::InstanceId;

use grant_rows::StoreRows;
use grant_rows::at;
use grant_rows::organisation;

/// Instances of the fleet.
const FLEET: usize = 40;
/// Requests per second of the only organisation, over all instances.
const RATE: f64 = 14.0;
/// Tokens of a short request; one in eight requests takes ten times as many.
const SHORT: u64 = 1_200;
/// Step of the simulation, in milliseconds.
const STEP: u64 = 100;
/// Step of the simulation, in seconds.
const STEP_SECONDS: f64 = 0.1;
/// Time at which the store is unreachable, in milliseconds.
const OUTAGE: std::ops::Range<u64> = 20_000..29_000;
/// Most lenders that are asked for one request.
const LENDERS: usize = 4;

struct Fleet {
    rows: StoreRows,
    ledgers: Vec<GrantLedger>,
    random: Rng,
    /// The number of instances that receive requests, starting with the first
    /// one.
    reached: usize,
    /// The number of instances that an outage affects, starting with the first
    /// one.
    cut_off: usize,
    /// Whether a lender that reaches the store fetches tokens that it lacks.
    fetches: bool,
    spent: u64,
    refused_in_outage: u64,
    requested_in_outage: u64,
}

impl Fleet {
    fn start(paid: u64, seed: u64) -> Self {
        let settings = LedgerSettings {
            instances: FLEET,
            ..LedgerSettings::default()
        };
        let mut rows = StoreRows::new(FLEET);
        let ledgers = (0..FLEET).map(|place| {
            let instance: InstanceId = format!("i{place}").parse().expect("a valid id");
            let mut ledger = GrantLedger::new(instance, place as u64 + 1, at(0), settings);
            ledger.set_paid(&organisation(), paid, 1);
            rows.begin_boot(place, &mut ledger, at(0));
            ledger
        });
        let ledgers = ledgers.collect();
        Self {
            rows,
            ledgers,
            random: Rng::with_seed(seed),
            reached: FLEET,
            cut_off: FLEET,
            fetches: false,
            spent: 0,
            refused_in_outage: 0,
            requested_in_outage: 0,
        }
    }

    fn reserve(&mut self, place: usize, tokens: u64, now: ClockTime) -> bool {
        let answer = self.ledgers[place].reserve(&organisation(), tokens, now);
        matches!(
            answer,
            ReserveAnswer::Granted | ReserveAnswer::GrantedLoan(_)
        )
    }

    fn borrow(&mut self, place: usize, tokens: u64, now: ClockTime) -> bool {
        let id = organisation();
        let holders = self.ledgers[place].lenders(&id);
        let mut candidates: Vec<usize> = holders
            .iter()
            .map(|(instance, _)| instance.as_str()[1..].parse().expect("an index in the id"))
            .collect();
        self.random.shuffle(&mut candidates);
        if self.fetches {
            let mut others: Vec<usize> = (0..FLEET).filter(|other| *other != place).collect();
            self.random.shuffle(&mut others);
            candidates.extend(others);
        }
        for lender in candidates.into_iter().take(LENDERS) {
            let request = self.ledgers[place].loan_request(&id, tokens, now);
            let lent = self.lend(lender, request, now);
            let lender_id = self.ledgers[lender].lender_id();
            self.ledgers[place].receive_loan(&id, lender_id, lent, now);
            if self.reserve(place, tokens, now) {
                return true;
            }
        }
        false
    }

    fn lend(&mut self, lender: usize, request: LoanRequest, now: ClockTime) -> u64 {
        let id = organisation();
        let ledger = &mut self.ledgers[lender];
        let lent = ledger.lend(&id, request, now).tokens;
        let later = ledger.tokens_to_fetch(&id, request, now);
        let (0, Some(missing), true) = (lent, later, self.fetches && lender >= self.cut_off) else {
            return lent;
        };
        ledger.wait(&id, missing, true);
        self.rows.sync_rows(lender, ledger, now);
        ledger.wait(&id, missing, false);
        ledger.lend(&id, request, now).tokens
    }

    fn request(&mut self, now: ClockTime, loans: bool, outage: bool) {
        let place = self.random.usize(..self.reached);
        let outage = outage && place < self.cut_off;
        let long = self.random.u8(..8) == 0;
        let tokens = SHORT * if long { 10 } else { 1 };
        let id = organisation();
        let mut served = self.reserve(place, tokens, now);
        if !served && loans && outage {
            served = self.borrow(place, tokens, now);
        }
        if served {
            self.spent += tokens;
        } else if !outage {
            self.ledgers[place].wait(&id, tokens, true);
            self.rows.sync_rows(place, &mut self.ledgers[place], now);
            self.ledgers[place].wait(&id, tokens, false);
            if self.reserve(place, tokens, now) {
                self.spent += tokens;
            }
        }
        if outage {
            self.requested_in_outage += 1;
            self.refused_in_outage += u64::from(!served);
        }
    }

    fn simulate(mut self, loans: bool) -> Self {
        for millis in (STEP..OUTAGE.end).step_by(usize::try_from(STEP).expect("small")) {
            let now = at(millis);
            let outage = OUTAGE.contains(&millis);
            for place in 0..FLEET {
                if !outage || place >= self.cut_off {
                    self.rows.sync_rows(place, &mut self.ledgers[place], now);
                }
            }
            let mut due = RATE * STEP_SECONDS;
            while due > 0.0 {
                if self.random.f64() < due {
                    self.request(now, loans, outage);
                }
                due -= 1.0;
            }
        }
        self
    }
}

#[test]
fn loans_serve_most_requests_that_an_outage_would_refuse() {
    for seed in 0..4 {
        let paid = 3_500_000;
        let without_loans = Fleet::start(paid, seed).simulate(false);
        let with_loans = Fleet::start(paid, seed).simulate(true);
        println!(
            "seed {seed}: of {} requests, {} refused without loans and {} with loans",
            without_loans.requested_in_outage,
            without_loans.refused_in_outage,
            with_loans.refused_in_outage
        );
        assert!(without_loans.refused_in_outage > 0);
        assert!(with_loans.refused_in_outage * 2 < without_loans.refused_in_outage);
    }
}

/// One instance receives all requests of the organisation, and the outage
/// affects it and a third of the fleet.
fn third_cut_off(paid: u64, seed: u64, fetches: bool) -> Fleet {
    let fleet = Fleet {
        reached: 1,
        cut_off: FLEET / 3,
        fetches,
        ..Fleet::start(paid, seed)
    };
    fleet.simulate(true)
}

#[test]
fn lenders_with_store_access_fetch_for_instances_without() {
    for seed in 0..4 {
        let paid = 1_150_000;
        let lent = third_cut_off(paid, seed, false);
        let fetched = third_cut_off(paid, seed, true);
        println!(
            "seed {seed}: of {} requests, {} refused with plain loans and {} with fetched tokens",
            lent.requested_in_outage, lent.refused_in_outage, fetched.refused_in_outage
        );
        assert!(lent.refused_in_outage > 0);
        assert!(fetched.refused_in_outage * 4 < lent.refused_in_outage);
        assert!(fetched.spent <= paid);
    }
}

#[test]
fn fetched_loans_stay_within_the_budget() {
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
        let fleet = Fleet::start(paid, seed).simulate(true);
        assert!(fleet.spent <= paid, "{} of {paid}", fleet.spent);
    }
}

#[test]
fn lent_tokens_count_as_spent_within_the_lenders_bounds() {
    let mut fleet = Fleet::start(2_000_000, 1).simulate(false);
    let id = organisation();
    let now = at(OUTAGE.end);
    let largest = (0..FLEET)
        .max_by_key(|place| fleet.ledgers[*place].facts(&id, now).grant)
        .expect("a fleet");
    let ledger = &mut fleet.ledgers[largest];
    let all = LoanRequest {
        needed: 1,
        wanted: u64::MAX / 4,
        scope: LoanScope::Spare,
    };
    let before = ledger.facts(&id, now);
    let lent = ledger.lend(&id, all, now).tokens;
    let after = ledger.facts(&id, now);
    assert!(lent > 0);
    assert_eq!(after.used, before.used + lent);
    assert!(after.used <= after.grant.min(after.allowed));
    // A boot that is leaving lends nothing.
    ledger.leave();
    assert_eq!(ledger.lend(&id, all, at(OUTAGE.end + 5_000)).tokens, 0);
}

#[test]
fn a_declined_amount_is_not_requested_again_at_once() {
    let mut fleet = Fleet::start(100_000, 1);
    let id = organisation();
    let ledger = &mut fleet.ledgers[0];
    assert!(ledger.may_borrow(&id, 500, true, at(10)));
    ledger.note_declined(&id, 500, at(10));
    assert!(!ledger.may_borrow(&id, 500, true, at(100)));
    assert!(ledger.may_borrow(&id, 100, true, at(100)));
    assert!(ledger.may_borrow(&id, 500, true, at(600)));
}
