//! Tests that all problems of a manifest are reported together, with their places.

use guavawell_core::manifest::parse_manifest;

const GOOD: &str = include_str!("data/desk.toml");

fn findings(text: &str) -> String {
    match parse_manifest("desk.toml", text) {
        Ok(_) => "no findings".to_owned(),
        Err(findings) => findings.to_string(),
    }
}

/// The findings after replacing one value of the valid manifest.
fn findings_after(before: &str, after: &str) -> String {
    assert!(GOOD.contains(before), "the sample does not state {before}");
    findings(&GOOD.replacen(before, after, 1))
}

#[test]
fn the_sample_has_no_findings() {
    assert_eq!(findings(GOOD), "no findings");
}

#[test]
fn everything_wrong_is_reported_together() {
    insta::assert_snapshot!(findings(include_str!("data/broken.toml")));
}

#[test]
fn an_empty_file_misses_its_fleet() {
    insta::assert_snapshot!(findings(""));
}

#[test]
fn a_host_name_is_no_address() {
    let found = findings_after("\"127.0.0.1:9001\"", "\"runner.example:9001\"");
    insta::assert_snapshot!(found);
}

#[test]
fn an_address_has_one_server() {
    insta::assert_snapshot!(findings_after("127.0.0.1:9001", "127.0.0.1:9002"));
}

#[test]
fn a_default_budget_belongs_to_its_organisation() {
    let found = findings_after(
        "default_budget = \"desk-2026\"",
        "default_budget = \"park-2026\"",
    );
    insta::assert_snapshot!(found);
}

#[test]
fn a_key_opens_one_organisation() {
    let hash = "1111111111111111111111111111111111111111111111111111111111111111";
    let other = "2222222222222222222222222222222222222222222222222222222222222222";
    insta::assert_snapshot!(findings_after(hash, other));
}
