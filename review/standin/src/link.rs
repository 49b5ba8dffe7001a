//! A link from one instance to one runner, which can be cut.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// How often the link looks for new connections.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A link, which forwards connections until it is cut.
pub struct Link {
    /// Address at which the instance reaches the runner.
    pub address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
}

#[derive(Default)]
struct LinkState {
    is_cut: bool,
    open: Vec<TcpStream>,
}

impl Link {
    /// Starts an open link to `target`.
    ///
    /// # Panics
    ///
    /// No port is free.
    #[must_use]
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let state: Arc<Mutex<LinkState>> = Arc::default();
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if shared.lock().expect("unpoisoned").is_cut {
                    // Without a listener new connections are refused.
                    listener = None;
                } else if listener.is_none() {
                    listener = listen_again(address);
                }
                match listener.as_ref().map(TcpListener::accept) {
                    Some(Ok((stream, _))) => forward(&stream, target, &shared),
                    _ => thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Self { address, state }
    }

    /// Cuts the link: open connections end, and new ones are refused.
    ///
    /// # Panics
    ///
    /// A thread of the link panicked.
    pub fn cut(&self) {
        let mut state = self.state.lock().expect("unpoisoned");
        state.is_cut = true;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets new connections pass again.
    ///
    /// # Panics
    ///
    /// A thread of the link panicked.
    pub fn heal(&self) {
        self.state.lock().expect("unpoisoned").is_cut = false;
    }
}

/// Listens at the link's address once more.
fn listen_again(address: SocketAddr) -> Option<TcpListener> {
    let listener = TcpListener::bind(address).ok()?;
    listener.set_nonblocking(true).ok()?;
    Some(listener)
}

fn forward(caller: &TcpStream, target: SocketAddr, state: &Mutex<LinkState>) {
    let _ = caller.set_nonblocking(false);
    let Ok(runner) = TcpStream::connect(target) else {
        return;
    };
    for (from, to) in [(caller, &runner), (&runner, caller)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        thread::spawn(move || copy_bytes(from, to));
    }
    let streams = [caller.try_clone(), runner.try_clone()];
    let mut state = state.lock().expect("unpoisoned");
    state.open.extend(streams.into_iter().flatten());
}

fn copy_bytes(mut from: TcpStream, mut to: TcpStream) {
    let mut part = [0; 8192];
    while let Ok(count @ 1..) = from.read(&mut part) {
        if to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
