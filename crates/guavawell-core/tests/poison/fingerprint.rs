//! Which requests have equal fingerprints, and the text form of a fingerprint.

use guavawell_core::id::OrganisationId;
use guavawell_core::poison::RequestFingerprint;

fn organisation(name: &str) -> OrganisationId {
    name.parse().expect("an id")
}

#[test]
fn organisation_host_path_and_body_make_the_fingerprint() {
    let acme = organisation("acme");
    let fingerprint = RequestFingerprint::of(Some(&acme), "desk.example", "/a/b", b"body");
    let same = RequestFingerprint::of(Some(&acme), "desk.example", "/a/b", b"body");
    assert_eq!(fingerprint, same);
    let other = organisation("other");
    let others = [
        RequestFingerprint::of(Some(&other), "desk.example", "/a/b", b"body"),
        RequestFingerprint::of(None, "desk.example", "/a/b", b"body"),
        RequestFingerprint::of(Some(&acme), "desk.example/a", "/b", b"body"),
        RequestFingerprint::of(Some(&acme), "desk.example", "/a/b", b"bod"),
        RequestFingerprint::of(Some(&acme), "desk.example", "/a/bb", b"ody"),
    ];
    assert!(others.iter().all(|other| *other != fingerprint));
}

#[test]
fn a_fingerprint_parses_only_from_its_own_text() {
    let fingerprint = RequestFingerprint::of(None, "", "/", b"");
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    assert_eq!(
        RequestFingerprint::new(1).to_string().parse(),
        Ok(RequestFingerprint::new(1))
    );
    let texts = [
        "",
        "1",
        "+1234567890123456789012345678901",
        &"g".repeat(32),
        &"1".repeat(33),
    ];
    for text in texts {
        let error = text.parse::<RequestFingerprint>().expect_err(text);
        assert!(error.to_string().contains("is not a fingerprint"));
    }
}
