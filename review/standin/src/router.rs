//! The deployed program as a process.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;

/// Longest wait until a process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The settings of one instance.
pub struct RouterSettings<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Address of the store.
    pub store: SocketAddr,
    /// Folder for its files.
    pub folder: &'a Path,
}

/// A running process, which is killed when it is dropped.
pub struct Router {
    child: Child,
    /// Address for clients.
    pub front: SocketAddr,
    /// Address of readiness.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl Router {
    /// Writes the settings file and starts the process with the command of the deploy
    /// file.
    ///
    /// # Panics
    ///
    /// The process cannot be started.
    #[must_use]
    pub fn start(settings: &RouterSettings<'_>) -> Self {
        let [front, ready, control, peers] = free_addresses();
        let text = settings_text(settings, [front, ready, control], peers.port());
        let path = settings.folder.join(format!("{}.toml", settings.name));
        fs::write(&path, text).expect("a settings file");
        let log = settings.folder.join(format!("{}.log", settings.name));
        Self {
            child: spawn(&path, &log),
            front,
            ready,
            settings: path,
            log,
        }
    }

    /// Starts the process again with the same settings, after it has ended.
    ///
    /// # Panics
    ///
    /// The process cannot be started.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Id of the process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process says that it is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut connection = Connection::new(stream);
        let request = b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        if connection.send(request).is_err() {
            return false;
        }
        let response = connection.read_response();
        response.is_some_and(|response| response.head.status() == 200)
    }

    /// Waits until the process is ready; false if it is not in time.
    #[must_use]
    pub fn wait_until_ready(&self) -> bool {
        wait_until(READY_TIMEOUT, || self.is_ready())
    }

    /// Memory that the process holds, in bytes; 0 if it has ended.
    #[must_use]
    pub fn resident_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kilobytes.unwrap_or(0) * 1024
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds; false if it does not in time.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let started_at = Instant::now();
    while !condition() {
        if started_at.elapsed() > limit {
            return false;
        }
        thread::sleep(CHECK_INTERVAL);
    }
    true
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = fs::File::options().create(true).append(true).open(log);
    let output = output.expect("a log file");
    let command = deploy_command();
    let mut words = command.split(' ');
    Command::new(words.next().expect("a program"))
        .args(words)
        .env_clear()
        .env("GUAVAWELL_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a log file"))
        .stderr(output)
        .spawn()
        .expect("the process starts")
}

/// The command of the role in the deploy file.
fn deploy_command() -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    line.expect("a command").trim_matches('"').to_string()
}

/// Loopback addresses that are free now.
fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    let bound: Vec<TcpListener> = (0..COUNT)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    std::array::from_fn(|index| bound[index].local_addr().expect("an address"))
}

fn settings_text(
    settings: &RouterSettings<'_>,
    [front, ready, control]: [SocketAddr; 3],
    port: u16,
) -> String {
    let RouterSettings {
        name, zone, store, ..
    } = settings;
    format!(
        "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
         serves = [\"edge\"]\nip = \"127.0.0.1\"\nzone = \"{zone}\"\nregion = \"ee-north\"\n\
         port_range = [{port},{port}]\nseeds = []\nbootstrap = true\n\
         counts_as_loss = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
         heartbeat_ms = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
         \"engine\",\"stream\",\"tenants\",\"platform\"]\n\
         [zones]\ntln-a = \"ee-north\"\ntln-b = \"ee-north\"\n\
         [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 110\nmax_fds = 4200\n\
         link_mbps = 1000.0\ndisk_mb = 0\n\
         [fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
         catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
         config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n\
         strict_revoke = false\nrevoke_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\n\
         retry_extra = 52\ncold_overshoot = 1.5\ncold_extra = 5\nrecover_s = 12\nevent_delay_ms = 120\nretry_after_s = 9.1\n\
         settle_ms = 1500\n\
         [platform]\naddress = \"{store}\"\nform = \"table\"\nwrites_per_s = 600\n\
         reads_per_s = 2000\ntx_ms = 5.0\npartition_writes_s = 200\nrow_bytes = 65536\n\
         cross_shard = false\nhistory_s = 20\nblob_bytes = 8388608\nblob_ms = 25.0\n\
         blob_mb_s = 80.0\n"
    )
}
