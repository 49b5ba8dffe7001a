use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use super::CallerLimits;
use super::CallerListener;

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
