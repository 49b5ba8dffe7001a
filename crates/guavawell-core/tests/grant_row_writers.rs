//! An organisation's requests come to many instances of a large fleet evenly, and each
//! gets enough of them to hold tokens.
//!
//! If each of them did, they would all write one row, and each write that is applied
//! would cause those of the others to be rejected.

mod grant_rows;

use guavawell_core::clock::ClockTime;
use guavawell_core::grant::DemandSettings;
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::GrantLedger;
use guavawell_core::grant::LedgerSettings;
use guavawell_core::grant::ReserveAnswer;
use guavawell_core::id::InstanceId;

use grant_rows::StoreRows;
use grant_rows::at;
use grant_rows::organisation;

/// Instances of the fleet, in three availability zones.
const FLEET: usize = 90;
/// Tokens paid for.
const PAID: u64 = 1_000_000_000;
/// Tokens of a request.
const TOKENS: u64 = 2_000;
/// Requests per second at each instance that gets any.
const EACH_PER_SECOND: u64 = 30;
/// Time that is replayed, in milliseconds.
const END: u64 = 9_000;

fn instance(place: usize) -> InstanceId {
    format!("i{place}").parse().expect("a valid id")
}

/// The fleet after some seconds in which the first `busy` instances got requests.
struct Replay {
    rows: StoreRows,
    ledgers: Vec<GrantLedger>,
}

impl Replay {
    fn run(busy: usize, follows_callers: bool) -> Self {
        let demand = DemandSettings {
            follows_callers,
            ..DemandSettings::default()
        };
        let settings = LedgerSettings {
            instances: FLEET,
            demand,
            ..LedgerSettings::default()
        };
        let members: Vec<FleetMember> = (0..FLEET).map(member).collect();
        let mut rows = StoreRows::new(FLEET);
        let begin = |place: usize| {
            let mut ledger = GrantLedger::new(instance(place), place as u64 + 1, at(0), settings);
            ledger.set_fleet(members.clone());
            ledger.set_paid(&organisation(), PAID, 1);
            rows.begin_boot(place, &mut ledger, at(0));
            ledger
        };
        let ledgers = (0..FLEET).map(begin).collect();
        let mut replay = Self { rows, ledgers };
        let step = 1_000 / EACH_PER_SECOND;
        let times = (0..END / step).map(|count| count * step);
        times.for_each(|millis| replay.step(busy, at(millis)));
        replay
    }

    /// One request at each busy instance, and a check of its rows.
    fn step(&mut self, busy: usize, now: ClockTime) {
        let id = organisation();
        for place in 0..busy {
            let ledger = &mut self.ledgers[place];
            let answer = ledger.reserve(&id, TOKENS, now);
            ledger.count_request(&id, TOKENS, answer, now);
            if answer == ReserveAnswer::Granted {
                ledger.settle(&id, TOKENS, TOKENS);
            }
            if ledger.maintains(&id, now) {
                self.rows.sync_rows(place, ledger, now);
            } else {
                self.rows.read_budget(ledger);
            }
        }
    }

    fn holders(&self, now: ClockTime) -> usize {
        let holds = |ledger: &&GrantLedger| ledger.is_holder(&organisation(), now);
        self.ledgers.iter().filter(holds).count()
    }
}

fn member(place: usize) -> FleetMember {
    FleetMember {
        instance: instance(place),
        zone: format!("z{}", place % 3).parse().expect("a valid id"),
    }
}

#[test]
fn evenly_spread_requests_leave_the_holders_by_rank() {
    let by_rank = Replay::run(40, false).holders(at(END));
    let replay = Replay::run(40, true);
    let most = usize::try_from(DemandSettings::default().max_holders_for_callers);
    let most = by_rank + most.expect("a small number");
    let holders = replay.holders(at(END));
    assert!(holders <= most, "{holders} holders, {by_rank} by rank");
}

#[test]
fn a_few_busy_instances_hold_tokens() {
    let replay = Replay::run(4, true);
    let busy = replay.ledgers[..4].iter();
    let holds = |ledger: &&GrantLedger| ledger.is_holder(&organisation(), at(END));
    assert_eq!(busy.filter(holds).count(), 4);
}
