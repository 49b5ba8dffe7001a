//! The weight store's rate over several routers.

use guavawell_core::order::IssueOutcome;
use guavawell_fleet::order::OrderRun;
use guavawell_fleet::order::RunStep;
use guavawell_standin::engine::Engine;
use guavawell_standin::fault::FaultChange;

use crate::support::OrderTest;
use crate::support::applied;
use crate::support::held;
use crate::support::load;
use crate::support::unload;

/// Steps until the order waits for its load, or ends.
fn begin(run: &mut OrderRun) -> RunStep {
    loop {
        match smol::block_on(run.step()) {
            RunStep::Going => {}
            step => return step,
        }
    }
}

#[test]
fn routers_share_one_rate_of_loads() {
    let test = OrderTest::start();
    let engines: Vec<Engine> = (0..3).map(|_| OrderTest::engine(false, 20)).collect();
    let order = |index: usize| {
        let name = format!("r{index}");
        let backend = format!("e{index}");
        test.order_at(&name, &backend, &engines[index], load("2"), false)
    };
    let mut first = order(0);
    assert!(matches!(begin(&mut first), RunStep::Waiting(_)));
    for (index, engine) in engines.iter().enumerate().skip(1) {
        let step = begin(&mut order(index));
        assert!(matches!(step, RunStep::PutOff(_)), "{step:?}");
        assert!(applied(engine).is_empty());
    }
    let end = test.finish(&mut first);
    assert_eq!(end, RunStep::Ended(IssueOutcome::Applied));
    // The load has ended, but its shortest time has not passed.
    assert!(matches!(begin(&mut order(1)), RunStep::PutOff(_)));
    test.pass(10_000);
    let mut second = order(1);
    assert!(matches!(begin(&mut second), RunStep::Waiting(_)));
    assert!(matches!(begin(&mut order(2)), RunStep::PutOff(_)));
    assert_eq!(
        test.finish(&mut second),
        RunStep::Ended(IssueOutcome::Applied)
    );
    test.pass(10_000);
    test.apply(order(2));
    assert!(engines.iter().all(|engine| held(engine) == ["m:1", "m:2"]));
}

#[test]
fn an_unload_needs_no_permit() {
    let test = OrderTest::start();
    let (full, other) = (OrderTest::engine(false, 60_000), OrderTest::engine(true, 0));
    let mut loading = test.order_at("r1", "e1", &full, load("2"), false);
    assert!(matches!(begin(&mut loading), RunStep::Waiting(_)));
    test.apply(test.order_at("r2", "e2", &other, unload("1"), false));
}

#[test]
fn a_permit_whose_answer_was_lost_is_not_taken_twice() {
    let test = OrderTest::start();
    let ports = test.ports();
    let backend = "e1".parse().expect("a good id");
    let now = (ports.now)();
    test.platform.set_faults(FaultChange {
        lose_answers: Some(1),
        ..FaultChange::default()
    });
    let taken = smol::block_on(ports.table.take_permit(&backend, now));
    assert_eq!(taken, Ok(Ok(())));
    assert_eq!(test.platform.counts().writes, 1);
    let other = "e2".parse().expect("a good id");
    let refused = smol::block_on(ports.table.take_permit(&other, now));
    assert!(matches!(refused, Ok(Err(_))), "{refused:?}");
    smol::block_on(ports.table.give_back_permit(&backend)).expect("the platform answers");
}
