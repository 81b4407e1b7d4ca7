//! The program `gullsail`: arguments, logs, exit codes. Exit code 0: success; 1: a scenario failed, a command was
//! refused or a process failed; 2: the arguments or a document are wrong. `arguments` names the exit
//! codes of single commands.

// One-letter names are left in places: docs/ROADMAP.md lists them.
#![allow(clippy::min_ident_chars)]

mod arguments;
mod atomic_file;
mod documents;
mod fleet;
mod logs;
mod maintenance;
mod processes;
mod scenario;
mod signals;
mod zones;

use arguments::{Arguments, Command, Fleet, LogFormat, Zones};
use clap::Parser;
use gullsail_host::core::maintenance::OperatorCommand;
use miette::Result;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let logs = logs::start(
        &arguments.log_level,
        matches!(arguments.log, LogFormat::Json),
    );
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            logs::print_message(&format!("cannot start the async runtime: {e}"));
            return ExitCode::from(1);
        }
    };
    let result = runtime.block_on(run(arguments.command, &logs));
    // A thread that is blocked on reading a document, as from a hung disk, cannot be ended: do not wait for it.
    runtime.shutdown_background();
    match result {
        Ok(code) => code,
        Err(report) => {
            logs::print_message(&format!("{report:?}"));
            ExitCode::from(2)
        }
    }
}

async fn run(command: Command, logs: &logs::Logs) -> Result<ExitCode> {
    logs::handle_file_size_signal();
    match command {
        Command::Host { .. }
        | Command::Platform { .. }
        | Command::Baseline { .. }
        | Command::Node { .. }
        | Command::List { .. } => run_process(command, logs).await,
        Command::Scenario { list: true, .. } => {
            list_scenarios();
            Ok(ExitCode::SUCCESS)
        }
        Command::Scenario {
            day,
            seed,
            record,
            json,
            baseline,
            ..
        } => scenario::play(&day.unwrap_or_default(), seed, record, json, baseline).await,
        Command::Audit { dir, json } => scenario::audit(&dir, json),
        Command::Fleet(command) => run_fleet_command(command).await,
        Command::Zones(Zones::Plan { file, price, out }) => zones::plan(&file, price, out),
        Command::Zones(Zones::Report {
            sources,
            price,
            json,
            csv,
        }) => zones::report(&sources, price, json, csv).await,
        Command::Reload {
            control,
            insist,
            json,
        } => documents::reload(&control, insist, json).await,
        Command::Status { control } => documents::status(&control).await,
        Command::Check { file, json } => documents::check(&file, json),
        Command::Explain { code } => documents::explain(&code),
        Command::Fmt { files, check } => documents::format(&files, check),
        Command::Diff { old, new, json } => documents::diff(&old, &new, json),
        Command::Show { file, host } => documents::show(&file, &host),
    }
}

/// Runs a process of a deployment, such as a host or a node, until it is stopped.
async fn run_process(command: Command, logs: &logs::Logs) -> Result<ExitCode> {
    match command {
        Command::Host {
            file,
            name,
            seed,
            clock_ahead,
            clock_drift,
            control,
        } => {
            let clock = (clock_ahead.as_str(), clock_drift);
            let seed = seed.unwrap_or_else(rand::random);
            processes::host(&file, &name, seed, clock, control, logs).await
        }
        Command::Platform { file } => platform(file, logs).await,
        Command::Baseline { file, name, seed } => {
            processes::baseline(&file, &name, seed.unwrap_or_else(rand::random)).await
        }
        Command::Node {
            file,
            name,
            age,
            keys,
        } => processes::node(&file, &name, age, keys.as_deref()).await,
        Command::List { file } => processes::list(&file).await,
        _ => unreachable!("only commands that run a process are passed here"),
    }
}

fn list_scenarios() {
    for (name, summary) in gullsail_scenario::built_in::all() {
        println!("{name:<14} {summary}");
    }
    println!("{:<14} Two kinds of faults, drawn by --seed.", "random");
}

async fn run_fleet_command(command: Fleet) -> Result<ExitCode> {
    match command {
        Fleet::Status { control, json } => fleet::status(&control, json).await,
        Fleet::Maintenance { control, json } => maintenance::show(&control, json).await,
        Fleet::Out {
            control,
            names,
            r#for,
            reason,
            shard_away,
            returns,
            wait,
        } => {
            let wait_for = wait.then(|| names.clone());
            let command = OperatorCommand {
                kind: "out".into(),
                names,
                longest_ms: r#for.map_or(0, |span| span.as_millis() as u64),
                shard_away,
                returns,
                reason,
            };
            maintenance::send_command(&control, command, wait_for).await
        }
        Fleet::Back { control, names } => {
            maintenance::send_command(&control, operator_command("back", names), None).await
        }
        Fleet::Cancel { control, names } => {
            maintenance::send_command(&control, operator_command("cancel", names), None).await
        }
    }
}

fn operator_command(kind: &str, names: Vec<String>) -> OperatorCommand {
    OperatorCommand {
        kind: kind.into(),
        names,
        ..OperatorCommand::default()
    }
}

async fn platform(file: PathBuf, logs: &logs::Logs) -> Result<ExitCode> {
    // Registered first: without a handler, SIGHUP ends the process.
    let signals = gullsail_platform::runtime::Signals::register()?;
    let document = gullsail_platform::runtime::read_settings(&file)?;
    tokio::select! {
        served = gullsail_platform::runtime::run(file, document, signals) => served.map(|_| ExitCode::SUCCESS),
        () = logs.watch() => Ok(ExitCode::from(1)),
    }
}
