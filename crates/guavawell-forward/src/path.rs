//! Notices when this instance loses its own way to the servers of a service, or no
//! instance reaches them, and checks on the side when they are in reach again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::PathChange;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::id::ServiceId;
use guavawell_fleet::event::EventDraft;
use smol::LocalExecutor;
use smol::Timer;

use crate::http::HttpChannel;
use crate::router::ForwardRouter;
use crate::tunnel::TunnelEnd;
use crate::tunnel::open_tunnel;

/// Interval between two checks whether servers are in reach again.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Most servers of a service that are tried in one check.
const MAX_CHECKED: usize = 4;
/// In this number of checks all servers of a small service are tried.
const CHECK_TURNS: usize = 8;
/// Timeout of a connection of a check: longer than for requests, as nobody waits for
/// it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which other instances are asked for a connection in a check.
const CHECK_LIMIT: ClockSpan = ClockSpan::from_millis(500);

impl ForwardRouter {
    /// Whether this instance has lost its way to the servers of a service.
    #[must_use]
    pub fn is_path_lost(&self, service: &ServiceId) -> bool {
        self.paths.borrow().is_lost(service)
    }

    /// Whether it may have lost it.
    #[must_use]
    pub fn is_path_suspect(&self, service: &ServiceId) -> bool {
        let servers = self.count_servers(service);
        let now = self.clock.now();
        self.paths.borrow().is_suspect(service, servers, now)
    }

    /// Whether no instance reaches the servers of a service.
    #[must_use]
    pub fn is_unreachable(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.paths.borrow().is_unreachable(service, now)
    }

    /// Records that no other instance opened a connection to a server either, after one
    /// of this instance had failed.
    pub fn note_unreachable(&self, service: &ServiceId) {
        let servers = self.count_servers(service);
        let now = self.clock.now();
        let mut paths = self.paths.borrow_mut();
        let is_news = paths.note_unreachable(service, servers, now);
        drop(paths);
        if is_news {
            let draft = EventDraft::new("service.unreachable")
                .field("service", service)
                .field("servers", servers);
            self.log.emit(draft);
            self.path_changed.notify(usize::MAX);
        }
    }

    /// Records that a server accepted a connection of this instance.
    pub fn note_direct_connection(&self, service: &ServiceId, server: &ServerIncarnation) {
        let servers = self.count_servers(service);
        let now = self.clock.now();
        let mut paths = self.paths.borrow_mut();
        let change = paths.note_connected(service, &server.id, servers, now);
        drop(paths);
        if let Some(PathChange::Restored(span)) = change {
            self.restore_path(service, span);
        }
    }

    /// Records that a connection of this instance to a server failed.
    pub fn note_direct_failure(&self, service: &ServiceId, server: &ServerIncarnation) {
        let now = self.clock.now();
        let mut paths = self.paths.borrow_mut();
        paths.note_failed(service, &server.id, now);
    }

    /// Records that another instance opened a connection to a server right after one of
    /// this instance had failed.
    pub fn note_carried_connection(&self, service: &ServiceId, server: &ServerIncarnation) {
        let servers = self.count_servers(service);
        let now = self.clock.now();
        let mut paths = self.paths.borrow_mut();
        let change = paths.note_carried(service, &server.id, servers, now);
        drop(paths);
        if change == Some(PathChange::Lost) {
            self.lose_path(service, server);
        }
    }

    /// Number of servers of a service that accept requests.
    fn count_servers(&self, service: &ServiceId) -> usize {
        let now = self.clock.now();
        let servers = self.servers.borrow();
        servers.serving(service, now).count()
    }

    /// The servers of a service that accept requests, and their addresses.
    fn serving(&self, service: &ServiceId) -> Vec<(ServerIncarnation, SocketAddr)> {
        let now = self.clock.now();
        let servers = self.servers.borrow();
        let serving = servers.serving(service, now);
        serving
            .map(|entry| (entry.incarnation.clone(), entry.address))
            .collect()
    }

    /// Takes back what the failures seemed to say of the servers, and lets requests
    /// whose connections hang go the other way.
    fn lose_path(&self, service: &ServiceId, server: &ServerIncarnation) {
        let now = self.clock.now();
        let mut servers = self.servers.borrow_mut();
        servers.forget_failures(service, now);
        drop(servers);
        self.close_idle(service, |channel| channel.carrier().is_none());
        self.connect_timeout.take();
        metrics::counter!("guavawell_forward_paths_lost_total").increment(1);
        let draft = EventDraft::new("path.lost")
            .field("service", service)
            .field("reached_by_others", server);
        self.log.emit(draft);
        self.path_changed.notify(usize::MAX);
    }

    fn restore_path(&self, service: &ServiceId, span: ClockSpan) {
        self.close_idle(service, |channel| channel.carrier().is_some());
        let draft = EventDraft::new("path.restored")
            .field("service", service)
            .field("after_ms", span.as_millis());
        self.log.emit(draft);
    }

    /// Closes the idle connections to servers of a service for which `is_unwanted`
    /// holds.
    fn close_idle(&self, service: &ServiceId, is_unwanted: impl Fn(&HttpChannel) -> bool) {
        let servers = self.servers.borrow();
        let is_of_service = |server: &ServerIncarnation| {
            let entry = servers.get(server);
            entry.is_some_and(|entry| entry.service == *service)
        };
        let mut pool = self.pool.borrow_mut();
        pool.retain(|server, channel| !is_of_service(server) || !is_unwanted(channel));
    }
}

/// Checks servers that are out of reach until the process ends, with connections of its
/// own, so that no request waits for it.
pub async fn watch_paths(router: Rc<ForwardRouter>, executor: Rc<LocalExecutor<'static>>) {
    let mut turn = 0;
    loop {
        let path_changed = router.path_changed.listen();
        let unreached = router.paths.borrow().unreached_services(router.clock.now());
        if unreached.is_empty() {
            path_changed.await;
            continue;
        }
        Timer::after(CHECK_INTERVAL).await;
        for service in unreached {
            let servers = router.serving(&service);
            let count = servers.len().div_ceil(CHECK_TURNS).min(MAX_CHECKED);
            let first = (turn * count).checked_rem(servers.len()).unwrap_or(0);
            let checked = servers.iter().cycle().skip(first).take(count);
            for (server, address) in checked {
                let check = check_server(
                    Rc::clone(&router),
                    service.clone(),
                    server.clone(),
                    *address,
                );
                executor.spawn(check).detach();
            }
        }
        turn += 1;
    }
}

/// Tries to connect to a server; if that fails, and no instance has reached its service,
/// through another instance as well.
async fn check_server(
    router: Rc<ForwardRouter>,
    service: ServiceId,
    server: ServerIncarnation,
    address: SocketAddr,
) {
    metrics::counter!("guavawell_forward_connections_total").increment(1);
    match HttpChannel::connect(address, CHECK_TIMEOUT).await {
        Ok(channel) => {
            router.keep_idle(&server, channel.counted_by(&router.link.servers));
            router.note_direct_connection(&service, &server);
        }
        Err(error) => {
            log::debug!("{server} is not in reach: {error}");
            router.note_direct_failure(&service, &server);
            if router.is_unreachable(&service) {
                check_others(&router, &service, &server).await;
            }
        }
    }
}

/// Tries to connect to a server through another instance.
async fn check_others(router: &ForwardRouter, service: &ServiceId, server: &ServerIncarnation) {
    let opened = open_tunnel(router, server, CHECK_LIMIT).await;
    if let TunnelEnd::Open(channel) = opened {
        router.keep_idle(server, channel);
        router.note_carried_connection(service, server);
    }
}
