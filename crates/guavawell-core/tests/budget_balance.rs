//! Long partitions: even parts of a budget near its end, and a float that
//! covers a time.

mod budget_fleet;

use guavawell_core::budget::AskId;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveAsk;
use guavawell_core::budget::SettleAsk;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;

use budget_fleet::Fleet;

const ZONES: usize = 3;
const AMOUNT: TokenCount = TokenCount::new(1_000);

fn fleet(paid: u64, float_percent_most: u8) -> Fleet {
    let settings = HolderSettings {
        float_percent_most,
        ..HolderSettings::default()
    };
    let budget = ("m".parse().unwrap(), TokenCount::new(paid));
    let mut fleet = Fleet::new(ZONES, settings, &[budget], 1);
    fleet.change_witnesses();
    fleet
}

/// Asks once in a zone and charges everything; `false` if refused.
fn ask(fleet: &mut Fleet, zone: usize, request: u128) -> bool {
    let identity = RequestIdentity::mint("org".parse().unwrap(), request);
    let attempt = AttemptId::new(request);
    let reserve = ReserveAsk {
        identity: identity.clone(),
        attempt,
        budget: "m".parse().unwrap(),
        amount: AMOUNT,
        router: fleet.instances[0].life.clone(),
        idempotent: true,
        digest: RequestDigest::default(),
    };
    fleet.ask(zone, None, HolderEvent::Reserve(AskId::new(1), reserve));
    fleet.tick(ClockSpan::from_millis(1_000));
    let Some((_, HolderAnswer::Reserve(ReserveAnswer::Granted(grant)))) = fleet.answers.pop()
    else {
        return false;
    };
    let settle = SettleAsk {
        identity,
        attempt,
        grant: grant.clone(),
        actual: AMOUNT,
        backend: None,
    };
    let event = HolderEvent::Settle(AskId::new(1), settle);
    fleet.ask(zone, Some(grant.tenure), event);
    fleet.answers.clear();
    true
}

/// Each zone in turn asks once a second; the refusals.
fn load(fleet: &mut Fleet, from: u128, count: u128) -> usize {
    (from..from + count)
        .filter(|request| !ask(fleet, *request as usize % ZONES, *request))
        .count()
}

fn free(fleet: &Fleet) -> Vec<u64> {
    (0..ZONES).map(|zone| fleet.free(zone, "m").get()).collect()
}

#[test]
fn slots_near_the_end_hold_even_parts() {
    let mut fleet = fleet(300_000, 50);
    assert_eq!(load(&mut fleet, 0, 120), 0);
    let free = free(&fleet);
    let (least, most) = (free.iter().min().unwrap(), free.iter().max().unwrap());
    assert!(most - least <= least / 2, "uneven: {free:?}");
    // Apart, the zones use up what is theirs and no more.
    fleet.cut = vec![true; ZONES];
    let refused = load(&mut fleet, 120, 300);
    assert!((120..=300).contains(&refused), "{refused} refused");
    let row = fleet.row(&"m".parse().unwrap());
    assert!(row.is_balanced(), "{row:?}");
}

/// The use counts as less and less once nobody asks, so that the parts
/// change for some minutes.
#[test]
fn a_look_that_finds_nothing_writes_nothing() {
    let mut fleet = fleet(300_000, 50);
    load(&mut fleet, 0, 120);
    for _ in 0..1_200 {
        fleet.tick(ClockSpan::from_millis(1_000));
    }
    let writes = fleet.table_writes;
    for _ in 0..60 {
        fleet.tick(ClockSpan::from_millis(1_000));
    }
    assert_eq!(fleet.table_writes, writes);
}

#[test]
fn the_float_of_a_rich_budget_covers_the_time() {
    let mut fleet = fleet(30_000_000, 50);
    load(&mut fleet, 0, 180);
    fleet.cut = vec![true; ZONES];
    assert_eq!(load(&mut fleet, 180, 300), 0, "five minutes of six");
    let refused = load(&mut fleet, 480, 300);
    assert!(refused > 0, "the float is no more than its cover");
}
