//! An attempt that two tenures reserved: the first grant froze whole when the
//! slot was begun anew, and a late copy of its ask was granted there too.
//!
//! Guards against one charge that two holders count, each of which believes
//! that it alone knows of it, and against a first grant that stays frozen
//! because its holder never hears that the attempt was charged elsewhere.

use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::ReserveGrant;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::TokenPool;
use guavawell_core::id::TokenCount;

use super::rig::SeatPair;
use super::rig::charged;

/// The request that both tenures reserve.
const REQUEST: u32 = 1;
/// What its attempt used.
const USED: u64 = 60;

/// Settings without a float, so that nothing freezes but a whole grant.
fn no_float() -> HolderSettings {
    HolderSettings {
        float_percent: 0,
        ..HolderSettings::default()
    }
}

/// An attempt that both routers have reserved.
struct TwiceReserved {
    pair: SeatPair,
    first: ReserveGrant,
    late: ReserveGrant,
}

impl TwiceReserved {
    /// The first router grants the attempt; the second one begins the slot anew
    /// and grants a late copy of the ask.
    fn start(settings: &HolderSettings) -> Self {
        let mut pair = SeatPair::start(settings);
        let first = pair.reserve(0, REQUEST);
        pair.seize(1);
        pair.learn_row(0);
        let late = pair.reserve(1, REQUEST);
        assert_ne!(late.tenure, first.tenure);
        Self { pair, first, late }
    }

    /// The second router hands the slot back to the first one.
    fn hand_back(&mut self) {
        self.pair.entrust(1);
        self.pair.hand_over(1);
        self.pair.tick(0);
    }

    /// Charges the attempt by the first grant until it is charged for good.
    fn charge(&mut self) -> Option<SettleAnswer> {
        self.pair.settle_through(REQUEST, &self.first, USED)
    }

    /// Checks that the budget's row has the use once, and nothing frozen.
    fn assert_counted_once(&mut self) {
        self.pair.quiesce();
        assert_eq!(self.pair.budget.settled, TokenCount::new(USED));
        assert_eq!(self.pair.frozen(), TokenCount::ZERO);
    }
}

#[test]
fn a_charge_at_a_router_that_holds_the_slot_again_is_counted_once() {
    for settings in [no_float(), HolderSettings::default()] {
        let mut attempt = TwiceReserved::start(&settings);
        attempt.hand_back();
        assert_eq!(attempt.charge(), Some(charged(USED)));
        attempt.assert_counted_once();
    }
}

/// The router repeats the charge, as its first answer was lost.
#[test]
fn a_charge_that_is_repeated_after_the_slot_came_back_is_counted_once() {
    let mut attempt = TwiceReserved::start(&no_float());
    assert_eq!(attempt.charge(), Some(charged(USED)));
    attempt.hand_back();
    assert_eq!(attempt.charge(), Some(charged(USED)));
    attempt.assert_counted_once();
}

/// As above, where the first holder does not hear of the first charge.
#[test]
fn a_repeated_charge_is_counted_once_where_the_first_holder_missed_it() {
    let mut attempt = TwiceReserved::start(&no_float());
    attempt.pair.is_giving_back = false;
    assert_eq!(attempt.charge(), Some(charged(USED)));
    attempt.hand_back();
    assert_eq!(attempt.charge(), Some(charged(USED)));
    attempt.assert_counted_once();
}

#[test]
fn a_charge_at_a_successor_frees_the_first_grant() {
    let mut attempt = TwiceReserved::start(&no_float());
    assert_eq!(attempt.charge(), Some(charged(USED)));
    attempt.assert_counted_once();
}

/// The charge names the successor's grant, so that only the seat of the first
/// router knows that two of its tenures have reserved the attempt.
#[test]
fn a_charge_by_the_late_grant_frees_the_first_one() {
    let mut attempt = TwiceReserved::start(&no_float());
    attempt.hand_back();
    let late = attempt.late.clone();
    let answer = attempt.pair.settle_through(REQUEST, &late, USED);
    assert_eq!(answer, Some(charged(USED)));
    attempt.assert_counted_once();
}

/// The successor's witness was silent when the late copy came.
#[test]
fn a_charge_is_counted_once_where_the_late_grant_is_from_the_float() {
    let mut pair = SeatPair::start(&HolderSettings::default());
    let first = pair.reserve(0, REQUEST);
    pair.seize(1);
    pair.learn_row(0);
    pair.run(1, 2, 0);
    pair.entrust(1);
    pair.part(1);
    let late = pair.reserve(1, REQUEST);
    pair.is_parted = false;
    pair.pass_report(1);
    assert_eq!(late.pool, TokenPool::Float);
    let mut attempt = TwiceReserved { pair, first, late };
    assert_eq!(attempt.charge(), Some(charged(USED)));
    attempt.assert_counted_once();
}

/// The first holder keeps its reservation until the charge is safe: here the
/// witness has it only after it was silent.
#[test]
fn a_charge_that_waits_for_its_witness_is_counted_once() {
    let mut attempt = TwiceReserved::start(&no_float());
    attempt.hand_back();
    attempt.pair.entrust(0);
    attempt.pair.part(0);
    let first = attempt.first.clone();
    let pending = attempt.pair.settle(0, REQUEST, &first, USED);
    assert!(
        matches!(pending, Some(SettleAnswer::Pending { .. })),
        "{pending:?}"
    );
    attempt.pair.pass_report(0);
    assert!(attempt.pair.frozen() > TokenCount::ZERO, "freed too early");
    attempt.pair.is_parted = false;
    assert_eq!(attempt.charge(), Some(charged(USED)));
    attempt.assert_counted_once();
}

/// The router that charges takes the first router for the holder still.
#[test]
fn a_charge_that_reaches_the_first_holder_before_its_successor_is_counted_once() {
    let mut attempt = TwiceReserved::start(&no_float());
    let first = attempt.first.clone();
    let answer = attempt.pair.settle(0, REQUEST, &first, USED);
    assert!(
        matches!(answer, Some(SettleAnswer::NotHolder { .. })),
        "{answer:?}"
    );
    assert_eq!(attempt.charge(), Some(charged(USED)));
    attempt.assert_counted_once();
}

/// As above, where the first holder has not heard yet that the slot was begun anew:
/// it records the charge, and waits for the witness that was lost.
#[test]
fn a_charge_that_a_holder_records_after_its_loss_is_counted_once() {
    let mut pair = SeatPair::start(&no_float());
    let first = pair.reserve(0, REQUEST);
    pair.seize(1);
    let late = pair.reserve(1, REQUEST);
    let mut attempt = TwiceReserved { pair, first, late };
    let first = attempt.first.clone();
    attempt.pair.is_parted = true;
    assert_eq!(attempt.pair.settle(0, REQUEST, &first, USED), None);
    attempt.pair.learn_row(0);
    attempt.pair.is_parted = false;
    assert_eq!(attempt.charge(), Some(charged(USED)));
    attempt.assert_counted_once();
}
