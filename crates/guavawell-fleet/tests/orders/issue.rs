//! One order: races, lost answers, pauses, crashes, late copies.

use guavawell_core::order::IssueEffect;
use guavawell_core::order::IssueOutcome;
use guavawell_core::order::OrderKind;
use guavawell_fleet::engine::EngineError;
use guavawell_fleet::order::OrderCounts;
use guavawell_fleet::order::OrderRun;
use guavawell_fleet::order::RunStep;
use guavawell_standin::fault::FaultChange;

use crate::support::OrderTest;
use crate::support::applied;
use crate::support::held;
use crate::support::load;
use crate::support::send_late;
use crate::support::unload;

/// Takes steps until the next one sends.
fn step_to_send(run: &mut OrderRun) {
    while !matches!(run.next(), IssueEffect::Send(..)) {
        let step = smol::block_on(run.step());
        assert!(!matches!(step, RunStep::Ended(_)), "{step:?}");
    }
}

#[test]
fn an_order_costs_two_row_writes_and_one_send() {
    for fences in [true, false] {
        let test = OrderTest::start();
        let engine = OrderTest::engine(fences, 0);
        let mut loading = test.order("r1", &engine, load("2"), false);
        let end = test.finish(&mut loading);
        assert_eq!(end, RunStep::Ended(IssueOutcome::Applied));
        let counts = OrderCounts {
            row_reads: 3,
            row_writes: 2,
            engine_reads: 3,
            sends: 1,
        };
        assert_eq!(loading.counts(), counts);
        // Two more for the permit.
        assert_eq!(test.platform.counts().writes, 4);
        test.apply(test.order("r1", &engine, unload("1"), false));
        assert_eq!(test.platform.counts().writes, 6);
        assert_eq!(held(&engine), ["m:2"]);
        test.apply(test.order("r1", &engine, OrderKind::Role("prefill".into()), false));
        assert_eq!(&*engine.load().role, "prefill");
        assert!(test.row().done);
        assert_eq!(test.row().fence.get(), 3);
    }
}

#[test]
fn of_two_racing_issuers_one_sends_wherever_the_second_begins() {
    for begin in 0..16 {
        let test = OrderTest::start();
        let engine = OrderTest::engine(begin % 2 == 0, 0);
        let mut first = test.order("r1", &engine, load("2"), false);
        let mut second = test.order("r2", &engine, load("2"), false);
        let mut steps = 0;
        let mut ends = [RunStep::Going; 2];
        while ends.iter().any(|end| !matches!(end, RunStep::Ended(_))) {
            if !matches!(ends[0], RunStep::Ended(_)) {
                ends[0] = smol::block_on(first.step());
            }
            if steps >= begin && !matches!(ends[1], RunStep::Ended(_)) {
                ends[1] = smol::block_on(second.step());
            }
            steps += 1;
        }
        assert!(ends.contains(&RunStep::Ended(IssueOutcome::Applied)));
        assert_eq!(first.counts().sends + second.counts().sends, 1, "{begin}");
        assert_eq!(applied(&engine).len(), 1, "{begin}");
    }
}

#[test]
fn an_answer_lost_or_a_write_refused_at_any_step_repeats_nothing() {
    let lose = FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    };
    let refuse = FaultChange {
        refuse_writes: Some(1),
        ..FaultChange::default()
    };
    for fault in [lose, refuse] {
        for place in 0..11 {
            let test = OrderTest::start();
            let engine = OrderTest::engine(false, 0);
            let mut run = test.order("r1", &engine, load("2"), false);
            for _ in 0..place {
                let step = smol::block_on(run.step());
                assert!(!matches!(step, RunStep::Ended(_)), "{place}");
            }
            test.platform.set_faults(fault);
            let end = test.finish(&mut run);
            assert_eq!(end, RunStep::Ended(IssueOutcome::Applied), "{place}");
            assert_eq!(applied(&engine), ["e-1"], "{place}");
            assert_eq!(test.row().fence.get(), 1, "{place}");
            assert!(test.row().done, "{place}");
        }
    }
}

#[test]
fn an_answer_lost_at_the_engine_is_read_back_and_the_order_not_sent_again() {
    for fences in [true, false] {
        let test = OrderTest::start();
        let engine = OrderTest::engine(fences, 30);
        let lose = FaultChange {
            lose_answers: Some(1),
            ..FaultChange::default()
        };
        smol::block_on(engine.set_faults(lose)).expect("the engine listens");
        let mut run = test.order("r1", &engine, load("2"), false);
        let end = test.finish(&mut run);
        assert_eq!(end, RunStep::Ended(IssueOutcome::Applied));
        assert_eq!(run.counts().sends, 1);
        assert_eq!(applied(&engine).len(), 1);
    }
}

#[test]
fn an_issuer_paused_before_its_send_undoes_no_newer_order() {
    for fences in [true, false] {
        let test = OrderTest::start();
        let engine = OrderTest::engine(fences, 0);
        let mut paused = test.order("r1", &engine, load("2"), false);
        step_to_send(&mut paused);
        test.pass(60_000);
        test.apply(test.order("r2", &engine, load("2"), true));
        test.apply(test.order("r2", &engine, unload("2"), false));
        let end = test.finish(&mut paused);
        assert_eq!(end, RunStep::Ended(IssueOutcome::Superseded));
        assert_eq!(paused.counts().sends, 0);
        assert_eq!(held(&engine), ["m:1"]);
    }
}

#[test]
fn an_issuer_paused_after_its_send_does_not_send_again() {
    let test = OrderTest::start();
    let engine = OrderTest::engine(false, 0);
    let mut paused = test.order("r1", &engine, load("2"), false);
    step_to_send(&mut paused);
    let step = smol::block_on(paused.step());
    assert!(matches!(step, RunStep::Waiting(_)), "{step:?}");
    test.apply(test.order("r2", &engine, unload("2"), true));
    let end = test.finish(&mut paused);
    assert_eq!(end, RunStep::Ended(IssueOutcome::Superseded));
    assert_eq!(held(&engine), ["m:1"]);
    assert_eq!(applied(&engine).len(), 2);
}

#[test]
fn a_late_copy_is_refused_or_ordered_back_under_a_higher_number() {
    for fences in [true, false] {
        let test = OrderTest::start();
        let engine = OrderTest::engine(fences, 0);
        test.apply(test.order("r1", &engine, load("2"), false));
        test.apply(test.order("r1", &engine, unload("2"), false));
        let late = send_late(&engine, 1, load("2"));
        if fences {
            assert!(matches!(
                late,
                Err(EngineError::Rejected { status: 409, .. })
            ));
            assert_eq!(held(&engine), ["m:1"]);
            continue;
        }
        assert_eq!(held(&engine), ["m:1", "m:2"]);
        test.apply(test.order("r1", &engine, unload("2"), false));
        assert_eq!(held(&engine), ["m:1"]);
        assert_eq!(test.row().fence.get(), 3);
    }
}

#[test]
fn what_an_engine_forgot_in_a_crash_is_loaded_again() {
    for fences in [true, false] {
        let test = OrderTest::start();
        let engine = OrderTest::engine(fences, 0);
        test.apply(test.order("r1", &engine, load("2"), false));
        for crash in [true, false] {
            let change = FaultChange {
                crash: Some(crash),
                ..FaultChange::default()
            };
            smol::block_on(engine.set_faults(change)).expect("its address is free");
        }
        assert_eq!(held(&engine), ["m:1"]);
        // Until the first load's permit no longer counts.
        test.pass(10_000);
        test.apply(test.order("r1", &engine, load("2"), false));
        assert_eq!(held(&engine), ["m:1", "m:2"]);
        assert_eq!(test.row().fence.get(), 2);
    }
}

#[test]
fn an_engine_that_is_down_puts_the_order_off_and_a_later_try_goes_on() {
    let test = OrderTest::start();
    let engine = OrderTest::engine(true, 0);
    let outage = |outage| FaultChange {
        outage: Some(outage),
        ..FaultChange::default()
    };
    smol::block_on(engine.set_faults(outage(true))).expect("the engine listens");
    let mut run = test.order("r1", &engine, load("2"), false);
    let end = test.finish(&mut run);
    assert!(matches!(end, RunStep::PutOff(_)), "{end:?}");
    assert!(!test.row().done);
    smol::block_on(engine.set_faults(outage(false))).expect("the engine listens");
    let mut other = test.order("r2", &engine, load("2"), false);
    let end = test.finish(&mut other);
    assert_eq!(end, RunStep::Ended(IssueOutcome::HeldByOther));
    test.apply(test.order("r1", &engine, load("2"), false));
    assert_eq!(test.row().fence.get(), 1, "the same order goes on");
}
