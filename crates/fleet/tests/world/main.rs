//! Whole fleets in simulated time, by `rig`; machines out for work in `maintenance`. A failure names its seed, and
//! `FLEET_SEEDS=from..to` plays others.

mod maintenance;
mod rig;

use gullsail_fleet::WHOLE;
use gullsail_scheduler_api::VolumeId;
use rig::{DRIFT, LEASE, SECOND, World};
use std::collections::BTreeMap;

/// What it costs and how long it takes, by size: for docs/results.md, by hand.
#[test]
#[ignore = "figures, not a verdict: cargo test -p gullsail-fleet --release --test world -- --ignored --nocapture"]
fn figures_by_size() {
    for hosts in [10, 50, 100, 200, 500] {
        let mut w = World::new(hosts, 1, 1);
        (0..hosts).for_each(|h| w.asks(h, 1.0));
        w.run(5 * LEASE);
        w.messages.iter_mut().for_each(|n| *n = 0);
        w.run(10 * LEASE);
        let (most, mut all) = (w.messages.iter().max().copied().unwrap_or_default(), w.messages.clone());
        all.sort_unstable();
        let (median, used) = (all[all.len() / 2], w.in_use(1));
        // Seven of fifteen die at once, two voters of five among them; whoever decides is one of those at every other size.
        let decides = (0..5)
            .find(|h| w.hosts[*h as usize].fleet.as_ref().is_some_and(|f| f.decides(w.clock(*h, w.now))));
        let first = decides.filter(|_| hosts != 50 && hosts != 200);
        let voters: Vec<u32> =
            first.into_iter().chain((0..5).filter(|h| Some(*h) != decides)).take(2).collect();
        let others = (5..hosts).filter(|h| h % 15 < 7);
        let dead: Vec<u32> = voters.iter().copied().chain(others).collect();
        dead.iter().for_each(|h| w.kill(*h));
        let whole = f64::from(WHOLE) * (1.0 - 0.3 * dead.len() as f64 / f64::from(hosts));
        let at = w.now;
        while (w.in_use(1) as f64) < 0.98 * whole && w.now - at < 20 * LEASE {
            w.run(20_000);
        }
        println!(
            "{hosts} hosts: {:.1} notes a second from a host in the mean, {:.1} from the busiest; {:.3} in use; {} die, whoever \
             decides {}: divided anew after {:.2} leases",
            median as f64 / 10.0,
            most as f64 / 10.0,
            used as f64 / f64::from(WHOLE),
            dead.len(),
            if first.is_some() { "too" } else { "not" },
            (w.now - at) as f64 / LEASE as f64
        );
    }
}

pub fn seeds(few: u64) -> std::ops::Range<u64> {
    let text = std::env::var("FLEET_SEEDS").unwrap_or_default();
    match text.split_once("..").map(|(a, b)| (a.parse(), b.parse())) {
        Some((Ok(a), Ok(b))) => a..b,
        _ => 0..few,
    }
}

/// Everything goes wrong at once; afterwards there is one coordinator again, and nearly all of every budget is in use.
#[test]
fn parts_hold_through_drawn_worlds_and_retry_after() {
    let mut met = BTreeMap::new();
    for seed in seeds(60) {
        let hosts = [3, 4, 5, 8][seed as usize % 4];
        let mut w = World::new(hosts, seed, if seed % 3 == 0 { 300_000 } else { 10_000 });
        (0..hosts).for_each(|h| w.asks(h, f64::from(h) * 3.0));
        w.run(4 * LEASE);
        let lossy = [0.0, 0.05, 0.3][seed as usize % 3];
        w.faults(w.now + 30 * SECOND, lossy);
        w.run(30 * SECOND);
        w.heal();
        // Those that were leaving have gone by then.
        w.run(2 * LEASE);
        w.heal();
        (0..hosts).for_each(|h| w.asks(h, 1.0));
        w.run(8 * LEASE);
        // Parts that go in turns are between two hosts at some moments.
        let mut used = 0;
        for _ in 0..20 {
            w.run(LEASE / 10);
            used = used.max(w.in_use(1));
        }
        let shares: Vec<_> = (0..hosts).map(|h| w.share(h, 1)).collect();
        assert!(used > 900_000, "seed {seed}: {used} in use after all is well: {shares:?}");
        for c in w.coordinators {
            *met.entry(c.0).or_insert(0u64) += c.1;
        }
    }
    assert!(seeds(60).count() < 10 || met.len() >= 3, "many hosts have been coordinator: {met:?}");
}

/// What is done to a fleet, and which host must have more than its floor three leases later; `None`: whichever.
type Hard = (&'static str, fn(&mut World), Option<u32>);

/// Cases that operators name, each over three seeds: the promises are looked at after each event, and twelve leases later
/// nearly all is in use again by those that live.
#[test]
fn hard_cases_keep_the_promises_and_retry_after() {
    let cases: [Hard; 7] = [
        (
            "twelve join at once while six leave",
            |w| {
                (12..24).for_each(|h| w.start(h));
                (6..12).for_each(|h| w.leave(h));
            },
            Some(20),
        ),
        // Every second host hears nothing of it and is not heard: the others pass its messages on.
        (
            "suspected by every second one",
            |w| (0..12).filter(|h| h % 2 == 0 && *h != 7).for_each(|h| w.cut_both(h, 7, 6 * LEASE)),
            Some(7),
        ),
        ("half die within a second", |w| (0..12).filter(|h| h % 2 == 1).for_each(|h| w.kill(h)), None),
        (
            "all die and come back",
            |w| {
                (0..12).for_each(|h| w.kill(h));
                w.run(LEASE / 2);
                (0..12).for_each(|h| w.start(h));
            },
            None,
        ),
        (
            "two groups for twenty leases",
            |w| {
                let pairs = (0..6).flat_map(|a| (6..12).map(move |b| (a, b)));
                pairs.for_each(|(a, b)| w.cut_both(a, b, 20 * LEASE));
            },
            // With all five voters on its side.
            Some(5),
        ),
        (
            "back within the lease of its earlier life",
            |w| {
                w.kill(9);
                w.run(LEASE / 4);
                w.start(9);
            },
            Some(9),
        ),
        (
            "a link flaps twenty times",
            |w| {
                for _ in 0..20 {
                    w.cut_both(0, 3, LEASE / 10);
                    w.run(LEASE / 5);
                }
            },
            Some(3),
        ),
    ];
    // Clocks up to 3% apart in rate; in the last but one world of each case three times as much as usual is lost.
    for (name, done, member) in cases {
        for (seed, drift) in [(1, DRIFT), (2, 0.015), (3, 0.015)] {
            let joins = name.starts_with("twelve join");
            let mut w = World::uneven(if joins { 24 } else { 12 }, seed, 1000, drift, None);
            w.lossy = if seed == 2 { 0.1 } else { 0.0 };
            (12..24).filter(|_| joins).for_each(|h| w.kill(h));
            (0..w.hosts.len() as u32).for_each(|h| w.asks(h, 3.0));
            w.run(5 * LEASE);
            done(&mut w);
            w.run(4 * LEASE);
            if let Some(host) = member.filter(|_| seed != 2) {
                let floor = w.terms.budgets[&VolumeId(1)].floor;
                assert!(w.share(host, 1) > floor, "{name}, seed {seed}: h{host} has its floor alone");
            }
            w.run(8 * LEASE);
            let dead = w.hosts.iter().filter(|h| h.fleet.is_none()).count() as f64;
            let floors = if name.starts_with("two groups") { 6.0 } else { dead } / w.hosts.len() as f64 * 0.3;
            let used = w.in_use(1) as f64 / f64::from(WHOLE);
            assert!(used > 0.93 - floors - w.lossy, "{name}, seed {seed}: {used} in use, {floors} idle");
        }
    }
}
