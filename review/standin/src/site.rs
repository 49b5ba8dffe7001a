//! The configuration and the entries of runners of a small deployment, the temporary
//! folder of a run, and how a run ends.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process;

use crate::record::Record;

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Name of the only tenant.
pub const TENANT: &str = "hule930";

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

impl Verdict {
    /// Ends the process with the exit code of the verdict.
    pub fn exit(self) -> ! {
        let code = match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::NotRun => 2,
        };
        process::exit(code)
    }
}

/// Whether the disruption is left out.
#[must_use]
pub fn is_calm() -> bool {
    env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Runs a case with its record in the folder that the first argument names, and with a
/// temporary folder; ends the process with its verdict.
pub fn run_case(case: impl FnOnce(&Record, &Path) -> Verdict) -> ! {
    let Some(folder) = env::args().nth(1) else {
        eprintln!("the first argument names the folder of the case");
        Verdict::NotRun.exit();
    };
    let record = Record::create(Path::new(&folder));
    let temporary = temporary_folder();
    let verdict = case(&record, &temporary);
    record.note(format_args!("verdict: {verdict:?}"));
    // A folder that stays behind does not change the verdict.
    let _ = fs::remove_dir_all(&temporary);
    println!("{folder}: {verdict:?}");
    verdict.exit()
}

fn temporary_folder() -> PathBuf {
    let folder = env::temp_dir().join(format!("guavawell-review-{}", process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// A route of the configuration.
pub struct Route<'a> {
    /// Its name; its prefix is made of it.
    pub name: &'a str,
    /// Its type.
    pub kind: &'a str,
    /// Its service.
    pub backend: &'a str,
    /// `max_attempts`.
    pub attempts: u32,
}

/// The configuration, with a model pool `pool` and an application service `desk`.
/// `desk_fields` are further fields of the latter.
#[must_use]
pub fn config(version: u64, routes: &[Route<'_>], desk_fields: &str) -> String {
    let routes = routes.iter().map(|route| {
        let Route {
            name,
            kind,
            backend,
            attempts,
        } = route;
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"prefix\":\"/{name}/\",\
             \"type\":\"{kind}\",\"timeout_ms\":12000,\"slo_ms\":400,\"priority\":1,\
             \"backend\":\"{backend}\",\"max_attempts\":{attempts},\"public\":false,\
             \"sticky\":true,\"resumable\":false,\"itl_target_ms\":400}}"
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"pool\",\"health_path\":\"/healthz\",\"max_conns\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":548960,\
         \"stride\":5}}}},\
         {{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":96,\
         \"protocol\":\"h1\",\"tls\":false{desk_fields}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"prepaid\":7591438}}]}}",
        routes.join(",")
    )
}

/// The entry of a ready runner in the store.
#[must_use]
pub fn runner_entry(service: &str, address: SocketAddr, slots: u32, calls: u64) -> String {
    format!(
        "{{\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"tln-a\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\
         \"call_seq\":{calls},\"born\":1782368042200}}"
    )
}
