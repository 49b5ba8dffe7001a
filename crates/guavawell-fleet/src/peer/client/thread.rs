//! One thread of the calling side: it owns connections and hands calls to
//! them.

use std::rc::Rc;

use smol::LocalExecutor;
use smol::channel::Receiver;

use super::ClientCall;
use super::PeerClientSettings;
use super::connection::PeerConnection;
use crate::peer::transport::TaskSpawner;

/// Calls taken from the queue before their connections send.
const CALLS_AT_ONCE: usize = 1_024;

/// What the connections of a thread share.
pub struct ThreadContext {
    /// What the client was started with.
    pub settings: PeerClientSettings,
    /// Spawns the thread's tasks.
    pub spawner: TaskSpawner,
}

/// Serves calls until the client is gone.
pub fn run(settings: PeerClientSettings, calls: &Receiver<ClientCall>) {
    let executor = Rc::new(LocalExecutor::new());
    let context = Rc::new(ThreadContext {
        settings,
        spawner: TaskSpawner::new(&executor),
    });
    smol::block_on(executor.run(dispatch(context, calls)));
}

async fn dispatch(context: Rc<ThreadContext>, calls: &Receiver<ClientCall>) {
    let mut connections = ConnectionTable::new(context);
    while let Ok(call) = calls.recv().await {
        connections.accept(call);
        for _ in 1..CALLS_AT_ONCE {
            let Ok(call) = calls.try_recv() else {
                break;
            };
            connections.accept(call);
        }
        connections.send_all();
    }
}

/// The connections of a thread, sorted by instance.
struct ConnectionTable {
    context: Rc<ThreadContext>,
    connections: Vec<Rc<PeerConnection>>,
    /// Connections with calls to send.
    touched: Vec<Rc<PeerConnection>>,
}

impl ConnectionTable {
    const fn new(context: Rc<ThreadContext>) -> Self {
        Self {
            context,
            connections: Vec::new(),
            touched: Vec::new(),
        }
    }

    /// Hands a call to the connection of its target.
    fn accept(&mut self, call: ClientCall) {
        let connection = self.connection_of(&call);
        connection.push(call);
        let known = self.touched.iter();
        if !known
            .into_iter()
            .any(|other| Rc::ptr_eq(other, &connection))
        {
            self.touched.push(connection);
        }
    }

    fn send_all(&mut self) {
        for connection in self.touched.drain(..) {
            connection.send();
        }
    }

    /// The connection of a target; a new one if the instance is new, or has
    /// moved to another address.
    fn connection_of(&mut self, call: &ClientCall) -> Rc<PeerConnection> {
        let target = &call.target;
        let place = self
            .connections
            .binary_search_by(|connection| connection.instance().cmp(&target.instance));
        match place {
            Ok(index) if self.connections[index].address() == target.address => {
                Rc::clone(&self.connections[index])
            }
            Ok(index) => {
                self.connections[index].retire();
                let connection = PeerConnection::start(&self.context, target);
                self.connections[index] = Rc::clone(&connection);
                connection
            }
            Err(_) => {
                self.drop_unused();
                let connection = PeerConnection::start(&self.context, target);
                let place = self
                    .connections
                    .partition_point(|other| other.instance() < &target.instance);
                self.connections.insert(place, Rc::clone(&connection));
                connection
            }
        }
    }

    /// Forgets connections that are closed and have no calls, so that
    /// instances that were replaced leave nothing behind.
    fn drop_unused(&mut self) {
        self.connections.retain(|connection| {
            let used = connection.is_used();
            if !used {
                connection.retire();
            }
            used
        });
    }
}
