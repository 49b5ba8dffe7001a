//! What the holders of a large organisation may spend right after a cut.
//!
//! The load: six holders, each with twenty requests a second of an organisation,
//! are parted from the store at one moment. The fleet's early share is reckoned
//! in usual requests; there are more of these than holders.

mod grant_rows;

use guavawell_core::grant::BookSettings;
use guavawell_core::grant::GrantBook;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::InstanceId;

use grant_rows::StoreRows;
use grant_rows::at;
use grant_rows::organisation;

const HOLDERS: usize = 6;
const PAID: u64 = 40_000_000;
const REQUEST: u64 = 4_000;
/// Time between two requests at one holder, in milliseconds.
const STEP: u64 = 50;
/// Lines are written as often, in milliseconds.
const LINE_AGE: u64 = 250;
/// The cut begins here and is looked at until there, in milliseconds.
const CUT: std::ops::Range<u64> = 8_000..9_000;

#[test]
fn holders_of_a_large_organisation_serve_the_first_second_of_a_cut() {
    let id = organisation();
    let mut rows = StoreRows::new(HOLDERS);
    let settings = BookSettings {
        instances: HOLDERS,
        ..BookSettings::default()
    };
    let mut books: Vec<GrantBook> = (0..HOLDERS)
        .map(|place| {
            let instance: InstanceId = format!("i{place}").parse().expect("a valid id");
            let mut book = GrantBook::new(instance, place as u64 + 1, at(0), settings);
            book.set_paid(&id, PAID, 1);
            rows.begin(place, &mut book, at(0));
            book
        })
        .collect();
    let (mut asked, mut refused) = (0, 0);
    for millis in (STEP..CUT.end).step_by(usize::try_from(STEP).expect("small")) {
        let cut = CUT.contains(&millis);
        for (place, book) in books.iter_mut().enumerate() {
            if !cut && millis % LINE_AGE == 0 {
                rows.keep(place, book, at(millis));
            }
            let mut answer = book.reserve(&id, REQUEST, at(millis));
            if answer != ReserveAnswer::Granted && !cut {
                book.wait(&id, REQUEST, true);
                rows.keep(place, book, at(millis));
                book.wait(&id, REQUEST, false);
                answer = book.reserve(&id, REQUEST, at(millis));
            }
            if cut {
                asked += 1;
                refused += u32::from(answer != ReserveAnswer::Granted);
            }
        }
    }
    println!("{refused} of {asked} refused");
    assert!(refused * 10 <= asked, "{refused} of {asked}");
}
