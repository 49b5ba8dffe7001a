//! Why requests are refused when a budget does not cover them.
//!
//! Several holders spend a budget completely, and callers retry for as long as
//! the answer says that it may help.

mod grant_rows;

use guavawell_core::grant::GrantLedger;
use guavawell_core::grant::LedgerSettings;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::InstanceId;

use grant_rows::StoreRows;
use grant_rows::at;
use grant_rows::organisation;

const HOLDERS: usize = 3;
const PAID: u64 = 90_000;
const REQUEST: u64 = 1_000;
/// Time between two requests at one holder, in milliseconds.
const STEP: u64 = 50;
/// Time by which the whole budget is spent, in milliseconds.
const SPENT_BY: u64 = 6_000;
/// Time by which less than half of the budget is spent, in milliseconds.
const EARLY_CRASH: u64 = 600;

struct Fleet {
    rows: StoreRows,
    ledgers: Vec<GrantLedger>,
}

fn ledger(place: usize, life: u64, began: u64) -> GrantLedger {
    let instance: InstanceId = format!("i{place}").parse().expect("a valid id");
    let nonce = life * 100 + place as u64;
    let settings = LedgerSettings {
        instances: HOLDERS,
        ..LedgerSettings::default()
    };
    let mut ledger = GrantLedger::new(instance, nonce, at(began), settings);
    ledger.set_paid(&organisation(), PAID, 1);
    ledger
}

impl Fleet {
    fn start() -> Self {
        let mut fleet = Self {
            rows: StoreRows::new(HOLDERS),
            ledgers: (0..HOLDERS).map(|place| ledger(place, 1, 0)).collect(),
        };
        for (place, ledger) in fleet.ledgers.iter_mut().enumerate() {
            fleet.rows.begin_boot(place, ledger, at(0));
        }
        fleet
    }

    /// Sends one request to each holder. Granted requests are settled at once.
    /// Returns the final answers.
    fn request(&mut self, millis: u64) -> Vec<ReserveAnswer> {
        let id = organisation();
        let mut answers = Vec::new();
        for (place, ledger) in self.ledgers.iter_mut().enumerate() {
            let now = at(millis);
            let mut answer = ledger.reserve(&id, REQUEST, now);
            if answer != ReserveAnswer::Granted {
                ledger.wait(&id, REQUEST, true);
                self.rows.sync_rows(place, ledger, now);
                ledger.wait(&id, REQUEST, false);
                answer = ledger.reserve(&id, REQUEST, now);
            }
            if answer == ReserveAnswer::Granted {
                ledger.settle(&id, REQUEST, REQUEST);
            }
            self.rows.sync_rows(place, ledger, now);
            answers.push(answer);
        }
        answers
    }

    /// Runs until `end` and keeps granted requests reserved. Returns the number
    /// of running requests of each holder.
    fn reserve(&mut self, end: u64) -> Vec<u64> {
        let id = organisation();
        let mut running = vec![0; HOLDERS];
        for millis in (STEP..end).step_by(usize::try_from(STEP).expect("small")) {
            for (place, ledger) in self.ledgers.iter_mut().enumerate() {
                let now = at(millis);
                ledger.wait(&id, REQUEST, true);
                self.rows.sync_rows(place, ledger, now);
                ledger.wait(&id, REQUEST, false);
                let answer = ledger.reserve(&id, REQUEST, now);
                running[place] += u64::from(answer == ReserveAnswer::Granted);
            }
        }
        running
    }
}

#[test]
fn a_spent_budget_is_exhausted_at_every_holder() {
    let id = organisation();
    let mut fleet = Fleet::start();
    // The whole budget is reserved, and every holder reports a shortage, before
    // the requests end.
    let running = fleet.reserve(SPENT_BY);
    assert_eq!(running.iter().sum::<u64>(), PAID / REQUEST);
    for (ledger, running) in fleet.ledgers.iter_mut().zip(running) {
        ledger.settle(&id, running * REQUEST, running * REQUEST);
    }
    // Callers retry twice, since an entry is brought up to date once per second.
    fleet.request(SPENT_BY + 2_000);
    fleet.request(SPENT_BY + 2_100);
    let answers = fleet.request(SPENT_BY + 2_200);
    assert_eq!(answers, [ReserveAnswer::Exhausted; HOLDERS]);
}

#[test]
fn tokens_frozen_by_ended_processes_are_no_reason_to_retry() {
    let mut fleet = Fleet::start();
    for millis in (STEP..EARLY_CRASH).step_by(usize::try_from(STEP).expect("small")) {
        fleet.request(millis);
    }
    // All processes end before their grants and spend limits are used up.
    let began = EARLY_CRASH + 1_000;
    for place in 0..HOLDERS {
        fleet.ledgers[place] = ledger(place, 2, began);
        let ledger = &mut fleet.ledgers[place];
        fleet.rows.begin_boot(place, ledger, at(began));
    }
    for millis in (began..began + SPENT_BY).step_by(usize::try_from(STEP).expect("small")) {
        fleet.request(millis);
    }
    let answers = fleet.request(began + SPENT_BY + 2_000);
    assert_eq!(answers, [ReserveAnswer::Frozen; HOLDERS]);
}

#[test]
fn a_budget_reserved_by_running_requests_is_drained() {
    let id = organisation();
    let mut fleet = Fleet::start();
    let running = fleet.reserve(SPENT_BY);
    // The requests of one holder are still running.
    for (ledger, running) in fleet.ledgers.iter_mut().zip(running).skip(1) {
        ledger.settle(&id, running * REQUEST, running * REQUEST);
    }
    let answers = fleet.request(SPENT_BY + 2_000);
    assert_eq!(answers, [ReserveAnswer::Drained; HOLDERS]);
}
