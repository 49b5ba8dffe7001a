//! The platform's lagging list of instances: the `EndpointSlice` list of `discovery.k8s.io/v1`.

use std::net::SocketAddr;

use guavawell_core::id::InstanceId;
use guavawell_core::id::ZoneId;
use http_types::Method;
use serde::Deserialize;

use super::error::PlatformError;
use super::exchange::ExchangeKind;
use super::exchange::PlatformAsk;
use super::exchange::PlatformHttp;
use super::pool::PoolSettings;

/// One instance as the platform last saw it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceEntry {
    /// The instance's name.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address, as listed: an IP number, or an IP number and a port.
    pub address: Box<str>,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether it is leaving.
    pub terminating: bool,
}

/// A client of the instance list; clones share their connections.
#[derive(Clone, Debug)]
pub struct InstanceList {
    http: PlatformHttp,
    target: Box<str>,
}

#[derive(Deserialize)]
struct SliceList {
    #[serde(default)]
    items: Vec<Slice>,
}

#[derive(Deserialize)]
struct Slice {
    #[serde(default)]
    endpoints: Vec<Endpoint>,
}

#[derive(Deserialize)]
struct Endpoint {
    addresses: Vec<Box<str>>,
    zone: Option<ZoneId>,
    #[serde(rename = "targetRef")]
    target_ref: Option<TargetRef>,
    #[serde(default)]
    conditions: Conditions,
}

#[derive(Deserialize)]
struct TargetRef {
    name: InstanceId,
}

#[derive(Default, Deserialize)]
struct Conditions {
    ready: Option<bool>,
    terminating: Option<bool>,
}

impl InstanceList {
    /// A client of the list of `namespace` at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, namespace: &str, settings: PoolSettings) -> Self {
        let target = format!("/apis/discovery.k8s.io/v1/namespaces/{namespace}/endpointslices");
        Self {
            http: PlatformHttp::new("instances", address, settings),
            target: target.into(),
        }
    }

    /// Reads the list, sorted by instance. Endpoints without a name or zone are left out.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Outage`] or [`PlatformError::Refused`].
    pub async fn read(&self) -> Result<Vec<InstanceEntry>, PlatformError> {
        let ask = PlatformAsk {
            kind: ExchangeKind::Read,
            may_relay: false,
            method: Method::Get,
            target: &self.target,
            headers: &[],
            body: Vec::new(),
        };
        let answer = self.http.ask(ask).await?;
        let list: SliceList = serde_json::from_slice(&answer.body)
            .map_err(|error| PlatformError::Outage(format!("malformed list: {error}").into()))?;
        let endpoints = list.items.into_iter().flat_map(|slice| slice.endpoints);
        let mut entries: Vec<InstanceEntry> = endpoints.filter_map(entry).collect();
        entries.sort();
        Ok(entries)
    }
}

/// An absent `ready` counts as ready, as the interface's documentation says.
fn entry(endpoint: Endpoint) -> Option<InstanceEntry> {
    Some(InstanceEntry {
        instance: endpoint.target_ref?.name,
        zone: endpoint.zone?,
        address: endpoint.addresses.into_iter().next()?,
        ready: endpoint.conditions.ready.unwrap_or(true),
        terminating: endpoint.conditions.terminating.unwrap_or(false),
    })
}
