//! Settings of the plain service.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use guavawell_core::clock::ClockSpan;

/// How the service serves; every time of zero means at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Address for routers; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address of the fault switches and the truth log.
    pub control: SocketAddr,
    /// Name of this backend server, for its log lines.
    pub name: Box<str>,
    /// Calls that run at once; more are turned away with 503.
    pub slots: usize,
    /// Time that a call takes.
    pub service_time: ClockSpan,
    /// Interval at which the load report is renewed; zero reports at once.
    pub report_interval: ClockSpan,
    /// Attempts remembered for records.
    pub record_limit: usize,
    /// Runs kept in the truth log.
    pub truth_limit: usize,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: loopback,
            control: loopback,
            name: "service".into(),
            slots: 256,
            service_time: ClockSpan::default(),
            report_interval: ClockSpan::default(),
            record_limit: 100_000,
            truth_limit: 200_000,
        }
    }
}
