//! What all kinds of backend server share: addresses, faults, lives, truth.

mod host;

pub(crate) use host::BackendBase;
pub(crate) use host::BackendHost;
pub(crate) use host::BackendKind;
