//! Slot holder and witness: time of a request by budgets and by remembered
//! identities, bytes of each, time of a tick, and a handover's size.

use std::time::Duration;

use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::SealRequest;
use guavawell_core::budget::SlotLedger;
use guavawell_core::budget::SlotWitness;
use guavawell_core::budget::WitnessEvent;
use guavawell_core::budget::WitnessRecord;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;

use crate::measure::bytes_of;
use crate::measure::micros_each;
use crate::measure::time_of;
use crate::rig::SlotRig;
use crate::rig::identity;

/// Budgets of one slot; 5,469 is 700,000 over 128 shards.
const BUDGETS: [usize; 4] = [10, 1_000, 5_469, 100_000];
/// Identities that one slot remembers; 3,100 requests a second for 900 s
/// over 896 slots are 3,114.
const IDENTITIES: [usize; 4] = [100, 3_114, 30_000, 100_000];
/// Requests measured in each row.
const REQUESTS: usize = 20_000;
/// Requests between two ticks.
const CHUNK: usize = 500;
/// Ticks measured in each row.
const TICKS: usize = 200;
/// Ticks before those that are measured.
const SETTLING: usize = 60;
/// The driver's time between two ticks.
const TICK: ClockSpan = ClockSpan::from_millis(25);
/// Request numbers of this and more are not used for opening budgets.
const FIRST_REQUEST: u64 = 1 << 40;

pub fn run() {
    println!("budgets  bytes each  reserve+settle us  idle tick us  seal us  stray release us");
    for budgets in BUDGETS {
        by_budgets(budgets);
    }
    println!("identities  bytes each  reserve+settle us  witness us a request");
    for identities in IDENTITIES {
        by_identities(identities);
    }
    handovers();
}

fn settings(retained: usize) -> HolderSettings {
    HolderSettings {
        retained_most: retained,
        retention: ClockSpan::from_millis(u64::MAX / 4),
        ..HolderSettings::default()
    }
}

fn by_budgets(budgets: usize) {
    let mut rig = SlotRig::new(budgets, settings(CHUNK));
    let opened = bytes_of(|| rig.open_all());
    rig.tick(TICK);
    let mut time = Duration::ZERO;
    for chunk in 0..REQUESTS / CHUNK {
        time += time_of(|| run_chunk(&mut rig, chunk, budgets));
        rig.tick(TICK);
    }
    // A second and more, so that all budgets rest.
    (0..SETTLING).for_each(|_| rig.tick(TICK));
    let ticks = time_of(|| (0..TICKS).for_each(|_| rig.tick(TICK)));
    let (seal, release) = strays(&mut rig);
    println!(
        "{budgets:>7}  {:>10.0}  {:>17.2}  {:>12.1}  {seal:>7.2}  {release:>16.2}",
        opened as f64 / budgets as f64,
        micros_each(time, REQUESTS),
        micros_each(ticks, TICKS),
    );
}

fn run_chunk(rig: &mut SlotRig, chunk: usize, budgets: usize) {
    for number in chunk * CHUNK..(chunk + 1) * CHUNK {
        rig.request(FIRST_REQUEST + number as u64, number * 7_919 % budgets);
    }
}

/// Microseconds of a seal, and of a release of an unknown attempt.
fn strays(rig: &mut SlotRig) -> (f64, f64) {
    let first = 2 * FIRST_REQUEST;
    let seals = time_of(|| {
        for number in 0..CHUNK {
            let identity = identity(first + number as u64, 0);
            let ask = rig.next_ask();
            rig.tell(HolderEvent::Seal(ask, SealRequest { identity }));
        }
    });
    let releases = time_of(|| {
        for number in 0..CHUNK {
            let request = 2 * first + number as u64;
            let release = ReleaseRequest {
                identity: identity(request, 0),
                attempt: AttemptId::new(u128::from(request)),
                before: None,
            };
            let ask = rig.next_ask();
            rig.tell(HolderEvent::Release(ask, release));
        }
    });
    (micros_each(seals, CHUNK), micros_each(releases, CHUNK))
}

fn by_identities(identities: usize) {
    let mut rig = SlotRig::new(10, settings(identities));
    rig.open_all();
    let filled = bytes_of(|| {
        for number in 0..identities {
            rig.request(number as u64, number % 10);
        }
    });
    rig.add_witness();
    let mut witness = rig.witness.clone();
    rig.kept = Some(Vec::new());
    let both = time_of(|| {
        for number in 0..CHUNK {
            rig.request(FIRST_REQUEST + number as u64, number % 10);
        }
    });
    let records = rig.kept.take().unwrap_or_default();
    let alone = time_of(|| replay(&mut witness, records, &rig));
    println!(
        "{identities:>10}  {:>10.0}  {:>17.2}  {:>20.2}",
        filled as f64 / identities as f64,
        micros_each(both.saturating_sub(alone), CHUNK),
        micros_each(alone, CHUNK),
    );
}

fn replay(witness: &mut SlotWitness, records: Vec<WitnessRecord>, rig: &SlotRig) {
    let mut effects = Vec::new();
    for record in records {
        witness.handle(WitnessEvent::Record(record), rig.now, &mut effects);
        effects.clear();
    }
}

/// Size and time of a handover at full size.
fn handovers() {
    println!(
        "handover: budgets  identities  bytes  encode ms  decode ms  witness bytes on the heap"
    );
    for (budgets, identities) in [(0, 3_114), (5_469, 0), (5_469, 3_114), (5_469, 100_000)] {
        let mut rig = SlotRig::new(budgets.max(1), settings(identities));
        if budgets > 0 {
            rig.open_all();
        }
        for number in 0..identities {
            rig.request(FIRST_REQUEST + number as u64, number % budgets.max(1));
        }
        let mut text = Vec::new();
        let encode = time_of(|| {
            text = serde_json::to_vec(rig.holder.ledger()).expect("a ledger has a JSON form");
        });
        let mut decoded = None;
        let decode = time_of(|| decoded = serde_json::from_slice(&text).ok());
        let ledger: SlotLedger = decoded.expect("it reads back");
        let mut copy = None;
        let heap = bytes_of(|| copy = Some(ledger.clone()));
        drop(copy);
        println!(
            "          {budgets:>7}  {identities:>10}  {:>8}  {:>8.1}  {:>8.1}  {:>10}",
            text.len(),
            encode.as_secs_f64() * 1e3,
            decode.as_secs_f64() * 1e3,
            heap,
        );
    }
}
