//! What the hosts of a fleet settled, as one of them sees it.

use crate::documents::state;
use gullsail_fleet::status::{MemberStatus, Status};
use gullsail_host::core::fleet::FleetView;
use miette::{IntoDiagnostic, Result, miette};
use std::path::Path;
use std::process::ExitCode;

/// Exit code 0: told; 1: nothing is settled there, or nobody decides as far as that host knows.
pub async fn status(control: &Path, json: bool) -> Result<ExitCode> {
    let state = state(control).await?;
    let Some(view) = state.fleet else {
        return Err(miette!(
            help = "fleet \"town\" lease=\"2s\" drift=0.002 voters=5 floor=0.3",
            "{}: its document has no `fleet`, or it is off: hosts keep to even parts",
            state.host
        ));
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&view).into_diagnostic()?);
    } else {
        print!("{}", text(&view));
    }
    Ok(if view.status.coordinator.is_some() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

fn ms(span: Option<f64>) -> String {
    span.map_or("-".into(), |ms| format!("{ms:.0} ms"))
}

/// In millionths, as parts of a hundred.
fn part(share: u64) -> String {
    format!("{:.2}%", share as f64 / 1e4)
}

fn text(view: &FleetView) -> String {
    let s: &Status = &view.status;
    let name = |h: u32| {
        view.hosts
            .get(h as usize)
            .cloned()
            .unwrap_or_else(|| format!("host {h}"))
    };
    let mut text = format!(
        "fleet {}, epoch {}, as {} sees it\n",
        view.name,
        s.epoch,
        name(s.me)
    );
    text += &match (s.coordinator, s.decides_for_ms) {
        (_, Some(left)) => {
            format!("coordinator: this host, for {left:.0} ms unless it renews that\n")
        }
        (Some(c), _) => format!("coordinator: {}\n", name(c)),
        (None, _) => "coordinator: none is known here; floors count, and nothing grows\n".into(),
    };
    if let Some(left) = s.takes_over_ms {
        text += &format!(
            "it takes over: what an earlier one granted is over in {left:.0} ms; until then nothing grows\n"
        );
    }
    if let Some(left) = s.recovering_ms {
        text += &format!("newly born: as a voter it says nothing for {left:.0} ms\n");
    }
    if s.fenced {
        text += "another process holds this host's name: this one uses nothing\n";
    }
    text += &format!(
        "own lease: {}\n",
        s.lease_ms
            .map_or("none: its floors count".into(), |l| format!(
                "{l:.0} ms left"
            ))
    );
    let mut members = comfy_table::Table::new();
    members.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
    members.set_header(["member", "standing", "why", "lease over in"]);
    for m in &s.members {
        members.add_row([
            name(m.host),
            format!("{:?}", m.state).to_lowercase(),
            why(m, &name),
            ms(m.over_ms),
        ]);
    }
    let mut budgets = comfy_table::Table::new();
    budgets.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
    budgets.set_header([
        "budget",
        "this host may use",
        "counted of the whole",
        "by host",
    ]);
    let name_of = |id: u64| {
        let named = view.budgets.iter().find(|b| b.0 == id).map(|b| b.1.clone());
        named.unwrap_or_else(|| format!("budget {id}"))
    };
    for b in &s.budgets {
        let parts = b
            .parts
            .iter()
            .map(|(h, share)| format!("{} {}", name(*h), part(u64::from(*share))));
        budgets.add_row([
            name_of(b.budget),
            part(u64::from(b.share)),
            b.counted.map_or("-".into(), part),
            parts.collect::<Vec<_>>().join(", "),
        ]);
    }
    text += &format!("{members}\n{budgets}\n");
    if s.members.iter().all(|m| m.last_renewal_ms.is_none()) {
        text += "what others hold is counted by the coordinator: ask it for the sums\n";
    }
    for (why, n) in &s.dropped {
        text += &format!("notes dropped: {n} {why}\n");
    }
    text
}

fn why(m: &MemberStatus, name: &impl Fn(u32) -> String) -> String {
    use gullsail_fleet::MemberState::*;
    let heard = m
        .last_renewal_ms
        .map_or(String::new(), |ms| format!("heard {ms:.0} ms ago"));
    match (m.state, m.via) {
        (Member, Some(via)) => format!("{heard}, through {} only", name(via)),
        (Member, None) => heard,
        (Suspected, _) => format!("silent for half of its lease, asked through others; {heard}"),
        (Out, _) => format!("its lease is over; {heard}"),
        (Left, _) => format!("it said that it goes; {heard}"),
    }
}
