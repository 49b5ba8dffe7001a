//! A relay between two sockets that can go silent or be cut.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

/// Relays connections to one address until the test ends.
#[derive(Clone)]
pub struct TestRelay {
    address: SocketAddr,
    state: Arc<RelayState>,
}

#[derive(Default)]
struct RelayState {
    connections: Mutex<Vec<RelayConnection>>,
    closed: Mutex<u32>,
    changed: Condvar,
}

struct RelayConnection {
    ends: [TcpStream; 2],
    silent: Arc<AtomicBool>,
}

impl TestRelay {
    /// A relay to `server` on a free port.
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(RelayState::default());
        let accept_state = Arc::clone(&state);
        thread::spawn(move || {
            for client in listener.incoming() {
                accept_state.relay(&client.unwrap(), server);
            }
        });
        Self { address, state }
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.state.connections.lock().unwrap().len()
    }

    /// Open connections carry nothing from now on and stay open.
    pub fn silence(&self) {
        for connection in &*self.state.connections.lock().unwrap() {
            connection.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Closes open connections at both ends.
    pub fn cut(&self) {
        for connection in &*self.state.connections.lock().unwrap() {
            for end in &connection.ends {
                let _ = end.shutdown(Shutdown::Both);
            }
        }
    }

    /// Waits until one end has closed a connection.
    pub fn wait_until_closed(&self) {
        let mut closed = self.state.closed.lock().unwrap();
        while *closed == 0 {
            closed = self.state.changed.wait(closed).unwrap();
        }
    }
}

impl RelayState {
    fn relay(self: &Arc<Self>, client: &TcpStream, server: SocketAddr) {
        let server = TcpStream::connect(server).unwrap();
        let silent = Arc::new(AtomicBool::new(false));
        let connection = RelayConnection {
            ends: [client.try_clone().unwrap(), server.try_clone().unwrap()],
            silent: Arc::clone(&silent),
        };
        self.connections.lock().unwrap().push(connection);
        self.pump(client, &server, &silent);
        self.pump(&server, client, &silent);
    }

    fn pump(self: &Arc<Self>, from: &TcpStream, to: &TcpStream, silent: &Arc<AtomicBool>) {
        let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
        let (state, silent) = (Arc::clone(self), Arc::clone(silent));
        thread::spawn(move || {
            let _ = carry(&from, &to, &silent);
            let _ = to.shutdown(Shutdown::Both);
            *state.closed.lock().unwrap() += 1;
            state.changed.notify_all();
        });
    }
}

fn carry(mut from: &TcpStream, mut to: &TcpStream, silent: &AtomicBool) -> io::Result<()> {
    let mut bytes = [0; 4096];
    loop {
        let count = from.read(&mut bytes)?;
        if count == 0 {
            return Ok(());
        }
        if !silent.load(Ordering::SeqCst) {
            to.write_all(&bytes[..count])?;
        }
    }
}
