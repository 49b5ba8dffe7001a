//! Rows to test with.

use guavawell_core::clock::ClockTime;
use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::ContentDigest;
use guavawell_core::manifest::VersionProposal;
use guavawell_core::manifest::VersionRow;

/// A proposal of `who` on top of version `base`.
pub fn proposal(who: &str, base: u64) -> VersionProposal {
    VersionProposal {
        base: ManifestVersion::new(base),
        root: ContentDigest::of(who.as_bytes()),
        who: who.into(),
        when: ClockTime::from_millis(5),
        nonce: base + 100,
    }
}

/// The accepted row of `version` by `who`; its base row is not needed.
pub fn row(who: &str, version: u64) -> VersionRow {
    let mut row = proposal(who, 0).on_top_of(None).expect("a first version");
    for base in 1..version {
        row = proposal(who, base).on_top_of(Some(&row)).expect("its base");
    }
    row
}
