//! `gullsail fleet status`: the fleet as one of its hosts sees it.

use crate::documents::state;
use comfy_table::Table;
use gullsail_fleet::MemberState;
use gullsail_fleet::status::{BudgetStatus, MemberStatus, Status};
use gullsail_host::core::fleet::FleetView;
use miette::{IntoDiagnostic, Result, miette};
use std::path::Path;
use std::process::ExitCode;

/// Number of millionths in one percent. Shares are counted in millionths of a budget.
const MILLIONTHS_PER_PERCENT: f64 = 1e4;

/// Prints the fleet's status. Exit code 0: the host has a current coordinator; 1: it has none.
pub async fn status(control: &Path, json: bool) -> Result<ExitCode> {
    let state = state(control).await?;
    let Some(view) = state.fleet else {
        return Err(miette!(
            help = "fleet \"town\" lease=\"2s\" drift=0.002 voters=5 floor=0.2",
            "{}: its document has no `fleet` entry, or the entry is off: hosts use even shares",
            state.host
        ));
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&view).into_diagnostic()?);
    } else {
        print!("{}", Report { view: &view }.text());
    }
    if view.status.coordinator.is_some() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(1))
    }
}

/// Formats a fleet's status as human-readable text.
struct Report<'a> {
    view: &'a FleetView,
}

impl Report<'_> {
    fn text(&self) -> String {
        let status = &self.view.status;
        let mut lines = vec![format!(
            "fleet {}, epoch {}, as {} sees it",
            self.view.name,
            status.epoch,
            self.host_name(status.me)
        )];
        lines.push(format!("coordinator: {}", self.coordinator()));
        lines.extend(self.conditions());
        lines.push(format!("member lease: {}", member_lease(status)));
        lines.push(self.member_table().to_string());
        lines.push(self.budget_table().to_string());
        if status
            .members
            .iter()
            .all(|member| member.last_renewal_ms.is_none())
        {
            lines
                .push("only the coordinator has the totals over all hosts: ask its control socket for them".into());
        }
        for (cause, count) in &status.dropped {
            lines.push(format!("messages dropped: {count} {cause}"));
        }
        lines.join("\n") + "\n"
    }

    fn host_name(&self, host: u32) -> String {
        match self.view.hosts.get(host as usize) {
            Some(name) => name.clone(),
            None => format!("host {host}"),
        }
    }

    fn coordinator(&self) -> String {
        let status = &self.view.status;
        if let Some(left) = status.decides_for_ms {
            return format!("this host (its coordinator lease lasts {left:.0} ms unless renewed)");
        }
        match status.coordinator {
            Some(host) => self.host_name(host),
            None => {
                "unknown to this host; floor shares apply once leases expire, no share grows".into()
            }
        }
    }

    /// One line for each exceptional condition of this host: it is taking over as coordinator, recovering after a start,
    /// or fenced.
    fn conditions(&self) -> Vec<String> {
        let status = &self.view.status;
        let mut lines = Vec::new();
        if let Some(left) = status.takes_over_ms {
            lines.push(format!(
                "taking over: grants of the previous coordinator expire within {left:.0} ms; no share grows until then"
            ));
        }
        if let Some(left) = status.recovering_ms {
            lines.push(format!(
                "recovering after a start: as a voter it answers no candidate for {left:.0} ms"
            ));
        }
        if status.fenced {
            lines.push(
                "fenced: another process holds the lease under this host's name; its shares are zero".into(),
            );
        }
        lines
    }

    fn member_table(&self) -> Table {
        let mut table = new_table(&["member", "state", "last renewal", "lease expires in"]);
        for member in &self.view.status.members {
            table.add_row([
                self.host_name(member.host),
                state_name(member.state).to_string(),
                self.renewal(member),
                member
                    .over_ms
                    .map_or("-".into(), |left| format!("{left:.0} ms")),
            ]);
        }
        table
    }

    /// The age of a member's last lease renewal, and the relay if it was not direct. Only the coordinator has these; other
    /// hosts show `-`.
    fn renewal(&self, member: &MemberStatus) -> String {
        let age = match member.last_renewal_ms {
            Some(age) => format!("{age:.0} ms ago"),
            None => "-".into(),
        };
        match (member.state, member.via) {
            (MemberState::Suspected, _) => format!("{age}; other hosts are asked to reach it"),
            (MemberState::Member, Some(relay)) => {
                format!("{age}, relayed by {}", self.host_name(relay))
            }
            _ => age,
        }
    }

    fn budget_table(&self) -> Table {
        let columns = [
            "budget",
            "share of this host",
            "committed over all hosts",
            "committed by host",
        ];
        let mut table = new_table(&columns);
        for budget in &self.view.status.budgets {
            table.add_row([
                self.budget_name(budget.budget),
                percent(u64::from(budget.share)),
                budget.counted.map_or("-".into(), percent),
                self.shares_by_host(budget),
            ]);
        }
        table
    }

    fn budget_name(&self, id: u64) -> String {
        let named = self.view.budgets.iter().find(|budget| budget.0 == id);
        named.map_or_else(|| format!("budget {id}"), |budget| budget.1.clone())
    }

    fn shares_by_host(&self, budget: &BudgetStatus) -> String {
        let parts = budget.parts.iter();
        let shares = parts.map(|(host, share)| {
            format!("{} {}", self.host_name(*host), percent(u64::from(*share)))
        });
        shares.collect::<Vec<_>>().join(", ")
    }
}

fn new_table(columns: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(columns);
    table
}

fn member_lease(status: &Status) -> String {
    match status.lease_ms {
        Some(left) => format!("{left:.0} ms left"),
        None => "none, so this host is limited to its floor shares".into(),
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Member => "member",
        MemberState::Suspected => "suspected (no renewal for half a lease)",
        MemberState::Out => "out (lease expired)",
        MemberState::Left => "left (graceful shutdown)",
    }
}

/// Formats a share, in millionths, as a percentage.
fn percent(millionths: u64) -> String {
    format!("{:.2}%", millionths as f64 / MILLIONTHS_PER_PERCENT)
}
