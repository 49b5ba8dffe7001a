//! A seeded history of processes that send messages under skewed clocks.

use guavawell_core::event::EventRecord;

use crate::env::event;
use crate::env::with;

/// Events of one process, in its own order.
pub type ProcessLog = Vec<EventRecord>;

/// The history of `skews.len()` processes over `steps` steps of 1 ms.
///
/// Each step is one event; `message.received` names the `message.sent` that
/// caused it by the same `message` field. Skews are milliseconds.
pub fn history(seed: u64, skews: &[i64], steps: u64) -> Vec<ProcessLog> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut clocks = vec![0_u64; skews.len()];
    let mut logs = vec![ProcessLog::new(); skews.len()];
    let mut under_way: Vec<(usize, u64, u64)> = Vec::new();
    for step in 0..steps {
        let process = random.usize(..skews.len());
        let arrived = under_way.iter().position(|(to, _, _)| *to == process);
        let (kind, message) = if let Some(index) = arrived {
            let (_, order, message) = under_way.swap_remove(index);
            clocks[process] = clocks[process].max(order);
            ("message.received", Some(message))
        } else if random.u8(..3) == 0 {
            ("message.sent", Some(step))
        } else {
            ("slot.acquired", None)
        };
        clocks[process] += 1;
        let at = (1_000_000 + step).saturating_add_signed(skews[process]);
        let name = format!("i{process}");
        let mut record = event(&name, clocks[process], at, kind);
        record.request = None;
        if let Some(message) = message {
            record = with(record, "message", &message.to_string());
            record.request = Some(format!("m{message}").parse().expect("an id"));
        }
        if kind == "message.sent" {
            let to = random.usize(..skews.len());
            under_way.push((to, clocks[process], step));
        }
        logs[process].push(record);
    }
    logs
}

/// Puts neighbours the wrong way round, up to `distance` places.
pub fn jumble(log: &mut ProcessLog, seed: u64, distance: usize) {
    let mut random = fastrand::Rng::with_seed(seed);
    for chunk in log.chunks_mut(distance) {
        random.shuffle(chunk);
    }
}
