//! Carries out one subcommand.

use guavawell_core::budget::FrozenReclaim;

use crate::args::BackendCommand;
use crate::args::BudgetCommand;
use crate::args::Command;
use crate::args::InstanceCommand;
use crate::args::ManifestCommand;
use crate::args::OrderCommand;
use crate::args::RetentionCommand;
use crate::audit;
use crate::backend;
use crate::budget;
use crate::error::CtlError;
use crate::exit::ExitCode;
use crate::instance;
use crate::manifest;
use crate::order;
use crate::retention;
use crate::settings::CtlSettings;

/// Carries out what the settings say.
pub fn run(settings: &CtlSettings) -> Result<ExitCode, CtlError> {
    smol::block_on(async {
        if let Command::Audit(target) = &settings.command {
            return Box::pin(audit::audit(settings, target)).await;
        }
        carry_out(settings).await?;
        Ok(ExitCode::Success)
    })
}

async fn carry_out(settings: &CtlSettings) -> Result<(), CtlError> {
    match &settings.command {
        Command::Manifest(command) => match command {
            ManifestCommand::Check { file } => manifest::check(settings, file),
            ManifestCommand::Apply { base, file } => {
                Box::pin(manifest::apply(settings, *base, file)).await
            }
            ManifestCommand::Show => manifest::show(settings).await,
            ManifestCommand::History { limit } => manifest::history(settings, *limit).await,
        },
        Command::Budget(command) => match command {
            BudgetCommand::List { organisation } => {
                Box::pin(budget::list(settings, organisation.as_ref())).await
            }
            BudgetCommand::Show { budget } => Box::pin(budget::show(settings, budget)).await,
            BudgetCommand::Reclaim {
                slot,
                tenure,
                spent,
                word,
                budget,
            } => {
                let reclaim = budget::Reclaim {
                    budget: budget.clone(),
                    frozen: FrozenReclaim {
                        slot: slot.clone(),
                        tenure: *tenure,
                        spent: *spent,
                    },
                    word: word.as_str().into(),
                };
                Box::pin(budget::reclaim(settings, reclaim)).await
            }
            BudgetCommand::TopUp { tokens, id, budget } => {
                let top_up = budget::TopUp {
                    budget: budget.clone(),
                    id: id.clone(),
                    tokens: *tokens,
                };
                Box::pin(budget::top_up(settings, top_up)).await
            }
        },
        Command::Backend(command) => match command {
            BackendCommand::List => Box::pin(backend::list(settings)).await,
            BackendCommand::Drain { backend } => Box::pin(backend::drain(settings, backend)).await,
        },
        Command::Order(OrderCommand::List) => Box::pin(order::list(settings)).await,
        Command::Retention(command) => match command {
            RetentionCommand::Show => Box::pin(retention::show(settings)).await,
            RetentionCommand::Sweep { dry_run } => {
                Box::pin(retention::sweep(settings, *dry_run)).await
            }
        },
        // Its exit code says what it found.
        Command::Audit(_) => Ok(()),
        Command::Instance(command) => match command {
            InstanceCommand::List => instance::list(settings).await,
            InstanceCommand::Drain { instance } => instance::drain(settings, instance).await,
        },
    }
}
