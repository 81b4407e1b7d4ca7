//! The commands on traffic between zones: plan, report.

use crate::{atomic_file, documents};
use gullsail_configuration::{Deployment, Reader};
use gullsail_host::control::State;
use gullsail_host::core::zone_traffic::BudgetOverrun;
use gullsail_placement::documents::{proposal, question};
use gullsail_placement::{Bound, NoPlan, Plan, Question};
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const GIB: f64 = (1u64 << 30) as f64;
const MIB: f64 = (1u64 << 20) as f64;

/// Writes to standard output and ignores errors.
fn print_text(text: &str) {
    // If the reader has closed the pipe, the rest of the output is not needed.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Plans the placement of new objects. Exit code 0: there is a plan; 1: the constraints conflict.
pub fn plan(file: &Path, price: f64, out: Option<PathBuf>) -> Result<ExitCode> {
    let (deployment, _) = documents::read(file)?;
    let question = question(&deployment, price / GIB).into_diagnostic()?;
    let plan = match question.plan() {
        Ok(plan) => plan,
        Err(NoPlan::Clash(bounds)) => {
            print_text(&conflict_text(&question, bounds));
            return Ok(ExitCode::from(1));
        }
        Err(error) => return Err(miette!("{error}")),
    };
    let mut text = plan_text(&deployment, &question, &plan);
    if let Some(out) = out {
        let (files, name) = documents::files(file)?;
        let (document, _) = Reader::open(&files, &name);
        let planned = proposal(&document, &deployment, &plan);
        atomic_file::write(&out, &planned)
            .into_diagnostic()
            .wrap_err_with(|| out.display().to_string())?;
        text += &format!(
            "written to {}; compare with `gullsail diff`\n",
            out.display()
        );
    }
    print_text(&text);
    Ok(ExitCode::SUCCESS)
}

fn conflict_text(question: &Question, bounds: Vec<Bound>) -> String {
    let mut text = String::from(
        "no plan: these constraints conflict; without any one of them there is a plan:\n",
    );
    for bound in bounds {
        text += &format!("  {}\n", question.describe(bound));
    }
    text
}

/// Formats a plan: the zones of each volume's new objects, the traffic between zones, the cost, and the bounds that
/// raise the cost.
fn plan_text(deployment: &Deployment, question: &Question, plan: &Plan) -> String {
    let mut text = String::new();
    for (volume, rates) in deployment.volumes.iter().zip(&plan.to) {
        let used = rates
            .iter()
            .zip(&question.zones)
            .filter(|(bytes, _)| **bytes > 1.0);
        let zones: Vec<_> = used
            .map(|(bytes, zone)| format!("{zone} {:.1} MiB/s", bytes / MIB))
            .collect();
        let placement = if zones.is_empty() {
            "no demand".to_string()
        } else {
            zones.join(", ")
        };
        text += &format!("volume {}: {placement}\n", volume.name);
    }
    for (from, row) in plan.crosses.iter().enumerate() {
        for (to, bytes) in row.iter().enumerate().filter(|(_, bytes)| **bytes > 1.0) {
            let limit = question.limit(from, to);
            let limit = limit
                .map(|limit| format!(" of {:.1}", limit / MIB))
                .unwrap_or_default();
            text += &format!(
                "{} to {}: {:.1}{limit} MiB/s\n",
                question.zones[from],
                question.zones[to],
                bytes / MIB
            );
        }
    }
    text += &format!("cost: {:.4} an hour\n", plan.cost * 3600.0);
    for binding in &plan.binding {
        let (step, saves) = match binding.bound {
            Bound::Budget(_) => ("GiB an hour more", binding.saves * GIB),
            _ => ("node more", binding.saves * 3600.0),
        };
        let limit = question.describe(binding.bound);
        text += &format!("limited by {limit}: one {step} there saves {saves:.4} an hour\n");
    }
    text
}

/// The traffic between two zones for one plan and reason.
#[derive(Debug, Default, Serialize)]
struct TrafficRow {
    from: String,
    to: String,
    plan: String,
    reason: String,
    frames: u64,
    bytes: u64,
    /// Bytes of attempts that did not end their request, so that no client benefits from them.
    for_nothing: u64,
    /// Cost of `bytes` at the price that the command was given.
    cost: f64,
}

/// Reports the traffic of running hosts, by their control sockets, or of a scenario's recording (`hosts.json`).
pub async fn report(sources: &[PathBuf], price: f64, json: bool, csv: bool) -> Result<ExitCode> {
    let states = read_states(sources).await?;
    let rows = traffic_rows(&states, price)?;
    let overruns: Vec<_> = states
        .iter()
        .flat_map(|state| state.past.iter().map(|overrun| (&state.host, overrun)))
        .collect();
    let text = if json {
        let value = serde_json::json!({ "crossed": rows, "past": overruns });
        format!(
            "{}\n",
            serde_json::to_string_pretty(&value).into_diagnostic()?
        )
    } else if csv {
        csv_text(&rows)
    } else {
        plain_text(&rows, &overruns)
    };
    print_text(&text);
    Ok(ExitCode::SUCCESS)
}

async fn read_states(sources: &[PathBuf]) -> Result<Vec<State>> {
    let mut states: Vec<State> = Vec::new();
    for source in sources {
        if source.is_dir() {
            let file = source.join("hosts.json");
            let read = std::fs::read_to_string(&file).into_diagnostic();
            let read = read.wrap_err_with(|| format!("can't read {}", file.display()))?;
            let recorded: Vec<State> = serde_json::from_str(&read).into_diagnostic()?;
            states.extend(recorded);
        } else {
            states.push(documents::state(source).await?);
        }
    }
    Ok(states)
}

/// The traffic between zones, summed over hosts, volumes and request classes.
fn traffic_rows(states: &[State], price: f64) -> Result<Vec<TrafficRow>> {
    let mut rows: BTreeMap<(String, String, String, String), TrafficRow> = BTreeMap::new();
    for flow in states.iter().flat_map(|state| &state.crossed) {
        let reason = serde_json::to_value(flow.reason)
            .into_diagnostic()?
            .as_str()
            .unwrap_or_default()
            .to_string();
        let key = (
            flow.from.clone(),
            flow.to.clone(),
            flow.plan.clone(),
            reason.clone(),
        );
        let row = rows.entry(key).or_insert_with(|| {
            let (from, to, plan) = (flow.from.clone(), flow.to.clone(), flow.plan.clone());
            TrafficRow {
                from,
                to,
                plan,
                reason,
                ..TrafficRow::default()
            }
        });
        row.frames += flow.total.frames;
        row.bytes += flow.total.bytes;
        row.for_nothing += flow.total.for_nothing;
        row.cost = row.bytes as f64 / GIB * price;
    }
    Ok(rows.into_values().collect())
}

fn csv_text(rows: &[TrafficRow]) -> String {
    let mut text = String::from("from,to,plan,reason,frames,bytes,for_nothing,cost\n");
    for row in rows {
        let quoted = |s: &str| format!("\"{}\"", s.replace('"', "\"\""));
        let names = [&row.from, &row.to, &row.plan, &row.reason]
            .map(|s| quoted(s))
            .join(",");
        text += &format!(
            "{names},{},{},{},{:.6}\n",
            row.frames, row.bytes, row.for_nothing, row.cost
        );
    }
    text
}

fn plain_text(rows: &[TrafficRow], overruns: &[(&String, &BudgetOverrun)]) -> String {
    let mut text = String::new();
    for row in rows {
        let plan = if row.plan.is_empty() { "-" } else { &row.plan };
        text += &format!(
            "{} to {}  {plan:<14} {:<8} {:>9} frames {:>13} bytes ({} wasted)  {:.4}\n",
            row.from, row.to, row.reason, row.frames, row.bytes, row.for_nothing, row.cost
        );
    }
    for (host, overrun) in overruns {
        let span = (overrun.to_us - overrun.from_us) as f64 / 1e6;
        text += &format!(
            "budget {} overrun: {} bytes at {host} in {span:.1} s: {}\n",
            overrun.budget,
            overrun.bytes,
            overrun.shown_cause()
        );
    }
    text
}
