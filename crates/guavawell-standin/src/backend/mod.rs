//! What all kinds of backend server share: addresses, faults, lives, truth.
//!
//! What differs, such as routes and a life's content, stays in `engine` and
//! `service`.

mod host;
mod running;

pub(crate) use host::BackendBase;
pub(crate) use host::BackendHost;
pub(crate) use host::BackendKind;
pub use running::RunningBackend;
