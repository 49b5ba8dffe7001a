//! `[[backend]]`

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::finding::PlacedValue;
use crate::finding::SourceText;
use crate::finding::TableReader;
use crate::id::BackendId;
use crate::id::ModelId;
use crate::id::ZoneId;
use crate::manifest::BackendKind;

/// The most attempts that a backend server may run at once.
const MAX_SLOTS: u64 = 1_000_000;

/// One `[[backend]]` section.
#[derive(Debug)]
pub struct BackendSection {
    /// The path of the section, as `backend[3]`.
    pub path: Box<str>,
    /// The backend server.
    pub id: PlacedValue<BackendId>,
    /// Its availability zone.
    pub zone: Option<PlacedValue<ZoneId>>,
    /// Its address.
    pub address: Option<PlacedValue<BackendAddress>>,
    /// What it runs.
    pub kind: Option<PlacedValue<BackendKind>>,
    /// The models it serves, as stated.
    pub models: Vec<PlacedValue<ModelId>>,
    /// How many attempts it runs at once.
    pub slots: u32,
    /// Whether it refuses an order that carries an old fencing number.
    pub fences_orders: bool,
    /// Whether it refuses a request that carries an old fencing number.
    pub fences_requests: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl BackendSection {
    /// Reads the section.
    pub fn read(mut table: TableReader<'_, '_>, source: &mut SourceText<'_>) -> Option<Self> {
        let id = table.required("id", source);
        let zone = table.required("zone", source);
        let address = table.required("address", source);
        let kind = table.required("kind", source);
        let models = table.list("models", source);
        let slots = table.required_integer("slots", 1..=MAX_SLOTS, source);
        let fences_orders = table.boolean("fences_orders", false, source);
        let fences_requests = table.boolean("fences_requests", false, source);
        let leaving = table.boolean("leaving", false, source);
        let path = table.path();
        table.finish(source);
        Some(Self {
            path,
            id: id?,
            zone,
            address,
            kind,
            models,
            slots: slots.and_then(|n| n.try_into().ok()).unwrap_or(1),
            fences_orders,
            fences_requests,
            leaving,
        })
    }
}

/// An address by IP number with a port that can be connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendAddress(SocketAddr);

impl BackendAddress {
    /// The socket address.
    pub const fn get(self) -> SocketAddr {
        self.0
    }
}

impl fmt::Display for BackendAddress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for BackendAddress {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Box<str>> {
        let explain = |problem: &str| -> Box<str> {
            format!("`{text}` {problem}; state an IP number and a port, as `10.0.0.7:9001`").into()
        };
        let address: SocketAddr = text.parse().map_err(|_| explain("is not an address"))?;
        if address.port() == 0 {
            return Err(explain("has port 0"));
        }
        if address.ip().is_unspecified() {
            return Err(explain("names no one server"));
        }
        Ok(Self(address))
    }
}
