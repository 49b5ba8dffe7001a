//! The JSON forms of etcd v3's gateway: bytes in base64, 64-bit numbers as text.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use super::error::PlatformError;
use super::txn::CompareSign;
use super::txn::OpAnswer;
use super::txn::TableCompare;
use super::txn::TableOp;
use super::txn::TableRow;
use super::txn::TableTxn;
use super::txn::TxnAnswer;

/// The body of a range request.
#[derive(Clone, Debug, Serialize)]
pub(super) struct RangeAsk {
    pub key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<String>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub keys_only: bool,
}

impl RangeAsk {
    /// Rows from `start` up to the end of `prefix`, at most `limit` (0: all).
    pub fn prefix(prefix: &str, start: &[u8], limit: u64) -> Self {
        Self {
            key: STANDARD.encode(start),
            range_end: Some(STANDARD.encode(prefix_end(prefix.as_bytes()))),
            limit: (limit > 0).then(|| limit.to_string()),
            keys_only: false,
        }
    }

    /// The same rows without their values.
    pub fn keys_only(self) -> Self {
        Self {
            keys_only: true,
            ..self
        }
    }

    /// The one row at `key`.
    pub fn key(key: &str) -> Self {
        Self {
            key: STANDARD.encode(key),
            range_end: None,
            limit: None,
            keys_only: false,
        }
    }
}

/// The first key behind every key that begins with `prefix`.
fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

#[derive(Deserialize)]
struct Header {
    #[serde(default)]
    revision: Number,
}

/// A 64-bit number, as text or plain.
#[derive(Default, Deserialize)]
#[serde(untagged)]
enum Number {
    #[default]
    Absent,
    Plain(u64),
    Text(Box<str>),
}

impl Number {
    fn get(&self) -> Result<u64, PlatformError> {
        match self {
            Self::Absent => Ok(0),
            Self::Plain(number) => Ok(*number),
            Self::Text(text) => text.parse().map_err(|_| malformed(text)),
        }
    }
}

#[derive(Deserialize)]
struct KeyValue {
    key: Box<str>,
    #[serde(default)]
    value: Box<str>,
    #[serde(default, alias = "createRevision")]
    create_revision: Number,
    #[serde(default, alias = "modRevision")]
    mod_revision: Number,
    #[serde(default)]
    version: Number,
}

#[derive(Deserialize)]
struct RangeReply {
    header: Option<Header>,
    #[serde(default)]
    kvs: Vec<KeyValue>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct DeleteReply {
    #[serde(default)]
    deleted: Number,
}

#[derive(Deserialize)]
struct OpReply {
    #[serde(rename = "response_put", alias = "responsePut")]
    put: Option<Value>,
    #[serde(rename = "response_range", alias = "responseRange")]
    range: Option<RangeReply>,
    #[serde(rename = "response_delete_range", alias = "responseDeleteRange")]
    delete: Option<DeleteReply>,
}

#[derive(Deserialize)]
struct TxnReply {
    header: Option<Header>,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<OpReply>,
}

/// One page of a range.
pub(super) struct RangePage {
    pub revision: u64,
    pub rows: Vec<TableRow>,
    pub more: bool,
}

pub(super) fn range_page(body: &[u8]) -> Result<RangePage, PlatformError> {
    let reply: RangeReply = parse(body)?;
    let revision = revision(reply.header.as_ref())?;
    Ok(RangePage {
        revision,
        rows: rows(&reply.kvs)?,
        more: reply.more,
    })
}

pub(super) fn txn_answer(body: &[u8]) -> Result<TxnAnswer, PlatformError> {
    let reply: TxnReply = parse(body)?;
    let answers: Result<Vec<_>, _> = reply.responses.iter().map(op_answer).collect();
    Ok(TxnAnswer {
        succeeded: reply.succeeded,
        revision: revision(reply.header.as_ref())?,
        answers: answers?,
    })
}

fn op_answer(reply: &OpReply) -> Result<OpAnswer, PlatformError> {
    if let Some(range) = &reply.range {
        return Ok(OpAnswer::Rows {
            rows: rows(&range.kvs)?,
            more: range.more,
        });
    }
    if let Some(delete) = &reply.delete {
        let count = delete.deleted.get()?;
        return Ok(OpAnswer::Deleted { count });
    }
    match reply.put {
        Some(_) => Ok(OpAnswer::Put),
        None => Err(malformed("an operation without an answer")),
    }
}

fn rows(kvs: &[KeyValue]) -> Result<Vec<TableRow>, PlatformError> {
    kvs.iter().map(row).collect()
}

fn row(kv: &KeyValue) -> Result<TableRow, PlatformError> {
    let key = String::from_utf8(bytes(&kv.key)?).map_err(|_| malformed(&kv.key))?;
    Ok(TableRow {
        key: key.into(),
        value: bytes(&kv.value)?.into(),
        create_revision: kv.create_revision.get()?,
        mod_revision: kv.mod_revision.get()?,
        version: kv.version.get()?,
    })
}

fn bytes(text: &str) -> Result<Vec<u8>, PlatformError> {
    STANDARD.decode(text).map_err(|_| malformed(text))
}

fn revision(header: Option<&Header>) -> Result<u64, PlatformError> {
    header.map_or(Ok(0), |header| header.revision.get())
}

/// Parses a whole answer. An answer that cannot be read says nothing about
/// whether the write was applied.
fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| malformed(&error.to_string()))
}

fn malformed(detail: &str) -> PlatformError {
    PlatformError::Lost(format!("malformed answer: {detail}").into())
}

/// The body of a transaction request.
pub(super) fn txn_body(txn: &TableTxn) -> Vec<u8> {
    let compare: Vec<Value> = txn.compares.iter().map(compare_body).collect();
    let success: Vec<Value> = txn.success.iter().map(op_body).collect();
    let failure: Vec<Value> = txn.failure.iter().map(op_body).collect();
    json!({"compare": compare, "success": success, "failure": failure})
        .to_string()
        .into_bytes()
}

fn compare_body(compare: &TableCompare) -> Value {
    match compare {
        TableCompare::Mod {
            key,
            sign,
            revision,
        } => json!({"key": STANDARD.encode(&**key), "target": "MOD", "result": sign_word(*sign),
            "mod_revision": revision.to_string()}),
        TableCompare::Create {
            key,
            sign,
            revision,
        } => json!({"key": STANDARD.encode(&**key), "target": "CREATE", "result": sign_word(*sign),
            "create_revision": revision.to_string()}),
        TableCompare::Version { key, sign, version } => {
            json!({"key": STANDARD.encode(&**key), "target": "VERSION", "result": sign_word(*sign),
                "version": version.to_string()})
        }
        TableCompare::Value { key, sign, value } => {
            json!({"key": STANDARD.encode(&**key), "target": "VALUE", "result": sign_word(*sign),
                "value": STANDARD.encode(value)})
        }
    }
}

const fn sign_word(sign: CompareSign) -> &'static str {
    match sign {
        CompareSign::Equal => "EQUAL",
        CompareSign::Greater => "GREATER",
        CompareSign::Less => "LESS",
        CompareSign::NotEqual => "NOT_EQUAL",
    }
}

fn op_body(op: &TableOp) -> Value {
    match op {
        TableOp::Put { key, value } => json!({"requestPut":
            {"key": STANDARD.encode(&**key), "value": STANDARD.encode(value)}}),
        TableOp::Get { key } => json!({"requestRange": RangeAsk::key(key)}),
        TableOp::Prefix { prefix, limit } => json!({"requestRange":
            RangeAsk::prefix(prefix, prefix.as_bytes(), *limit)}),
        TableOp::Delete { key } => json!({"requestDeleteRange": RangeAsk::key(key)}),
    }
}
