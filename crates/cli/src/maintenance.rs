//! `gullsail fleet out | back | cancel | maintenance`: operator commands, which any host accepts, and the host's copy
//! of the maintenance queue.

use crate::documents::state;
use gullsail_fleet::maintenance::Stage;
use gullsail_host::control::{ControlReply, ControlRequest, send_request};
use gullsail_host::core::maintenance::{MaintenanceView, OperatorCommand, OrderView};
use indicatif::{ProgressBar, ProgressStyle};
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// How long to wait for a command's result: longer than a host retries it at the coordinator.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(400);
/// How often `--wait` polls the queue.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The exit code of a command whose result is not known.
const RESULT_UNKNOWN: u8 = 3;

/// Sends a command to a host. With `wait_for`, waits until these servers are offline. Exit code 0: the command
/// is accepted; 1: it is refused, or a server is overdue or its order cancelled; 3: its result is not known.
pub async fn send_command(
    control: &Path,
    command: OperatorCommand,
    wait_for: Option<Vec<String>>,
) -> Result<ExitCode> {
    let request = ControlRequest::OperatorCommand(command);
    let reply = match send_request(control, request, COMMAND_TIMEOUT).await {
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
            return Ok(result_unknown(&error.to_string()));
        }
        reply => reply.into_diagnostic(),
    };
    match reply.wrap_err_with(|| format!("the host at {}", control.display()))? {
        ControlReply::CommandTaken => {}
        ControlReply::CommandResultUnknown { why } => return Ok(result_unknown(&why)),
        ControlReply::TurnedDown { why } => {
            println!("refused: {}", why.join("; "));
            return Ok(ExitCode::from(1));
        }
        other => {
            return Err(miette!(
                "unexpected reply of the host at {}: {other:?}",
                control.display()
            ));
        }
    }
    let Some(names) = wait_for else {
        print!("{}", queue_text(&fetch_view(control).await?));
        return Ok(ExitCode::SUCCESS);
    };
    wait_until_offline(control, &names).await
}

fn result_unknown(why: &str) -> ExitCode {
    println!("result unknown: {why}");
    ExitCode::from(RESULT_UNKNOWN)
}

/// Waits until each of these servers may be switched off or has passed that stage. A zone's name stands for all
/// servers that are queued when the wait begins.
async fn wait_until_offline(control: &Path, names: &[String]) -> Result<ExitCode> {
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} {msg}").into_diagnostic()?;
    let bar = ProgressBar::new(0).with_style(style);
    let mut awaited: Option<Vec<String>> = None;
    loop {
        let view = fetch_view(control).await?;
        let servers = awaited.get_or_insert_with(|| servers_named(&view, names));
        let is_awaited = |order: &&OrderView| servers.contains(&order.server);
        let orders: Vec<&OrderView> = view.orders.iter().filter(is_awaited).collect();
        if let Some(order) = orders.iter().find(|order| has_failed(order)) {
            bar.abandon();
            println!(
                "{} is {}{}",
                order.server,
                stage_name(order.stage),
                details(order)
            );
            return Ok(ExitCode::from(1));
        }
        let mut pending = orders
            .iter()
            .filter(|order| order.stage < Stage::Offline)
            .peekable();
        let Some(next) = pending.peek().copied() else {
            bar.finish();
            print!("{}", queue_text(&view));
            return Ok(ExitCode::SUCCESS);
        };
        bar.set_length(servers.len() as u64);
        bar.set_position(servers.len().saturating_sub(pending.count()) as u64);
        bar.set_message(format!(
            "{} {}{}",
            next.server,
            stage_name(next.stage),
            details(next)
        ));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The servers to wait for, out of those with open orders: the named ones if each name is a server's, else all.
fn servers_named(view: &MaintenanceView, names: &[String]) -> Vec<String> {
    let names_a_server = |name: &String| view.orders.iter().any(|order| order.server == *name);
    let all_are_servers = names.iter().all(names_a_server);
    let open = view.orders.iter().filter(|order| !order.stage.has_ended());
    let named = open.filter(|order| !all_are_servers || names.contains(&order.server));
    named.map(|order| order.server.clone()).collect()
}

fn has_failed(order: &OrderView) -> bool {
    matches!(order.stage, Stage::Overdue | Stage::Cancelled)
}

async fn fetch_view(control: &Path) -> Result<MaintenanceView> {
    let state = state(control).await?;
    let help = "works at-once=1 keep=0.8 longest=\"30min\" watched=\"30s\" blind=\"5min\"";
    let missing = || {
        miette!(
            help = help,
            "{}: its document has no `works` entry",
            state.host
        )
    };
    state.maintenance.ok_or_else(missing)
}

/// Shows a host's copy of the maintenance queue. Exit code 1: the host has not received it from a coordinator.
pub async fn show(control: &Path, json: bool) -> Result<ExitCode> {
    let view = fetch_view(control).await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&view).into_diagnostic()?);
    } else {
        print!("{}", queue_text(&view));
    }
    if view.known {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(1))
    }
}

/// The stage's name in text output. JSON output keeps the names of earlier versions.
fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Requested => "requested",
        Stage::Approved => "approved",
        Stage::Draining => "draining",
        Stage::Drained => "drained",
        Stage::Offline => "offline",
        Stage::Overdue => "overdue",
        Stage::Returning => "returning",
        Stage::Done => "done",
        Stage::Cancelled => "cancelled",
    }
}

/// Formats what an order waits for, and the hosts that have not drained or confirmed it.
fn details(order: &OrderView) -> String {
    let mut details = String::new();
    if !order.waits.is_empty() {
        details += &format!(", {}", order.waits);
    }
    if order.hosts.is_empty() {
        return details;
    }
    let hosts = order.hosts.join(" ");
    if order.stage == Stage::Draining {
        details + &format!(": {hosts}")
    } else {
        details + &format!("; not confirmed by {hosts}, whose lease has expired")
    }
}

fn queue_text(view: &MaintenanceView) -> String {
    let mut text = String::new();
    if !view.known {
        text += "maintenance queue unknown to this host: it sends to no server until a coordinator grants it a lease\n";
    }
    if view.anew {
        text += "the queue was started without a quorum that had stored it: earlier orders are lost, issue them again\n";
    }
    if view.orders.is_empty() {
        return text + "no server is queued for maintenance\n";
    }
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
    table.set_header([
        "server",
        "stage",
        "in stage for",
        "ahead",
        "waits for",
        "reason",
    ]);
    for order in &view.orders {
        let in_stage = Duration::from_secs((order.for_ms / 1e3) as u64);
        table.add_row([
            order.server.clone(),
            stage_name(order.stage).to_string(),
            humantime::format_duration(in_stage).to_string(),
            order.before.to_string(),
            details(order)
                .trim_start_matches([',', ';', ' '])
                .to_string(),
            order.reason.clone(),
        ]);
    }
    text + &format!("{table}\n")
}
