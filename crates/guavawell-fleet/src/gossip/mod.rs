//! Membership over UDP: carries `guavawell_core::instance` out.
//!
//! Owns the socket, the authentication of datagrams and the published view.
//! It decides nothing about members by itself.

mod count;
mod driver;
mod key;
mod report;

pub use count::DatagramCounts;
pub use driver::DriverSettings;
pub use driver::GossipDriver;
pub use key::FleetKey;
pub use key::FleetKeys;
pub use key::SealError;
