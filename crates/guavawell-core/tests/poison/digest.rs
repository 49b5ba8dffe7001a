//! What makes two requests the same.

use guavawell_core::id::OrganisationId;
use guavawell_core::poison::RequestDigest;

fn organisation(name: &str) -> OrganisationId {
    name.parse().expect("an id")
}

#[test]
fn organisation_host_path_and_body_make_the_digest() {
    let acme = organisation("acme");
    let digest = RequestDigest::of(Some(&acme), "desk.example", "/a/b", b"body");
    let same = RequestDigest::of(Some(&acme), "desk.example", "/a/b", b"body");
    assert_eq!(digest, same);
    let other = organisation("other");
    let others = [
        RequestDigest::of(Some(&other), "desk.example", "/a/b", b"body"),
        RequestDigest::of(None, "desk.example", "/a/b", b"body"),
        RequestDigest::of(Some(&acme), "desk.example/a", "/b", b"body"),
        RequestDigest::of(Some(&acme), "desk.example", "/a/b", b"bod"),
        RequestDigest::of(Some(&acme), "desk.example", "/a/bb", b"ody"),
    ];
    assert!(others.iter().all(|other| *other != digest));
}

#[test]
fn a_digest_is_read_from_its_own_text_only() {
    let digest = RequestDigest::of(None, "", "/", b"");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert_eq!(
        RequestDigest::new(1).to_string().parse(),
        Ok(RequestDigest::new(1))
    );
    let texts = [
        "",
        "1",
        "+1234567890123456789012345678901",
        &"g".repeat(32),
        &"1".repeat(33),
    ];
    for text in texts {
        let error = text.parse::<RequestDigest>().expect_err(text);
        assert!(error.to_string().contains("is no digest"));
    }
}
