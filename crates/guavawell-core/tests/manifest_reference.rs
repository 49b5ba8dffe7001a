//! The operators' reference of the manifest agrees with what is read.

use guavawell_core::manifest::parse_manifest;

const REFERENCE: &str = include_str!("../../../docs/operators/MANIFEST.md");

/// The example of the reference.
fn example() -> &'static str {
    let (_, rest) = REFERENCE.split_once("```toml\n").expect("an example");
    rest.split_once("```").expect("its end").0
}

#[test]
fn the_example_of_the_reference_has_no_findings() {
    let parsed = parse_manifest("MANIFEST.md", example());
    assert_eq!(parsed.map(|_| ()), Ok(()));
}

#[test]
fn every_key_of_the_example_is_explained() {
    let keys = example().lines().filter_map(|line| line.split_once(" = "));
    for (key, _) in keys {
        let row = format!("| `{key}` |");
        assert!(REFERENCE.contains(&row), "`{key}` is not explained");
    }
}

#[test]
fn every_explained_key_is_in_the_example() {
    // The tables behind it explain metrics and proofs.
    let (reference, _) = REFERENCE.split_once("## Check").expect("a section");
    let rows = reference
        .lines()
        .filter_map(|line| line.strip_prefix("| `"));
    for (key, _) in rows.filter_map(|row| row.split_once("` |")) {
        assert!(
            example().contains(&format!("{key} = ")),
            "`{key}` is unknown"
        );
    }
}
