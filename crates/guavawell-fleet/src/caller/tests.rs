use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use http_types::Body;
use http_types::Method;
use http_types::Request;

use super::BodyError;
use super::BodyLimits;
use super::BodyMemory;
use super::CallerLimits;
use super::CallerListener;
use super::read_body;

/// Callers of one burst, past the 128 that a listener takes in by default.
const CALLERS: usize = 300;
/// How long a connection may take that should be there at once.
const PATIENCE: Duration = Duration::from_secs(2);

#[test]
fn a_burst_of_connections_waits_for_a_router_that_is_busy() {
    let limits = CallerLimits {
        max_connections: CALLERS,
        head_timeout: PATIENCE,
        linger: PATIENCE,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = smol::block_on(CallerListener::bind(address, limits)).unwrap();
    // Nothing accepts.
    let connect = |_| TcpStream::connect_timeout(&listener.address(), PATIENCE);
    let connections: Result<Vec<_>, _> = (0..CALLERS).map(connect).collect();
    assert_eq!(connections.unwrap().len(), CALLERS);
}

const LIMITS: BodyLimits = BodyLimits {
    bytes: 1_000,
    time: PATIENCE,
};

fn request(body: Body) -> Request {
    let mut request = Request::new(Method::Post, "http://router/v1/chat/completions");
    request.set_body(body);
    request
}

// Guards against bodies of legal length that are each read, however many there are: each of
// thousands of connections may bring one.
#[test]
fn bodies_together_do_not_exceed_the_memory_for_them() {
    let memory = BodyMemory::new(2_500);
    let read = |body: Body| smol::block_on(read_body(&mut request(body), LIMITS, &memory));
    let first = read(Body::from_bytes(vec![b'x'; 1_000])).unwrap();
    let second = read(Body::from_bytes(vec![b'x'; 900])).unwrap();
    let third = read(Body::from_bytes(vec![b'x'; 601]));
    assert!(matches!(third, Err(BodyError::NoMemory)));
    // Nobody knows how long it will be.
    let unstated = || Body::from_reader(smol::io::Cursor::new(vec![b'x'; 10]), None);
    assert!(matches!(read(unstated()), Err(BodyError::NoMemory)));
    drop(first);
    let fourth = read(unstated()).unwrap();
    assert_eq!(memory.taken(), 910);
    assert_eq!((second.bytes.len(), fourth.bytes.len()), (900, 10));
    drop((second, fourth));
    assert_eq!(memory.taken(), 0);
}

#[test]
fn a_body_that_cannot_be_read_keeps_no_memory() {
    let memory = BodyMemory::new(2_500);
    let read = |body: Body| smol::block_on(read_body(&mut request(body), LIMITS, &memory));
    let overlong = Body::from_reader(smol::io::Cursor::new(vec![b'x'; 1_001]), None);
    assert!(matches!(read(overlong), Err(BodyError::TooLarge { .. })));
    let short = Body::from_reader(smol::io::Cursor::new(vec![b'x'; 10]), Some(20));
    assert!(matches!(read(short), Err(BodyError::Truncated(_))));
    assert_eq!(memory.taken(), 0);
}
