//! What a manifest costs at full size: bytes moved and time for a change,
//! memory of the view, time of a lookup by size, and parsing.
//!
//! `cargo run --release -p guavawell-core --example manifest_cost`

mod fleet;
mod measure;

use std::hint::black_box;
use std::time::Instant;

use guavawell_core::id::ManifestVersion;
use guavawell_core::manifest::FleetView;
use guavawell_core::manifest::ViewUpdate;
use guavawell_core::manifest::page::BACKEND_PAGES;
use guavawell_core::manifest::page::ManifestPages;
use guavawell_core::manifest::parse_manifest;

use fleet::FleetSize;
use fleet::encode;
use measure::Spread;
use measure::resident_kib;

/// Letter 1's size.
const FULL: FleetSize = FleetSize {
    organisations: 24_000,
    budgets: 700_000,
    backends: 2_200,
    models: 19,
    zones: 7,
};

/// Changes measured.
const CHANGES: usize = 500;
/// Lookups measured for each size.
const LOOKUPS: usize = 1_000_000;

/// Prints every measurement.
pub(crate) fn main() {
    let pages = encode(&FULL);
    report_pages(&pages);
    let view = report_memory(&pages);
    report_changes(&view, &pages);
    report_layouts(&pages);
    drop((view, pages));
    report_lookups();
    report_parse();
}

fn load(from: &FleetView, pages: &ManifestPages, version: u64) -> (FleetView, usize, usize) {
    let version = ManifestVersion::new(version);
    let mut update = ViewUpdate::new(from, version, pages.root.digest);
    let (mut count, mut bytes) = (0, 0);
    while let Some(digest) = update.wanted().last().copied() {
        let page = pages.page(digest).expect("a page of the manifest");
        update.supply(digest, &page.bytes).expect("a good page");
        count += 1;
        bytes += page.bytes.len();
    }
    (update.finish().expect("complete"), count, bytes)
}

fn report_pages(pages: &ManifestPages) {
    let total: usize = pages.pages.iter().map(|page| page.bytes.len()).sum();
    let largest = pages.pages.iter().map(|page| page.bytes.len()).max();
    println!(
        "pages: {} in all, {total} bytes, largest {largest:?} bytes",
        pages.pages.len()
    );
}

fn report_memory(pages: &ManifestPages) -> FleetView {
    let before = resident_kib();
    let started = Instant::now();
    let (view, count, bytes) = load(&FleetView::empty(), pages, 1);
    let elapsed = started.elapsed();
    let grown = resident_kib().saturating_sub(before);
    println!(
        "fresh load: {count} pages, {bytes} bytes, {} ms",
        elapsed.as_millis()
    );
    println!(
        "view: {grown} KiB resident, {} bytes for each budget",
        grown * 1024 / FULL.budgets
    );
    view
}

fn report_changes(view: &FleetView, pages: &ManifestPages) {
    let mut bytes = Spread::default();
    let mut micros = Spread::default();
    for number in 0..CHANGES {
        let organisation = number * 47 % FULL.organisations;
        let changed = fleet::with_changed_organisation(view, pages, organisation);
        let started = Instant::now();
        let (next, count, moved) = load(view, &changed, 2);
        micros.add(started.elapsed().as_nanos() / 1_000);
        bytes.add(moved as u128);
        assert_eq!(count, 3);
        black_box(next);
    }
    println!("one organisation changed: {bytes} bytes moved, {micros} us to the new view");
    let mut bytes = Spread::default();
    let mut micros = Spread::default();
    for number in 0..CHANGES {
        let backend = number * 31 % FULL.backends;
        let changed = fleet::with_changed_backend(view, pages, backend);
        let started = Instant::now();
        let (next, _, moved) = load(view, &changed, 2);
        micros.add(started.elapsed().as_nanos() / 1_000);
        bytes.add(moved as u128);
        black_box(next);
    }
    println!("one backend server changed: {bytes} bytes moved, {micros} us to the new view");
    let large = fleet::organisation_of(10_000).encode().bytes.len();
    println!("a page with one organisation of 10000 budgets: {large} bytes");
}

/// What other numbers of branches and pages would move, worked out from the
/// encoded size.
fn report_layouts(pages: &ManifestPages) {
    let total: usize = pages.pages.iter().map(|page| page.bytes.len()).sum();
    println!("layout    pages  bytes moved by one organisation (worked out)");
    for side in [16, 32, 64, 128] {
        let root = 1 + 32 * (1 + BACKEND_PAGES + side);
        let branch = 1 + 32 * side;
        let page = total / (side * side);
        println!(
            "{side:3}x{side:<3} {:7}  {}",
            side * side,
            root + branch + page
        );
    }
}

fn report_lookups() {
    println!("lookup, ns each: by key, organisation, budget, owner of budget, backends of model");
    for (organisations, budgets) in [
        (10, 10),
        (10, 700),
        (240, 7_000),
        (2_400, 70_000),
        (24_000, 700_000),
    ] {
        let size = FleetSize {
            organisations,
            budgets,
            ..FULL
        };
        let pages = encode(&size);
        let (view, _, _) = load(&FleetView::empty(), &pages, 1);
        let times = measure::lookups(&view, &size, LOOKUPS);
        println!(
            "{organisations:6} organisations {budgets:7} budgets: {:5.0} {:5.0} {:5.0} {:5.0} {:5.0}",
            times.by_key, times.organisation, times.budget, times.owner, times.backends
        );
    }
}

fn report_parse() {
    let text = fleet::toml_text(&FULL);
    let before = resident_kib();
    let started = Instant::now();
    let manifest = parse_manifest("full.toml", &text).expect("no findings");
    let parsed = started.elapsed();
    let grown = resident_kib().saturating_sub(before);
    let started = Instant::now();
    let pages = ManifestPages::of(&manifest);
    let encoded = started.elapsed();
    println!(
        "operator's side: {} bytes of TOML parsed in {} ms (+{grown} KiB resident), \
         {} pages encoded in {} ms",
        text.len(),
        parsed.as_millis(),
        pages.pages.len(),
        encoded.as_millis()
    );
}
