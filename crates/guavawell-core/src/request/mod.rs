//! A request's life: identity, claims, seals, billing records and refusals.

mod identity;

pub use identity::IdentityError;
pub use identity::MINTED_PREFIX;
pub use identity::RequestIdentity;
