//! What callers are told when a budget does not cover their requests.
//!
//! The load: a budget is spent to its end at several holders, and its callers
//! come back for as long as they are told that it may help.

mod grant_rows;

use guavawell_core::grant::BookSettings;
use guavawell_core::grant::GrantBook;
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
/// By then all is spent, in milliseconds.
const SPENT: u64 = 6_000;
/// By then less than half of it is.
const EARLY_END: u64 = 600;

struct Fleet {
    rows: StoreRows,
    books: Vec<GrantBook>,
}

fn book(place: usize, life: u64, began: u64) -> GrantBook {
    let instance: InstanceId = format!("i{place}").parse().expect("a valid id");
    let nonce = life * 100 + place as u64;
    let settings = BookSettings {
        instances: HOLDERS,
        ..BookSettings::default()
    };
    let mut book = GrantBook::new(instance, nonce, at(began), settings);
    book.set_paid(&organisation(), PAID, 1);
    book
}

impl Fleet {
    fn start() -> Self {
        let mut fleet = Self {
            rows: StoreRows::new(HOLDERS),
            books: (0..HOLDERS).map(|place| book(place, 1, 0)).collect(),
        };
        for (place, book) in fleet.books.iter_mut().enumerate() {
            fleet.rows.begin(place, book, at(0));
        }
        fleet
    }

    /// One request at each holder, spent at once if it is granted. Returns the
    /// last answers.
    fn request(&mut self, millis: u64) -> Vec<ReserveAnswer> {
        let id = organisation();
        let mut answers = Vec::new();
        for (place, book) in self.books.iter_mut().enumerate() {
            let now = at(millis);
            let mut answer = book.reserve(&id, REQUEST, now);
            if answer != ReserveAnswer::Granted {
                book.wait(&id, REQUEST, true);
                self.rows.keep(place, book, now);
                book.wait(&id, REQUEST, false);
                answer = book.reserve(&id, REQUEST, now);
            }
            if answer == ReserveAnswer::Granted {
                book.settle(&id, REQUEST, REQUEST);
            }
            self.rows.keep(place, book, now);
            answers.push(answer);
        }
        answers
    }

    /// Plays until `end`. What is granted stays reserved; returns how many
    /// requests each holder has running.
    fn reserve(&mut self, end: u64) -> Vec<u64> {
        let id = organisation();
        let mut running = vec![0; HOLDERS];
        for millis in (STEP..end).step_by(usize::try_from(STEP).expect("small")) {
            for (place, book) in self.books.iter_mut().enumerate() {
                let now = at(millis);
                book.wait(&id, REQUEST, true);
                self.rows.keep(place, book, now);
                book.wait(&id, REQUEST, false);
                let answer = book.reserve(&id, REQUEST, now);
                running[place] += u64::from(answer == ReserveAnswer::Granted);
            }
        }
        running
    }
}

#[test]
fn a_budget_that_is_spent_is_told_as_spent_at_every_holder() {
    let id = organisation();
    let mut fleet = Fleet::start();
    // All is reserved, and every holder tells that it lacks tokens, before the
    // requests end.
    let running = fleet.reserve(SPENT);
    assert_eq!(running.iter().sum::<u64>(), PAID / REQUEST);
    for (book, running) in fleet.books.iter_mut().zip(running) {
        book.settle(&id, running * REQUEST, running * REQUEST);
    }
    // Callers come back twice: an entry is brought up to date once a second.
    fleet.request(SPENT + 2_000);
    fleet.request(SPENT + 2_100);
    let answers = fleet.request(SPENT + 2_200);
    assert_eq!(answers, [ReserveAnswer::Exhausted; HOLDERS]);
}

#[test]
fn what_ended_processes_may_not_have_spent_is_no_reason_to_come_back_soon() {
    let mut fleet = Fleet::start();
    for millis in (STEP..EARLY_END).step_by(usize::try_from(STEP).expect("small")) {
        fleet.request(millis);
    }
    // The grants and lines of all are not used up when their processes end.
    let began = EARLY_END + 1_000;
    for place in 0..HOLDERS {
        fleet.books[place] = book(place, 2, began);
        let book = &mut fleet.books[place];
        fleet.rows.begin(place, book, at(began));
    }
    for millis in (began..began + SPENT).step_by(usize::try_from(STEP).expect("small")) {
        fleet.request(millis);
    }
    let answers = fleet.request(began + SPENT + 2_000);
    assert_eq!(answers, [ReserveAnswer::Frozen; HOLDERS]);
}

#[test]
fn while_requests_run_their_tokens_may_come_free() {
    let id = organisation();
    let mut fleet = Fleet::start();
    let running = fleet.reserve(SPENT);
    // The requests of one holder still run.
    for (book, running) in fleet.books.iter_mut().zip(running).skip(1) {
        book.settle(&id, running * REQUEST, running * REQUEST);
    }
    let answers = fleet.request(SPENT + 2_000);
    assert_eq!(answers, [ReserveAnswer::Drained; HOLDERS]);
}
