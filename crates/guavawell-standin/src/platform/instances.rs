//! The lagging list of entry instances, as an `EndpointSlice` list.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// One entry instance as it truly is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The instance's id.
    pub instance: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Its address, given on as written.
    pub address: Box<str>,
    /// True once the instance is leaving.
    #[serde(default)]
    pub terminating: bool,
}

/// The true lists, newest last.
#[derive(Debug, Default)]
pub(super) struct InstanceHistory {
    lists: Vec<DatedList>,
    resource_version: u64,
}

#[derive(Debug)]
struct DatedList {
    since: Instant,
    resource_version: u64,
    entries: Vec<InstanceEntry>,
}

impl InstanceHistory {
    /// Replaces the true list.
    pub(super) fn replace(&mut self, entries: Vec<InstanceEntry>, now: Instant) {
        self.resource_version += 1;
        self.lists.push(DatedList {
            since: now,
            resource_version: self.resource_version,
            entries,
        });
    }

    /// The list as it truly is.
    pub(super) fn current(&self) -> &[InstanceEntry] {
        self.lists.last().map_or(&[], |list| &list.entries)
    }

    /// The list as it was `lag` ago; empty before the first.
    pub(super) fn seen(&self, now: Instant, lag: Duration, namespace: &str) -> Value {
        let old_enough = |list: &&DatedList| now.duration_since(list.since) >= lag;
        match self.lists.iter().rev().find(old_enough) {
            Some(list) => slice_list(&list.entries, list.resource_version, namespace),
            None => slice_list(&[], 0, namespace),
        }
    }
}

fn slice_list(entries: &[InstanceEntry], resource_version: u64, namespace: &str) -> Value {
    let endpoints: Vec<Value> = entries.iter().map(endpoint).collect();
    json!({
        "kind": "EndpointSliceList",
        "apiVersion": "discovery.k8s.io/v1",
        "metadata": { "resourceVersion": resource_version.to_string() },
        "items": [{
            "metadata": { "name": "guavawell", "namespace": namespace },
            "addressType": "IPv4",
            "endpoints": endpoints,
            "ports": [],
        }],
    })
}

fn endpoint(entry: &InstanceEntry) -> Value {
    json!({
        "addresses": [entry.address],
        "zone": entry.zone,
        "targetRef": { "kind": "Pod", "name": entry.instance },
        "conditions": {
            "ready": !entry.terminating,
            "serving": true,
            "terminating": entry.terminating,
        },
    })
}
