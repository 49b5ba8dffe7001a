//! Carries out one subcommand.

use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::PathBuf;

use thiserror::Error;

use crate::args::CheckArgs;
use crate::args::Command;
use crate::args::ShowArgs;
use crate::args::SourceArgs;
use crate::check::HistoryChecker;
use crate::check::check_text;
use crate::check::read_callers;
use crate::exit::ExitCode;
use crate::filter::EventFilter;
use crate::merge::EventMerge;
use crate::offset::OffsetEstimator;
use crate::output::event_json;
use crate::output::event_text;
use crate::output::summary_json;
use crate::output::summary_text;
use crate::source::EventSource;

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A log could not be opened.
    #[error("cannot open `{path}`: {source}; check the path and its permissions")]
    Open {
        /// The log.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The output could not be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

/// Carries out a subcommand. A reader that closes the output early, as `head`
/// does, ends it without an error.
///
/// # Errors
///
/// A log that could not be opened, or an output that failed.
pub fn carry_out(command: Command) -> Result<ExitCode, CommandError> {
    let done = match command {
        Command::Show(args) => carry_out_show(args),
        Command::Check(args) => carry_out_check(&args),
    };
    match done {
        Err(CommandError::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => {
            Ok(ExitCode::Success)
        }
        done => done,
    }
}

fn carry_out_show(args: ShowArgs) -> Result<ExitCode, CommandError> {
    let mut merge = open_logs(&args.sources)?;
    let json = args.json;
    let filter = build_filter(args);
    let mut offsets = OffsetEstimator::default();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut shown = 0;
    for event in merge.by_ref() {
        offsets.add(&event.record);
        if !filter.passes(&event.record) {
            continue;
        }
        shown += 1;
        let line = if json {
            event_json(&event.record)
        } else {
            event_text(&event.record)
        };
        writeln!(output, "{line}")?;
    }
    let estimates = offsets.estimates();
    if json {
        writeln!(output, "{}", summary_json(&merge, shown, &estimates))?;
    } else {
        output.flush()?;
        eprint!("{}", summary_text(&merge, shown, &estimates));
    }
    output.flush()?;
    Ok(order_code(&merge))
}

fn carry_out_check(args: &CheckArgs) -> Result<ExitCode, CommandError> {
    let mut merge = open_logs(&args.sources)?;
    let mut checker = HistoryChecker::default();
    for path in &args.callers {
        let records = read_callers(path).map_err(|source| CommandError::Open {
            path: path.clone(),
            source,
        })?;
        checker.add_callers(records);
    }
    let mut offsets = OffsetEstimator::default();
    let mut events = 0;
    for event in merge.by_ref() {
        events += 1;
        offsets.add(&event.record);
        checker.add(&event);
    }
    let report = checker.finish(merge.names());
    let mut output = io::stdout().lock();
    if args.json {
        let json = serde_json::to_string_pretty(&report).map_err(io::Error::from)?;
        writeln!(output, "{json}")?;
    } else {
        write!(output, "{}", check_text(&report))?;
    }
    eprint!("{}", summary_text(&merge, events, &offsets.estimates()));
    if report.breaches.is_empty() {
        Ok(order_code(&merge))
    } else {
        Ok(ExitCode::Breach)
    }
}

fn order_code(merge: &EventMerge) -> ExitCode {
    if merge.summary().disordered > 0 {
        ExitCode::Disordered
    } else {
        ExitCode::Success
    }
}

fn open_logs(args: &SourceArgs) -> Result<EventMerge, CommandError> {
    let stdin = [PathBuf::from("-")];
    let files = if args.files.is_empty() {
        &stdin[..]
    } else {
        &args.files
    };
    let mut sources = Vec::with_capacity(files.len());
    for path in files {
        let source = EventSource::open(path).map_err(|source| CommandError::Open {
            path: path.clone(),
            source,
        })?;
        sources.push(source);
    }
    let window = if args.in_memory {
        usize::MAX
    } else {
        args.window
    };
    Ok(EventMerge::new(sources, window))
}

fn build_filter(args: ShowArgs) -> EventFilter {
    EventFilter {
        requests: args.request,
        attempts: args.attempt,
        budgets: args.budget,
        organisations: args.organisation,
        instances: args.instance,
        kinds: args.kind.into_iter().map(String::into_boxed_str).collect(),
        since: args.since,
        until: args.until,
    }
}
