//! Whether a server's response can be the answer to a request, beyond what HTTP asks.

use thiserror::Error;

use crate::field_names::FieldNames;
use crate::http::FieldList;
use crate::http::RequestHead;
use crate::http::ResponseHead;

/// Why a response is no answer to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseFault {
    /// It is a success without a receipt, or has several receipts.
    #[error("a success needs exactly one receipt")]
    Receipt,
    /// It names another request beside its own.
    #[error("the response names several requests")]
    Request,
    /// Its body has a coding that its caller did not ask for.
    #[error("the body has a coding that nobody asked for")]
    Coding,
}

/// Checks the head of a response to a request with this id.
///
/// # Errors
///
/// The response is no answer to the request.
pub fn check_response(
    names: &FieldNames,
    request: &RequestHead,
    id: &str,
    head: &ResponseHead,
) -> Result<(), ResponseFault> {
    let mut ids = head.fields.all(names.request);
    if ids.any(|named| named != id.as_bytes()) {
        return Err(ResponseFault::Request);
    }
    let is_success = matches!(head.status, 200..300);
    check_receipt(head, names.receipt, is_success)?;
    if is_success && has_coding(&head.fields) && !accepts_coding(&request.fields) {
        return Err(ResponseFault::Coding);
    }
    Ok(())
}

/// Only a success needs a receipt; none may have several.
fn check_receipt(head: &ResponseHead, name: &str, is_needed: bool) -> Result<(), ResponseFault> {
    let mut receipts = head.fields.all(name);
    let receipt = receipts.next();
    let is_valid = match receipt {
        None => !is_needed,
        Some(receipt) => !receipt.is_empty() && receipts.next().is_none(),
    };
    is_valid.then_some(()).ok_or(ResponseFault::Receipt)
}

fn has_coding(fields: &FieldList) -> bool {
    fields
        .all("content-encoding")
        .any(|coding| !coding.eq_ignore_ascii_case(b"identity"))
}

fn accepts_coding(fields: &FieldList) -> bool {
    fields
        .all("accept-encoding")
        .any(|codings| !codings.eq_ignore_ascii_case(b"identity"))
}
