//! Stand-ins of the platform, the runners and the clients for the cases in `review/`.
//!
//! They follow the users' pages and use only the standard library. Each case is a
//! program in `src/bin`, which starts the deployed program as separate processes.

pub mod base64;
pub mod client;
pub mod cold_pool;
pub mod http;
pub mod json;
pub mod link;
pub mod record;
pub mod router;
pub mod runner;
pub mod site;
pub mod store;
