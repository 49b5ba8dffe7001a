//! The view answers as the manifest states, whatever way it came about.

use std::sync::Arc;

use guavawell_core::id::BudgetId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::OrganisationId;
use guavawell_core::manifest::BackendEntry;
use guavawell_core::manifest::FleetManifest;
use guavawell_core::manifest::FleetView;
use guavawell_core::manifest::KeyHash;
use guavawell_core::manifest::ViewUpdate;
use guavawell_core::manifest::page::ManifestPages;
use guavawell_core::manifest::page::PageError;
use guavawell_core::manifest::parse_manifest;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

fn sample() -> FleetManifest {
    parse_manifest("desk.toml", include_str!("data/desk.toml")).expect("the sample is clean")
}

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a good id")
}

fn names(backends: &[Arc<BackendEntry>]) -> Vec<&str> {
    backends.iter().map(|backend| backend.id.as_str()).collect()
}

/// Updates a view to a manifest; returns the view and the digests fetched.
fn update(view: &FleetView, manifest: &FleetManifest, version: u64) -> (FleetView, usize) {
    let pages = ManifestPages::of(manifest);
    let version = ManifestVersion::new(version);
    let mut update = ViewUpdate::new(view, version, pages.root.digest);
    let mut fetched = 0;
    while let Some(digest) = update.wanted().first().copied() {
        let page = pages
            .page(digest)
            .expect("a wanted page is a page of the manifest");
        update.supply(digest, &page.bytes).expect("a good page");
        fetched += 1;
    }
    (update.finish().expect("nothing is wanted"), fetched)
}

#[test]
fn lookups_find_what_the_manifest_states() {
    let view = FleetView::compile(&sample(), ManifestVersion::new(7));
    assert_eq!(view.version(), ManifestVersion::new(7));
    let desk = view.organisation(&id("desk")).expect("stated");
    assert_eq!(desk.weight, 3);
    assert_eq!(desk.default_budget, id("desk-2026"));
    let key: KeyHash = id(&"2".repeat(64));
    assert_eq!(
        view.organisation_by_key(&key).expect("stated").id,
        id("park")
    );
    assert!(view.organisation_by_key(&KeyHash::of(b"another")).is_none());
    let budget = view.budget(&id("desk"), &id("desk-2026")).expect("stated");
    assert_eq!(budget.paid.get(), 1_000_000);
    assert!(view.budget(&id("park"), &id("desk-2026")).is_none());
    assert_eq!(
        view.budget_owner(&id("park-2026")).expect("stated").id,
        id("park")
    );
    assert_eq!(
        names(view.backends_of_model(&id("check-1b"), &id("tln-a"))),
        ["run-1"]
    );
    assert_eq!(
        names(view.backends_of_model(&id("check-1b"), &id("tln-b"))),
        ["run-2"]
    );
    assert!(
        view.backends_of_model(&id("draft-7b"), &id("tln-b"))
            .is_empty()
    );
    assert_eq!(
        names(view.backends_of_service(&id("registry"), &id("tln-a"))),
        ["app-1"]
    );
    let choice = view.model_choice(&id("cancellation")).expect("stated");
    assert_eq!(choice.model.id, id("draft-7b"));
    assert_eq!(choice.adapter.expect("an adapter").version.as_ref(), "12");
    assert!(
        view.model_choice(&id("draft-7b"))
            .expect("stated")
            .adapter
            .is_none()
    );
    assert_eq!(view.model(&id("check-1b")).expect("stated").zones.len(), 2);
    assert!(view.shard_of(&id("desk")).get() < 16);
}

#[test]
fn the_empty_view_holds_nothing() {
    let view = FleetView::empty();
    assert_eq!(view.version(), ManifestVersion::default());
    assert!(view.organisation(&id("desk")).is_none());
    assert!(view.models().is_empty());
}

#[test]
fn a_change_of_one_organisation_fetches_three_pages() {
    let mut manifest = sample();
    let view = FleetView::compile(&manifest, ManifestVersion::new(1));
    manifest.organisations[0].weight = 4;
    let (next, fetched) = update(&view, &manifest, 2);
    assert_eq!(fetched, 3, "root, branch and page");
    assert_eq!(next.organisation(&id("desk")).expect("stated").weight, 4);
    assert_eq!(view.organisation(&id("desk")).expect("stated").weight, 3);
    assert_eq!(next.to_manifest(), manifest);
}

#[test]
fn an_unchanged_manifest_fetches_nothing() {
    let manifest = sample();
    let view = FleetView::compile(&manifest, ManifestVersion::new(1));
    let (next, fetched) = update(&view, &manifest, 2);
    assert_eq!(fetched, 0);
    assert_eq!(next.version(), ManifestVersion::new(2));
}

#[test]
fn wrong_bytes_are_not_taken() {
    let pages = ManifestPages::of(&sample());
    let version = ManifestVersion::new(1);
    let mut update = ViewUpdate::new(&FleetView::empty(), version, pages.root.digest);
    let error = update.supply(pages.root.digest, b"something else");
    assert!(matches!(error, Err(PageError::WrongDigest { .. })));
    let other = &pages.pages[0];
    let error = update.supply(other.digest, &other.bytes);
    assert_eq!(error, Err(PageError::NotWanted(other.digest)));
    assert_eq!(update.wanted(), [pages.root.digest]);
    assert!(update.finish().is_err());
}

#[test]
fn a_view_hands_out_every_page_of_its_manifest() {
    let manifest = sample();
    let pages = ManifestPages::of(&manifest);
    let view = FleetView::compile(&manifest, ManifestVersion::new(1));
    for page in pages.pages.iter().chain([&pages.root]) {
        let stored = view.stored_page(page.digest);
        assert_eq!(stored.as_ref(), Some(page));
    }
}

/// A manifest of organisations and weights out of a small set of names, so
/// that versions share, change, drop and swap keys between organisations.
fn manifest_of(entries: &[(u8, u8, u32)]) -> FleetManifest {
    let mut used_names = Vec::new();
    let mut used_keys = Vec::new();
    let mut sections = vec!["[fleet]\nshards = 4\nzones = [\"a\"]\n".to_owned()];
    for (name, key, weight) in entries {
        if used_names.contains(name) || used_keys.contains(key) {
            continue;
        }
        used_names.push(*name);
        used_keys.push(*key);
        let hash = KeyHash::of(&[*key]);
        sections.push(format!(
            "[[organisation]]\nid = \"o{name}\"\nkey_hash = \"{hash}\"\n\
             default_budget = \"b{name}\"\nweight = {weight}\n\
             [[budget]]\nid = \"b{name}\"\norganisation = \"o{name}\"\npaid = {key}\n"
        ));
    }
    let text = sections.concat();
    parse_manifest("drawn.toml", &text).expect("drawn without findings")
}

/// The naive view: a walk over the manifest.
fn assert_same(view: &FleetView, manifest: &FleetManifest) {
    assert_eq!(&view.to_manifest(), manifest);
    for number in 0..=u8::MAX {
        let hash = KeyHash::of(&[number]);
        let naive = manifest.organisations.iter().find(|o| o.key_hash == hash);
        assert_eq!(view.organisation_by_key(&hash), naive);
        let organisation: OrganisationId = id(&format!("o{number}"));
        let naive = manifest.organisations.iter().find(|o| o.id == organisation);
        assert_eq!(view.organisation(&organisation), naive);
        let budget: BudgetId = id(&format!("b{number}"));
        let owner = manifest
            .organisations
            .iter()
            .find(|o| o.budget(&budget).is_some());
        assert_eq!(view.budget_owner(&budget), owner);
        let naive = naive.and_then(|o| o.budgets.iter().find(|b| b.id == budget.as_str()));
        assert_eq!(view.budget(&organisation, &budget), naive);
    }
}

#[test]
fn updated_views_answer_as_a_walk_over_the_manifest() {
    let entries = proptest::collection::vec((0..40_u8, 0..40_u8, 1..3_u32), 0..40);
    let versions = proptest::collection::vec(entries, 1..6);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(24), rng);
    let outcome = runner.run(&versions, |versions| {
        let mut view = FleetView::empty();
        for (index, entries) in versions.iter().enumerate() {
            let manifest = manifest_of(entries);
            let version = index as u64 + 1;
            view = update(&view, &manifest, version).0;
            assert_same(&view, &manifest);
            let fresh = FleetView::compile(&manifest, ManifestVersion::new(version));
            prop_assert_eq!(view.root(), fresh.root());
        }
        Ok(())
    });
    outcome.expect("the view agrees");
}
