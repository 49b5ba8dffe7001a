//! Histories of reserve, settle, release and seal on real slot drivers, with a
//! holder killed or a witness lost on the way.

mod client;
mod float;
mod net;
mod rig;
mod spec;

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use guavawell_core::budget::ReleaseAnswer;
use guavawell_core::budget::SlotRow;
use guavawell_core::id::AttemptId;
use guavawell_core::id::InstanceId;
use todc_utils::Specification;

use crate::record::CallRecord;
use client::SlotClient;
use float::FloatSpec;
use rig::PAID;
use rig::STEADY;
use rig::SlotRig;
use spec::MoneyCall;
use spec::MoneySpec;

const SEEDS: u64 = 3;
const THREADS: usize = 4;
const REQUESTS: usize = 16;
/// Operations of one thread on one request.
const OPERATIONS: usize = 3;
/// A mix that leaves the attempt running.
const KEPT: u8 = 7;
/// Each such reply between routers is lost.
const LOSE_EVERY: u64 = 17;

/// Whom a run kills half-way.
#[derive(Clone, Copy)]
enum Victim {
    Nobody,
    Holder,
    Witness,
}

impl Victim {
    fn of(self, row: &SlotRow) -> Option<InstanceId> {
        let life = match self {
            Self::Nobody => None,
            Self::Holder => Some(&row.holder),
            Self::Witness => row.witness.as_ref(),
        };
        life.map(|life| life.instance.clone())
    }
}

/// One thread's calls: every request in turn, with a fixed seed for the mix.
fn run_thread(
    rig: &SlotRig,
    number: usize,
    seed: u64,
    histories: &[CallRecord<MoneyCall>],
    done: &AtomicUsize,
) {
    let mut random = fastrand::Rng::with_seed(seed * 100 + number as u64);
    for (request, history) in histories.iter().enumerate() {
        for operation in 0..OPERATIONS {
            let living = rig.living();
            let client = SlotClient {
                rig,
                router: living[random.usize(..living.len())],
                request,
                history,
            };
            let attempt = (request * THREADS + number) * OPERATIONS + operation + 1;
            match random.u8(..16) {
                0 => client.seal(),
                mix => client.reserve(AttemptId::new(attempt as u128), mix % 8),
            }
            done.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Runs the mix on a new rig, kills the victim half-way, and checks what was
/// answered.
fn run<S: Specification<Operation = MoneyCall>>(
    seed: u64,
    percent: u8,
    victim: Victim,
) -> Vec<CallRecord<MoneyCall>> {
    let rig = SlotRig::start(percent);
    rig.net.lose_every.store(LOSE_EVERY, Ordering::Relaxed);
    let histories: Vec<_> = (0..REQUESTS).map(|_| CallRecord::default()).collect();
    let done = AtomicUsize::new(0);
    thread::scope(|scope| {
        for number in 0..THREADS {
            let (rig, histories, done) = (&rig, &histories, &done);
            scope.spawn(move || run_thread(rig, number, seed, histories, done));
        }
        while done.load(Ordering::Relaxed) < REQUESTS * THREADS * OPERATIONS / 2 {
            thread::sleep(Duration::from_millis(1));
        }
        let row = rig.slot_row().expect("the slot's row");
        if let Some(instance) = victim.of(&row) {
            rig.kill(&instance);
        }
    });
    for (request, history) in histories.iter().enumerate() {
        let is_linearizable = history.is_linearizable::<S>();
        assert!(
            is_linearizable,
            "seed {seed}, request {request}: {history:?}"
        );
    }
    let row = rig.budget_row();
    assert!(row.is_balanced() && row.paid == PAID, "{row:?}");
    histories
}

fn run_all<S: Specification<Operation = MoneyCall>>(name: &str, percent: u8, victim: Victim) {
    let runs = (0..SEEDS).flat_map(|seed| run::<S>(seed, percent, victim));
    let histories: Vec<_> = runs.collect();
    let calls: usize = histories.iter().map(CallRecord::calls).sum();
    let count = |is_kind: fn(&MoneyCall) -> bool| -> usize {
        histories.iter().map(|history| history.count(is_kind)).sum()
    };
    let granted = count(|call| matches!(call, MoneyCall::Granted(_, false)));
    let floats = count(|call| matches!(call, MoneyCall::Granted(_, true)));
    let followed = count(|call| matches!(call, MoneyCall::Followed(_)));
    let released = count(|call| matches!(call, MoneyCall::Released(_)));
    let settled = count(|call| matches!(call, MoneyCall::Settled(_)));
    let unclear = count(MoneyCall::is_unclear);
    println!(
        "{name}: {calls} calls in {} histories: {granted} granted, {floats} from a float, \
         {followed} followed, {released} released, {settled} settled, {unclear} unclear",
        histories.len()
    );
    assert!(granted > 0 && followed > 0 && released > 0 && settled > 0);
}

#[test]
fn witnessed_money_is_linearizable() {
    run_all::<MoneySpec>("no fault", 0, Victim::Nobody);
}

#[test]
fn witnessed_money_is_linearizable_when_its_holder_dies() {
    run_all::<MoneySpec>("holder killed", 0, Victim::Holder);
}

#[test]
fn witnessed_money_is_linearizable_when_its_witness_dies() {
    run_all::<MoneySpec>("witness lost", 0, Victim::Witness);
}

#[test]
fn with_a_float_witnessed_money_keeps_its_rules_when_its_holder_dies() {
    run_all::<FloatSpec>("float, holder killed", 50, Victim::Holder);
}

#[test]
fn with_a_float_witnessed_money_keeps_its_rules_when_its_witness_dies() {
    run_all::<FloatSpec>("float, witness lost", 50, Victim::Witness);
}

/// A client that runs attempt 1 of request 0 at the holder.
fn run_first<'a>(rig: &'a SlotRig, history: &'a CallRecord<MoneyCall>) -> SlotClient<'a> {
    let row = rig.wait_for_witness();
    let client = SlotClient {
        rig,
        router: rig.router(&row.holder.instance),
        request: 0,
        history,
    };
    client.reserve(AttemptId::new(1), KEPT);
    client
}

/// Cuts the holder off from the others, lets `release` give attempt 1 back,
/// kills the holder, and reserves at its successor.
fn release_unheard(release: impl Fn(&SlotClient<'_>)) -> CallRecord<MoneyCall> {
    let rig = SlotRig::start(0);
    let history = CallRecord::default();
    let client = run_first(&rig, &history);
    let holder = &client.router.life.instance;
    rig.net.cut(holder);
    release(&client);
    rig.kill(holder);
    let next = SlotClient {
        router: rig.living()[0],
        ..client
    };
    next.reserve(AttemptId::new(2), KEPT);
    history
}

#[test]
fn a_release_that_the_witness_has_not_heard_is_not_answered() {
    let history = release_unheard(|client| {
        let answer = client.release_at(client.router, AttemptId::new(1));
        assert!(
            matches!(answer, Some(ReleaseAnswer::Pending { .. })),
            "{answer:?}"
        );
    });
    assert_eq!(
        history.count(|call| matches!(call, MoneyCall::Followed(_))),
        1
    );
    assert!(history.is_linearizable::<MoneySpec>());
}

#[test]
fn a_release_answered_too_early_is_caught() {
    let history = release_unheard(|client| {
        client.release_at(client.router, AttemptId::new(1));
        let call = client.history.call();
        client
            .history
            .answer(call, MoneyCall::Released(AttemptId::new(1)));
    });
    assert!(!history.is_linearizable::<MoneySpec>());
}

#[test]
fn a_second_holder_is_caught() {
    let (one, other) = (SlotRig::start(0), SlotRig::start(0));
    let history = CallRecord::default();
    run_first(&one, &history);
    assert!(history.is_linearizable::<MoneySpec>());
    let second = SlotClient {
        rig: &other,
        router: other.living()[0],
        request: 0,
        history: &history,
    };
    second.reserve(AttemptId::new(2), KEPT);
    assert!(!history.is_linearizable::<MoneySpec>());
    assert!(!history.is_linearizable::<FloatSpec>());
}

/// Guards against a slot whose witness answers and is given up for none, on the
/// word of gossip that a partition has left behind.
#[test]
fn a_witness_that_gossip_alone_holds_for_gone_is_not_given_up_for_none() {
    let rig = SlotRig::start(0);
    let row = rig.wait_steady();
    rig.hide_others(&row.holder.instance);
    thread::sleep(STEADY);
    assert_eq!(rig.slot_row(), Some(row));
}
