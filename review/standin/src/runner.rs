//! Model runners whose streams have no length and end with their channel.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::http::Head;
use crate::http::message;
use crate::http::serve;
use crate::record::Record;

/// Header lines that every answer of a runner to a client's request has.
#[must_use]
pub fn receipt(head: &Head) -> String {
    let id = head.field("X-Attempt-Id");
    format!("X-Attempt-Id: {id}\r\nX-Server-Seal: 3e1b.07.5a2.600.0.{id}\r\n")
}

/// An event of a stream.
#[must_use]
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// The events of a whole stream.
#[must_use]
pub fn whole_stream(events: u64) -> String {
    (1..=events).map(event).collect()
}

/// How a streaming runner answers: `X-Events` of the request tells how many events.
#[derive(Clone, Copy)]
pub struct StreamPace {
    /// Time before each event.
    pub gap: Duration,
}

/// Starts a runner that answers with streams.
///
/// # Panics
///
/// No port is free.
#[must_use]
pub fn start_streaming(name: &str, pace: StreamPace, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (name, record) = (name.to_string(), record.clone());
    serve(listener, move |mut connection| {
        while let Some(request) = connection.read_request() {
            if request.head.path() == "/healthz" {
                let fields = [("X-Instance-Id", name.as_str())];
                let answer = message("HTTP/1.1 200 OK", &fields, b"");
                if connection.send(&answer).is_err() {
                    return;
                }
                continue;
            }
            stream(&name, &request.head, pace, &mut connection, &record);
            return;
        }
    });
    address
}

/// Answers a request with a stream that ends with its channel.
fn stream(name: &str, head: &Head, pace: StreamPace, connection: &mut Connection, record: &Record) {
    let id = head.field("X-Attempt-Id");
    let events: u64 = head.field("X-Events").parse().unwrap_or(1);
    let start = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}Connection: close\r\n\r\n",
        receipt(head)
    );
    record.note(format_args!("{name} runs {id}: {events} events"));
    if connection.send(start.as_bytes()).is_err() {
        return;
    }
    for number in 1..=events {
        thread::sleep(pace.gap);
        if connection.send(event(number).as_bytes()).is_err() {
            record.note(format_args!(
                "{name}: the channel of {id} ended at {number}"
            ));
            return;
        }
    }
    record.note(format_args!("{name} sent {id} to its end"));
}
