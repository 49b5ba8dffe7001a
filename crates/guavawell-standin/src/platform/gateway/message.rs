//! The gateway's messages, in the spelling of its JSON.
//!
//! As the gateway does, answers leave out fields that hold their default.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

use crate::platform::table::TableBytes;

/// Bytes written as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct GatewayBytes(pub(super) TableBytes);

impl Serialize for GatewayBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'a> Deserialize<'a> for GatewayBytes {
    fn deserialize<D: Deserializer<'a>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(deserializer)?;
        let bytes = BASE64_STANDARD.decode(&*text).map_err(D::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// A 64-bit number, written as a string and read from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct GatewayNumber(pub(super) u64);

impl Serialize for GatewayNumber {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'a> Deserialize<'a> for GatewayNumber {
    fn deserialize<D: Deserializer<'a>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Written {
            Text(Box<str>),
            Number(u64),
        }
        match Written::deserialize(deserializer)? {
            Written::Number(number) => Ok(Self(number)),
            Written::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

/// The body of `POST /v3/kv/range`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(in crate::platform) struct RangeRequest {
    pub(super) key: GatewayBytes,
    #[serde(alias = "rangeEnd")]
    pub(super) range_end: GatewayBytes,
    pub(super) limit: GatewayNumber,
    #[serde(alias = "keysOnly")]
    pub(super) keys_only: bool,
}

/// The body of `POST /v3/kv/txn`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(in crate::platform) struct TxnRequest {
    pub(super) compare: Vec<CompareRequest>,
    pub(super) success: Vec<OperationRequest>,
    pub(super) failure: Vec<OperationRequest>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct CompareRequest {
    pub(super) key: GatewayBytes,
    pub(super) target: TargetName,
    pub(super) result: ResultName,
    pub(super) version: Option<GatewayNumber>,
    #[serde(alias = "createRevision")]
    pub(super) create_revision: Option<GatewayNumber>,
    #[serde(alias = "modRevision")]
    pub(super) mod_revision: Option<GatewayNumber>,
    pub(super) value: Option<GatewayBytes>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum TargetName {
    #[default]
    Version,
    Create,
    Mod,
    Value,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum ResultName {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct OperationRequest {
    #[serde(rename = "requestPut", alias = "request_put")]
    pub(super) put: Option<PutRequest>,
    #[serde(rename = "requestRange", alias = "request_range")]
    pub(super) range: Option<RangeRequest>,
    #[serde(rename = "requestDeleteRange", alias = "request_delete_range")]
    pub(super) delete: Option<RangeRequest>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct PutRequest {
    pub(super) key: GatewayBytes,
    pub(super) value: GatewayBytes,
}

#[derive(Debug, Serialize)]
pub(super) struct AnswerHeader {
    pub(super) revision: GatewayNumber,
}

#[derive(Debug, Serialize)]
pub(super) struct RowAnswer {
    pub(super) key: GatewayBytes,
    pub(super) create_revision: GatewayNumber,
    pub(super) mod_revision: GatewayNumber,
    pub(super) version: GatewayNumber,
    #[serde(skip_serializing_if = "is_empty")]
    pub(super) value: GatewayBytes,
}

/// The answer to a range.
#[derive(Debug, Serialize)]
pub(in crate::platform) struct RangeResponse {
    pub(super) header: AnswerHeader,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) kvs: Vec<RowAnswer>,
    #[serde(skip_serializing_if = "is_false")]
    pub(super) more: bool,
    #[serde(skip_serializing_if = "is_zero")]
    pub(super) count: GatewayNumber,
}

#[derive(Debug, Serialize)]
pub(super) struct PutResponse {
    pub(super) header: AnswerHeader,
}

#[derive(Debug, Serialize)]
pub(super) struct DeleteResponse {
    pub(super) header: AnswerHeader,
    #[serde(skip_serializing_if = "is_zero")]
    pub(super) deleted: GatewayNumber,
}

#[derive(Debug, Serialize)]
pub(super) enum OperationResponse {
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_delete_range")]
    Delete(DeleteResponse),
}

/// The answer to a transaction.
#[derive(Debug, Serialize)]
pub(in crate::platform) struct TxnResponse {
    pub(super) header: AnswerHeader,
    #[serde(skip_serializing_if = "is_false")]
    pub(super) succeeded: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) responses: Vec<OperationResponse>,
}

fn is_empty(bytes: &GatewayBytes) -> bool {
    bytes.0.is_empty()
}

#[allow(clippy::trivially_copy_pass_by_ref)] // serde passes references
fn is_zero(number: &GatewayNumber) -> bool {
    number.0 == 0
}

#[allow(clippy::trivially_copy_pass_by_ref)] // serde passes references
fn is_false(flag: &bool) -> bool {
    !flag
}
