//! From the gateway's messages to the table and back.

use thiserror::Error;

use crate::platform::gateway::message::AnswerHeader;
use crate::platform::gateway::message::CompareRequest;
use crate::platform::gateway::message::DeleteResponse;
use crate::platform::gateway::message::GatewayBytes;
use crate::platform::gateway::message::GatewayNumber;
use crate::platform::gateway::message::OperationRequest;
use crate::platform::gateway::message::OperationResponse;
use crate::platform::gateway::message::PutResponse;
use crate::platform::gateway::message::RangeRequest;
use crate::platform::gateway::message::RangeResponse;
use crate::platform::gateway::message::ResultName;
use crate::platform::gateway::message::RowAnswer;
use crate::platform::gateway::message::TargetName;
use crate::platform::gateway::message::TxnRequest;
use crate::platform::gateway::message::TxnResponse;
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(in crate::platform) enum GatewayError {
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

/// A transaction whose parts have been checked.
#[derive(Debug)]
pub(in crate::platform) struct TablePlan {
    compares: Vec<RowCompare>,
    success: Vec<TableOperation>,
    failure: Vec<TableOperation>,
}

impl RangeRequest {
    pub(in crate::platform) fn run(
        self,
        store: &TableStore,
    ) -> Result<RangeResponse, GatewayError> {
        let limit = usize::try_from(self.limit.0).unwrap_or(usize::MAX);
        let keys_only = self.keys_only;
        let range = self.key_range()?;
        let answer = store.range(&range, limit);
        let mut response = range_response(&answer, store.revision());
        if keys_only {
            for row in &mut response.kvs {
                row.value = GatewayBytes::default();
            }
        }
        Ok(response)
    }

    fn key_range(self) -> Result<KeyRange, GatewayError> {
        Ok(KeyRange {
            first: given_key(self.key)?,
            end: self.range_end.0,
        })
    }
}

impl TxnRequest {
    pub(in crate::platform) fn plan(self) -> Result<TablePlan, GatewayError> {
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
    pub(in crate::platform) fn may_write(&self) -> bool {
        let mut operations = self.success.iter().chain(&self.failure);
        operations.any(|operation| !matches!(operation, TableOperation::Range { .. }))
    }

    pub(in crate::platform) fn run(&self, store: &mut TableStore) -> TxnResponse {
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
        OperationAnswer::Range(range) => OperationResponse::Range(range_response(&range, revision)),
        OperationAnswer::Delete { deleted } => OperationResponse::Delete(DeleteResponse {
            header,
            deleted: GatewayNumber(deleted),
        }),
    }
}

fn range_response(answer: &RangeAnswer, revision: u64) -> RangeResponse {
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
