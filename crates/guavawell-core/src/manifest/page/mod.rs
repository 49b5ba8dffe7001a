//! The stored form of a manifest: pages named by the digest of their bytes.
//!
//! A root page lists the digests of one base page (fleet, models, services),
//! of [`BACKEND_PAGES`] pages of backend servers and of [`BRANCHES`] branch
//! pages; each branch page lists [`BRANCH_PAGES`] pages of organisations.
//! Entries are placed by a hash of their id, so a change of one organisation
//! renews one page of organisations, its branch page and the root page.
//! An entry has one encoding only, so equal pages have equal digests.

mod codec;
mod encoded;
mod layout;
mod list;

pub use codec::BackendPage;
pub use codec::BasePage;
pub use codec::OrganisationPage;
pub use codec::PageError;
pub use encoded::EncodedPage;
pub use encoded::ManifestPages;
pub use layout::BACKEND_PAGES;
pub use layout::BRANCH_PAGES;
pub use layout::BRANCHES;
pub use layout::PagePlace;
pub use layout::backend_page;
pub use layout::organisation_page;
pub(in crate::manifest) use layout::stable_hash;
pub use list::BranchPage;
pub use list::RootPage;
