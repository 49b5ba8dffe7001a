//! Which request bodies may be received while others take memory.

use guavawell_core::forward::AdmissionSettings;
use guavawell_core::forward::BodyBytes;
use guavawell_core::forward::bytes_to_free;

const MEGABYTE: usize = 1024 * 1024;
const LIMIT: usize = 24 * MEGABYTE;

fn admits(taken: usize, length: usize, more: usize) -> bool {
    let settings = AdmissionSettings {
        body_bytes: LIMIT,
        ..AdmissionSettings::default()
    };
    bytes_to_free(&settings, taken, BodyBytes { length, more }) == 0
}

// Guards against bodies that are let in together and exceed the memory once they arrive.
#[test]
fn no_number_of_bodies_exceeds_the_memory_for_them() {
    for length in [100, 12_000, 64 * 1024, MEGABYTE, 4 * MEGABYTE] {
        let mut taken = 0;
        while admits(taken, length, length) {
            taken += length;
        }
        assert!(taken <= LIMIT, "{length}");
        assert!(taken + length > LIMIT / 2, "{length}");
    }
}

// Guards against a few long bodies because of which all others are refused.
#[test]
fn long_bodies_leave_memory_for_short_ones() {
    let mut taken = 0;
    while admits(taken, 4 * MEGABYTE, 4 * MEGABYTE) {
        taken += 4 * MEGABYTE;
    }
    assert!(admits(taken, 12_000, 12_000));
    assert!(admits(LIMIT - 12_000, 12_000, 12_000));
    assert!(!admits(LIMIT - 11_999, 12_000, 12_000));
}

#[test]
fn a_body_that_grows_is_long_once_it_is() {
    let taken = LIMIT - 64 * 1024;
    assert!(admits(taken, 64 * 1024, 1_000));
    assert!(!admits(taken, 64 * 1024 + 1, 1_000));
    // What is reserved already is not refused later.
    assert!(admits(LIMIT, 4 * MEGABYTE, 0));
    assert!(!admits(usize::MAX, 100, 100));
}

#[test]
fn what_must_become_free_is_what_is_missing() {
    let settings = AdmissionSettings {
        body_bytes: LIMIT,
        ..AdmissionSettings::default()
    };
    let body = BodyBytes {
        length: 12_000,
        more: 12_000,
    };
    assert_eq!(bytes_to_free(&settings, LIMIT - 5_000, body), 7_000);
    let long = BodyBytes {
        length: MEGABYTE,
        more: MEGABYTE,
    };
    assert_eq!(bytes_to_free(&settings, LIMIT * 3 / 4, long), MEGABYTE);
}
