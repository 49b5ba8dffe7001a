//! Carries out one subcommand.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::IdError;
use thiserror::Error;

use crate::args::CheckArgs;
use crate::args::Command;
use crate::args::CompareArgs;
use crate::args::RunArgs;
use crate::args::TargetName;
use crate::compare::ComparePlan;
use crate::compare::compare;
use crate::compare::compare_text;
use crate::exit::ExitCode;
use crate::history::RequestHistory;
use crate::hooks::HistoryListener;
use crate::hooks::LoadHooks;
use crate::hooks::LoadProgress;
use crate::plan::ArrivalMode;
use crate::plan::CallKind;
use crate::plan::ChatCall;
use crate::plan::FindingList;
use crate::plan::LoadPlan;
use crate::plan::RequestProfile;
use crate::plan::SizeRange;
use crate::plan::TargetKind;
use crate::plan::parse_plan;
use crate::report::LoadReport;
use crate::report::plot_svg;
use crate::report::report_text;
use crate::runner::LoadError;
use crate::runner::run;

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file could not be read or written.
    #[error("cannot use `{path}`: {source}; check the path and its permissions")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The plan file is wrong.
    #[error("{path} is no plan:\n{findings}")]
    Plan {
        /// The file.
        path: PathBuf,
        /// Everything wrong with it.
        findings: FindingList,
    },
    /// The run could not be carried out.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The model's name is no id.
    #[error("--model: {0}")]
    Model(#[from] IdError),
}

impl CommandError {
    /// The exit code that fits.
    #[must_use]
    pub const fn exit_code(&self) -> ExitCode {
        match self {
            Self::Plan { .. } | Self::Load(LoadError::Plan(_)) | Self::Model(_) => ExitCode::Usage,
            Self::File { .. } | Self::Load(_) => ExitCode::Failure,
        }
    }
}

/// Carries out a subcommand.
///
/// # Errors
///
/// A file, a plan or a run that failed.
pub fn carry_out(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Run(args) => carry_out_run(&args),
        Command::Compare(args) => carry_out_compare(&args),
        Command::Check(args) => carry_out_check(&args),
    }
}

fn carry_out_check(args: &CheckArgs) -> Result<ExitCode, CommandError> {
    let plan = read_plan(&args.plan)?;
    let findings = plan.check();
    if findings.is_empty() {
        println!("{}: no findings", args.plan.display());
        return Ok(ExitCode::Success);
    }
    Err(CommandError::Plan {
        path: args.plan.clone(),
        findings,
    })
}

fn carry_out_run(args: &RunArgs) -> Result<ExitCode, CommandError> {
    let plan = build_plan(args)?;
    let history = args
        .history
        .as_deref()
        .map(HistoryFile::create)
        .transpose()?;
    let hooks = LoadHooks {
        progress: (!args.quiet).then(|| Arc::new(print_progress) as _),
        history: history.as_ref().map(HistoryFile::listener),
        ..LoadHooks::default()
    };
    let report = run(plan, hooks)?;
    if let Some(history) = &history {
        history.flush()?;
    }
    write_report(args, &report)?;
    Ok(report_code(&report))
}

fn report_code(report: &LoadReport) -> ExitCode {
    if report.counts.wrong > 0 {
        ExitCode::WrongAnswer
    } else if report.budgets.iter().any(|row| row.overspend > 0) {
        ExitCode::Overspent
    } else if report.counts.answered == 0 {
        ExitCode::NothingAnswered
    } else {
        ExitCode::Success
    }
}

fn print_progress(progress: &LoadProgress) {
    eprintln!(
        "{:>6} s  begun {:>8}  finished {:>8}  answered {:>8}  refused {:>8}",
        progress.elapsed_ms / 1_000,
        progress.begun,
        progress.finished,
        progress.answered,
        progress.refused
    );
}

fn write_report(args: &RunArgs, report: &LoadReport) -> Result<(), CommandError> {
    let to_output = args.json.as_deref() == Some(Path::new("-"));
    if to_output {
        println!("{}", report.to_json());
    } else {
        print!("{}", report_text(report));
    }
    if let Some(path) = args.json.as_deref().filter(|_| !to_output) {
        write_file(path, &report.to_json())?;
    }
    if let Some(path) = &args.plot {
        write_file(path, &plot_svg(report))?;
    }
    Ok(())
}

fn build_plan(args: &RunArgs) -> Result<LoadPlan, CommandError> {
    let mut plan = match &args.plan {
        Some(path) => read_plan(path)?,
        None => LoadPlan {
            tag: fresh_tag(),
            ..LoadPlan::default()
        },
    };
    if !args.router.is_empty() {
        plan.targets = args.router.clone().into();
    }
    if let Some(target) = args.target {
        plan.target_kind = match target {
            TargetName::Router => TargetKind::Router,
            TargetName::Engine => TargetKind::Engine,
        };
    }
    put_bounds(args, &mut plan);
    for profile in &mut plan.profiles {
        if let Some(key) = args.key.as_deref().filter(|_| profile.key.is_empty()) {
            profile.key = key.into();
        }
        if let (Some(model), CallKind::Chat(chat)) = (&args.model, &mut profile.call) {
            chat.model = model.parse()?;
        }
    }
    Ok(plan)
}

fn put_bounds(args: &RunArgs, plan: &mut LoadPlan) {
    if let Some(rate) = args.rate {
        plan.arrival = ArrivalMode::Open { rate };
    }
    if let Some(connections) = args.connections {
        plan.arrival = ArrivalMode::Closed { connections };
    }
    if args.seconds.is_some() || args.requests.is_some() {
        let span = |seconds: u64| ClockSpan::from_millis(seconds.saturating_mul(1_000));
        plan.duration = args.seconds.map(span);
        plan.requests = args.requests;
    }
    plan.threads = args.threads.unwrap_or(plan.threads);
    plan.seed = args.seed.unwrap_or(plan.seed);
    if let Some(tag) = &args.tag {
        plan.tag = tag.as_str().into();
    }
}

/// A tag that no earlier run had.
fn fresh_tag() -> Box<str> {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("load-{:x}", since.as_millis()).into()
}

fn carry_out_compare(args: &CompareArgs) -> Result<ExitCode, CommandError> {
    let profile = RequestProfile {
        key: args.key.as_str().into(),
        call: CallKind::Chat(ChatCall {
            model: args.model.parse()?,
            prompt_bytes: SizeRange::exactly(args.prompt_bytes),
            max_tokens: SizeRange::exactly(args.max_tokens),
            stream: true,
        }),
        ..RequestProfile::default()
    };
    let report = compare(&ComparePlan {
        router: args.router,
        engine: args.engine,
        connections: args.connections,
        time: ClockSpan::from_millis(args.seconds.saturating_mul(1_000)),
        rounds: args.rounds,
        threads: args.threads,
        tag: fresh_tag(),
        profile,
    })?;
    if args.json {
        let json = serde_json::to_string_pretty(&report).expect("plain fields always serialise");
        println!("{json}");
    } else {
        print!("{}", compare_text(&report));
    }
    let answered = report
        .median
        .engine
        .answered
        .min(report.median.router.answered);
    if answered == 0 {
        return Ok(ExitCode::NothingAnswered);
    }
    Ok(ExitCode::Success)
}

fn read_plan(path: &Path) -> Result<LoadPlan, CommandError> {
    let text = fs::read_to_string(path).map_err(|source| file_error(path, source))?;
    parse_plan(&text).map_err(|findings| CommandError::Plan {
        path: path.into(),
        findings,
    })
}

fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    fs::write(path, text).map_err(|source| file_error(path, source))
}

fn file_error(path: &Path, source: io::Error) -> CommandError {
    CommandError::File {
        path: path.into(),
        source,
    }
}

/// The history file, written from every client thread.
struct HistoryFile {
    path: PathBuf,
    writer: Arc<Mutex<BufWriter<File>>>,
}

impl HistoryFile {
    fn create(path: &Path) -> Result<Self, CommandError> {
        let file = File::create(path).map_err(|source| file_error(path, source))?;
        Ok(Self {
            path: path.into(),
            writer: Arc::new(Mutex::new(BufWriter::new(file))),
        })
    }

    fn listener(&self) -> HistoryListener {
        let writer = Arc::clone(&self.writer);
        Arc::new(move |history: &RequestHistory| {
            let line = serde_json::to_string(history).expect("plain fields always serialise");
            let mut writer = writer.lock().expect("no writer panics");
            // A failed write shows again at the closing flush, which reports it.
            let _ = writeln!(writer, "{line}");
        })
    }

    fn flush(&self) -> Result<(), CommandError> {
        let mut writer = self.writer.lock().expect("no writer panics");
        writer
            .flush()
            .map_err(|source| file_error(&self.path, source))
    }
}
