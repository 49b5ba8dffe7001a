//! Which instances hold an organisation's tokens in a large fleet, and how many
//! writes that takes.
//!
//! 95 instances in 6 availability zones lose power and start again at the same
//! moment. If every instance held tokens of every organisation, each would
//! write the same row twice, and most of these writes would be rejected because
//! another one was applied first.

mod grant_rows;

use guavawell_core::clock::ClockTime;
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::GrantLedger;
use guavawell_core::grant::HolderRanking;
use guavawell_core::grant::HolderSettings;
use guavawell_core::grant::LedgerSettings;
use guavawell_core::grant::LoanRequest;
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
/// Tokens that a request may spend.
const REQUEST: u64 = 4_000;
/// Tokens that a request spends.
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

fn ledgers(holders: HolderSettings) -> Vec<GrantLedger> {
    let settings = LedgerSettings {
        instances: FLEET,
        holders,
        ..LedgerSettings::default()
    };
    let ledgers = (0..FLEET).map(|place| {
        let mut ledger = GrantLedger::new(instance(place), place as u64 + 1, at(0), settings);
        ledger.set_fleet(fleet());
        ledger.set_paid(&organisation(), PAID, 1);
        ledger
    });
    ledgers.collect()
}

/// All instances write at once, in rounds. The first write of a round is
/// applied, and the others are rejected and read the row. Returns the number of
/// rejected writes.
fn start_together(ledgers: &mut [GrantLedger]) -> usize {
    let id = organisation();
    let mut rows = StoreRows::new(FLEET);
    let now = at(100);
    for (place, ledger) in ledgers.iter_mut().enumerate() {
        rows.begin_limits(place, ledger, now);
    }
    let mut conflicts = 0;
    loop {
        for ledger in ledgers.iter_mut() {
            if ledger.maintains(&id, now) {
                rows.read_budget(ledger);
            }
        }
        let due: Vec<usize> = (0..FLEET)
            .filter(|place| ledgers[*place].next_budget(&id, now).is_some())
            .collect();
        let Some(first) = due.first() else {
            return conflicts;
        };
        conflicts += due.len() - 1;
        rows.sync_rows(*first, &mut ledgers[*first], now);
    }
}

#[test]
fn a_fleet_that_starts_together_writes_each_row_a_few_times() {
    let all_hold = HolderSettings {
        all_hold_up_to: FLEET,
        ..HolderSettings::default()
    };
    let mut all = ledgers(all_hold);
    let mut few = ledgers(HolderSettings::default());
    let (conflicts_of_all, conflicts_of_holders) =
        (start_together(&mut all), start_together(&mut few));
    println!(
        "rejected writes of one row: {conflicts_of_all} by all instances, {conflicts_of_holders} by its holders"
    );
    assert!(conflicts_of_all > FLEET * FLEET / 3);
    // The holder of each zone may conflict once with each of the others.
    assert!(conflicts_of_holders <= ZONES * ZONES);
    let id = organisation();
    assert_eq!(
        few.iter().filter(|ledger| ledger.granted(&id) > 0).count(),
        ZONES
    );
}

#[test]
fn every_zone_has_one_holder_and_all_instances_agree() {
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
            for borrower in of_zone().filter(|borrower| *borrower != holders[0]) {
                let order = ranking.order(&borrower, &id);
                assert_eq!(order[0], holders[0]);
                // All other instances of its zone, and one of each other zone.
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

/// A holder with tokens, and an instance of its availability zone without.
struct Pair {
    rows: StoreRows,
    place: usize,
    holder: GrantLedger,
    borrower: GrantLedger,
}

impl Pair {
    fn start() -> Self {
        let id = organisation();
        let mut rows = StoreRows::new(FLEET);
        let mut all = ledgers(HolderSettings::default());
        let place = (0..FLEET)
            .find(|place| all[*place].is_holder(&id, at(0)))
            .expect("a holder");
        let other = (place + ZONES) % FLEET / ZONES * ZONES + place % ZONES;
        let borrower_place = if other == place { place % ZONES } else { other };
        let mut borrower = all[borrower_place].clone();
        let holder = &mut all[place];
        rows.begin_boot(place, holder, at(100));
        rows.sync_rows(place, holder, at(200));
        rows.begin_limits(borrower_place, &mut borrower, at(100));
        Self {
            rows,
            place,
            holder: holder.clone(),
            borrower,
        }
    }

    /// Borrows the tokens of one request and reserves them.
    fn request(&mut self, now: ClockTime) -> bool {
        let id = organisation();
        let request = self.borrower.loan_request(&id, REQUEST, now);
        assert_eq!(request.scope, LoanScope::Share);
        let missing = self
            .holder
            .tokens_to_fetch(&id, request, now)
            .expect("tokens");
        self.holder.wait(&id, missing, true);
        self.rows.sync_rows(self.place, &mut self.holder, now);
        self.holder.wait(&id, missing, false);
        let answer = self.holder.lend(&id, request, now);
        let lender = self.holder.lender_id();
        self.borrower.receive_loan(&id, lender, answer.tokens, now);
        let reserved = self.borrower.reserve(&id, REQUEST, now);
        reserved == ReserveAnswer::GrantedLoan(REQUEST)
    }
}

#[test]
fn unspent_loan_tokens_return_to_the_lender_once() {
    let id = organisation();
    let mut pair = Pair::start();
    let now = at(300);
    let before = pair.holder.facts(&id, now).used;
    assert!(pair.request(now));
    assert_eq!(pair.holder.facts(&id, now).used, before + REQUEST);
    pair.borrower.settle_loan(&id, REQUEST, REQUEST, SPENT);
    assert!(pair.borrower.due_returns(now).is_empty());
    let later = at(1_000);
    let due = pair.borrower.due_returns(later);
    assert_eq!(due.len(), 1);
    assert_eq!((due[0].unspent, due[0].spent), (REQUEST - SPENT, SPENT));
    assert!(pair.holder.apply_return(&due[0]));
    assert_eq!(pair.holder.facts(&id, later).used, before + SPENT);
    // It is reported once. A repeated report changes nothing, since no loan is
    // outstanding.
    assert!(pair.borrower.due_returns(at(2_000)).is_empty());
    assert!(pair.holder.apply_return(&due[0]));
    assert_eq!(pair.holder.facts(&id, later).used, before + SPENT);
    // The borrower can no longer reserve returned tokens.
    assert_ne!(
        pair.borrower.reserve(&id, REQUEST - SPENT, later),
        ReserveAnswer::GrantedLoan(REQUEST - SPENT)
    );
}

#[test]
fn a_process_accepts_no_return_of_its_predecessors_loans() {
    let id = organisation();
    let mut pair = Pair::start();
    let now = at(300);
    assert!(pair.request(now));
    pair.borrower.settle_loan(&id, REQUEST, REQUEST, SPENT);
    let due = pair.borrower.due_returns(at(1_000));
    let lender = &due[0].lender;
    let settings = LedgerSettings::default();
    let mut successor =
        GrantLedger::new(lender.instance.clone(), lender.nonce + 1, at(900), settings);
    successor.set_paid(&id, PAID, 1);
    assert!(!successor.apply_return(&due[0]));
    assert_eq!(successor.facts(&id, at(1_000)).used, 0);
}

#[test]
fn a_wrong_loan_return_frees_no_more_than_was_lent() {
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
    assert!(pair.holder.apply_return(&wrong));
    assert_eq!(pair.holder.facts(&id, now).used, before);
}

#[test]
fn an_instance_asked_for_a_loan_holds_tokens_temporarily() {
    let id = organisation();
    let mut pair = Pair::start();
    let request = LoanRequest {
        needed: REQUEST,
        wanted: REQUEST,
        scope: LoanScope::Share,
    };
    let now = at(300);
    assert!(!pair.borrower.is_holder(&id, now));
    assert_eq!(pair.borrower.lend(&id, request, now).tokens, 0);
    assert!(pair.borrower.is_holder(&id, now));
    // After a write to the store, it has tokens to lend.
    let missing = pair
        .borrower
        .tokens_to_fetch(&id, request, now)
        .expect("tokens that nobody holds");
    pair.borrower.wait(&id, missing, true);
    pair.rows.sync_rows(0, &mut pair.borrower, now);
    pair.borrower.wait(&id, missing, false);
    assert_eq!(pair.borrower.lend(&id, request, now).tokens, REQUEST);
    // When it is no longer asked, it returns its unspent tokens.
    let later = at(60_000);
    assert!(!pair.borrower.is_holder(&id, later));
    pair.rows.sync_rows(0, &mut pair.borrower, later);
    let facts = pair.borrower.facts(&id, later);
    assert_eq!(facts.grant, facts.used);
}
