//! Tests of whole fleets in simulated time, run by `harness`; tests of maintenance are in `maintenance`. A failure
//! reports its seed; `FLEET_SEEDS=from..to` selects other seeds.

mod commands;
mod faults;
mod harness;
mod invariants;
mod maintenance;
mod network;
mod servers;

use gullsail_fleet::WHOLE;
use gullsail_scheduler_api::VolumeId;
use harness::{DRIFT, LEASE, SECOND, World};
use std::collections::BTreeMap;

/// Prints the number of messages and the time to recover from failures, by the number of hosts, for docs/results.md. It
/// is run manually.
#[test]
#[ignore = "figures, not a verdict: cargo test -p gullsail-fleet --release --test world -- --ignored --nocapture"]
fn figures_by_size() {
    for hosts in [10, 50, 100, 200, 500] {
        let mut w = World::new(hosts, 1, 1);
        (0..hosts).for_each(|host| w.set_demand(host, 1.0));
        w.run(5 * LEASE);
        w.messages.fill(0);
        w.run(10 * LEASE);
        let mut messages = w.messages.clone();
        messages.sort_unstable();
        let most = messages.last().copied().unwrap_or_default();
        let median = messages[messages.len() / 2];
        let used = w.in_use(1);
        // Seven of fifteen hosts crash at once, including two of five voters. At every other size the coordinator is
        // one of them.
        let coordinator = (0..5).find(|host| {
            let fleet = w.hosts[*host as usize].fleet.as_ref();
            fleet.is_some_and(|fleet| fleet.is_coordinator(w.clock(*host, w.now)))
        });
        let first = coordinator.filter(|_| hosts != 50 && hosts != 200);
        let other_voters = (0..5).filter(|host| Some(*host) != coordinator);
        let voters: Vec<u32> = first.into_iter().chain(other_voters).take(2).collect();
        let others = (5..hosts).filter(|host| host % 15 < 7);
        let dead: Vec<u32> = voters.iter().copied().chain(others).collect();
        dead.iter().for_each(|host| w.kill(*host));
        let whole = f64::from(WHOLE) * (1.0 - 0.3 * dead.len() as f64 / f64::from(hosts));
        let at = w.now;
        while (w.in_use(1) as f64) < 0.98 * whole && w.now - at < 20 * LEASE {
            w.run(20_000);
        }
        println!(
            "{hosts} hosts: {:.1} messages a second from a host in the mean, {:.1} from the busiest; {:.3} in use; {} crash, the \
             coordinator {}: shares redistributed after {:.2} leases",
            median as f64 / 10.0,
            most as f64 / 10.0,
            used as f64 / f64::from(WHOLE),
            dead.len(),
            if first.is_some() { "too" } else { "not" },
            (w.now - at) as f64 / LEASE as f64
        );
    }
}

/// The seeds to run: those of `FLEET_SEEDS`, or `few` seeds from 0 on.
pub fn seeds(few: u64) -> std::ops::Range<u64> {
    let text = std::env::var("FLEET_SEEDS").unwrap_or_default();
    match text
        .split_once("..")
        .map(|(from, to)| (from.parse(), to.parse()))
    {
        Some((Ok(from), Ok(to))) => from..to,
        _ => 0..few,
    }
}

/// Random faults of all kinds occur. Shares never exceed the budget, and after the faults nearly all of it is in use.
#[test]
fn shares_stay_within_budgets_through_random_faults_and_recover() {
    let mut coordinators = BTreeMap::new();
    for seed in seeds(60) {
        let hosts = [3, 4, 5, 8][seed as usize % 4];
        let mut w = World::new(hosts, seed, if seed % 3 == 0 { 300_000 } else { 10_000 });
        (0..hosts).for_each(|host| w.set_demand(host, f64::from(host) * 3.0));
        w.run(4 * LEASE);
        let loss = [0.0, 0.05, 0.3][seed as usize % 3];
        w.faults(w.now + 30 * SECOND, loss);
        w.run(30 * SECOND);
        w.heal();
        // Hosts that were leaving have left by then and are started by the second call.
        w.run(2 * LEASE);
        w.heal();
        (0..hosts).for_each(|host| w.set_demand(host, 1.0));
        w.run(8 * LEASE);
        // When members take turns, a share is in use at no host while it moves, so the largest sum counts.
        let mut used = 0;
        for _ in 0..20 {
            w.run(LEASE / 10);
            used = used.max(w.in_use(1));
        }
        let shares: Vec<_> = (0..hosts).map(|host| w.share(host, 1)).collect();
        assert!(
            used > 900_000,
            "seed {seed}: {used} in use after the faults: {shares:?}"
        );
        for (host, count) in w.coordinators {
            *coordinators.entry(host).or_insert(0u64) += count;
        }
    }
    let few = seeds(60).count() < 10;
    assert!(
        few || coordinators.len() >= 3,
        "too few hosts were coordinator: {coordinators:?}"
    );
}

/// A fault in a fleet, and the host that must have more than its floor four leases later.
struct HardCase {
    name: &'static str,
    fault: fn(&mut World),
    /// The host that must have more than its floor; `None`: no particular host.
    served: Option<u32>,
    /// The number of additional hosts that do not run at first.
    spare_hosts: u32,
    /// The fraction of the hosts that use at most their floor afterwards; `None`: the hosts that are down.
    idle: Option<f64>,
}

fn twelve_join_and_six_leave(w: &mut World) {
    (12..24).for_each(|host| w.start(host));
    (6..12).for_each(|host| w.leave(host));
}

/// Messages between host 7 and every second host are lost: the others relay its messages.
fn cut_from_every_second_host(w: &mut World) {
    let others = (0..12).filter(|host| host % 2 == 0 && *host != 7);
    others.for_each(|host| w.cut_both(host, 7, 6 * LEASE));
}

fn every_second_host_fails(w: &mut World) {
    let failing = (0..12).filter(|host| host % 2 == 1);
    failing.for_each(|host| w.kill(host));
}

fn all_fail_and_restart(w: &mut World) {
    (0..12).for_each(|host| w.kill(host));
    w.run(LEASE / 2);
    (0..12).for_each(|host| w.start(host));
}

fn split_in_two_halves(w: &mut World) {
    let pairs = (0..6).flat_map(|one| (6..12).map(move |other| (one, other)));
    pairs.for_each(|(one, other)| w.cut_both(one, other, 20 * LEASE));
}

fn restart_within_the_lease(w: &mut World) {
    w.kill(9);
    w.run(LEASE / 4);
    w.start(9);
}

fn link_flaps(w: &mut World) {
    for _ in 0..20 {
        w.cut_both(0, 3, LEASE / 10);
        w.run(LEASE / 5);
    }
}

fn hard_cases() -> [HardCase; 7] {
    let case = |name, served, fault| HardCase {
        name,
        fault,
        served,
        spare_hosts: 0,
        idle: None,
    };
    [
        HardCase {
            spare_hosts: 12,
            ..case(
                "twelve join at once while six leave",
                Some(20),
                twelve_join_and_six_leave,
            )
        },
        case(
            "suspected by every second one",
            Some(7),
            cut_from_every_second_host,
        ),
        case("half fail within a second", None, every_second_host_fails),
        case("all fail and restart", None, all_fail_and_restart),
        // The group of host 5 includes all five voters.
        HardCase {
            idle: Some(6.0 / 12.0),
            ..case("two groups for twenty leases", Some(5), split_in_two_halves)
        },
        case(
            "back within the lease of its earlier incarnation",
            Some(9),
            restart_within_the_lease,
        ),
        case("a connection flaps twenty times", Some(3), link_flaps),
    ]
}

/// Fault cases that operators expect, each with three seeds. The invariants are checked after each event, and twelve
/// leases later the running hosts use nearly all of the budget again.
#[test]
fn hard_cases_keep_the_invariants_and_recover() {
    // Clock rates differ by up to 3%; with the second seed of each case a tenth of the messages is lost.
    for case in hard_cases() {
        for (seed, drift, loss) in [(1, DRIFT, 0.0), (2, 0.015, 0.1), (3, 0.015, 0.0)] {
            run_hard_case(&case, seed, drift, loss);
        }
    }
}

fn run_hard_case(case: &HardCase, seed: u64, drift: f64, loss: f64) {
    let name = case.name;
    let hosts = 12 + case.spare_hosts;
    let mut w = World::with_drift(hosts, seed, 1000, drift, None);
    w.loss = loss;
    (12..hosts).for_each(|host| w.kill(host));
    (0..hosts).for_each(|host| w.set_demand(host, 3.0));
    w.run(5 * LEASE);
    (case.fault)(&mut w);
    w.run(4 * LEASE);
    if let Some(host) = case.served.filter(|_| loss == 0.0) {
        let floor = w.config.budgets[&VolumeId(1)].floor;
        assert!(
            w.share(host, 1) > floor,
            "{name}, seed {seed}: host {host} has only its floor"
        );
    }
    w.run(8 * LEASE);
    let down = w.hosts.iter().filter(|host| host.fleet.is_none()).count();
    let idle = case.idle.unwrap_or(down as f64 / f64::from(hosts)) * 0.3;
    let used = w.in_use(1) as f64 / f64::from(WHOLE);
    assert!(
        used > 0.93 - idle - loss,
        "{name}, seed {seed}: {used} in use, {idle} idle"
    );
}
