//! The way to one peer: calls queue here; a link is made when there are
//! calls, and replaced when it breaks or goes silent.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use guavawell_core::id::InstanceId;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

use super::ClientCall;
use super::PeerTarget;
use super::link::PeerLink;
use super::pending::QueuedCall;
use super::thread::ThreadContext;
use crate::event::EventDraft;
use crate::peer::error::PeerFailure;
use crate::peer::transport::duration;

/// The way to one peer.
pub struct PeerConnection {
    context: Rc<ThreadContext>,
    target: PeerTarget,
    queue: RefCell<VecDeque<QueuedCall>>,
    link: RefCell<Option<Rc<PeerLink>>>,
    /// Wakes the connection's task when calls wait and there is no link.
    wake: Sender<()>,
}

impl PeerConnection {
    /// A connection to `target` with its task.
    pub fn start(context: &Rc<ThreadContext>, target: &PeerTarget) -> Rc<Self> {
        let (wake, woken) = channel::bounded(1);
        let connection = Rc::new(Self {
            context: Rc::clone(context),
            target: target.clone(),
            queue: RefCell::default(),
            link: RefCell::new(None),
            wake,
        });
        let work = Rc::clone(&connection).work(woken);
        context.spawner.spawn(work);
        connection
    }

    /// The peer's instance.
    pub const fn instance(&self) -> &InstanceId {
        &self.target.instance
    }

    /// The peer's address.
    pub const fn address(&self) -> SocketAddr {
        self.target.address
    }

    /// Takes a call; [`PeerConnection::send`] sends it.
    pub fn push(&self, call: ClientCall) {
        let call = QueuedCall::new(call);
        let limit = self.context.settings.peers.max_calls;
        if self.calls() >= usize::try_from(limit).unwrap_or(usize::MAX) {
            call.fail(PeerFailure::Overloaded);
            return;
        }
        self.queue.borrow_mut().push_back(call);
    }

    /// Calls that wait or run.
    fn calls(&self) -> usize {
        let link = self.link.borrow();
        let running = link.as_ref().map_or(0, |link| link.running());
        self.queue.borrow().len() + running
    }

    /// Takes no further calls and ends when the present ones have.
    pub fn retire(&self) {
        self.wake.close();
    }

    /// Whether there is a link, or a call that waits for one.
    pub fn is_used(&self) -> bool {
        self.link.borrow().is_some() || self.calls() > 0
    }

    /// Whether the connection was retired and has nothing left to do.
    pub fn is_done(&self) -> bool {
        self.wake.is_closed() && self.calls() == 0
    }

    /// Sends what is queued, as far as the link may; without a link, wakes
    /// the task that makes one.
    pub fn send(self: &Rc<Self>) {
        let link = self.link.borrow().clone();
        if let Some(link) = link {
            link.send_queue(self);
        } else {
            // A full channel means that the task is awake already.
            let _ = self.wake.try_send(());
        }
    }

    /// The calls that wait to be sent.
    pub const fn queue(&self) -> &RefCell<VecDeque<QueuedCall>> {
        &self.queue
    }

    /// What the connections of the thread share.
    pub const fn context(&self) -> &Rc<ThreadContext> {
        &self.context
    }

    /// Fails the calls that have waited for the whole of a call's time.
    pub fn expire_queue(&self) {
        let timeout = duration(self.context.settings.peers.call_timeout_ms);
        let mut queue = self.queue.borrow_mut();
        while queue.front().is_some_and(|call| call.waited() >= timeout) {
            if let Some(call) = queue.pop_front() {
                call.fail(PeerFailure::TimedOut);
            }
        }
    }

    /// Makes links while there are calls, until the connection is retired.
    async fn work(self: Rc<Self>, woken: Receiver<()>) {
        while woken.recv().await.is_ok() {
            while !self.queue.borrow().is_empty() {
                self.work_once().await;
            }
        }
    }

    async fn work_once(self: &Rc<Self>) {
        match PeerLink::open(&self.context, &self.target).await {
            Err(failure) => self.fail_queue(&failure),
            Ok(link) => {
                let link = Rc::new(link);
                *self.link.borrow_mut() = Some(Rc::clone(&link));
                self.emit("peer.connected", |draft| {
                    draft.field("incarnation", link.life().incarnation)
                });
                self.send();
                let failure = link.watch(self).await;
                *self.link.borrow_mut() = None;
                let lost = link.running();
                link.fail_calls(&failure);
                self.emit("peer.disconnected", |draft| {
                    draft.field("cause", &failure).field("lost_calls", lost)
                });
            }
        }
    }

    /// Records a change of the connection on the time line.
    fn emit(&self, kind: &str, detail: impl Fn(EventDraft) -> EventDraft) {
        let draft = EventDraft::new(kind).field("peer", &self.target.instance);
        self.context.settings.log.emit(detail(draft));
    }

    fn fail_queue(&self, failure: &PeerFailure) {
        for call in self.queue.borrow_mut().drain(..) {
            call.fail(failure.clone());
        }
    }
}
