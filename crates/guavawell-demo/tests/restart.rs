//! What a process keeps of routers that are gone.

mod support;

use std::fs;
use std::thread;
use std::time::Duration;

use crate::support::BilledFleet;

/// Fleets that come and go before threads are counted again.
const FLEETS: usize = 3;

/// Looks at the threads before those that are left count as kept.
const MAX_LOOKS: usize = 600;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// Names of this process's threads that belong to routers, sorted.
fn router_threads() -> Vec<String> {
    let tasks = fs::read_dir("/proc/self/task").expect("the process's threads");
    let names = tasks.filter_map(|task| fs::read_to_string(task.ok()?.path().join("comm")).ok());
    let mut names: Vec<String> = names.map(|name| name.trim_end().to_owned()).collect();
    names.retain(|name| {
        ["router-", "peer-", "event-log"]
            .iter()
            .any(|start| name.starts_with(start))
    });
    names.sort();
    names
}

async fn one_fleet() {
    let mut test = BilledFleet::start().await;
    test.load(40, "only").await;
    assert!(!router_threads().is_empty(), "the routers run here");
    test.fleet.stop();
}

/// Guards against threads and connections that a stopped router leaves behind:
/// a process that starts routers again and again would run out of both.
#[test]
fn routers_that_are_gone_leave_no_thread_behind() {
    for _ in 0..FLEETS {
        smol::block_on(one_fleet());
    }
    let mut left = router_threads();
    for _ in 0..MAX_LOOKS {
        if left.is_empty() {
            return;
        }
        thread::sleep(LOOK);
        left = router_threads();
    }
    panic!("threads of routers that are gone: {left:?}");
}
