//! Events cut at every possible place.

use super::StreamDecoder;

fn events_of(pieces: &[&[u8]]) -> Vec<(String, String)> {
    let mut decoder = StreamDecoder::default();
    let mut events = Vec::new();
    for piece in pieces {
        decoder.feed(piece);
        while let Some(event) = decoder.next_event() {
            let name = String::from_utf8_lossy(event.name).into_owned();
            let data = String::from_utf8_lossy(event.data).into_owned();
            events.push((name, data));
        }
    }
    events
}

#[test]
fn events_survive_a_cut_at_any_byte() {
    let text = b"id: 2a:0\ndata: {\"a\":1}\n\nevent: error\r\ndata: {}\r\n\r\ndata: [DONE]\n\n";
    let whole = events_of(&[text]);
    assert_eq!(whole.len(), 3);
    assert_eq!(whole[0], (String::new(), "{\"a\":1}".into()));
    assert_eq!(whole[1], ("error".into(), "{}".into()));
    assert_eq!(whole[2].1, "[DONE]");
    for cut in 0..text.len() {
        assert_eq!(
            events_of(&[&text[..cut], &text[cut..]]),
            whole,
            "cut at {cut}"
        );
    }
}

#[test]
fn an_event_without_its_blank_line_is_not_given_out() {
    assert!(events_of(&[b"data: [DONE]\n"]).is_empty());
}
