//! Rates of links as text.

use guavawell_core::forward::LinkRate;

#[test]
fn a_rate_is_read_as_it_is_written() {
    let rate: LinkRate = "2.5".parse().expect("a rate");
    assert_eq!(rate.to_string(), "2.5");
    assert!((rate.bytes_per_second() - 312_500.0).abs() < 1e-6);
}

#[test]
fn a_text_that_is_no_rate_is_an_error() {
    for text in ["", "ten", "0", "-1", "inf", "nan"] {
        assert!(text.parse::<LinkRate>().is_err(), "{text}");
    }
}
