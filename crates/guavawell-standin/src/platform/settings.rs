//! Settings of the platform stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// Where the stand-in listens and how much it carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of table, object store and instance list; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address of the fault switches and counters.
    pub control: SocketAddr,
    /// Most writes a second, table and object store together; zero is without cap.
    pub write_cap: u64,
    /// Most reads a second, lists included; zero is without cap.
    pub read_cap: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: loopback,
            control: loopback,
            write_cap: 0,
            read_cap: 0,
        }
    }
}
