//! The two sides of a grant, each by itself, and how a budget is divided.

use gullsail_fleet::allocation::divide;
use gullsail_fleet::coordinator::{Answered, Coordinator, Renewal};
use gullsail_fleet::lease::Ballot;
use gullsail_fleet::lease_holder::Holder;
use gullsail_fleet::{Budget, FleetConfig, WHOLE};
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const B: VolumeId = VolumeId(1);

fn budget(hosts: u32, floor: u32, least: u32) -> Budget {
    Budget { through: (0..hosts).map(HostId).collect(), floor, stragglers: BTreeMap::new(), least }
}

fn terms(hosts: u32) -> FleetConfig {
    let budgets = [(B, budget(hosts, 50_000, 1000))].into();
    FleetConfig {
        fleet: 7,
        hosts,
        lease: Span::from_millis(1000.0),
        drift: 0.01,
        voters: 1,
        budgets,
        maintenance: None,
    }
}

fn ms(at: i64) -> Instant {
    Instant::from_micros(1_000_000_000 + at * 1000)
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, by: 0 }
}

/// Two questions overtook each other: the first was answered last. Its lease ends first, and what the second was answered,
/// late or a second time, is no more than was let go of since.
#[test]
fn an_older_grant_is_not_taken_after_the_newer_ones_lease() {
    let t = terms(2);
    let mut h = Holder::new(ms(0));
    assert!(h.asked_by(HostId(0), ballot(5), ms(0)));
    let (first, second) = (h.ask(ms(0)), h.ask(ms(500)));
    let shares = |share| [(B, share)].into();
    assert!(h.granted(&t, (ballot(5), 2), first, shares(300), ms(600)));
    assert!(!h.granted(&t, (ballot(5), 1), second, shares(900), ms(700)));
    assert!(h.expire(ms(990)));
    assert!(!h.granted(&t, (ballot(5), 1), second, shares(900), ms(1000)));
    assert_eq!(h.share(B, ms(1000)), None);
    // The next one is.
    assert!(h.granted(&t, (ballot(5), 3), second, shares(400), ms(1000)));
}

/// Grants as (round, serial, which question, when it comes); whether each is taken, and what may be used afterwards.
#[test]
fn a_grant_counts_from_its_question_and_only_forwards() {
    let t = terms(2);
    type Grant = ((u64, u64, u64, i64), bool, Option<u32>);
    let cases: [&[Grant]; 6] = [
        &[((5, 1, 1, 100), true, Some(1))],
        // A lease less the drift after the question went out it is over.
        &[((5, 1, 1, 979), true, Some(1)), ((5, 2, 1, 981), false, None)],
        // An older grant, a repeated one, one for a question that was never put.
        &[
            ((5, 2, 1, 100), true, Some(2)),
            ((5, 1, 2, 200), false, Some(2)),
            ((5, 2, 2, 200), false, Some(2)),
        ],
        &[((5, 1, 9, 100), false, None)],
        // Of a coordinator before the one that was heard since.
        &[((4, 7, 1, 100), false, None)],
        &[((5, 1, 1, 100), true, Some(1)), ((6, 1, 2, 200), true, Some(1)), ((5, 2, 2, 300), false, Some(1))],
    ];
    for grants in cases {
        let mut h = Holder::new(ms(0));
        assert!(h.asked_by(HostId(0), ballot(5), ms(0)) && !h.asked_by(HostId(0), ballot(4), ms(0)));
        assert_eq!((h.ask(ms(0)), h.ask(ms(0))), (1, 2));
        for ((round, serial, number, at), taken, share) in grants {
            let shares = [(B, *serial as u32)].into();
            assert_eq!(
                h.granted(&t, (ballot(*round), *serial), *number, shares, ms(*at)),
                *taken,
                "{grants:?}"
            );
            assert_eq!(h.share(B, ms(*at)), *share, "{grants:?}");
        }
    }
}

#[test]
fn a_member_asks_four_times_a_lease_and_others_to_pass_it_on_when_nobody_answers() {
    let (t, mut rng) = (terms(2), ChaCha8Rng::seed_from_u64(3));
    let mut h = Holder::new(ms(0));
    assert!(h.question(&t, ms(1000), &mut rng).is_none(), "nobody to ask");
    h.asked_by(HostId(0), ballot(5), ms(1000));
    let asked: Vec<_> =
        (1001..5000).filter_map(|at| Some((at, h.question(&t, ms(at), &mut rng)?.1))).collect();
    // For two leases, then it knows of no coordinator any more.
    assert!((7..=10).contains(&asked.len()), "{asked:?}");
    assert!(asked.iter().all(|(at, detour)| *detour == (*at >= 1500)), "{asked:?}");
    assert_eq!(h.coordinator(), None);
}

fn renewal(host: u32, round: u64, serial: u64, held: u32) -> Renewal {
    let held = if held > 0 { [(B, held)].into() } else { BTreeMap::new() };
    Renewal { who: (HostId(host), 7), ballot: ballot(round), via: None, serial, asked: BTreeMap::new(), held }
}

fn granted(a: Answered) -> Option<u32> {
    if let Answered::Granted { shares, .. } = a { shares.get(&B).copied() } else { None }
}

/// A new coordinator grants what each says it holds, and more only when all is told or one lease is over.
#[test]
fn a_takeover_asks_waits_and_goes_on() {
    let t = terms(2);
    // what the other host says it holds, and when; when this one asks, and what it is granted
    let cases = [
        (None, 0, 900, 300_000),
        (None, 0, 1001, 950_000),
        (Some(600_000), 10, 20, 400_000),
        // All told, and no more is counted of the other than its own.
        (Some(200_000), 10, 300, 450_000),
        // One that holds nothing may be another process of its name.
        (Some(0), 10, 300, 300_000),
    ];
    for (other, told, at, share) in cases {
        let mut chair = Coordinator::new(&t, ballot(9), 1, ms(0));
        assert_eq!(granted(chair.renew(&t, renewal(0, 9, 5, 300_000), ms(1))), Some(300_000));
        if let Some(held) = other {
            chair.renew(&t, renewal(1, 9, u64::from(held > 0), held), ms(told));
        }
        for step in (told..at).step_by(5) {
            chair.advance(&t, ms(step));
        }
        let now = granted(chair.renew(&t, renewal(0, 9, 5, 300_000), ms(at))).unwrap();
        assert!(now.abs_diff(share) <= 50_000, "{other:?} at {at}: {now}, {share} meant");
    }
    // What was written before this term was heard of is no word on what is held now.
    let mut chair = Coordinator::new(&t, ballot(9), 1, ms(0));
    assert!(matches!(chair.renew(&t, renewal(1, 8, 5, 300_000), ms(1)), Answered::Early));
    assert!(chair.seats.is_empty());
}

/// A part grows only after the others were heard to have let go, or their lease is over.
#[test]
fn parts_shrink_first() {
    let t = terms(2);
    let mut chair = Coordinator::new(&t, ballot(9), 1, ms(0));
    let asks = |host: u32, serial: u64, asked: f64| Renewal {
        asked: [(B, asked)].into(),
        ..renewal(host, 9, serial, 0)
    };
    let serial = |a: &Answered| if let Answered::Granted { serial, .. } = a { *serial } else { 0 };
    (0..=1001).for_each(|at| _ = chair.advance(&t, ms(at)));
    let busy = chair.renew(&t, asks(0, 0, 100.0), ms(1010));
    let (first, mut held) = (granted(busy).unwrap(), 0);
    assert!(first > 900_000);
    // The other asks for nearly all: it gets what is free, and the first one's part is smaller from its next word on.
    for at in (1100..1900).step_by(100) {
        held = granted(chair.renew(&t, asks(1, 0, 10_000.0), ms(at))).unwrap();
        assert!(held <= 1_000_000 - first, "{held}");
    }
    let shrunk = chair.renew(&t, asks(0, 0, 100.0), ms(1900));
    let serial = serial(&shrunk);
    let small = granted(shrunk).unwrap();
    assert!(small < 200_000, "{small}");
    assert_eq!(granted(chair.renew(&t, asks(1, 0, 10_000.0), ms(1950))).unwrap(), held, "not heard yet");
    chair.renew(&t, asks(0, serial, 100.0), ms(2000));
    assert!(granted(chair.renew(&t, asks(1, 0, 10_000.0), ms(2050))).unwrap() > 800_000);
    assert!(chair.sum(B) <= u64::from(WHOLE));
}

/// Asked by members, kept by others, the least that holds something whole; what each has, within some.
#[test]
fn budgets_go_by_what_is_asked_over_floors_and_in_turns_where_they_are_small() {
    const K: u32 = 1000;
    type Case = (&'static [f64], u64, u32, u64, &'static [u32]);
    let cases: [Case; 8] = [
        (&[0.0, 0.0, 0.0, 0.0], 0, 1, 0, &[250 * K, 250 * K, 250 * K, 250 * K]),
        (&[10.0, 0.0, 0.0, 0.0], 0, 1, 0, &[790 * K, 70 * K, 70 * K, 70 * K]),
        (&[30.0, 10.0, 0.0, 0.0], 0, 1, 0, &[610 * K, 250 * K, 70 * K, 70 * K]),
        (&[10.0, 10.0, 0.0, 0.0], 600_000, 1, 0, &[145 * K, 145 * K, 55 * K, 55 * K]),
        // A whole one for each that asks comes first.
        (&[99.0, 1.0, 0.0, 0.0], 0, 200 * K, 0, &[650 * K, 210 * K, 70 * K, 70 * K]),
        // Two of four at a time.
        (&[1.0, 1.0, 1.0, 1.0], 0, 400 * K, 0, &[500 * K, 400 * K, 50 * K, 50 * K]),
        (&[1.0, 1.0, 1.0, 1.0], 0, 400 * K, 1, &[50 * K, 500 * K, 400 * K, 50 * K]),
        (&[1.0, 1.0, 1.0, 1.0], 0, 400 * K, 3, &[400 * K, 50 * K, 50 * K, 500 * K]),
    ];
    for (asked, kept, least, turn, wanted) in cases {
        let of = budget(4, 50 * K, least);
        let asked: Vec<_> = asked.iter().enumerate().map(|(h, a)| (HostId(h as u32), *a)).collect();
        let parts: Vec<u32> = divide(&of, &asked, kept, turn).into_iter().map(|p| p.1).collect();
        let sum: u64 = parts.iter().map(|p| u64::from(*p)).sum();
        assert!(sum + kept <= u64::from(WHOLE) && sum + kept > u64::from(WHOLE) - 10, "{parts:?}");
        let near = parts.iter().zip(wanted).all(|(a, b)| a.abs_diff(*b) <= 50 * K);
        assert!(near, "{asked:?} {kept} {least} {turn}: {parts:?}, {wanted:?} meant");
    }
}
