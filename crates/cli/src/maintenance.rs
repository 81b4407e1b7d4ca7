//! Machines out for work: operators' words to any host, and the line as that host knows it.

use crate::documents::state;
use gullsail_fleet::maintenance::Stage;
use gullsail_host::control::{ControlReply, ControlRequest, ask};
use gullsail_host::core::maintenance::{MaintenanceView, OperatorCommand, OrderView};
use indicatif::{ProgressBar, ProgressStyle};
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Longer than a host goes on asking whoever decides.
const PATIENCE: Duration = Duration::from_secs(400);
const LOOK_AGAIN: Duration = Duration::from_millis(250);

/// Exit code 0: it counts; 1: it is refused, or with `wait` one is overdue.
pub async fn say(
    control: &Path,
    command: OperatorCommand,
    wait: Option<Vec<String>>,
) -> Result<ExitCode> {
    let reply = ask(control, ControlRequest::OperatorCommand(command), PATIENCE)
        .await
        .into_diagnostic();
    match reply.wrap_err_with(|| format!("the host at {}", control.display()))? {
        ControlReply::CommandTaken => {}
        ControlReply::TurnedDown { why } => {
            println!("refused: {}", why.join("; "));
            return Ok(ExitCode::from(1));
        }
        other => return Err(miette!("the host at {} said {other:?}", control.display())),
    }
    let Some(names) = wait else {
        print!("{}", text(&view(control).await?));
        return Ok(ExitCode::SUCCESS);
    };
    all_out(control, &names).await
}

/// Waits until each machine of these may be switched off, or could be before. A zone's name stands for all
/// that is in line when it is said.
async fn all_out(control: &Path, names: &[String]) -> Result<ExitCode> {
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} {msg}").into_diagnostic()?;
    let bar = ProgressBar::new(0).with_style(style);
    let mut mine: Option<Vec<String>> = None;
    loop {
        let view = view(control).await?;
        let servers = mine.get_or_insert_with(|| {
            let server = |name: &String| view.orders.iter().any(|o| o.server == *name);
            let all = names.iter().all(server);
            let open = view
                .orders
                .iter()
                .filter(|o| !o.stage.over() && (!all || names.contains(&o.server)));
            open.map(|o| o.server.clone()).collect()
        });
        let orders: Vec<&OrderView> = view
            .orders
            .iter()
            .filter(|o| servers.contains(&o.server))
            .collect();
        let waiting: Vec<&&OrderView> =
            orders.iter().filter(|o| o.stage < Stage::Offline).collect();
        bar.set_length(servers.len() as u64);
        bar.set_position((servers.len() - waiting.len().min(servers.len())) as u64);
        if let Some(o) = orders
            .iter()
            .find(|o| matches!(o.stage, Stage::Overdue | Stage::Cancelled))
        {
            bar.abandon();
            println!("{} is {}{}", o.server, name(o.stage), why(o));
            return Ok(ExitCode::from(1));
        }
        let Some(next) = waiting.first() else {
            bar.finish();
            print!("{}", text(&view));
            return Ok(ExitCode::SUCCESS);
        };
        bar.set_message(format!("{} {}{}", next.server, name(next.stage), why(next)));
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}

async fn view(control: &Path) -> Result<MaintenanceView> {
    let state = state(control).await?;
    let help = "works at-once=1 keep=0.8 longest=\"30min\" watched=\"30s\" blind=\"5min\"";
    state
        .maintenance
        .ok_or_else(|| miette!(help = help, "{}: its document has no `works`", state.host))
}

/// Shows the maintenance orders as one host knows them.
pub async fn show(control: &Path, json: bool) -> Result<ExitCode> {
    let view = view(control).await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&view).into_diagnostic()?);
    } else {
        print!("{}", text(&view));
    }
    Ok(if view.known {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

/// As operators read it; these texts stay when a stage of the program gets another name.
fn name(stage: Stage) -> &'static str {
    match stage {
        Stage::Requested => "asked",
        Stage::Approved => "cleared",
        Stage::Draining => "leaving",
        Stage::Drained => "letgo",
        Stage::Offline => "out",
        Stage::Overdue => "overdue",
        Stage::Returning => "back",
        Stage::Done => "done",
        Stage::Cancelled => "cancelled",
    }
}

fn why(o: &OrderView) -> String {
    let hosts = match o.stage {
        _ if o.hosts.is_empty() => String::new(),
        Stage::Draining => format!(": {}", o.hosts.join(" ")),
        _ => format!("; lease waited out: {}", o.hosts.join(" ")),
    };
    let waits = if o.waits.is_empty() {
        String::new()
    } else {
        format!(", {}", o.waits)
    };
    waits + &hosts
}

fn text(view: &MaintenanceView) -> String {
    let mut text = String::new();
    if !view.known {
        text +=
            "no coordinator has told this host the line: it sends to no machine until one does\n";
    }
    if view.anew {
        text += "most hosts were newly started when this line began: orders given before that are lost, say them again\n";
    }
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
    table.set_header([
        "machine",
        "stage",
        "since",
        "before it",
        "waits for",
        "reason",
    ]);
    for o in &view.orders {
        let since =
            humantime::format_duration(Duration::from_secs((o.for_ms / 1e3) as u64)).to_string();
        let why = why(o).trim_start_matches([',', ';', ' ']).to_string();
        table.add_row([
            o.server.clone(),
            name(o.stage).to_string(),
            since,
            o.before.to_string(),
            why,
            o.reason.clone(),
        ]);
    }
    text + &if view.orders.is_empty() {
        "no machine is in line\n".to_string()
    } else {
        format!("{table}\n")
    }
}
