//! Whether a response that lasts until its connection ends is complete.

use std::io;

use guavawell_core::forward::ConnectionEnd;
use guavawell_core::forward::CutCause;
use guavawell_core::forward::EndNotice;
use guavawell_core::forward::RequestWrite;

const WRITES: [RequestWrite; 3] = [
    RequestWrite::Sound,
    RequestWrite::RefusedAfterEnd,
    RequestWrite::Failed,
];

fn cut_cause(notice: EndNotice, write: RequestWrite) -> Option<CutCause> {
    ConnectionEnd { notice, write }.cut_cause()
}

// Guards against the end of a carrier that is taken for the end of the response.
#[test]
fn only_the_word_of_a_carrier_makes_its_end_that_of_the_server() {
    for write in WRITES {
        assert_eq!(
            cut_cause(EndNotice::None, write),
            Some(CutCause::CarrierEnded)
        );
        assert_eq!(cut_cause(EndNotice::Carrier, write), None);
    }
}

// Guards against a reset that only the writer of the request was told of.
#[test]
fn a_response_under_a_failed_write_is_cut() {
    let cause = cut_cause(EndNotice::Server, RequestWrite::Failed);
    assert_eq!(cause, Some(CutCause::WriteFailed));
}

// Guards against whole early answers that count as cut.
#[test]
fn a_response_that_ended_before_the_write_failed_is_complete() {
    for write in [RequestWrite::Sound, RequestWrite::RefusedAfterEnd] {
        assert_eq!(cut_cause(EndNotice::Server, write), None);
    }
}

#[test]
fn only_a_broken_pipe_shows_that_the_response_had_ended() {
    let write = |kind: io::ErrorKind| RequestWrite::from_error(&kind.into());
    assert_eq!(
        write(io::ErrorKind::BrokenPipe),
        RequestWrite::RefusedAfterEnd
    );
    for kind in [
        io::ErrorKind::ConnectionReset,
        io::ErrorKind::ConnectionAborted,
        io::ErrorKind::TimedOut,
    ] {
        assert_eq!(write(kind), RequestWrite::Failed);
    }
}
