//! What comes from elsewhere, and what a fleet of two or three says to it: bad messages change nothing and are counted by
//! cause; one name is one process.

use gullsail_fleet::lease::{Ballot, Bid, Office, Vote, Voter};
use gullsail_fleet::{Budget, Event, Fleet, FleetConfig, WHOLE};
use gullsail_protocol::{FleetMessage, FleetPart, FleetWhat};
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

fn terms(hosts: u32, voters: u32) -> Arc<FleetConfig> {
    let budget = Budget {
        through: (0..hosts).map(HostId).collect(),
        floor: WHOLE / 5 / hosts,
        stragglers: BTreeMap::new(),
        least: 1000,
    };
    let budgets = [(VolumeId(1), budget)].into();
    Arc::new(FleetConfig {
        fleet: 7,
        hosts,
        lease: Span::from_millis(1000.0),
        drift: 0.001,
        voters,
        budgets,
        maintenance: None,
    })
}

fn ms(at: i64) -> Instant {
    Instant::from_micros(1_000_000_000 + at * 1000)
}

/// The only voter of two hosts, coordinator by now.
fn coordinator() -> Fleet {
    let mut f = Fleet::new(terms(2, 1), HostId(0), 11, 1, ms(0));
    (0..3000).step_by(10).for_each(|at| f.advance(ms(at)));
    f.outputs().for_each(drop);
    assert!(f.decides(ms(3000)));
    f
}

/// What h2 asks, in this incarnation, with the newest ballot that it heard.
fn renewal(f: &mut Fleet, incarnation: u64, at: i64) -> FleetMessage {
    f.advance(ms(at));
    let asked = f.outputs().filter(|o| o.message.what() == FleetWhat::Ask).map(|o| o.message).next_back();
    let (round, by) = asked.map_or((u64::MAX >> 20, 0), |n| (n.round, n.by));
    FleetMessage {
        fleet: 7,
        rules: 1,
        what: FleetWhat::Renew as i32,
        from: 1,
        from_incarnation: incarnation,
        number: 1,
        round,
        by,
        ..FleetMessage::default()
    }
}

fn answers(f: &mut Fleet, message: FleetMessage, at: i64) -> Vec<FleetWhat> {
    // Time has passed all the while; what is behind it already is nothing new.
    (at - 1000..at).step_by(10).for_each(|at| f.advance(ms(at)));
    f.outputs().for_each(drop);
    f.handle(ms(at), Event::Message { link: HostId(1), message });
    f.outputs().filter(|o| o.to == HostId(1)).map(|o| o.message.what()).collect()
}

#[test]
fn bad_messages_change_nothing_and_are_counted_by_cause() {
    type Spoil = fn(&mut FleetMessage);
    let cases: [(Spoil, &str); 10] = [
        (|n| n.fleet = 8, "of another fleet"),
        (|n| n.rules = 2, "of other rules"),
        (|n| n.from = 9, "of an unknown host"),
        (|n| n.to = 9, "of an unknown host"),
        (|n| n.from = 0, "of another process with this host's name"),
        (|n| n.to_incarnation = 99, "for an earlier process of this name"),
        (|n| n.what = 77, "of an unknown kind"),
        (|n| n.what = FleetWhat::Left as i32, "out of place"),
        (|n| n.parts[0].asked = f32::NAN, "with figures that make no sense"),
        (|n| n.parts[0].share = WHOLE + 1, "with figures that make no sense"),
    ];
    for (place, (spoil, why)) in cases.into_iter().enumerate() {
        let mut f = coordinator();
        let mut message = renewal(&mut f, 21, 3500);
        message.parts = vec![FleetPart { budget: 1, share: 0, asked: 3.0 }];
        spoil(&mut message);
        let what = |f: &Fleet| (f.epoch(), f.share(VolumeId(1)), f.status().members.len());
        let before = what(&f);
        assert_eq!(answers(&mut f, message, 3501), [], "case {place}");
        assert_eq!(what(&f), before, "case {place}");
        assert_eq!(f.status().dropped.get(why), Some(&1), "case {place}: {:?}", f.status().dropped);
    }
}

/// Two processes under one name: the first that is heard holds it for as long as it renews; then the other may.
#[test]
fn one_name_is_one_process() {
    let mut f = coordinator();
    let first = renewal(&mut f, 21, 3500);
    assert_eq!(answers(&mut f, first.clone(), 3501), [FleetWhat::Grant]);
    let second = FleetMessage { from_incarnation: 22, ..first.clone() };
    assert_eq!(answers(&mut f, second.clone(), 3700), [FleetWhat::Fence]);
    assert_eq!(answers(&mut f, first, 3800), [FleetWhat::Grant]);
    assert_eq!(
        answers(&mut f, second.clone(), 4700),
        [FleetWhat::Fence],
        "the first one's lease is not over"
    );
    assert_eq!(answers(&mut f, second.clone(), 4801), [FleetWhat::Grant]);
    // And whoever is told so uses nothing, not even its floor.
    let mut other = Fleet::new(terms(2, 1), HostId(1), 22, 1, ms(0));
    assert!(other.share(VolumeId(1)) > 0);
    let fence = FleetMessage {
        what: FleetWhat::Fence as i32,
        from: 0,
        from_incarnation: 11,
        to: 1,
        to_incarnation: 22,
        ..second
    };
    other.handle(ms(10), Event::Message { link: HostId(0), message: fence });
    assert_eq!((other.share(VolumeId(1)), other.status().fenced), (0, true));
}

/// A third host passes a message on once, to whom it is for; what was passed on is not passed on again.
#[test]
fn messages_are_passed_on_once() {
    let mut f = Fleet::new(terms(3, 3), HostId(0), 11, 1, ms(0));
    let message = FleetMessage {
        fleet: 7,
        rules: 1,
        what: FleetWhat::Renew as i32,
        from: 1,
        to: 2,
        ..FleetMessage::default()
    };
    f.handle(ms(1), Event::Message { link: HostId(1), message: message.clone() });
    assert_eq!(f.outputs().map(|o| (o.to, o.message)).collect::<Vec<_>>(), [(HostId(2), message.clone())]);
    f.handle(ms(2), Event::Message { link: HostId(2), message });
    assert_eq!(f.outputs().count(), 0);
    assert_eq!(f.status().dropped.get("passed on twice"), Some(&1));
}

/// With a lease on deciding of one second.
fn slow() -> FleetConfig {
    FleetConfig { lease: Span::from_millis(2000.0), ..(*terms(3, 3)).clone() }
}

/// What a voter says to a ballot, step by step; of two who seek the lease, and after a new start of the voter.
#[test]
fn a_voter_keeps_what_it_promised_and_a_newborn_says_nothing() {
    use Vote::*;
    let (t, a, b) = (slow(), (HostId(1), 21), (HostId(2), 31));
    let ballot = |round, by| Ballot { round, by };
    let mut v = Voter::new(&t, ms(0));
    // For two leases what an earlier incarnation promised may be in force.
    assert_eq!(v.prepare(ballot(9, 1), a, ms(1999)), Mute);
    assert_eq!(v.propose(&t, ballot(9, 1), a, ms(1999)), Mute);
    assert_eq!(v.prepare(ballot(9, 1), a, ms(2000)), Promised { taken: false });
    assert_eq!(v.prepare(ballot(8, 2), b, ms(2001)), Refused(ballot(9, 1)));
    assert_eq!(v.propose(&t, ballot(8, 2), b, ms(2001)), Refused(ballot(9, 1)));
    assert_eq!(v.propose(&t, ballot(9, 1), (HostId(1), 22), ms(2002)), Refused(ballot(9, 1)), "another life");
    assert_eq!(v.propose(&t, ballot(9, 1), a, ms(2002)), Accepted);
    // Live for a lease; whoever else asks is told, and takes no ballot away by asking.
    assert_eq!(v.prepare(ballot(12, 2), b, ms(3001)), Promised { taken: true });
    assert_eq!(v.propose(&t, ballot(9, 1), a, ms(3001)), Accepted);
    assert_eq!(v.prepare(ballot(12, 2), b, ms(4000)), Promised { taken: true });
    assert_eq!(v.prepare(ballot(12, 2), b, ms(4001)), Promised { taken: false });
    assert_eq!(v.propose(&t, ballot(9, 1), a, ms(4002)), Refused(ballot(12, 2)));
    v.propose(&t, ballot(12, 2), b, ms(4003));
    v.release(a);
    assert!(v.live(ms(4004)).is_some(), "only who holds it lets go of it");
    v.release(b);
    assert!(v.live(ms(4004)).is_none());
}

/// Promises that come a lease after they were asked for are worth nothing: a voter born since may have promised another.
#[test]
fn a_ballot_is_given_up_after_a_lease() {
    let t = slow();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (late, goes_on) in [(500, true), (997, true), (999, false), (1500, false)] {
        let mut office = Office::new(HostId(0), 5, ms(0));
        let Some(Bid::Prepare(ballot)) = office.advance(&t, None, ms(0), &mut rng) else { panic!() };
        assert_eq!(
            office.promised(&t, HostId(0), ballot, false, ms(late)),
            None,
            "one of three is no majority"
        );
        let bid = office.promised(&t, HostId(1), ballot, false, ms(late));
        assert_eq!(bid.is_some(), goes_on, "{late}");
        // And belief begins when it was proposed, not when it was accepted.
        if let Some(Bid::Propose(ballot, number)) = bid {
            office.accepted(&t, HostId(0), (ballot, number), ms(late + 900));
            assert!(office.accepted(&t, HostId(2), (ballot, number), ms(late + 900)));
            assert_eq!(office.held(ms(late + 900)).unwrap().1, ms(late) + t.office_held());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha, ..ProptestConfig::with_cases(500) })]

    /// Any messages whatever: nothing panics, no part passes the whole, the epoch only grows.
    #[test]
    fn any_messages_are_borne(messages in prop::collection::vec(
        (0i32..14, 0u32..4, 0u32..4, any::<u64>(), any::<u32>(), any::<u64>(), prop::collection::vec((0u64..3, any::<u32>(), any::<f32>()), 0..3)),
        1..40,
    )) {
        let mut f = coordinator();
        let (mut at, mut epoch) = (3000, f.epoch());
        for (what, from, to, round, by, number, parts) in messages {
            at += 37;
            let parts = parts.into_iter().map(|(budget, share, asked)| FleetPart { budget, share, asked }).collect();
            let message = FleetMessage { fleet: 7, rules: 1, what, from, to, round: round >> 12, by, number, serial: number, epoch: round >> 12, parts, ..FleetMessage::default() };
            f.handle(ms(at), Event::Message { link: HostId(from % 2), message });
            f.advance(ms(at));
            f.outputs().for_each(drop);
            prop_assert!(f.share(VolumeId(1)) <= WHOLE);
            prop_assert!(f.epoch() >= epoch);
            epoch = f.epoch();
        }
    }
}
