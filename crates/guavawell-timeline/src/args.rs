//! The command line, one declarative file.

use std::path::PathBuf;

use bpaf::Bpaf;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BudgetId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;

use crate::merge::DEFAULT_WINDOW;

/// Examples of `show`; the blank line and the indent keep each on its own line.
const SHOW_EXAMPLES: &str = "Examples:
\x20
    guavawell-timeline show router-*.jsonl --request brief-17
    guavawell-timeline show --kind slot. --instance tln-a-1 logs/*.jsonl
";

/// Examples of `check`.
const CHECK_EXAMPLES: &str = "Examples:
\x20
    guavawell-timeline check router-*.jsonl
    guavawell-timeline check --callers load.jsonl router-*.jsonl
";

/// A subcommand with its options.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    generate(command_line),
    version,
    descr("One time line of events over all processes' event logs."),
    footer(
        "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 a check found a broken promise, 4 a log was out of order beyond the window."
    )
)]
pub enum Command {
    /// Show the merged time line.
    #[bpaf(command, footer(SHOW_EXAMPLES))]
    Show(#[bpaf(external(show_args))] ShowArgs),

    /// Check the merged history against what the fleet promises.
    ///
    ///
    /// A request is billed at most once; a non-idempotent request starts at most one attempt;
    /// no attempt starts after a seal or a final refusal; no charge is above its reservation.
    #[bpaf(command, footer(CHECK_EXAMPLES))]
    Check(#[bpaf(external(check_args))] CheckArgs),
}

/// Options of `show`.
#[derive(Clone, Debug, Bpaf)]
pub struct ShowArgs {
    /// Only this request; may be given several times, as each of the filters.
    #[bpaf(argument("ID"))]
    pub request: Vec<RequestId>,
    /// Only this attempt.
    #[bpaf(argument("HEX"))]
    pub attempt: Vec<AttemptId>,
    /// Only this budget.
    #[bpaf(argument("ID"))]
    pub budget: Vec<BudgetId>,
    /// Only this organisation.
    #[bpaf(argument("ID"))]
    pub organisation: Vec<OrganisationId>,
    /// Only this instance.
    #[bpaf(argument("ID"))]
    pub instance: Vec<InstanceId>,
    /// Only kinds that begin so, for instance `slot.`.
    #[bpaf(argument("PREFIX"))]
    pub kind: Vec<String>,
    /// Not before this time, in milliseconds, by the instance's own clock.
    #[bpaf(argument("MS"))]
    pub since: Option<ClockTime>,
    /// Before this time, in milliseconds, by the instance's own clock.
    #[bpaf(argument("MS"))]
    pub until: Option<ClockTime>,
    /// Print JSON lines, the last one with the summary.
    pub json: bool,
    #[bpaf(external(source_args))]
    /// Logs and how they are read.
    pub sources: SourceArgs,
}

/// Options of `check`.
#[derive(Clone, Debug, Bpaf)]
pub struct CheckArgs {
    /// Histories of callers, as `guavawell-load run --history` writes them.
    ///
    /// Each whole answer must be billed, by the tokens that it stated, and
    /// each request refused as not run must be neither run nor billed.
    #[bpaf(argument("FILE"))]
    pub callers: Vec<PathBuf>,
    /// Print JSON.
    pub json: bool,
    #[bpaf(external(source_args))]
    /// Logs and how they are read.
    pub sources: SourceArgs,
}

/// Logs and how they are read.
#[derive(Clone, Debug, Bpaf)]
pub struct SourceArgs {
    /// Records of one log that are held to put them in order.
    #[bpaf(argument("N"), fallback(DEFAULT_WINDOW), display_fallback)]
    pub window: usize,
    /// Sort each log as a whole, in memory.
    pub in_memory: bool,
    /// Event logs; `-` or none at all is the standard input.
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}
