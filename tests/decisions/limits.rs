//! Rule 7: what all hosts send for a volume stays within its store, whatever becomes of labels and hosts.

use crate::common::*;
use gullsail::interface::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What befalls the hosts of one volume: labels lost or repeated (chances), their longest way, the mean
/// life of a host, its longest time down, the lead's moves (ms), the chance of others to be asked each ms.
type Trouble = (&'static str, [f64; 2], [i64; 4], f64);

/// Plays 20 s of some hosts whose clients ask for far more than the limit, and gives the lowest that
/// the volume's store went and the units sent.
fn play(count: u32, t: &Trouble, seed: u64) -> (f64, f64) {
    let (_, [lost, repeated], [way, kills, down, lead], others) = *t;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut f = facts();
    f.hosts = count;
    let limit = Limit { rate: 40.0, burst: 14.0 * f64::from(count) };
    f.plans[1].limit = Some(limit);
    let born = |me: u32, now| {
        let f = Facts { me: HostId(me), ..f.clone() };
        Host::new(f, (0..3).map(|n| node(n, n as i64)).collect(), now)
    };
    let mut hosts: Vec<Option<Host>> = (0..count).map(|me| Some(born(me, at(0)))).collect();
    let mut back = vec![at(0); count as usize];
    let mut mail: Vec<(Instant, usize, HostId, Vec<u8>)> = Vec::new();
    let (mut store, mut low, mut sent, mut id) = (limit.burst, limit.burst, 0.0, 0);
    for now in (1..20_000).map(at) {
        store = (store + limit.rate / 1000.0).min(limit.burst);
        let lead = (now.micros() / 1000 / lead % i64::from(count)) as usize;
        let (due, rest) = mail.into_iter().partition(|m| m.0 <= now);
        mail = rest;
        for (me, slot) in hosts.iter_mut().enumerate() {
            if slot.is_some() && kills > 0 && rng.random_range(0..kills) == 0 {
                *slot = None;
                back[me] = now + ms(rng.random_range(0..=down));
            }
            if slot.is_none() && now >= back[me] {
                *slot = Some(born(me as u32, now));
            }
            let Some(h) = slot else { continue };
            let before = h.asked.len();
            h.pass(now - h.now);
            for (_, _, from, bytes) in Iterator::filter(due.iter(), |m: &&(_, usize, _, _)| m.1 == me) {
                h.tell(Event::PeerSaid { from: *from, bytes: bytes.clone() });
            }
            if rng.random_bool(if me == lead { 0.1 } else { others }) {
                id += 1;
                let cell = Some(CellId(rng.random_range(0..3)));
                let t = Transfer { plan: PlanId(1), units: 4.0, cell, volume_hosts: count, ..xfer(id, 0) };
                h.tell(Event::Arrived(t));
            }
            for (_, action) in h.asked.split_off(before) {
                match action {
                    Action::Leg { id, node, .. } => {
                        (store, sent) = (store - 4.0, sent + 4.0);
                        low = f64::min(low, store);
                        h.end(id.0, 0, node.0, Ending::Done, 1);
                    }
                    Action::Tell { to, bytes } => {
                        assert!(bytes.len() <= 256);
                        for repeat in [1.0 - lost, repeated] {
                            if rng.random_bool(repeat) {
                                let way = ms(rng.random_range(1..=way));
                                mail.push((now + way, to.0 as usize, HostId(me as u32), bytes.clone()));
                            }
                        }
                    }
                    _ => {}
                }
            }
        }
    }
    (low, sent / 20.0)
}

#[test]
fn parts_never_sum_past_the_limit() {
    let cases: [Trouble; 9] = [
        ("calm", [0.0, 0.0], [5, 0, 0, 4000], 0.01),
        ("lost", [0.5, 0.0], [5, 0, 0, 4000], 0.01),
        ("cut off", [1.0, 0.0], [5, 0, 0, 4000], 0.01),
        ("late and out of order", [0.0, 0.0], [900, 0, 0, 4000], 0.01),
        ("repeated", [0.0, 1.0], [400, 0, 0, 4000], 0.01),
        ("killed", [0.0, 0.0], [5, 3000, 2000, 4000], 0.001),
        ("killed and back at once", [0.0, 0.0], [5, 800, 0, 4000], 0.01),
        ("the lead moves fast", [0.0, 0.0], [60, 0, 0, 300], 0.0005),
        ("all", [0.2, 0.3], [150, 1500, 500, 700], 0.01),
    ];
    for t in &cases {
        for (hosts, seeds, least) in [(3, 0..4, 8.0), (24, 4..5, 4.0)] {
            for seed in seeds {
                let (low, rate) = play(hosts, t, seed);
                assert!(low >= -1e-6, "{} with {hosts}: store at {low}", t.0);
                // And not by sending next to nothing.
                assert!(rate > least, "{} with {hosts}: {rate} units a second of 40", t.0);
            }
        }
    }
}

/// The tokens of quiet hosts reach the busy one, and most of the limit with them.
#[test]
fn loans_help_the_lead() {
    for (hosts, others, least) in [(3, 0.0005, 30.0), (24, 0.0002, 20.0)] {
        let play = |lost| play(hosts, &("", [lost, 0.0], [5, 0, 0, 30_000], others), 1).1;
        let (with, without) = (play(0.0), play(1.0));
        assert!(with > without * 1.5 && with > least, "{hosts}: {with} against {without}");
    }
}

/// A newborn's bucket starts empty and fills by its even part; a volume without a limit passes.
#[test]
fn a_newborn_starts_empty() {
    // plan, hosts of the volume, units sent at once and within 250 ms
    for (plan, hosts, at_once, later) in [(0, 2, 4, 12), (1, 1, 0, 10), (1, 2, 0, 5)] {
        let mut h = Host::new(facts(), vec![node(1, 0)], at(1000));
        let t = Transfer { plan: PlanId(plan), volume_hosts: hosts, ..xfer(0, 0) };
        (1..=12).for_each(|id| drop(h.tell(Event::Arrived(Transfer { id: TransferId(id), ..t.clone() }))));
        assert_eq!(h.order().len(), at_once);
        for _ in 0..250 {
            h.pass(ms(1));
            h.order().into_iter().for_each(|id| h.end(id, 0, 1, Ending::Done, 1));
        }
        assert_eq!(h.order().len(), later, "{plan} {hosts}");
    }
}

/// Terms that change while a volume is served: a smaller part holds at once, also for tokens already there; a
/// larger one fills from then on. Who no longer serves a volume gives up on what waits, at once.
#[test]
fn terms_change_while_serving() {
    let part = |rate, burst| Some(Limit { rate, burst });
    // hosts and part before and after; how many of 4 units go within 0.38 s after
    let cases = [
        ((2, None), (2, None), 6),
        ((2, None), (4, None), 3),
        ((2, None), (2, part(8.0, 8.0)), 2),
        ((2, part(4.0, 8.0)), (2, None), 3),
        ((2, None), (0, part(0.0, 0.0)), 0),
        ((2, None), (1, None), 8),
    ];
    for (before, after, expected) in cases {
        let plans = facts().plans;
        let terms = |(hosts, part)| Event::Plans {
            plans: plans.clone(),
            terms: vec![Terms { volume: VolumeId(7), plan: PlanId(1), hosts, part }],
        };
        let mut h = Host::new(facts(), vec![node(1, 0)], at(0));
        h.tell(terms(before));
        h.pass(ms(4000));
        h.tell(terms(after));
        for id in 1..=30 {
            let hosts = after.0.max(1);
            h.tell(Event::Arrived(Transfer {
                plan: PlanId(1),
                units: 4.0,
                volume_hosts: hosts,
                ..xfer(id, 0)
            }));
            if id == 30 && after.0 == 0 {
                h.tell(terms(after));
            }
        }
        let waiting = h.answers(1).len();
        for _ in 0..380 {
            h.order().into_iter().for_each(|id| h.end(id, 0, 1, Ending::Done, 1));
            h.pass(ms(1));
        }
        let sent = h.order().len();
        // What the bucket held, cut to its new size, and what it gains in that time.
        assert_eq!(sent, expected, "{before:?} {after:?}");
        assert_eq!(waiting, usize::from(after.0 == 0), "{before:?} {after:?}");
    }
}
