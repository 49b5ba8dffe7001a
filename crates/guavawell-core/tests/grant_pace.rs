//! Writers of a row that the store turns down for its rate.
//!
//! The load: a hundred writers want one row at one moment. The store carries
//! out two hundred transactions of a row a second, one after another, and turns
//! down those for which more than a second of work waits. Half of the writes
//! find the row changed and are tried again, as long as the row is sought after.

use fastrand::Rng;
use guavawell_core::grant::PaceSettings;
use guavawell_core::grant::WritePace;

const WRITERS: usize = 400;
/// Writes that each writer wants to have carried out.
const WANTED: u32 = 20;
/// Milliseconds of one transaction.
const TRANSACTION_MS: u64 = 5;
/// Work that may wait, in milliseconds.
const QUEUE_MS: u64 = 1_000;
/// Pause of a writer after a write that was carried out, in milliseconds.
const REST_MS: u64 = 500;

struct Writer {
    pace: WritePace,
    next: u64,
    left: u32,
}

/// Plays until all is written; returns the calls turned down, and the time.
fn play(mut pause: impl FnMut(&mut Writer, &mut Rng) -> u64) -> (u64, u64) {
    let mut random = Rng::with_seed(7);
    let mut writers: Vec<Writer> = (0..WRITERS)
        .map(|_| Writer {
            pace: WritePace::new(PaceSettings::default()),
            next: 0,
            left: WANTED,
        })
        .collect();
    let (mut busy_until, mut down) = (0, 0);
    for now in 0.. {
        for writer in writers.iter_mut().filter(|writer| writer.left > 0) {
            if writer.next > now {
                continue;
            }
            if busy_until > now + QUEUE_MS {
                down += 1;
                writer.pace.turned_down();
                writer.next = now + pause(writer, &mut random).max(1);
            } else {
                busy_until = busy_until.max(now) + TRANSACTION_MS;
                writer.pace.carried_out();
                writer.left -= 1;
                writer.next = busy_until + REST_MS;
            }
        }
        if writers.iter().all(|writer| writer.left == 0) {
            return (down, now);
        }
    }
    unreachable!("time goes on")
}

#[test]
fn writers_that_were_turned_down_come_back_at_the_rate_that_there_is() {
    let fixed = play(|_, random| 150 + random.u64(..150));
    let paced = play(|writer, random| writer.pace.pause(random.f64()).as_millis());
    println!(
        "turned down: {} of a fixed pause, {} paced",
        fixed.0, paced.0
    );
    assert!(paced.0 * 4 < fixed.0, "{paced:?} {fixed:?}");
    // All is written about as soon.
    assert!(paced.1 < fixed.1 * 5 / 4, "{paced:?} {fixed:?}");
}
