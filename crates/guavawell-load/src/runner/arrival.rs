//! Open-loop and closed-loop arrivals.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use smol::LocalExecutor;
use smol::Timer;
use smol::channel;
use smol::future::yield_now;

use super::worker::Worker;
use crate::caller;
use crate::caller::CallerRequest;
use crate::plan::RequestProfile;

/// Multiplier that spreads neighbouring numbers over all seeds (2^64 divided
/// by the golden ratio, the usual Weyl constant).
const SEED_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Requests at random intervals around `rate` a second, whatever becomes of
/// the earlier ones.
pub(super) async fn open(
    worker: &Rc<Worker>,
    executor: &Rc<LocalExecutor<'_>>,
    rate: f64,
    index: usize,
) {
    let plan = &worker.shared.plan;
    #[expect(clippy::cast_precision_loss, reason = "thread counts are small")]
    let thread_rate = rate / plan.threads as f64;
    let mut random = seeded(plan.seed, u64::MAX - index as u64);
    let mut due = worker.shared.started;
    let (running, all_ended) = channel::bounded::<()>(1);
    loop {
        due += exponential(thread_rate, &mut random);
        if worker.shared.is_over(due) {
            break;
        }
        if due > Instant::now() {
            Timer::at(due).await;
        }
        let Some(number) = worker.shared.take_ticket() else {
            break;
        };
        let request = draw_request(worker, number, due);
        if !worker.shared.admit() {
            worker.shed(request.profile);
            continue;
        }
        let worker = Rc::clone(worker);
        let running = running.clone();
        let task = async move {
            caller::call(worker, request).await;
            drop(running);
        };
        executor.spawn(task).detach();
    }
    drop(running);
    // Nothing is ever sent: this ends once every task has dropped its sender.
    let _ = all_ended.recv().await;
}

/// This thread's part of `connections` callers, each sending back to back.
pub(super) async fn closed(
    worker: &Rc<Worker>,
    executor: &Rc<LocalExecutor<'_>>,
    connections: usize,
    index: usize,
) {
    let threads = worker.shared.plan.threads;
    let share = connections / threads + usize::from(index < connections % threads);
    let mut tasks = Vec::with_capacity(share);
    for _ in 0..share {
        let worker = Rc::clone(worker);
        tasks.push(executor.spawn(async move {
            while let Some(number) = worker.shared.take_ticket() {
                let request = draw_request(&worker, number, Instant::now());
                if worker.shared.admit() {
                    caller::call(Rc::clone(&worker), request).await;
                } else {
                    worker.shed(request.profile);
                }
                // An answer that is always there at once would never let
                // this thread's other connections on.
                yield_now().await;
            }
        }));
    }
    for task in tasks {
        task.await;
    }
}

fn draw_request(worker: &Worker, number: u64, due: Instant) -> CallerRequest {
    let plan = &worker.shared.plan;
    let mut random = seeded(plan.seed, number);
    CallerRequest {
        number,
        due,
        profile: draw_profile(&plan.profiles, &mut random),
        random,
    }
}

fn seeded(seed: u64, number: u64) -> fastrand::Rng {
    fastrand::Rng::with_seed(seed ^ number.wrapping_add(1).wrapping_mul(SEED_SPREAD))
}

fn draw_profile(profiles: &[RequestProfile], random: &mut fastrand::Rng) -> usize {
    let total: u64 = profiles.iter().map(|p| u64::from(p.weight)).sum();
    let mut left = random.u64(..total.max(1));
    for (index, profile) in profiles.iter().enumerate() {
        let weight = u64::from(profile.weight);
        if left < weight {
            return index;
        }
        left -= weight;
    }
    0
}

fn exponential(rate: f64, random: &mut fastrand::Rng) -> Duration {
    let uniform = 1.0 - random.f64();
    Duration::from_secs_f64(-uniform.ln() / rate)
}
