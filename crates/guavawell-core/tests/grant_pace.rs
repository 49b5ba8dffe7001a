//! Writers of one row whose writes the store throttles.
//!
//! All writers want to write the row at the same moment. The store applies two
//! hundred transactions per second to a row, one after another, and rejects a
//! write when more than a second of work is queued. In a fleet, half of the
//! writes conflict with another one and are tried again for as long as the row
//! is contended.

use fastrand::Rng;
use guavawell_core::grant::PaceSettings;
use guavawell_core::grant::WritePace;

const WRITERS: usize = 400;
/// Successful writes that each writer needs.
const WANTED: u32 = 20;
/// Duration of one transaction, in milliseconds.
const TRANSACTION_MS: u64 = 5;
/// Work that may be queued, in milliseconds.
const QUEUE_MS: u64 = 1_000;
/// Delay of a writer after a successful write, in milliseconds.
const IDLE_MS: u64 = 500;

struct Writer {
    pace: WritePace,
    next: u64,
    left: u32,
}

/// Runs until all writes have succeeded. Returns the number of throttled
/// writes, and the time.
fn simulate(mut pause: impl FnMut(&mut Writer, &mut Rng) -> u64) -> (u64, u64) {
    let mut random = Rng::with_seed(7);
    let mut writers: Vec<Writer> = (0..WRITERS)
        .map(|_| Writer {
            pace: WritePace::new(PaceSettings::default()),
            next: 0,
            left: WANTED,
        })
        .collect();
    let (mut busy_until, mut throttled) = (0, 0);
    for now in 0.. {
        for writer in writers.iter_mut().filter(|writer| writer.left > 0) {
            if writer.next > now {
                continue;
            }
            if busy_until > now + QUEUE_MS {
                throttled += 1;
                writer.pace.write_throttled();
                writer.next = now + pause(writer, &mut random).max(1);
            } else {
                busy_until = busy_until.max(now) + TRANSACTION_MS;
                writer.pace.write_succeeded();
                writer.left -= 1;
                writer.next = busy_until + IDLE_MS;
            }
        }
        if writers.iter().all(|writer| writer.left == 0) {
            return (throttled, now);
        }
    }
    unreachable!("the loop ends by returning")
}

#[test]
fn throttled_writers_retry_at_the_available_rate() {
    let fixed = simulate(|_, random| 150 + random.u64(..150));
    let paced = simulate(|writer, random| writer.pace.pause(random.f64()).as_millis());
    println!(
        "throttled: {} with a fixed delay, {} with backoff",
        fixed.0, paced.0
    );
    assert!(paced.0 * 4 < fixed.0, "{paced:?} {fixed:?}");
    // Backoff takes about as long in total.
    assert!(paced.1 < fixed.1 * 5 / 4, "{paced:?} {fixed:?}");
}
