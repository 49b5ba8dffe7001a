//! The platform's table at full size: the cost of its sorted vector.
//!
//! Run with `cargo bench -p guavawell-standin --bench table`.

use std::time::Instant;

use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;

/// Prepaid budgets at the size to build towards.
const ROWS: u64 = 700_000;
const INSERTS: u64 = 2_000;
/// Odd, so that the keys come in scattered order without repeats.
const STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

fn main() {
    let settings = PlatformSettings::default();
    let platform = smol::block_on(Platform::start(settings)).expect("free ports");
    let value = [b'x'; 200];
    for number in 0..ROWS {
        platform.put_row(&format!("budget/{number:08}"), &value);
    }
    let start = Instant::now();
    for number in 0..INSERTS {
        let scattered = number.wrapping_mul(STRIDE) % ROWS;
        platform.put_row(&format!("budget/{scattered:08}/{number}"), &value);
    }
    let insert = start.elapsed() / u32::try_from(INSERTS).expect("a small number");
    println!("{ROWS} rows: {insert:?} for a scattered insert");
}
