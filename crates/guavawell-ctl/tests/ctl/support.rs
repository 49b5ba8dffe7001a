//! One test environment: a platform, files, and runs of the binary.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;

use guavawell_fleet::operator::InstanceRow;
use guavawell_fleet::operator::InstanceStatus;
use guavawell_standin::fault::FaultChange;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use http_types::Response;
use http_types::StatusCode;
use smol::net::TcpListener;

/// The sample manifest.
pub const DESK: &str = include_str!("desk.toml");

/// How a run of the binary ended.
#[derive(Debug)]
pub struct RunResult {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl RunResult {
    #[track_caller]
    pub fn assert_code(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{self:?}");
        self
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).expect("JSON on standard output")
    }
}

impl From<Output> for RunResult {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().expect("an exit code"),
            stdout: String::from_utf8(output.stdout).expect("UTF-8"),
            stderr: String::from_utf8(output.stderr).expect("UTF-8"),
        }
    }
}

/// Runs the binary without any platform.
pub fn run_alone(args: &[&str]) -> RunResult {
    let mut command = Command::new(env!("CARGO_BIN_EXE_guavawell-ctl"));
    let output = command.args(args).env_clear().output();
    output.expect("the binary runs").into()
}

/// A platform and a folder for manifests.
pub struct TestFleet {
    pub platform: Platform,
    folder: PathBuf,
}

impl TestFleet {
    pub fn start(name: &str) -> Self {
        let started = Platform::start(PlatformSettings::default());
        let platform = smol::block_on(started).expect("free loopback ports");
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).expect("a folder for the test");
        Self { platform, folder }
    }

    /// A fleet with the sample manifest in force as version 1.
    pub fn with_desk(name: &str) -> Self {
        let fleet = Self::start(name);
        fleet.apply(DESK, 0).assert_code(0);
        fleet
    }

    pub fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_guavawell-ctl"));
        let address = self.platform.address().to_string();
        command.env_clear().env("GUAVAWELL_PLATFORM", address);
        command.args(["--who", "anna"]).args(args);
        command.current_dir(&self.folder);
        command
    }

    pub fn run(&self, args: &[&str]) -> RunResult {
        let output = self.command(args).output();
        output.expect("the binary runs").into()
    }

    pub fn apply(&self, text: &str, base: u64) -> RunResult {
        self.write("fleet.toml", text);
        let base = base.to_string();
        self.run(&["manifest", "apply", "fleet.toml", "--base", &base])
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.join(name), text).expect("a file in the test's folder");
    }

    pub fn row(&self, key: &str) -> serde_json::Value {
        let bytes = self.platform.row(key).expect("a row");
        serde_json::from_slice(&bytes).expect("JSON")
    }

    pub fn faults(&self, change: FaultChange) {
        self.platform.set_faults(change);
    }

    /// Puts an instance's row into the table.
    pub fn put_instance(&self, status: &InstanceStatus, operator: SocketAddr) {
        let row = InstanceRow {
            operator,
            callers: "127.0.0.1:8001".parse().expect("an address"),
            peer: "127.0.0.1:8002".parse().expect("an address"),
            zone: status.zone.clone(),
            incarnation: status.incarnation,
        };
        let value = serde_json::to_vec(&row).expect("JSON");
        self.platform
            .put_row(&format!("instance/{}", status.instance), &value);
    }
}

/// An operators' port that shows one status and counts drains.
pub struct FakeInstance {
    pub address: SocketAddr,
    pub drained: Arc<Mutex<Vec<String>>>,
    _task: smol::Task<()>,
}

impl FakeInstance {
    pub fn start(status: &InstanceStatus) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = smol::block_on(TcpListener::bind(any)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let drained = Arc::new(Mutex::new(Vec::new()));
        let body = serde_json::to_string(status).expect("JSON");
        let task = smol::spawn(serve(listener, body, Arc::clone(&drained)));
        Self {
            address,
            drained,
            _task: task,
        }
    }
}

async fn serve(listener: TcpListener, body: String, drained: Arc<Mutex<Vec<String>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let answered = async_h1::accept(stream, |request| {
            let path = request.url().path().to_owned();
            let mut response = Response::new(StatusCode::Ok);
            if path == "/status" {
                response.set_body(body.clone());
            } else {
                response.set_status(StatusCode::Accepted);
                let call = format!("{} {path}", request.method());
                drained.lock().expect("no panic in a test").push(call);
            }
            async move { Ok(response) }
        });
        drop(answered.await);
    }
}
