//! The way between the routers of one process: replies get lost, ways are cut,
//! and a router that is killed answers nothing more.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use guavawell_core::id::InstanceId;
use guavawell_fleet::peer::PeerError;
use guavawell_fleet::peer::PeerFailure;
use guavawell_fleet::peer::PeerReply;
use guavawell_fleet::peer::PeerRequest;
use guavawell_fleet::slot::PeerLink;
use guavawell_fleet::slot::SlotDriver;
use guavawell_fleet::task::TaskSpawner;
use smol::channel;

/// A router as the others reach it.
struct NetRouter {
    instance: InstanceId,
    driver: Arc<SlotDriver>,
    tasks: TaskSpawner,
}

#[derive(Default)]
pub struct SlotNet {
    routers: Mutex<Vec<NetRouter>>,
    /// Each such reply is lost; zero loses none.
    pub lose_every: AtomicU64,
    calls: AtomicU64,
    /// From whom nothing gets through.
    cut: Mutex<Option<InstanceId>>,
}

impl SlotNet {
    pub fn add(&self, instance: InstanceId, driver: Arc<SlotDriver>, tasks: TaskSpawner) {
        let router = NetRouter {
            instance,
            driver,
            tasks,
        };
        self.routers.lock().unwrap().push(router);
    }

    pub fn cut(&self, from: &InstanceId) {
        *self.cut.lock().unwrap() = Some(from.clone());
    }

    pub fn link(self: &Arc<Self>, from: &InstanceId) -> PeerLink {
        let net = Arc::clone(self);
        let from = from.clone();
        PeerLink {
            call: Box::new(move |to, request| {
                let net = Arc::clone(&net);
                let from = from.clone();
                Box::pin(async move { net.call(from, to, request).await })
            }),
        }
    }

    async fn call(
        &self,
        from: InstanceId,
        to: InstanceId,
        request: PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        if *self.cut.lock().unwrap() == Some(from) {
            return Err(PeerError::Lost(PeerFailure::TimedOut));
        }
        let (sender, receiver) = channel::bounded(1);
        {
            let routers = self.routers.lock().unwrap();
            let target = routers.iter().find(|router| router.instance == to);
            let target = target.ok_or(PeerError::NotSent(PeerFailure::Stopped))?;
            let driver = Arc::clone(&target.driver);
            target.tasks.spawn(async move {
                let reply = driver.answer(request).await;
                let _ = sender.send(reply).await;
            });
        }
        let reply = receiver.recv().await;
        let reply = reply.map_err(|_| PeerError::Lost(PeerFailure::Closed))?;
        let call = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        let lost = self.lose_every.load(Ordering::Relaxed);
        if lost > 0 && call.is_multiple_of(lost) {
            return Err(PeerError::Lost(PeerFailure::Closed));
        }
        Ok(reply)
    }
}
