//! Who holds an organisation's tokens in a large fleet, and what that costs.
//!
//! The load: 95 instances in 6 zones lose power and start again at one moment.
//! Where every instance holds tokens of every organisation, each needs two writes
//! of one row that all others write too, and those that come second are in vain.

mod grant_rows;

use guavawell_core::clock::ClockTime;
use guavawell_core::grant::BookSettings;
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::GrantBook;
use guavawell_core::grant::HolderRanking;
use guavawell_core::grant::HolderSettings;
use guavawell_core::grant::LoanAsk;
use guavawell_core::grant::LoanReturn;
use guavawell_core::grant::LoanScope;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;

use grant_rows::StoreRows;
use grant_rows::at;
use grant_rows::organisation;

const FLEET: usize = 95;
const ZONES: usize = 6;
const PAID: u64 = 1_000_000;
/// Tokens of a request at its most.
const REQUEST: u64 = 4_000;
/// What it spends in the end.
const SPENT: u64 = 2_500;

fn instance(place: usize) -> InstanceId {
    format!("i{place}").parse().expect("a valid id")
}

fn fleet() -> Vec<FleetMember> {
    let members = (0..FLEET).map(|place| FleetMember {
        instance: instance(place),
        zone: format!("z{}", place % ZONES).parse().expect("a valid id"),
    });
    members.collect()
}

fn books(holders: HolderSettings) -> Vec<GrantBook> {
    let settings = BookSettings {
        instances: FLEET,
        holders,
        ..BookSettings::default()
    };
    let books = (0..FLEET).map(|place| {
        let mut book = GrantBook::new(instance(place), place as u64 + 1, at(0), settings);
        book.set_fleet(fleet());
        book.set_paid(&organisation(), PAID, 1);
        book
    });
    books.collect()
}

/// All instances write at once, round by round; the first one's write stands
/// and the others see the row as it leaves it. Returns the writes in vain.
fn start_together(books: &mut [GrantBook]) -> usize {
    let id = organisation();
    let mut rows = StoreRows::new(FLEET);
    let now = at(100);
    for (place, book) in books.iter_mut().enumerate() {
        rows.begin_lines(place, book, now);
    }
    let mut vain = 0;
    loop {
        for book in books.iter_mut() {
            if book.tends(&id, now) {
                rows.show_budget(book);
            }
        }
        let due: Vec<usize> = (0..FLEET)
            .filter(|place| books[*place].next_budget(&id, now).is_some())
            .collect();
        let Some(first) = due.first() else {
            return vain;
        };
        vain += due.len() - 1;
        rows.keep(*first, &mut books[*first], now);
    }
}

#[test]
fn a_fleet_that_starts_together_writes_each_row_a_few_times() {
    let everywhere = HolderSettings {
        everywhere: FLEET,
        ..HolderSettings::default()
    };
    let mut all = books(everywhere);
    let mut few = books(HolderSettings::default());
    let (vain_all, vain_few) = (start_together(&mut all), start_together(&mut few));
    println!("writes of one row in vain: {vain_all} by all instances, {vain_few} by its holders");
    assert!(vain_all > FLEET * FLEET / 3);
    // Each zone's holder may come second to each of the others once.
    assert!(vain_few <= ZONES * ZONES);
    let id = organisation();
    assert_eq!(
        few.iter().filter(|book| book.granted(&id) > 0).count(),
        ZONES
    );
}

#[test]
fn every_zone_has_its_holder_and_all_instances_name_the_same() {
    let mut ranking = HolderRanking::new(HolderSettings::default());
    ranking.set_members(fleet());
    for name in ["acme", "small", "third"] {
        let id: OrganisationId = name.parse().expect("a valid id");
        for zone in 0..ZONES {
            let of_zone = || {
                (0..FLEET)
                    .filter(|place| place % ZONES == zone)
                    .map(instance)
            };
            let holders: Vec<InstanceId> = of_zone()
                .filter(|member| ranking.is_holder(member, &id))
                .collect();
            assert_eq!(holders.len(), 1);
            for asker in of_zone().filter(|asker| *asker != holders[0]) {
                let order = ranking.order(&asker, &id);
                assert_eq!(order[0], holders[0]);
                // The other instances of the zone, and one of each other zone.
                assert_eq!(order.len(), of_zone().count() - 1 + ZONES - 1);
            }
        }
    }
}

#[test]
fn instances_of_a_small_fleet_hold_everywhere() {
    let mut ranking = HolderRanking::new(HolderSettings::default());
    ranking.set_members(fleet().into_iter().take(8).collect());
    assert!((0..8).all(|place| ranking.is_holder(&instance(place), &organisation())));
}

/// A holder that has tokens, and an instance of its zone that has none.
struct Pair {
    rows: StoreRows,
    place: usize,
    holder: GrantBook,
    asker: GrantBook,
}

impl Pair {
    fn start() -> Self {
        let id = organisation();
        let mut rows = StoreRows::new(FLEET);
        let mut all = books(HolderSettings::default());
        let place = (0..FLEET)
            .find(|place| all[*place].is_holder(&id, at(0)))
            .expect("a holder");
        let other = (place + ZONES) % FLEET / ZONES * ZONES + place % ZONES;
        let asker_place = if other == place { place % ZONES } else { other };
        let mut asker = all[asker_place].clone();
        let holder = &mut all[place];
        rows.begin(place, holder, at(100));
        rows.keep(place, holder, at(200));
        rows.begin_lines(asker_place, &mut asker, at(100));
        Self {
            rows,
            place,
            holder: holder.clone(),
            asker,
        }
    }

    /// Asks for one request and reserves it.
    fn request(&mut self, now: ClockTime) -> bool {
        let id = organisation();
        let ask = self.asker.loan_ask(&id, REQUEST, now);
        assert_eq!(ask.scope, LoanScope::Share);
        let missing = self.holder.lend_later(&id, ask, now).expect("tokens");
        self.holder.wait(&id, missing, true);
        self.rows.keep(self.place, &mut self.holder, now);
        self.holder.wait(&id, missing, false);
        let answer = self.holder.lend(&id, ask, now);
        let lender = self.holder.lender_id();
        self.asker.take_loan(&id, lender, answer.tokens, now);
        let reserved = self.asker.reserve(&id, REQUEST, now);
        reserved == ReserveAnswer::GrantedLoan(REQUEST)
    }
}

#[test]
fn what_a_request_does_not_spend_goes_back_to_its_lender_once() {
    let id = organisation();
    let mut pair = Pair::start();
    let now = at(300);
    let before = pair.holder.facts(&id, now).used;
    assert!(pair.request(now));
    assert_eq!(pair.holder.facts(&id, now).used, before + REQUEST);
    pair.asker.settle_loan(&id, REQUEST, REQUEST, SPENT);
    assert!(pair.asker.due_returns(now).is_empty());
    let later = at(1_000);
    let due = pair.asker.due_returns(later);
    assert_eq!(due.len(), 1);
    assert_eq!((due[0].unspent, due[0].spent), (REQUEST - SPENT, SPENT));
    assert!(pair.holder.take_return(&due[0]));
    assert_eq!(pair.holder.facts(&id, later).used, before + SPENT);
    // It is told once, and told twice it changes nothing: all is accounted for.
    assert!(pair.asker.due_returns(at(2_000)).is_empty());
    assert!(pair.holder.take_return(&due[0]));
    assert_eq!(pair.holder.facts(&id, later).used, before + SPENT);
    // What went back is not the asker's any more.
    assert_ne!(
        pair.asker.reserve(&id, REQUEST - SPENT, later),
        ReserveAnswer::GrantedLoan(REQUEST - SPENT)
    );
}

#[test]
fn a_process_takes_nothing_back_that_the_one_before_it_lent() {
    let id = organisation();
    let mut pair = Pair::start();
    let now = at(300);
    assert!(pair.request(now));
    pair.asker.settle_loan(&id, REQUEST, REQUEST, SPENT);
    let due = pair.asker.due_returns(at(1_000));
    let lender = &due[0].lender;
    let settings = BookSettings::default();
    let mut successor =
        GrantBook::new(lender.instance.clone(), lender.nonce + 1, at(900), settings);
    successor.set_paid(&id, PAID, 1);
    assert!(!successor.take_return(&due[0]));
    assert_eq!(successor.facts(&id, at(1_000)).used, 0);
}

#[test]
fn a_wrong_account_gives_back_no_more_than_was_lent() {
    let id = organisation();
    let mut pair = Pair::start();
    let now = at(300);
    let before = pair.holder.facts(&id, now).used;
    assert!(pair.request(now));
    let wrong = LoanReturn {
        lender: pair.holder.lender_id(),
        organisation: id.clone(),
        unspent: u64::MAX,
        spent: 0,
    };
    assert!(pair.holder.take_return(&wrong));
    assert_eq!(pair.holder.facts(&id, now).used, before);
}

#[test]
fn an_instance_that_is_asked_in_a_holders_place_becomes_one_for_a_while() {
    let id = organisation();
    let mut pair = Pair::start();
    let ask = LoanAsk {
        needed: REQUEST,
        wanted: REQUEST,
        scope: LoanScope::Share,
    };
    let now = at(300);
    assert!(!pair.asker.is_holder(&id, now));
    assert_eq!(pair.asker.lend(&id, ask, now).tokens, 0);
    assert!(pair.asker.is_holder(&id, now));
    // It waits for the store, and then has tokens to lend.
    let missing = pair.asker.lend_later(&id, ask, now).expect("worth a wait");
    pair.asker.wait(&id, missing, true);
    pair.rows.keep(0, &mut pair.asker, now);
    pair.asker.wait(&id, missing, false);
    assert_eq!(pair.asker.lend(&id, ask, now).tokens, REQUEST);
    // Asked no more, it gives back what it has left.
    let later = at(60_000);
    assert!(!pair.asker.is_holder(&id, later));
    pair.rows.keep(0, &mut pair.asker, later);
    let facts = pair.asker.facts(&id, later);
    assert_eq!(facts.grant, facts.used);
}
