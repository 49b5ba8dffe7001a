//! The command line, one declarative file.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use guavawell_core::budget::SlotId;
use guavawell_core::budget::TopUpId;
use guavawell_core::id::BackendId;
use guavawell_core::id::BudgetId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;
use guavawell_core::id::SlotEpoch;
use guavawell_core::id::TokenCount;

/// What the exit codes say.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 findings, 4 conflict with \
another operator, 5 platform or instance unreachable and nothing changed, 6 in doubt: the change \
may have taken effect, 7 no such thing, 8 the audit found a gap or a second charge.";

/// Examples of `manifest`; the indent keeps each on a line of its own.
const MANIFEST_EXAMPLES: &str = "Examples:
\x20
    guavawell-ctl manifest check fleet.toml
    guavawell-ctl --platform 127.0.0.1:2379 manifest apply fleet.toml --base 6
    guavawell-ctl --platform 127.0.0.1:2379 --json manifest show
";

/// Examples of `budget`.
const BUDGET_EXAMPLES: &str = "Examples:
\x20
    guavawell-ctl --platform 127.0.0.1:2379 budget list --organisation desk
    guavawell-ctl --platform 127.0.0.1:2379 budget top-up desk-2026 --tokens 500000 --id inv-118
";

/// Example of `backend`.
const BACKEND_EXAMPLES: &str = "Example:
\x20
    guavawell-ctl --platform 127.0.0.1:2379 backend drain run-7
";

/// Example of `order`.
const ORDER_EXAMPLES: &str = "Example:
\x20
    guavawell-ctl --platform 127.0.0.1:2379 order list
";

/// Example of `instance`.
const INSTANCE_EXAMPLES: &str = "Example:
\x20
    guavawell-ctl --platform 127.0.0.1:2379 instance drain entry-2
";

/// Examples of `audit`.
const AUDIT_EXAMPLES: &str = "Examples:
\x20
    guavawell-ctl --platform 127.0.0.1:2379 audit --organisation desk --request cancel-4711
    guavawell-ctl --platform 127.0.0.1:2379 --json audit --budget desk-2026
";

/// The whole command line.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    generate(command_line),
    version,
    descr("Operate a guavawell fleet: manifests, budgets, backend servers, instances."),
    footer(EXIT_CODES)
)]
pub struct CommandLine {
    #[bpaf(external(global_args))]
    pub globals: GlobalArgs,
    #[bpaf(external(command))]
    pub command: Command,
}

/// Options of every subcommand; they come before it.
#[derive(Clone, Debug, Bpaf)]
pub struct GlobalArgs {
    /// Address of the platform's table and object store, by IP number
    ///
    /// Needed by everything but `manifest check`.
    #[bpaf(long, argument("ADDR"), env("GUAVAWELL_PLATFORM"))]
    pub platform: Option<SocketAddr>,
    /// Bucket of the object store
    #[bpaf(long, argument("NAME"), fallback("guavawell".to_owned()), display_fallback)]
    pub bucket: String,
    /// Name under which changes are recorded
    #[bpaf(long, argument("NAME"), env("USER"), fallback("unknown".to_owned()))]
    pub who: String,
    /// Print JSON instead of text, errors included
    #[bpaf(long)]
    pub json: bool,
    #[bpaf(external(tls_args), optional)]
    pub tls: Option<TlsArgs>,
}

/// How to prove oneself to the instances' operators' ports.
#[derive(Clone, Debug, Bpaf)]
pub struct TlsArgs {
    /// Certificate to show to instances, PEM; without it, plain loopback
    #[bpaf(long("tls-cert"), argument("FILE"))]
    pub cert: PathBuf,
    /// Key of the certificate, PEM
    #[bpaf(long("tls-key"), argument("FILE"))]
    pub key: PathBuf,
    /// Authority that instances' certificates must come from, PEM
    #[bpaf(long("tls-ca"), argument("FILE"))]
    pub ca: PathBuf,
}

/// What to operate on.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Check, apply and look at manifests
    #[bpaf(command, footer(MANIFEST_EXAMPLES))]
    Manifest(#[bpaf(external(manifest_command))] ManifestCommand),
    /// Look at prepaid budgets and top them up
    #[bpaf(command, footer(BUDGET_EXAMPLES))]
    Budget(#[bpaf(external(budget_command))] BudgetCommand),
    /// Look at backend servers and drain them
    #[bpaf(command, footer(BACKEND_EXAMPLES))]
    Backend(#[bpaf(external(backend_command))] BackendCommand),
    /// Look at the orders to model engines
    #[bpaf(command, footer(ORDER_EXAMPLES))]
    Order(#[bpaf(external(order_command))] OrderCommand),
    /// Look at entry instances and drain them
    #[bpaf(command, footer(INSTANCE_EXAMPLES))]
    Instance(#[bpaf(external(instance_command))] InstanceCommand),
    /// Show why a request was billed, refused or left in doubt, or prove a budget's sums
    ///
    ///
    /// Reads the billing journal of the organisation's shard, folds it by request, and compares it
    /// with the rows of the table. A charge that was made seconds ago may not be in the journal
    /// yet: the audit of a budget reads the journal again for some seconds (--wait) before it calls
    /// that a gap.
    #[bpaf(command, footer(AUDIT_EXAMPLES))]
    Audit(#[bpaf(external(audit_target))] AuditTarget),
}

/// What to audit.
#[derive(Clone, Debug, Bpaf)]
pub enum AuditTarget {
    /// One request.
    Request {
        /// Organisation that sent the request
        #[bpaf(long, argument("ID"))]
        organisation: OrganisationId,
        /// Id of the request, as the caller or the router named it
        #[bpaf(long, argument("ID"))]
        request: RequestId,
    },
    /// List every attempt in doubt, as the instances tell: held at its worst case, and not settled
    /// until its backend server's record tells what became of it
    #[bpaf(long("doubts"))]
    Doubts,
    /// One budget.
    Budget {
        /// Budget whose sums are to be proved
        #[bpaf(long, argument("ID"))]
        budget: BudgetId,
        /// Longest time to wait for records that are not written yet; 0 to look once
        #[bpaf(long, argument("SECONDS"), fallback(10), display_fallback)]
        wait: u64,
    },
}

/// What to do with manifests.
#[derive(Clone, Debug, Bpaf)]
pub enum ManifestCommand {
    /// Check a manifest and print every finding with its place
    #[bpaf(command)]
    Check {
        /// The manifest, TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a manifest into force everywhere
    ///
    ///
    /// The base is the version that the manifest was made from. If another version is in force,
    /// nothing changes and the command ends with code 4. An answer that is lost on the way is
    /// resolved by reading the history back; applying again with the same base is safe.
    #[bpaf(command)]
    Apply {
        /// Version in force that the manifest builds on; 0 for the first
        #[bpaf(long, argument("N"))]
        base: ManifestVersion,
        /// The manifest, TOML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the version in force and which instance runs which version, since when
    #[bpaf(command)]
    Show,
    /// Show accepted versions, newest first
    #[bpaf(command)]
    History {
        /// Most versions to show
        #[bpaf(long, argument("N"), fallback(20), display_fallback)]
        limit: u64,
    },
}

/// What to do with budgets.
#[derive(Clone, Debug, Bpaf)]
pub enum BudgetCommand {
    /// List budgets with what is paid, settled, granted, frozen and unspent
    ///
    ///
    /// Without --organisation every page of the manifest is read.
    #[bpaf(command)]
    List {
        /// Only this organisation's budgets
        #[bpaf(long, argument("ID"))]
        organisation: Option<OrganisationId>,
    },
    /// Show one budget with its grants and frozen tokens
    #[bpaf(command)]
    Show {
        /// The budget
        #[bpaf(positional("ID"))]
        budget: BudgetId,
    },
    /// End frozen tokens of a destroyed instance by your word
    ///
    ///
    /// Only for an instance that is destroyed and can never come back: tokens that it spent and
    /// that are reclaimed as unspent would be spent twice. Without --spent all frozen tokens count
    /// as spent. Your name, the time and the word are kept in the table with what was reclaimed;
    /// repeating the command changes nothing.
    #[bpaf(command)]
    Reclaim {
        /// Slot whose holder is destroyed, as `budget show` names it
        #[bpaf(long, argument("ZONE/SHARD"))]
        slot: SlotId,
        /// Tenure that held the tokens, as `budget show` names it
        #[bpaf(long, argument("N"))]
        tenure: SlotEpoch,
        /// Most tokens that the holder can have spent, as the audit proves
        #[bpaf(long, argument("N"))]
        spent: Option<TokenCount>,
        /// Why the instance cannot come back, and how you know
        #[bpaf(long, argument("TEXT"))]
        word: String,
        /// The budget
        #[bpaf(positional("ID"))]
        budget: BudgetId,
    },
    /// Add paid tokens to a budget
    ///
    ///
    /// A top-up counts once by its id, so repeating the command after any failure is safe.
    #[bpaf(command("top-up"))]
    TopUp {
        /// Tokens to add
        #[bpaf(long, argument("N"))]
        tokens: TokenCount,
        /// Id of this top-up, for instance an invoice number
        #[bpaf(long, argument("ID"))]
        id: TopUpId,
        /// The budget
        #[bpaf(positional("BUDGET"))]
        budget: BudgetId,
    },
}

/// What to do with backend servers.
#[derive(Clone, Debug, Bpaf)]
pub enum BackendCommand {
    /// List the backend servers of the manifest in force
    #[bpaf(command)]
    List,
    /// Mark a backend server as leaving: it gets no new work
    ///
    ///
    /// This puts a new manifest version into force, on top of the present one.
    #[bpaf(command)]
    Drain {
        /// The backend server
        #[bpaf(positional("ID"))]
        backend: BackendId,
    },
}

/// What to do with orders.
#[derive(Clone, Debug, Bpaf)]
pub enum OrderCommand {
    /// List the latest order of each backend server
    ///
    ///
    /// An open order is on its way, or waits for its engine or for the weight store.
    #[bpaf(command)]
    List,
}

/// What to do with entry instances.
#[derive(Clone, Debug, Bpaf)]
pub enum InstanceCommand {
    /// List the instances with their state
    #[bpaf(command)]
    List,
    /// Shut an instance down gracefully: no stream is cut
    #[bpaf(command)]
    Drain {
        /// The instance
        #[bpaf(positional("ID"))]
        instance: InstanceId,
    },
}
