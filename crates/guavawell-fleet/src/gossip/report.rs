//! Datagrams of load reports, which go beside membership's messages.

/// First byte of a payload of load reports. A message begins with the length
/// of its sender's id, which is never empty.
const REPORT_TAG: u8 = 0;

/// The payload that carries a bundle of load reports.
pub(super) fn report_payload(bundle: &[u8]) -> Vec<u8> {
    let mut payload = Vec::with_capacity(1 + bundle.len());
    payload.push(REPORT_TAG);
    payload.extend_from_slice(bundle);
    payload
}

/// The bundle in a payload; `None` if it carries a message.
pub(super) fn read_report(payload: &[u8]) -> Option<&[u8]> {
    let (tag, bundle) = payload.split_first()?;
    (*tag == REPORT_TAG).then_some(bundle)
}
