//! Machines out for work in drawn worlds and by name: whatever breaks, nothing is sent to what is out, no more machines are
//! away than may be, and the line goes on to its end.

use crate::rig::{DRIFT, FIRST, LEASE, NODES, SECOND, World};
use crate::seeds;
use gullsail_fleet::maintenance::coordinator::CommandKind;
use gullsail_fleet::maintenance::{MaintenanceConfig, ServerId, Stage};
use gullsail_protocol::FleetCommand;
use gullsail_scheduler_api::Span;
use rand::Rng;
use std::collections::BTreeSet;

pub fn terms() -> MaintenanceConfig {
    MaintenanceConfig {
        at_once: 2,
        in_zone: 2,
        in_pool: 2,
        keep: 0.5,
        keep_shard: 0.5,
        busy: 0.9,
        longest: Span::from_millis(60_000.0),
        watched: Span::from_millis(300.0),
        blind: Span::from_millis(3000.0),
        rests: Vec::new(),
    }
}

fn node(place: u64) -> ServerId {
    ServerId(FIRST + place)
}

fn host(number: u32) -> ServerId {
    ServerId(u64::from(number) + 1)
}

fn stage(w: &World, server: ServerId) -> Option<Stage> {
    w.told.iter().filter(|t| t.0.0 == server).max_by_key(|t| t.0.1).map(|t| *t.1)
}

fn away(returns: bool) -> FleetCommand {
    FleetCommand { shard_away: true, returns, ..FleetCommand::default() }
}

/// What operators do meanwhile: who is out is switched off, started anew after a while, and said to be back.
fn work(w: &mut World, span: i64) {
    let end = w.now + span;
    while w.now < end {
        w.run(100_000);
        // As any host shows it: a `back` that only few heard of may be lost with who decided, and is said again.
        let fleets = w.hosts.iter().filter_map(|h| h.fleet.as_ref());
        let shown =
            fleets.flat_map(|f| f.orders().filter(|o| matches!(o.stage, Stage::Offline | Stage::Overdue)));
        let out: BTreeSet<ServerId> = shown.map(|o| o.server).collect();
        for m in out {
            if m.0 >= FIRST {
                let place = (m.0 - FIRST) as usize;
                w.nodes[place] = (w.nodes[place].0 + 1, true);
            } else {
                w.kill(m.0 as u32 - 1);
                w.start(m.0 as u32 - 1);
            }
            let through = w.rng.random_range(0..w.terms.hosts);
            w.command(through, CommandKind::Back, &[m], FleetCommand::default());
        }
    }
}

/// What each host knows, for a failure's message.
fn lines(w: &World) -> String {
    let one = |h: &crate::rig::Host| {
        let Some(f) = &h.fleet else { return "down".to_string() };
        let status = f.status();
        let orders = f
            .orders()
            .map(|o| format!("{}#{} {:?} {} {:?}", o.server.0, o.number, o.stage, o.waits, o.hosts));
        let orders: Vec<_> = orders.collect();
        let at = f.line().map(|l| l.at);
        format!(
            "coordinator {:?}, lease {:?}, goes {}, {at:?} {orders:?}",
            status.coordinator,
            status.lease_ms,
            f.goes()
        )
    };
    w.hosts.iter().map(one).collect::<Vec<_>>().join("\n")
}

/// Faults of all kinds, and words through any host, some twice, some taken back.
#[test]
fn maintenance_keep_their_promises_through_drawn_worlds() {
    let (mut orders, mut done, mut anew) = (0, 0, 0);
    for seed in seeds(60) {
        let hosts = [3, 5, 5, 8][seed as usize % 4];
        let mut w = World::uneven(hosts, seed, 10_000, DRIFT, Some(terms()));
        w.run(4 * LEASE);
        w.faults(w.now + 30 * SECOND, [0.0, 0.05, 0.3][seed as usize % 3]);
        let end = w.now + 30 * SECOND;
        while w.now < end {
            let server = if w.rng.random_bool(0.7) {
                node(w.rng.random_range(0..NODES))
            } else {
                host(w.rng.random_range(0..hosts))
            };
            let kind = if w.rng.random_bool(0.8) { CommandKind::Out } else { CommandKind::Cancel };
            for _ in 0..w.rng.random_range(1..3) {
                let through = w.rng.random_range(0..hosts);
                let returns = w.rng.random_bool(0.5);
                w.command(through, kind, &[server], away(returns));
            }
            let span = w.rng.random_range(0..2 * SECOND);
            work(&mut w, span);
        }
        w.heal();
        work(&mut w, 3 * LEASE);
        w.heal();
        // All of the line has its turn: two at once, each some leases.
        let mut rounds = 0;
        // Of orders that only few hosts had heard of when whoever decided died, nothing may be left.
        let open = |w: &World| {
            let fleets = w.hosts.iter().filter_map(|h| h.fleet.as_ref());
            fleets.map(|f| f.line().map_or(1, |l| l.open().count())).max().unwrap_or(1)
        };
        while open(&w) > 0 && rounds < 60 {
            work(&mut w, 2 * LEASE);
            rounds += 1;
            // Hosts that left and are not told to be out are brought back in the end.
            if rounds % 10 == 0 {
                w.heal();
            }
        }
        assert_eq!(open(&w), 0, "seed {seed}: {}", lines(&w));
        orders += w.told.len();
        done += w.told.values().filter(|s| **s == Stage::Done).count();
        anew += w.anew.len();
    }
    if seeds(60).count() >= 60 {
        assert!(
            orders > 200 && done > orders / 2 && anew > 10,
            "{orders} orders, {done} done, {anew} times anew"
        );
    }
}

#[test]
fn a_node_goes_is_out_and_comes_back() {
    for returns in [false, true] {
        let mut w = World::uneven(5, 1, 10_000, DRIFT, Some(terms()));
        w.run(4 * LEASE);
        // Twice, through two hosts: one order.
        w.command(3, CommandKind::Out, &[node(0)], away(returns));
        w.command(1, CommandKind::Out, &[node(0)], away(returns));
        w.run(2 * LEASE);
        assert_eq!((stage(&w, node(0)), w.told.len()), (Some(Stage::Offline), 1));
        assert!(w.answers.iter().filter(|a| a.1.is_ok()).count() == 2, "{:?}", w.answers);
        // Heard late of: it had started before it was out.
        (w.nodes[0], w.up) = ((98, true), Span::from_millis(60_000.0));
        w.run(2 * LEASE);
        assert_eq!(stage(&w, node(0)), Some(Stage::Offline), "returns {returns}");
        (w.nodes[0], w.up) = ((99, true), Span::ZERO);
        w.run(2 * LEASE);
        let wanted = if returns { Stage::Done } else { Stage::Offline };
        assert_eq!(stage(&w, node(0)), Some(wanted), "returns {returns}");
        w.command(4, CommandKind::Back, &[node(0)], FleetCommand::default());
        w.run(3 * LEASE);
        assert_eq!(stage(&w, node(0)), Some(Stage::Done));
        let uses = (0..5)
            .all(|h| w.hosts[h].fleet.as_ref().is_some_and(|f| f.may_use(node(0), w.clock(h as u32, w.now))));
        assert!(uses, "all send to it again");
    }
}

/// How long a line takes and what it costs, by size: for docs/results.md, by hand.
#[test]
#[ignore = "figures, not a verdict: cargo test -p gullsail-fleet --release --test world line_by_size -- --ignored --nocapture"]
fn line_by_size() {
    for (hosts, nodes) in [(24, 24), (100, 60), (300, 200)] {
        let maintenance = MaintenanceConfig { at_once: 4, in_zone: 4, in_pool: 4, keep: 0.8, ..terms() };
        let mut w = World::uneven(hosts, 1, 10_000, DRIFT, Some(maintenance)).with_nodes(nodes);
        w.run(5 * LEASE);
        w.messages.iter_mut().for_each(|n| *n = 0);
        w.run(5 * LEASE);
        let mut calm = std::mem::take(&mut w.messages);
        w.messages = vec![0; hosts as usize];
        // One of each two that hold a shard, up to forty.
        let line: Vec<ServerId> = (0..nodes).step_by(2).take(40).map(node).collect();
        let at = w.now;
        w.command(
            hosts / 2,
            CommandKind::Out,
            &line,
            FleetCommand { returns: true, ..FleetCommand::default() },
        );
        let mut off: BTreeSet<ServerId> = BTreeSet::new();
        let done = |w: &World| line.iter().filter(|m| stage(w, **m) == Some(Stage::Done)).count();
        while done(&w) < line.len() && w.now - at < 600 * SECOND {
            w.run(50_000);
            let out: Vec<_> =
                line.iter().filter(|m| stage(&w, **m) == Some(Stage::Offline) && off.insert(**m)).collect();
            for m in out {
                let place = (m.0 - FIRST) as usize;
                w.nodes[place] = (w.nodes[place].0 + 1000, true);
            }
        }
        let leases = (w.now - at) as f64 / LEASE as f64;
        let median = |messages: &mut Vec<u64>, span: f64| {
            messages.sort_unstable();
            messages[messages.len() / 2] as f64 / span
        };
        println!(
            "{hosts} hosts, {nodes} nodes: {} in line, four at once, done after {leases:.1} leases; {:.1} notes a second from a host \
             meanwhile, {:.1} before",
            line.len(),
            median(&mut w.messages, leases),
            median(&mut calm, 5.0),
        );
    }
}
