//! etcd v3's JSON gateway over the table: the messages and their meaning.
//!
//! As the gateway does, answers leave out fields that hold their default.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use thiserror::Error as ThisError;

use crate::platform::table::CompareResult;
use crate::platform::table::CompareTarget;
use crate::platform::table::KeyRange;
use crate::platform::table::OperationAnswer;
use crate::platform::table::RangeAnswer;
use crate::platform::table::RowCompare;
use crate::platform::table::TableBytes;
use crate::platform::table::TableOperation;
use crate::platform::table::TableRow;
use crate::platform::table::TableStore;

/// Most operations of one list of a transaction, as etcd's `--max-txn-ops`.
const MAX_OPERATIONS: usize = 128;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
pub(super) enum GatewayError {
    #[error("etcdserver: key is not provided")]
    MissingKey,
    #[error("etcdserver: too many operations in txn request")]
    TooManyOperations,
    #[error("etcdserver: duplicate key given in txn request")]
    DuplicateKey,
    #[error("an operation holds none of requestPut, requestRange and requestDeleteRange")]
    UnknownOperation,
    #[error("a comparison lacks the field that its target names")]
    MissingOperand,
}

/// Bytes written as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct GatewayBytes(TableBytes);

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
struct GatewayNumber(u64);

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
pub(super) struct RangeRequest {
    key: GatewayBytes,
    #[serde(alias = "rangeEnd")]
    range_end: GatewayBytes,
    limit: GatewayNumber,
}

/// The body of `POST /v3/kv/txn`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnRequest {
    compare: Vec<CompareRequest>,
    success: Vec<OperationRequest>,
    failure: Vec<OperationRequest>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CompareRequest {
    key: GatewayBytes,
    target: TargetName,
    result: ResultName,
    version: Option<GatewayNumber>,
    #[serde(alias = "createRevision")]
    create_revision: Option<GatewayNumber>,
    #[serde(alias = "modRevision")]
    mod_revision: Option<GatewayNumber>,
    value: Option<GatewayBytes>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum TargetName {
    #[default]
    Version,
    Create,
    Mod,
    Value,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum ResultName {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OperationRequest {
    #[serde(rename = "requestPut", alias = "request_put")]
    put: Option<PutRequest>,
    #[serde(rename = "requestRange", alias = "request_range")]
    range: Option<RangeRequest>,
    #[serde(rename = "requestDeleteRange", alias = "request_delete_range")]
    delete: Option<RangeRequest>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct PutRequest {
    key: GatewayBytes,
    value: GatewayBytes,
}

#[derive(Debug, Serialize)]
struct AnswerHeader {
    revision: GatewayNumber,
}

#[derive(Debug, Serialize)]
struct RowAnswer {
    key: GatewayBytes,
    create_revision: GatewayNumber,
    mod_revision: GatewayNumber,
    version: GatewayNumber,
    #[serde(skip_serializing_if = "is_empty")]
    value: GatewayBytes,
}

/// The answer to a range.
#[derive(Debug, Serialize)]
pub(super) struct RangeResponse {
    header: AnswerHeader,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    kvs: Vec<RowAnswer>,
    #[serde(skip_serializing_if = "is_false")]
    more: bool,
    #[serde(skip_serializing_if = "is_zero")]
    count: GatewayNumber,
}

#[derive(Debug, Serialize)]
struct PutResponse {
    header: AnswerHeader,
}

#[derive(Debug, Serialize)]
struct DeleteResponse {
    header: AnswerHeader,
    #[serde(skip_serializing_if = "is_zero")]
    deleted: GatewayNumber,
}

#[derive(Debug, Serialize)]
enum OperationResponse {
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_delete_range")]
    Delete(DeleteResponse),
}

/// The answer to a transaction.
#[derive(Debug, Serialize)]
pub(super) struct TxnResponse {
    header: AnswerHeader,
    #[serde(skip_serializing_if = "is_false")]
    succeeded: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    responses: Vec<OperationResponse>,
}

/// A transaction whose parts have been checked.
#[derive(Debug)]
pub(super) struct TablePlan {
    compares: Vec<RowCompare>,
    success: Vec<TableOperation>,
    failure: Vec<TableOperation>,
}

impl RangeRequest {
    pub(super) fn run(self, store: &TableStore) -> Result<RangeResponse, GatewayError> {
        let limit = usize::try_from(self.limit.0).unwrap_or(usize::MAX);
        let range = self.key_range()?;
        let answer = store.range(&range, limit);
        Ok(range_response(answer, store.revision()))
    }

    fn key_range(self) -> Result<KeyRange, GatewayError> {
        Ok(KeyRange {
            first: given_key(self.key)?,
            end: self.range_end.0,
        })
    }
}

impl TxnRequest {
    pub(super) fn plan(self) -> Result<TablePlan, GatewayError> {
        Ok(TablePlan {
            compares: self
                .compare
                .into_iter()
                .map(row_compare)
                .collect::<Result<_, _>>()?,
            success: operations(self.success)?,
            failure: operations(self.failure)?,
        })
    }
}

impl TablePlan {
    /// True if either list holds a put or a delete.
    pub(super) fn may_write(&self) -> bool {
        let mut operations = self.success.iter().chain(&self.failure);
        operations.any(|operation| !matches!(operation, TableOperation::Range { .. }))
    }

    pub(super) fn run(&self, store: &mut TableStore) -> TxnResponse {
        let succeeded = self.compares.iter().all(|compare| store.holds(compare));
        let operations = if succeeded {
            &self.success
        } else {
            &self.failure
        };
        let answers = store.apply(operations);
        let revision = store.revision();
        TxnResponse {
            header: answer_header(revision),
            succeeded,
            responses: answers
                .into_iter()
                .map(|answer| operation_response(answer, revision))
                .collect(),
        }
    }
}

fn given_key(key: GatewayBytes) -> Result<TableBytes, GatewayError> {
    if key.0.is_empty() {
        return Err(GatewayError::MissingKey);
    }
    Ok(key.0)
}

fn row_compare(request: CompareRequest) -> Result<RowCompare, GatewayError> {
    let number = |number: Option<GatewayNumber>| number.map(|number| number.0);
    let target = match request.target {
        TargetName::Version => number(request.version).map(CompareTarget::Version),
        TargetName::Create => number(request.create_revision).map(CompareTarget::Create),
        TargetName::Mod => number(request.mod_revision).map(CompareTarget::Mod),
        TargetName::Value => request.value.map(|value| CompareTarget::Value(value.0)),
    };
    Ok(RowCompare {
        key: given_key(request.key)?,
        target: target.ok_or(GatewayError::MissingOperand)?,
        result: match request.result {
            ResultName::Equal => CompareResult::Equal,
            ResultName::Greater => CompareResult::Greater,
            ResultName::Less => CompareResult::Less,
            ResultName::NotEqual => CompareResult::NotEqual,
        },
    })
}

fn operations(requests: Vec<OperationRequest>) -> Result<Vec<TableOperation>, GatewayError> {
    if requests.len() > MAX_OPERATIONS {
        return Err(GatewayError::TooManyOperations);
    }
    let operations = requests
        .into_iter()
        .map(operation)
        .collect::<Result<Vec<_>, _>>()?;
    check_duplicates(&operations)?;
    Ok(operations)
}

fn operation(request: OperationRequest) -> Result<TableOperation, GatewayError> {
    if let Some(put) = request.put {
        return Ok(TableOperation::Put {
            key: given_key(put.key)?,
            value: put.value.0,
        });
    }
    if let Some(range) = request.range {
        let limit = usize::try_from(range.limit.0).unwrap_or(usize::MAX);
        let range = range.key_range()?;
        return Ok(TableOperation::Range { range, limit });
    }
    if let Some(delete) = request.delete {
        let range = delete.key_range()?;
        return Ok(TableOperation::Delete { range });
    }
    Err(GatewayError::UnknownOperation)
}

/// etcd refuses a transaction that puts one key twice.
fn check_duplicates(operations: &[TableOperation]) -> Result<(), GatewayError> {
    let key = |operation: &TableOperation| match operation {
        TableOperation::Put { key, .. } => Some(key.clone()),
        _ => None,
    };
    let mut keys: Vec<TableBytes> = operations.iter().filter_map(key).collect();
    keys.sort_unstable();
    if keys.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(GatewayError::DuplicateKey);
    }
    Ok(())
}

fn operation_response(answer: OperationAnswer, revision: u64) -> OperationResponse {
    let header = answer_header(revision);
    match answer {
        OperationAnswer::Put => OperationResponse::Put(PutResponse { header }),
        OperationAnswer::Range(range) => OperationResponse::Range(range_response(range, revision)),
        OperationAnswer::Delete { deleted } => OperationResponse::Delete(DeleteResponse {
            header,
            deleted: GatewayNumber(deleted),
        }),
    }
}

fn range_response(answer: RangeAnswer, revision: u64) -> RangeResponse {
    RangeResponse {
        header: answer_header(revision),
        kvs: answer.rows.iter().map(|row| row_answer(row)).collect(),
        more: answer.more,
        count: GatewayNumber(u64::try_from(answer.count).unwrap_or(u64::MAX)),
    }
}

fn row_answer(row: &TableRow) -> RowAnswer {
    RowAnswer {
        key: GatewayBytes(row.key.clone()),
        create_revision: GatewayNumber(row.create_revision),
        mod_revision: GatewayNumber(row.mod_revision),
        version: GatewayNumber(row.version),
        value: GatewayBytes(row.value.clone()),
    }
}

fn answer_header(revision: u64) -> AnswerHeader {
    AnswerHeader {
        revision: GatewayNumber(revision),
    }
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
