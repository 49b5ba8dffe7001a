//! The command line, one declarative file.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Examples of `run`; the indent keeps each on a line of its own.
const RUN_EXAMPLES: &str = "Examples:
\x20
    guavawell-load run --router 127.0.0.1:8080 --key k --rate 50 --seconds 10
    guavawell-load run --plan peak.toml --json peak.json --plot peak.svg
";

/// Examples of `compare`.
const COMPARE_EXAMPLES: &str = "Example:
\x20
    guavawell-load compare --router 127.0.0.1:8080 --engine 127.0.0.1:9000 --key k
";

/// A subcommand with its options.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    generate(command_line),
    version,
    descr("Load and experiments against a guavawell fleet."),
    footer(
        "Exit codes: 0 done, 1 failed, 2 wrong usage or plan, 3 a whole answer was wrong, 4 nothing was answered, 5 a budget was overspent."
    )
)]
pub enum Command {
    /// Send a load and report.
    ///
    ///
    /// Requests come from a plan file, from flags, or from a plan file with flags put over it.
    #[bpaf(command, footer(RUN_EXAMPLES))]
    Run(#[bpaf(external(run_args))] RunArgs),

    /// Compare a router with an engine asked directly, side by side.
    ///
    ///
    /// Both are asked in turns within one run, each over the same number of connections.
    #[bpaf(command, footer(COMPARE_EXAMPLES))]
    Compare(#[bpaf(external(compare_args))] CompareArgs),

    /// Check a plan file and print everything that is wrong with it.
    #[bpaf(command)]
    Check(#[bpaf(external(check_args))] CheckArgs),
}

/// What listens at the target addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetName {
    /// Routers.
    Router,
    /// Engines.
    Engine,
}

impl std::str::FromStr for TargetName {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "router" => Ok(Self::Router),
            "engine" => Ok(Self::Engine),
            _ => Err("write `router` or `engine`"),
        }
    }
}

/// Options of `run`.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct RunArgs {
    /// Plan file in TOML; the flags below go over it.
    #[bpaf(argument("FILE"))]
    pub plan: Option<PathBuf>,
    /// Address to send to; may be given several times, used in turn.
    #[bpaf(argument("IP:PORT"))]
    pub router: Vec<SocketAddr>,
    /// What listens there: `router` or `engine`.
    #[bpaf(argument("KIND"))]
    pub target: Option<TargetName>,
    /// Mean arrivals a second (open loop).
    #[bpaf(argument("R"))]
    pub rate: Option<f64>,
    /// Connections that send back to back (closed loop).
    #[bpaf(argument("N"))]
    pub connections: Option<usize>,
    /// Stop sending after this many seconds.
    #[bpaf(argument("S"))]
    pub seconds: Option<u64>,
    /// Stop sending after this many requests.
    #[bpaf(argument("N"))]
    pub requests: Option<u64>,
    /// Client threads.
    #[bpaf(argument("N"))]
    pub threads: Option<usize>,
    /// Seed of the mix, the sizes and the arrival times.
    #[bpaf(argument("N"))]
    pub seed: Option<u64>,
    /// Start of every request id; by default drawn from the clock.
    ///
    /// Two runs with the same tag send the same request ids, and a fleet
    /// answers the second run's requests as retries of the first's.
    #[bpaf(argument("TEXT"))]
    pub tag: Option<String>,
    /// Bearer key, for every profile without one.
    #[bpaf(argument("KEY"))]
    pub key: Option<String>,
    /// Model, for the default profile.
    #[bpaf(argument("MODEL"))]
    pub model: Option<String>,
    /// Write the history of each request to this file, one JSON object a line.
    #[bpaf(argument("FILE"))]
    pub history: Option<PathBuf>,
    /// Write the report as JSON to this file; `-` prints it in place of the text.
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
    /// Write the plot as SVG to this file.
    #[bpaf(argument("FILE"))]
    pub plot: Option<PathBuf>,
    /// Print no progress.
    #[bpaf(short, long)]
    pub quiet: bool,
}

/// Options of `compare`.
#[derive(Clone, Debug, Bpaf)]
pub struct CompareArgs {
    /// The router's address for callers.
    #[bpaf(argument("IP:PORT"))]
    pub router: SocketAddr,
    /// The engine's address.
    #[bpaf(argument("IP:PORT"))]
    pub engine: SocketAddr,
    /// Connections that send back to back.
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    pub connections: usize,
    /// Seconds for each of the two, spread over all rounds.
    #[bpaf(argument("S"), fallback(5), display_fallback)]
    pub seconds: u64,
    /// Turns that the two take; more turns even out the machine's moods.
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    pub rounds: u64,
    /// Client threads.
    #[bpaf(argument("N"), fallback(2), display_fallback)]
    pub threads: usize,
    /// Bearer key for the router.
    #[bpaf(argument("KEY"), fallback(String::new()))]
    pub key: String,
    /// Model.
    #[bpaf(argument("MODEL"), fallback("m".into()), display_fallback)]
    pub model: String,
    /// Prompt size in bytes.
    #[bpaf(argument("BYTES"), fallback(64), display_fallback)]
    pub prompt_bytes: u32,
    /// Output limit in tokens.
    #[bpaf(argument("N"), fallback(4), display_fallback)]
    pub max_tokens: u32,
    /// Print JSON.
    pub json: bool,
}

/// Options of `check`.
#[derive(Clone, Debug, Bpaf)]
pub struct CheckArgs {
    /// Plan file in TOML.
    #[bpaf(positional("FILE"))]
    pub plan: PathBuf,
}
