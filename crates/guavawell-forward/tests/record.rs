//! The records in which an instance passes on bytes for another.

use guavawell_forward::http::RECORD_END;
use guavawell_forward::http::RecordDecoder;
use guavawell_forward::http::record_head;

fn record(content: &[u8]) -> Vec<u8> {
    [&record_head(content.len()), content].concat()
}

// Guards against bytes that are lost or added where a read ends within a record.
#[test]
fn records_are_decoded_wherever_a_read_ends() {
    let sent = [record(b"first"), record(b"x"), RECORD_END.to_vec()].concat();
    for size in 1..=sent.len() {
        let (mut decoder, mut output) = (RecordDecoder::default(), Vec::new());
        for part in sent.chunks(size) {
            assert!(!decoder.has_ended());
            decoder.decode(part, &mut output);
        }
        assert_eq!(output, b"firstx", "reads of {size}");
        assert!(decoder.has_ended());
    }
}

// Guards against an end that is taken from a connection that ended early.
#[test]
fn only_the_whole_mark_is_an_end() {
    let sent = [record(b"first"), RECORD_END.to_vec()].concat();
    for length in 0..sent.len() {
        let (mut decoder, mut output) = (RecordDecoder::default(), Vec::new());
        decoder.decode(&sent[..length], &mut output);
        assert!(!decoder.has_ended(), "{length} bytes");
        let is_between = length == 0 || length == record(b"first").len();
        assert_eq!(decoder.is_between_records(), is_between, "{length} bytes");
    }
}

#[test]
fn bytes_after_the_mark_are_ignored() {
    let (mut decoder, mut output) = (RecordDecoder::default(), Vec::new());
    decoder.decode(&[&RECORD_END[..], &record(b"late")].concat(), &mut output);
    assert!(output.is_empty());
    assert!(decoder.has_ended());
}
