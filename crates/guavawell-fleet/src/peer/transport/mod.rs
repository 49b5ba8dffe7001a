//! What both sides of a connection share: the RPC system over a stream whose
//! writes are gathered and whose silence is noticed.

mod gather;
mod heard;
mod spawn;

use std::rc::Rc;
use std::time::Duration;

use capnp::capability::FromClientHook;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use guavawell_core::clock::ClockSpan;
use smol::Timer;
use smol::channel;
use smol::channel::Receiver;
use smol::future;
use smol::io::BufReader;
use smol::net::Shutdown;
use smol::net::TcpStream;

use crate::settings::ByteCount;
use crate::tls::SecureStream;

pub use gather::gathered_writer;
pub use heard::HeardClock;
pub use heard::HeardReader;
pub use spawn::TaskSpawner;

/// Bytes read from a connection at once.
const READ_BYTES: usize = 64 * 1024;

/// Longest wait for the RPC system of a closed connection to finish: it reads
/// the end of its stream and frees its tables.
const FINISH_LIMIT: Duration = Duration::from_secs(1);

/// Bytes of a word of capnp.
const WORD_BYTES: usize = 8;

/// A running RPC system; dropping it closes the connection.
pub struct RunningRpc {
    /// When the other side was last heard.
    pub heard: Rc<HeardClock>,
    /// Closes when the connection has ended.
    pub ended: Receiver<()>,
    /// Closes when the RPC system has finished.
    finished: Receiver<()>,
    socket: TcpStream,
}

impl RunningRpc {
    /// Closes the connection and waits until the RPC system has finished. Each
    /// side offers the other what holds the connection, so that a system which
    /// is dropped before it finishes is never freed.
    pub async fn close(self) {
        let finished = self.finished.clone();
        drop(self);
        let finish = async {
            // Nothing is ever sent: receiving ends with the system.
            let _ = finished.recv().await;
        };
        let limit = async {
            Timer::after(FINISH_LIMIT).await;
            log::warn!("a closed connection to a peer did not finish in time");
        };
        future::or(finish, limit).await;
    }
}

impl Drop for RunningRpc {
    fn drop(&mut self) {
        // The RPC system then reads the end of the stream, fails what waits
        // on it and finishes by itself. A socket that is closed already is
        // as good.
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// Starts RPC on `stream`, offering `bootstrap`; returns the bootstrap
/// capability of the other side if this is the client's.
pub fn start_rpc<C: FromClientHook>(
    spawner: &TaskSpawner,
    stream: SecureStream,
    side: Side,
    max_message: ByteCount,
    bootstrap: Option<capnp::capability::Client>,
) -> (RunningRpc, C) {
    let heard = Rc::new(HeardClock::default());
    let socket = stream.socket().clone();
    let (reader, writer) = stream.split();
    let reader = HeardReader::new(reader, Rc::clone(&heard));
    let reader = BufReader::with_capacity(READ_BYTES, reader);
    let (writer, writing) = gathered_writer(writer);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(max_message.as_len() / WORD_BYTES));
    let network = VatNetwork::new(reader, writer, side, options);
    let mut system = RpcSystem::new(Box::new(network), bootstrap);
    let offered = system.bootstrap(Side::Server);
    let (end, ended) = channel::bounded(1);
    let (finish, finished) = channel::bounded(1);
    let write_end = end.clone();
    let read = async move {
        // The end matters, not its cause: calls fail by themselves.
        let _ = system.await;
        end.close();
        finish.close();
    };
    let write = async move {
        let _ = writing.await;
        write_end.close();
    };
    spawner.spawn(read);
    spawner.spawn(write);
    let running = RunningRpc {
        heard,
        ended,
        finished,
        socket,
    };
    (running, offered)
}

/// A span of the settings as the standard library has it.
pub fn duration(span: ClockSpan) -> Duration {
    Duration::from_millis(span.as_millis())
}
