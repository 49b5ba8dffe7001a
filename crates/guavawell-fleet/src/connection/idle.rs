//! The idle connections to one address, shared by all threads.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use smol::future;
use smol::net::TcpStream;

/// Connections that hold no unfinished exchange.
#[derive(Debug)]
pub struct IdleConnections {
    streams: Mutex<Vec<TcpStream>>,
    most: usize,
}

impl IdleConnections {
    /// Keeps at most `most` connections.
    #[must_use]
    pub const fn new(most: usize) -> Self {
        Self {
            streams: Mutex::new(Vec::new()),
            most,
        }
    }

    /// The connection used last that is still open, if there is one.
    pub async fn take(&self) -> Option<TcpStream> {
        loop {
            let stream = self.lock().pop()?;
            if is_quiet(&stream).await {
                return Some(stream);
            }
        }
    }

    /// Keeps a connection whose last exchange ended whole; closes it if enough
    /// are kept.
    pub fn give_back(&self, stream: TcpStream) {
        let mut streams = self.lock();
        if streams.len() < self.most {
            streams.push(stream);
        }
    }

    /// Closes them all: one that went silent may not be the only one.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the other side has neither closed an idle connection nor sent on it.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    future::poll_once(stream.peek(&mut byte)).await.is_none()
}
