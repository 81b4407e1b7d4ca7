//! Speaks the bench's wire on standard input and output for many instances of the decisions.

mod wire;

use std::collections::BTreeMap;
use std::io::{BufRead, Write};

use gullsail::Scheduler;
use gullsail_scheduler_api::{Action, Event, Instant};
use wire::{Batch, Names, WireEvent};

/// One living instance, and what this batch holds for it.
struct Instance {
    scheduler: Scheduler,
    names: Names,
    events: Vec<Event>,
    touched: bool,
}

fn main() {
    if let Err(problem) = run() {
        eprintln!("gullsail-benchlink: {problem}");
        std::process::exit(2);
    }
}

fn run() -> Result<(), String> {
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let mut pages = BTreeMap::new();
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    for line in std::io::stdin().lock().lines() {
        let line = line.map_err(|e| format!("cannot read standard input: {e}"))?;
        if line.trim().is_empty() {
            continue;
        }
        let batch: Batch = serde_json::from_str(&line).map_err(|e| format!("malformed line: {e}"))?;
        let outbox = play(batch, &mut instances, &mut pages)?;
        let reply = serde_json::json!({ "outbox": outbox });
        writeln!(out, "{reply}").and_then(|()| out.flush()).map_err(|e| format!("cannot reply: {e}"))?;
    }
    Ok(())
}

fn play(
    batch: Batch,
    instances: &mut BTreeMap<u64, Instance>,
    pages: &mut BTreeMap<u64, Vec<wire::Entry>>,
) -> Result<Vec<serde_json::Value>, String> {
    let now = Instant::from_millis(batch.t);
    let mut touched: Vec<u64> = Vec::new();
    for event in batch.arrivals {
        let host = match event {
            WireEvent::Page { table, hosts } => {
                pages.insert(table, hosts);
                continue;
            }
            WireEvent::Born { host, rng_seed, boot_info } => {
                let (config, names) = wire::config(&boot_info)?;
                let scheduler = Scheduler::new(config, rng_seed, now);
                instances.insert(host, Instance { scheduler, names, events: Vec::new(), touched: true });
                touched.push(host);
                continue;
            }
            WireEvent::Detach { host } => {
                instances.remove(&host);
                continue;
            }
            ref e => e.host(),
        };
        let Some(host) = host else { continue };
        let Some(instance) = instances.get_mut(&host) else {
            eprintln!("gullsail-benchlink: event for host {host}, which does not live: ignored");
            continue;
        };
        if let Some(event) = wire::event(event, &mut instance.names, pages)? {
            instance.events.push(event);
            if !std::mem::replace(&mut instance.touched, true) {
                touched.push(host);
            }
        }
    }
    let mut outbox = Vec::new();
    for host in touched {
        // A host that was killed and born again in one batch may stand here twice.
        if let Some(instance) = instances.get_mut(&host).filter(|i| i.touched) {
            instance.touched = false;
            let events = std::mem::take(&mut instance.events);
            let actions: Vec<Action> = instance.scheduler.step(now, events);
            outbox.extend(actions.into_iter().filter_map(|a| wire::action(host, a, &instance.names)));
        }
    }
    Ok(outbox)
}
