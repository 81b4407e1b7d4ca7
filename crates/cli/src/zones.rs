//! The commands on traffic between zones: plan, report.

use crate::{atomic_file, documents};
use gullsail_configuration::Reader;
use gullsail_host::control::State;
use gullsail_host::core::zone_traffic::BudgetOverrun;
use gullsail_placement::{NoPlan, documents::proposal, documents::question};
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const GIB: f64 = (1u64 << 30) as f64;
const MIB: f64 = (1u64 << 20) as f64;

/// Prints on standard output.
fn print_text(text: &str) {
    // The reader of a pipe may have closed it: the rest is not needed then.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Plans the placement of new objects. Exit code 0: there is a plan; 1: the constraints conflict.
pub fn plan(file: &Path, price: f64, out: Option<PathBuf>) -> Result<ExitCode> {
    let mut text = String::new();
    let (d, _) = documents::read(file)?;
    let q = question(&d, price / GIB).into_diagnostic()?;
    let plan = match q.plan() {
        Ok(plan) => plan,
        Err(NoPlan::Clash(bounds)) => {
            text +=
                "no plan: these constraints conflict; without any one of them there is a plan:\n";
            bounds
                .into_iter()
                .for_each(|b| text += &format!("  {}\n", q.say(b)));
            print_text(&text);
            return Ok(ExitCode::from(1));
        }
        Err(e) => return Err(miette!("{e}")),
    };
    for (v, to) in d.volumes.iter().zip(&plan.to) {
        let parts = to.iter().zip(&q.zones).filter(|(bytes, _)| **bytes > 1.0);
        let parts: Vec<_> = parts
            .map(|(bytes, z)| format!("{z} {:.1} MiB/s", bytes / MIB))
            .collect();
        text += &format!(
            "volume {}: {}\n",
            v.name,
            if parts.is_empty() {
                "no demand".into()
            } else {
                parts.join(", ")
            }
        );
    }
    for (a, row) in plan.crosses.iter().enumerate() {
        for (b, bytes) in row.iter().enumerate().filter(|(_, bytes)| **bytes > 1.0) {
            let most = q
                .most(a, b)
                .map(|m| format!(" of {:.1}", m / MIB))
                .unwrap_or_default();
            text += &format!(
                "{} to {}: {:.1}{most} MiB/s\n",
                q.zones[a],
                q.zones[b],
                bytes / MIB
            );
        }
    }
    text += &format!("cost: {:.4} an hour\n", plan.cost * 3600.0);
    for b in &plan.binding {
        let (step, saves) = match b.bound {
            gullsail_placement::Bound::Budget(_) => ("GiB an hour more", b.saves * GIB),
            _ => ("node more", b.saves * 3600.0),
        };
        text += &format!(
            "limited by {}: one {step} there saves {saves:.4} an hour\n",
            q.say(b.bound)
        );
    }
    if let Some(out) = out {
        let (files, name) = documents::files(file)?;
        let (document, _) = Reader::open(&files, &name);
        let made = proposal(&document, &d, &plan);
        atomic_file::write(&out, &made)
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

/// The traffic between two zones for one plan and reason.
#[derive(Debug, Default, Serialize)]
struct Row {
    from: String,
    to: String,
    plan: String,
    reason: String,
    frames: u64,
    bytes: u64,
    for_nothing: u64,
    cost: f64,
}

/// Reports the traffic of running hosts, by their control sockets, or of a scenario's recording (`hosts.json`).
pub async fn report(sources: &[PathBuf], price: f64, json: bool, csv: bool) -> Result<ExitCode> {
    let states = read_states(sources).await?;
    let rows = rows(&states, price)?;
    let overruns: Vec<_> = states
        .iter()
        .flat_map(|s| s.past.iter().map(|p| (&s.host, p)))
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
            let of_scenario: Vec<State> = serde_json::from_str(&read).into_diagnostic()?;
            states.extend(of_scenario);
        } else {
            states.push(documents::state(source).await?);
        }
    }
    Ok(states)
}

/// The traffic between zones, summed over hosts, volumes and request classes.
fn rows(states: &[State], price: f64) -> Result<Vec<Row>> {
    let mut rows: BTreeMap<(String, String, String, String), Row> = BTreeMap::new();
    for c in states.iter().flat_map(|s| &s.crossed) {
        let reason = serde_json::to_value(c.reason)
            .into_diagnostic()?
            .as_str()
            .unwrap_or_default()
            .to_string();
        let key = (c.from.clone(), c.to.clone(), c.plan.clone(), reason.clone());
        let row = rows.entry(key).or_insert_with(|| {
            let (from, to, plan) = (c.from.clone(), c.to.clone(), c.plan.clone());
            Row {
                from,
                to,
                plan,
                reason,
                ..Row::default()
            }
        });
        row.frames += c.total.frames;
        row.bytes += c.total.bytes;
        row.for_nothing += c.total.for_nothing;
        row.cost = row.bytes as f64 / GIB * price;
    }
    Ok(rows.into_values().collect())
}

fn csv_text(rows: &[Row]) -> String {
    let mut text = String::from("from,to,plan,reason,frames,bytes,for_nothing,cost\n");
    for r in rows {
        let quoted = |s: &str| format!("\"{}\"", s.replace('"', "\"\""));
        let names = [&r.from, &r.to, &r.plan, &r.reason]
            .map(|s| quoted(s))
            .join(",");
        text += &format!(
            "{names},{},{},{},{:.6}\n",
            r.frames, r.bytes, r.for_nothing, r.cost
        );
    }
    text
}

fn plain_text(rows: &[Row], overruns: &[(&String, &BudgetOverrun)]) -> String {
    let mut text = String::new();
    for r in rows {
        let plan = if r.plan.is_empty() { "-" } else { &r.plan };
        text += &format!(
            "{} to {}  {plan:<14} {:<8} {:>9} frames {:>13} bytes ({} wasted)  {:.4}\n",
            r.from, r.to, r.reason, r.frames, r.bytes, r.for_nothing, r.cost
        );
    }
    for (host, p) in overruns {
        let span = (p.to_us - p.from_us) as f64 / 1e6;
        text += &format!(
            "budget {} overrun: {} bytes at {host} in {span:.1} s: {}\n",
            p.budget, p.bytes, p.cause
        );
    }
    text
}
