//! Parses request heads, response heads, bodies and events that are split at
//! any byte, malformed, or randomly corrupted.

use guavawell_forward::http::BodyDecoder;
use guavawell_forward::http::BodyFraming;
use guavawell_forward::http::RequestHead;
use guavawell_forward::http::ResponseHead;
use guavawell_forward::sse::EventScan;
use guavawell_forward::sse::EventScanner;
use guavawell_forward::sse::begins_event;

fn decode_in_parts(framing: BodyFraming, bytes: &[u8], cut: usize) -> Option<Vec<u8>> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    let mut buffered: Vec<u8> = Vec::new();
    for part in [&bytes[..cut], &bytes[cut..]] {
        buffered.extend_from_slice(part);
        let consumed = decoder.decode(&buffered, &mut body).ok()?;
        buffered.drain(..consumed);
    }
    decoder.is_done().then_some(body)
}

#[test]
fn chunks_decode_alike_wherever_they_are_cut() {
    let bytes = b"5\r\nhello\r\nA;name=value\r\n, everyone\r\n0\r\nTrailer: 1\r\n\r\n";
    for cut in 0..=bytes.len() {
        let body = decode_in_parts(BodyFraming::Chunked, bytes, cut);
        assert_eq!(
            body.as_deref(),
            Some(&b"hello, everyone"[..]),
            "cut at {cut}"
        );
    }
}

#[test]
fn malformed_chunks_are_refused() {
    for bytes in [
        &b"\r\n"[..],
        b"g\r\n",
        b"-1\r\n",
        b"5\nhello",
        b"5\r\nhelloXX",
        b"ffffffffffffffffff\r\n",
        b" 5\r\nhello\r\n",
    ] {
        let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
        let result = decoder.decode(bytes, &mut Vec::new());
        assert!(result.is_err(), "{:?}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn a_body_of_known_length_ends_after_that_many_bytes() {
    let mut decoder = BodyDecoder::new(BodyFraming::Length(3));
    let mut body = Vec::new();
    assert_eq!(decoder.decode(b"abcdef", &mut body), Ok(3));
    assert!(decoder.is_done());
    assert_eq!(body, b"abc");
}

#[test]
fn answers_without_a_length_end_with_their_connection() {
    let head = b"HTTP/1.1 200 OK\r\n\r\n";
    let head = ResponseHead::parse(head, false).expect("a valid head");
    assert_eq!(head.framing, BodyFraming::UntilClose);
    assert!(!head.keep_alive);
    let head = ResponseHead::parse(b"HTTP/1.1 204 No\r\n\r\n", false).expect("a valid head");
    assert_eq!(head.framing, BodyFraming::Empty);
}

#[test]
fn answers_with_ambiguous_framing_are_refused() {
    for fields in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3, 3\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ] {
        let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
        assert!(
            ResponseHead::parse(head.as_bytes(), false).is_err(),
            "{fields}"
        );
    }
}

// Guards against a status of three digits that is none of the protocol. Nobody asks for
// the switch that 101 announces.
#[test]
fn only_the_statuses_of_the_protocol_are_accepted() {
    for status in 0..=999 {
        let head = format!("HTTP/1.1 {status:03} Reason\r\n\r\n");
        let head = ResponseHead::parse(head.as_bytes(), false);
        let is_valid = (100..=599).contains(&status) && status != 101;
        assert_eq!(head.is_ok(), is_valid, "{status:03}");
    }
}

/// The bytes of which the name of a field consists (RFC 9110, section 5.6.2).
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

// Guards against a name with a byte that is none of a name, wherever it stands: names of
// several bytes are checked at once.
#[test]
fn names_with_any_other_byte_are_refused() {
    for length in 1..48 {
        for place in 0..length {
            for byte in (0..=u8::MAX).filter(|byte| *byte != b':') {
                let mut name = vec![b'n'; length];
                name[place] = byte;
                let head = [b"HTTP/1.1 200 OK\r\nA: b\r\n", &*name, b": c\r\n\r\n"].concat();
                let head = ResponseHead::parse(&head, false);
                let is_valid = is_name_byte(byte);
                assert_eq!(head.is_ok(), is_valid, "{byte} at {place} of {length}");
            }
        }
    }
}

#[test]
fn corrupted_heads_never_panic_and_the_intact_head_has_its_host() {
    let good =
        b"POST /a/b?c HTTP/1.1\r\nHost: one.example:80\r\nX-A: 1\r\nContent-Length: 5\r\n\r\n";
    let mut random = fastrand::Rng::with_seed(5);
    for _ in 0..20_000 {
        let mut bytes = good.to_vec();
        for _ in 0..random.usize(1..4) {
            let index = random.usize(..bytes.len());
            bytes[index] = random.u8(..);
        }
        let _ = RequestHead::parse(&bytes);
        let _ = ResponseHead::parse(&bytes, false);
    }
    let head = RequestHead::parse(good).expect("a valid head");
    assert_eq!((&*head.host, head.path()), ("one.example", "/a/b"));
}

#[test]
fn corrupted_chunks_never_panic() {
    let mut random = fastrand::Rng::with_seed(6);
    for _ in 0..20_000 {
        let length = random.usize(..40);
        let alphabet = b"0123456789abcdefg\r\n;: ";
        let bytes: Vec<u8> = (0..length)
            .map(|_| alphabet[random.usize(..alphabet.len())])
            .collect();
        let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
        let mut body = Vec::new();
        if let Ok(consumed) = decoder.decode(&bytes, &mut body) {
            assert!(consumed <= bytes.len());
            assert!(body.len() <= consumed);
        }
    }
}

fn scan_events(bytes: &[u8]) -> EventScan {
    EventScanner::default().scan(bytes).clone()
}

#[test]
fn events_that_arrive_in_parts_are_found_as_in_one() {
    let bytes: &[u8] = b": alive\n\nid: 7\r\ndata: a\r\n\r\n\ndata: b\n\nid: 9\nda";
    let whole = scan_events(bytes);
    for size in 1..bytes.len() {
        let mut scanner = EventScanner::default();
        let ends = (0..bytes.len()).step_by(size).skip(1);
        for end in ends {
            scanner.scan(&bytes[..end]);
        }
        assert_eq!(*scanner.scan(bytes), whole, "parts of {size}");
    }
    let mut scanner = EventScanner::default();
    let first = scanner.scan(bytes).complete_bytes;
    scanner.consume(first);
    let rest = [&bytes[first..], b"ta: c\n\n"].concat();
    assert_eq!(*scanner.scan(&rest), scan_events(&rest));
}

#[test]
fn only_complete_events_are_counted() {
    let bytes = b"id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 5\nda";
    let scan = scan_events(bytes);
    assert_eq!(
        (scan.count, scan.first_id, scan.last_id),
        (2, Some(3), Some(4))
    );
    assert_eq!(&bytes[scan.complete_bytes..], b"id: 5\nda");
    assert_eq!(scan_events(b"data: half").complete_bytes, 0);
    let windows = scan_events(b"id: 1\r\ndata: a\r\n\r\n");
    assert_eq!((windows.count, windows.last_id), (1, Some(1)));
}

#[test]
fn a_comment_is_no_event() {
    let scan = scan_events(b": alive\n\nid: 7\ndata: a\n\n: alive\r\n\r\n");
    assert_eq!(
        (scan.count, scan.first_id, scan.last_id),
        (1, Some(7), Some(7))
    );
    for rest in ["", "\r\n", ": ali", ": alive\r\n"] {
        assert!(!begins_event(rest.as_bytes()), "{rest:?}");
    }
    for rest in ["i", "id: 8\r\n", ": alive\ndata", "id: 8\n: alive\n"] {
        assert!(begins_event(rest.as_bytes()), "{rest:?}");
    }
}

// Guards against a limit on the number of fields: only the length of a head is limited.
#[test]
fn a_head_of_thousands_of_fields_is_parsed() {
    for count in [1, 95, 96, 97, 8_000] {
        let fields = "a:\r\n".repeat(count);
        let text = format!("GET / HTTP/1.1\r\nHost: h\r\n{fields}Z: last\r\n\r\n");
        let head = RequestHead::parse(text.as_bytes()).expect("a head");
        assert_eq!(head.fields.iter().count(), count + 2);
        assert_eq!(head.fields.all("A").count(), count);
        assert_eq!(head.fields.get("z"), Some("last"));
        assert!(head.fields.memory_bytes() <= 5 * text.len() + 512);
        let text = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 3\r\n\r\n");
        let head = ResponseHead::parse(text.as_bytes(), false).expect("a head");
        assert_eq!(head.framing, BodyFraming::Length(3));
    }
}

// A head may list thousands of names as well as have thousands of fields.
#[test]
fn fields_that_connection_lists_concern_one_connection() {
    let listed: Vec<_> = (0..3_000).map(|number| format!("X-{number}")).collect();
    let listed = listed.join(", ");
    let text = format!(
        "GET / HTTP/1.1\r\nHost: h\r\nConnection: {listed}\r\nconnection: Keep-Alive,other \r\n\r\n"
    );
    let head = RequestHead::parse(text.as_bytes()).expect("a head");
    let names = head.fields.hop_by_hop();
    for name in ["x-0", "X-2999", "OTHER", "connection", "Te", "Upgrade"] {
        assert!(names.contains(name), "{name}");
    }
    for name in ["Host", "X-3000", "X", "others"] {
        assert!(!names.contains(name), "{name}");
    }
}
