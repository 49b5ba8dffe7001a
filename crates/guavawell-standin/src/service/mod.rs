//! A plain service: any `POST` path, a reply made from the body.
//!
//! Owns the calls of one service. It keeps their outcomes, never their replies.

mod life;
mod reply;
mod routes;
mod settings;
mod start;

pub use reply::expected_reply;
pub use settings::ServiceSettings;
pub use start::Service;
