//! The running platform: routes of its two addresses.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use serde_json::Value;
use smol::Timer;

use crate::control;
use crate::fault::FaultChange;
use crate::fault::FaultSettings;
use crate::fault::FaultSwitches;
use crate::http::Hangup;
use crate::http::HttpCall;
use crate::http::HttpReply;
use crate::http::HttpServer;
use crate::http::json_reply;
use crate::http::problem_reply;
use crate::http::read_body;
use crate::http::read_json;
use crate::http::retry_reply;
use crate::lock::lock;
use crate::platform::counter::OperationCounter;
use crate::platform::counter::OperationKind;
use crate::platform::counter::PlatformCounts;
use crate::platform::gateway::GatewayError;
use crate::platform::gateway::RangeRequest;
use crate::platform::gateway::TablePlan;
use crate::platform::gateway::TxnRequest;
use crate::platform::instances::InstanceEntry;
use crate::platform::instances::InstanceHistory;
use crate::platform::objects::ObjectStore;
use crate::platform::settings::PlatformSettings;
use crate::platform::storage;
use crate::platform::table::KeyRange;
use crate::platform::table::TableOperation;
use crate::platform::table::TableStore;

const API_PREFIX: &str = "/apis/discovery.k8s.io/v1/namespaces/";
const API_SUFFIX: &str = "/endpointslices";

/// A running stand-in of the platform; dropping it stops it.
#[derive(Clone, Debug)]
pub struct Platform {
    shared: Arc<PlatformShared>,
}

#[derive(Debug)]
struct PlatformShared {
    service: HttpServer,
    control: HttpServer,
    state: Arc<PlatformState>,
}

#[derive(Debug)]
struct PlatformState {
    faults: FaultSwitches,
    counter: OperationCounter,
    table: Mutex<TableStore>,
    objects: Mutex<ObjectStore>,
    instances: Mutex<InstanceHistory>,
}

impl Platform {
    /// Starts the stand-in on its two addresses.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    #[allow(clippy::unused_async)] // callers await it, so that a start may come to wait
    pub async fn start(settings: PlatformSettings) -> io::Result<Self> {
        let state = Arc::new(PlatformState {
            faults: FaultSwitches::default(),
            counter: OperationCounter::new(settings.write_cap, settings.read_cap),
            table: Mutex::default(),
            objects: Mutex::default(),
            instances: Mutex::default(),
        });
        let shared = Arc::new(PlatformShared {
            service: HttpServer::bind(settings.listen)?,
            control: HttpServer::bind(settings.control)?,
            state: Arc::clone(&state),
        });
        let serve = move |call| Arc::clone(&state).serve(call);
        shared.service.open(serve)?;
        let weak = Arc::downgrade(&shared);
        let steer = move |call| {
            let platform = weak.upgrade().map(|shared| Self { shared });
            async move { platform.ok_or(Hangup)?.steer(call).await }
        };
        shared.control.open(steer)?;
        Ok(Self { shared })
    }

    /// Address of table, object store and instance list.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.service.address()
    }

    /// Address of switches and counters.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.shared.control.address()
    }

    /// The fault switches as they stand.
    #[must_use]
    pub fn faults(&self) -> FaultSettings {
        self.shared.state.faults.settings()
    }

    /// Replaces the named switches.
    pub fn set_faults(&self, change: FaultChange) {
        self.shared.state.faults.apply(&change);
        if change.silent == Some(true) {
            self.shared.service.silence();
        }
    }

    /// Sets anew how many writes and reads a second are taken; zero is without
    /// cap.
    pub fn set_caps(&self, write_cap: u64, read_cap: u64) {
        self.shared.state.counter.set_caps(write_cap, read_cap);
    }

    /// What the platform was asked for since its start.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.shared.state.counter.counts()
    }

    /// Replaces the true list of instances.
    pub fn set_instances(&self, entries: Vec<InstanceEntry>) {
        lock(&self.shared.state.instances).replace(entries, Instant::now());
    }

    /// The value of a table row, read aside of counts, caps and faults.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Vec<u8>> {
        let range = KeyRange {
            first: key.as_bytes().into(),
            end: Box::default(),
        };
        let answer = lock(&self.shared.state.table).range(&range, 1);
        answer.rows.first().map(|row| row.value.to_vec())
    }

    /// Writes a table row aside of counts, caps and faults.
    pub fn put_row(&self, key: &str, value: &[u8]) {
        let put = TableOperation::Put {
            key: key.as_bytes().into(),
            value: value.into(),
        };
        lock(&self.shared.state.table).apply(&[put]);
    }

    /// The table's revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        lock(&self.shared.state.table).revision()
    }

    /// The keys of all rows that begin with `prefix`, in order.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<Box<str>> {
        let range = KeyRange {
            first: prefix.as_bytes().into(),
            end: Box::new([0]),
        };
        let answer = lock(&self.shared.state.table).range(&range, 0);
        answer
            .rows
            .iter()
            .map(|row| Box::<str>::from(String::from_utf8_lossy(&row.key)))
            .take_while(|key| key.starts_with(prefix))
            .collect()
    }

    /// An object by `bucket/key`, read aside of counts, caps and faults.
    #[must_use]
    pub fn object(&self, path: &str) -> Option<Vec<u8>> {
        let object = lock(&self.shared.state.objects).get(path)?;
        Some(object.content.to_vec())
    }

    /// The paths (`bucket/key`) of all objects that begin with `prefix`, in order.
    #[must_use]
    pub fn object_paths(&self, prefix: &str) -> Vec<Box<str>> {
        let page = lock(&self.shared.state.objects).list(prefix, "", usize::MAX);
        page.objects.into_iter().map(|object| object.path).collect()
    }

    /// Leaves both addresses and drops every connection.
    pub async fn stop(&self) {
        self.shared.service.stop().await;
        self.shared.control.stop().await;
    }

    async fn steer(&self, mut call: HttpCall) -> HttpReply {
        let method = call.request.method();
        let path: Box<str> = call.request.url().path().into();
        match (method, &*path) {
            (Method::Get, "/faults") => Ok(control::show_faults(&self.faults())),
            (Method::Put, "/faults") => {
                let apply = async |change| {
                    self.set_faults(change);
                    Ok(self.faults())
                };
                control::change_faults(&mut call, apply).await
            }
            (Method::Get, "/counts") => Ok(json_reply(&self.counts())),
            (Method::Get, "/instances") => {
                let instances = lock(&self.shared.state.instances);
                Ok(json_reply(&instances.current()))
            }
            (Method::Put, "/instances") => match read_json(&mut call.request).await? {
                Ok(entries) => {
                    self.set_instances(entries);
                    Ok(json_reply(&Value::Null))
                }
                Err(response) => Ok(response),
            },
            _ => Ok(control::unknown_path(method, &path)),
        }
    }
}

impl PlatformState {
    async fn serve(self: Arc<Self>, call: HttpCall) -> HttpReply {
        let delay = self.faults.delay_ms();
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
        }
        if self.faults.outage() {
            return Ok(retry_reply(StatusCode::ServiceUnavailable, "outage"));
        }
        let path: Box<str> = call.request.url().path().into();
        match (call.request.method(), &*path) {
            (Method::Post, "/v3/kv/range") => self.range(call).await,
            (Method::Post, "/v3/kv/txn") => self.txn(call).await,
            (Method::Get, path) if path.starts_with(API_PREFIX) => Ok(self.list_instances(path)),
            (Method::Put, _) => self.put_object(call).await,
            (Method::Get, _) => Ok(self.read_object(&call)),
            (method, path) => Ok(control::unknown_path(method, path)),
        }
    }

    async fn range(&self, mut call: HttpCall) -> HttpReply {
        let request = match read_json::<RangeRequest>(&mut call.request).await? {
            Ok(request) => request,
            Err(response) => return Ok(response),
        };
        if !self.counter.admit(OperationKind::Read) {
            return Ok(over_cap());
        }
        match request.run(&lock(&self.table)) {
            Ok(answer) => Ok(json_reply(&answer)),
            Err(error) => Ok(bad_request(error)),
        }
    }

    async fn txn(&self, mut call: HttpCall) -> HttpReply {
        let request = match read_json::<TxnRequest>(&mut call.request).await? {
            Ok(request) => request,
            Err(response) => return Ok(response),
        };
        let plan = match request.plan() {
            Ok(plan) => plan,
            Err(error) => return Ok(bad_request(error)),
        };
        if !plan.may_write() {
            return Ok(self.read_txn(&plan));
        }
        self.write(|| json_reply(&plan.run(&mut lock(&self.table))))
    }

    fn read_txn(&self, plan: &TablePlan) -> Response {
        if !self.counter.admit(OperationKind::Read) {
            return over_cap();
        }
        json_reply(&plan.run(&mut lock(&self.table)))
    }

    async fn put_object(&self, mut call: HttpCall) -> HttpReply {
        let body = read_body(&mut call.request).await?;
        self.write(|| storage::put(&mut lock(&self.objects), &call.request, body))
    }

    fn read_object(&self, call: &HttpCall) -> Response {
        if !self.counter.admit(OperationKind::Read) {
            return over_cap();
        }
        let objects = lock(&self.objects);
        if storage::is_listing(&call.request) {
            let query = storage::list_query(&call.request);
            return storage::list(&objects, &query);
        }
        storage::get(&objects, &call.request)
    }

    fn list_instances(&self, path: &str) -> Response {
        if !self.counter.admit(OperationKind::Read) {
            return over_cap();
        }
        let namespace = path
            .strip_prefix(API_PREFIX)
            .and_then(|rest| rest.strip_suffix(API_SUFFIX));
        let Some(namespace) = namespace else {
            return control::unknown_path(Method::Get, path);
        };
        let lag = Duration::from_millis(self.faults.list_lag_ms());
        let instances = lock(&self.instances);
        json_reply(&instances.seen(Instant::now(), lag, namespace))
    }

    /// Runs a write under its cap and the faults of writes.
    fn write(&self, write: impl FnOnce() -> Response) -> HttpReply {
        if !self.counter.admit(OperationKind::Write) {
            return Ok(over_cap());
        }
        if self.faults.take_refused_write() {
            return Err(Hangup);
        }
        let response = write();
        if self.faults.take_lost_answer() {
            return Err(Hangup);
        }
        Ok(response)
    }
}

fn over_cap() -> Response {
    retry_reply(StatusCode::TooManyRequests, "over the cap of this second")
}

fn bad_request(error: GatewayError) -> Response {
    problem_reply(StatusCode::BadRequest, &error.to_string())
}
