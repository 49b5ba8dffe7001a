//! Processor time, memory and medians.

use std::fs;
use std::time::Duration;

use cpu_time::ThreadTime;

/// Nanoseconds in a second.
const SECOND_NANOS: f64 = 1e9;

/// Runs `work` and tells the processor time of this thread.
pub fn time_of(work: impl FnOnce()) -> Duration {
    let started = ThreadTime::now();
    work();
    started.elapsed()
}

/// Runs `work` and tells the bytes that it leaves on the heap.
pub fn bytes_of(work: impl FnOnce()) -> i64 {
    allocation_counter::measure(work).bytes_current
}

/// Microseconds of each of `count` steps.
pub fn micros_each(time: Duration, count: usize) -> f64 {
    time.as_secs_f64() * 1e6 / count as f64
}

/// Processor time so far of the threads whose names begin with one of
/// `names`, in seconds.
pub fn thread_seconds(names: &[&str]) -> f64 {
    let tasks = fs::read_dir("/proc/self/task").expect("the system tells threads");
    let nanos = tasks.flatten().filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        let wanted = names.iter().any(|prefix| name.starts_with(prefix));
        let spent = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let spent = spent.split_whitespace().next()?.parse::<f64>().ok()?;
        wanted.then_some(spent)
    });
    nanos.sum::<f64>() / SECOND_NANOS
}

/// Resident memory of this process in KiB.
pub fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().nth(1));
    digits
        .and_then(|digits| digits.parse().ok())
        .unwrap_or_default()
}
