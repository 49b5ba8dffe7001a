//! Events arrive in any number of pieces.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use smol::future::poll_once;
use smol::io::AsyncBufRead;
use smol::io::AsyncRead;

use super::EngineEvent;
use super::event::EventReader;

/// Gives one piece, then nothing until asked again.
struct Pieces {
    parts: Vec<&'static [u8]>,
    at: usize,
    is_due: bool,
}

impl Pieces {
    fn new(pieces: &[&'static [u8]]) -> Self {
        Self {
            parts: pieces.to_vec(),
            at: 0,
            is_due: false,
        }
    }
}

impl AsyncRead for Pieces {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        unreachable!("events are read through the buffer")
    }
}

impl AsyncBufRead for Pieces {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        reader.is_due = !reader.is_due;
        if !reader.is_due && reader.at < reader.parts.len() {
            return Poll::Pending;
        }
        let piece = reader.parts.get(reader.at).copied();
        Poll::Ready(Ok(piece.unwrap_or_default()))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        let reader = self.get_mut();
        if let Some(piece) = reader.parts.get_mut(reader.at) {
            *piece = &piece[count..];
            if piece.is_empty() {
                reader.at += 1;
            }
        }
    }
}

fn read_all(pieces: &[&'static [u8]]) -> Vec<EngineEvent> {
    let mut source = Pieces::new(pieces);
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    smol::block_on(async {
        loop {
            // Every second poll finds nothing, and the read is given up.
            match poll_once(reader.next(&mut source)).await {
                None => {}
                Some(Ok(Some(event))) => events.push(event),
                Some(Ok(None)) => return events,
                Some(Err(error)) => panic!("{error}"),
            }
        }
    })
}

fn event(id: &str, data: &str) -> EngineEvent {
    EngineEvent {
        id: id.into(),
        data: data.into(),
    }
}

#[test]
fn a_read_given_up_loses_no_byte() {
    let cases: [&[&[u8]]; 4] = [
        &[b"id: 2a:0\ndata: one\n\nid: 2a:1\ndata: two\n\n"],
        &[
            b"id: 2a",
            b":0\nda",
            b"ta: one\n",
            b"\nid: 2a:1\ndata: two\n\n",
        ],
        &[
            b"id: 2a:0\r\ndata: one\r\n\r",
            b"\nid: 2a:1\r\ndata: two\r\n\r\n",
        ],
        &[
            b"\n\nid: 2a:0\ndata: one\n\n",
            b"id: 2a:1\n",
            b"data: two\n",
            b"\n",
        ],
    ];
    for pieces in cases {
        let expected = [event("2a:0", "one"), event("2a:1", "two")];
        assert_eq!(read_all(pieces), expected, "{pieces:?}");
    }
}

#[test]
fn an_event_without_its_end_is_none() {
    assert_eq!(read_all(&[b"id: 2a:0\ndata: one"]), []);
}
