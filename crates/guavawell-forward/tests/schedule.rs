//! Control tasks run before a backlog of request tasks. Otherwise a small
//! instance under load would make its calls to the platform too late.

use std::cell::Cell;
use std::rc::Rc;

use futures_lite::future::yield_now;
use guavawell_forward::schedule::TaskQueues;

/// Number of requests that are ready at the same time.
const REQUESTS: usize = 400;
/// Steps of each request.
const REQUEST_STEPS: usize = 20;
/// Steps of one call to the platform: connect, write, read the head, read the
/// body, handle the result, pause.
const CALL_STEPS: usize = 6;

/// A task of this number of steps.
async fn take_steps(count: usize) {
    for _ in 0..count {
        yield_now().await;
    }
}

/// Starts requests that are all ready, and returns the number of their steps so far.
fn start_backlog(queues: &TaskQueues) -> Rc<Cell<usize>> {
    let steps = Rc::new(Cell::new(0));
    for _ in 0..REQUESTS {
        let steps = Rc::clone(&steps);
        let request = async move {
            for _ in 0..REQUEST_STEPS {
                steps.set(steps.get() + 1);
                yield_now().await;
            }
        };
        queues.requests.spawn(request).detach();
    }
    steps
}

#[test]
fn a_call_to_the_platform_does_not_wait_behind_a_backlog_of_requests() {
    let queues = TaskQueues::default();
    let steps = start_backlog(&queues);
    let call = queues.control.spawn(take_steps(CALL_STEPS));
    smol::block_on(queues.run(call));
    assert!(
        steps.get() <= REQUESTS,
        "{} request steps ran before the call finished",
        steps.get()
    );
}

#[test]
fn requests_finish_while_control_tasks_keep_running() {
    let queues = TaskQueues::default();
    queues
        .control
        .spawn(async {
            loop {
                smol::Timer::after(std::time::Duration::from_millis(1)).await;
            }
        })
        .detach();
    let ended = Rc::new(Cell::new(0));
    let waits: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let ended = Rc::clone(&ended);
            queues.requests.spawn(async move {
                for _ in 0..REQUEST_STEPS {
                    yield_now().await;
                }
                ended.set(ended.get() + 1);
            })
        })
        .collect();
    smol::block_on(queues.run(async {
        for wait in waits {
            wait.await;
        }
    }));
    assert_eq!(ended.get(), REQUESTS);
}

// Guards against clients of the ports of readiness and of other instances that always have
// something to do: no request would be served any more.
#[test]
fn requests_and_control_tasks_finish_while_probes_are_always_ready() {
    let queues = TaskQueues::default();
    for _ in 0..REQUESTS {
        let probe = async {
            loop {
                yield_now().await;
            }
        };
        queues.probes.spawn(probe).detach();
    }
    let request = queues.requests.spawn(take_steps(REQUEST_STEPS));
    let call = queues.control.spawn(take_steps(CALL_STEPS));
    smol::block_on(queues.run(async {
        request.await;
        call.await;
    }));
}

// Guards against a backlog of requests behind which a health check waits.
#[test]
fn a_probe_does_not_wait_behind_a_backlog_of_requests() {
    let queues = TaskQueues::default();
    let steps = start_backlog(&queues);
    let probe = queues.probes.spawn(take_steps(CALL_STEPS));
    smol::block_on(queues.run(probe));
    assert!(steps.get() <= REQUESTS, "{} request steps", steps.get());
}
