//! Messages from other hosts, and what a fleet of two or three hosts does with them: bad messages change
//! nothing and are counted by cause; one name is one process. And the two sides of an election, each by
//! itself.

use gullsail_fleet::ballot::Ballot;
use gullsail_fleet::coordinator_lease::{
    Acceptor, AcceptorReply, CandidateRequest, LeaseCandidate, Proposal,
};
use gullsail_fleet::process_id::ProcessId;
use gullsail_fleet::{Budget, Event, Fleet, FleetConfig, WHOLE};
use gullsail_protocol::{FleetMessage, FleetPart, FleetWhat};
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

fn fleet_config(hosts: u32, voters: u32) -> Arc<FleetConfig> {
    let budget = Budget {
        through: (0..hosts).map(HostId).collect(),
        floor: WHOLE / 5 / hosts,
        lagging_hosts: BTreeMap::new(),
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

/// The only voter of two hosts, after it was elected coordinator.
fn coordinator() -> Fleet {
    let mut f = Fleet::new(fleet_config(2, 1), HostId(0), 11, 1, ms(0));
    (0..3000).step_by(10).for_each(|at| f.advance(ms(at)));
    f.outputs().for_each(drop);
    assert!(f.decides(ms(3000)));
    f
}

/// A renewal of the other host, in this incarnation, with the newest ballot that it was asked with.
fn renewal(f: &mut Fleet, incarnation: u64, at: i64) -> FleetMessage {
    f.advance(ms(at));
    let polls = f
        .outputs()
        .filter(|output| output.message.what() == FleetWhat::Ask);
    let newest = polls.map(|output| output.message).next_back();
    let (round, by) = newest.map_or((u64::MAX >> 20, 0), |poll| (poll.round, poll.by));
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
    // Time has gone on meanwhile; a point before the last one changes nothing.
    (at - 1000..at).step_by(10).for_each(|at| f.advance(ms(at)));
    f.outputs().for_each(drop);
    f.handle(
        ms(at),
        Event::Message {
            link: HostId(1),
            message,
        },
    );
    f.outputs()
        .filter(|output| output.to == HostId(1))
        .map(|output| output.message.what())
        .collect()
}

#[test]
fn bad_messages_change_nothing_and_are_counted_by_cause() {
    type Damage = fn(&mut FleetMessage);
    let cases: [(Damage, &str); 10] = [
        (|message| message.fleet = 8, "of another fleet"),
        (|message| message.rules = 2, "of other rules"),
        (|message| message.from = 9, "of an unknown host"),
        (|message| message.to = 9, "of an unknown host"),
        (
            |message| message.from = 0,
            "of another process with this host's name",
        ),
        (
            |message| message.to_incarnation = 99,
            "for an earlier process of this name",
        ),
        (|message| message.what = 77, "of an unknown kind"),
        (
            |message| message.what = FleetWhat::Left as i32,
            "out of place",
        ),
        (
            |message| message.parts[0].asked = f32::NAN,
            "with figures that make no sense",
        ),
        (
            |message| message.parts[0].share = WHOLE + 1,
            "with figures that make no sense",
        ),
    ];
    for (place, (damage, cause)) in cases.into_iter().enumerate() {
        let mut f = coordinator();
        let mut message = renewal(&mut f, 21, 3500);
        message.parts = vec![FleetPart {
            budget: 1,
            share: 0,
            asked: 3.0,
        }];
        damage(&mut message);
        let state = |f: &Fleet| (f.epoch(), f.share(VolumeId(1)), f.status().members.len());
        let before = state(&f);
        assert_eq!(answers(&mut f, message, 3501), [], "case {place}");
        assert_eq!(state(&f), before, "case {place}");
        assert_eq!(
            f.status().dropped.get(cause),
            Some(&1),
            "case {place}: {:?}",
            f.status().dropped
        );
    }
}

/// Two processes under one name: the first that renews holds it for as long as it renews; then the other may.
#[test]
fn one_name_is_one_process() {
    let mut f = coordinator();
    let first = renewal(&mut f, 21, 3500);
    assert_eq!(answers(&mut f, first.clone(), 3501), [FleetWhat::Grant]);
    let second = FleetMessage {
        from_incarnation: 22,
        ..first.clone()
    };
    assert_eq!(answers(&mut f, second.clone(), 3700), [FleetWhat::Fence]);
    assert_eq!(answers(&mut f, first, 3800), [FleetWhat::Grant]);
    assert_eq!(
        answers(&mut f, second.clone(), 4700),
        [FleetWhat::Fence],
        "the first one's lease is not over"
    );
    assert_eq!(answers(&mut f, second.clone(), 4801), [FleetWhat::Grant]);
    // And a host that learns so uses nothing, not even its floor.
    let mut other = Fleet::new(fleet_config(2, 1), HostId(1), 22, 1, ms(0));
    assert!(other.share(VolumeId(1)) > 0);
    let fence = FleetMessage {
        what: FleetWhat::Fence as i32,
        from: 0,
        from_incarnation: 11,
        to: 1,
        to_incarnation: 22,
        ..second
    };
    other.handle(
        ms(10),
        Event::Message {
            link: HostId(0),
            message: fence,
        },
    );
    assert_eq!((other.share(VolumeId(1)), other.status().fenced), (0, true));
}

/// A third host passes a message on once, to the host that it is for; what was passed on is not passed on
/// again.
#[test]
fn messages_are_passed_on_once() {
    let mut f = Fleet::new(fleet_config(3, 3), HostId(0), 11, 1, ms(0));
    let message = FleetMessage {
        fleet: 7,
        rules: 1,
        what: FleetWhat::Renew as i32,
        from: 1,
        to: 2,
        ..FleetMessage::default()
    };
    f.handle(
        ms(1),
        Event::Message {
            link: HostId(1),
            message: message.clone(),
        },
    );
    assert_eq!(
        f.outputs()
            .map(|output| (output.to, output.message))
            .collect::<Vec<_>>(),
        [(HostId(2), message.clone())]
    );
    f.handle(
        ms(2),
        Event::Message {
            link: HostId(2),
            message,
        },
    );
    assert_eq!(f.outputs().count(), 0);
    assert_eq!(f.status().dropped.get("passed on twice"), Some(&1));
}

/// With a coordinator lease of one second.
fn slow_config() -> FleetConfig {
    FleetConfig {
        lease: Span::from_millis(2000.0),
        ..(*fleet_config(3, 3)).clone()
    }
}

/// How an acceptor replies to ballots, step by step; of two candidates, and after a restart of the acceptor.
#[test]
fn an_acceptor_is_bound_by_earlier_replies_and_silent_while_it_recovers() {
    use AcceptorReply::*;
    let config = slow_config();
    let first = ProcessId {
        host: HostId(1),
        incarnation: 21,
    };
    let second = ProcessId {
        host: HostId(2),
        incarnation: 31,
    };
    let restarted = ProcessId {
        host: HostId(1),
        incarnation: 22,
    };
    let ballot = |round, by| Ballot { round, by };
    let mut a = Acceptor::new(&config, ms(0));
    // For two leases what an earlier incarnation promised may be in force.
    assert_eq!(a.prepare(ballot(9, 1), first, ms(1999)), Recovering);
    assert_eq!(
        a.propose(&config, ballot(9, 1), first, ms(1999)),
        Recovering
    );
    assert_eq!(
        a.prepare(ballot(9, 1), first, ms(2000)),
        Promised { taken: false }
    );
    assert_eq!(
        a.prepare(ballot(8, 2), second, ms(2001)),
        Refused(ballot(9, 1))
    );
    assert_eq!(
        a.propose(&config, ballot(8, 2), second, ms(2001)),
        Refused(ballot(9, 1))
    );
    assert_eq!(
        a.propose(&config, ballot(9, 1), restarted, ms(2002)),
        Refused(ballot(9, 1))
    );
    assert_eq!(a.propose(&config, ballot(9, 1), first, ms(2002)), Accepted);
    // Live for a lease; any other candidate learns so, and takes no ballot away by asking.
    assert_eq!(
        a.prepare(ballot(12, 2), second, ms(3001)),
        Promised { taken: true }
    );
    assert_eq!(a.propose(&config, ballot(9, 1), first, ms(3001)), Accepted);
    assert_eq!(
        a.prepare(ballot(12, 2), second, ms(4000)),
        Promised { taken: true }
    );
    assert_eq!(
        a.prepare(ballot(12, 2), second, ms(4001)),
        Promised { taken: false }
    );
    assert_eq!(
        a.propose(&config, ballot(9, 1), first, ms(4002)),
        Refused(ballot(12, 2))
    );
    a.propose(&config, ballot(12, 2), second, ms(4003));
    a.release(first);
    assert!(
        a.live(ms(4004)).is_some(),
        "only the holder releases the lease"
    );
    a.release(second);
    assert!(a.live(ms(4004)).is_none());
}

/// Promises that come a lease after they were asked for are worth nothing: a voter that has restarted since
/// may have promised another ballot.
#[test]
fn a_ballot_is_given_up_after_a_lease() {
    let config = slow_config();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (late, goes_on) in [(500, true), (997, true), (999, false), (1500, false)] {
        let mut candidate = LeaseCandidate::new(HostId(0), 5, ms(0));
        let request = candidate.advance(&config, None, ms(0), &mut rng);
        let Some(CandidateRequest::Prepare(ballot)) = request else {
            panic!("{request:?}")
        };
        assert_eq!(
            candidate.promised(&config, HostId(0), ballot, false, ms(late)),
            None,
            "one of three is no majority"
        );
        let request = candidate.promised(&config, HostId(1), ballot, false, ms(late));
        assert_eq!(request.is_some(), goes_on, "{late}");
        if let Some(CandidateRequest::Propose(proposal)) = request {
            check_held_from_proposal(&mut candidate, &config, proposal, late);
        }
    }
}

/// The candidate relies on its lease from when it proposed, not from when it was accepted.
fn check_held_from_proposal(
    candidate: &mut LeaseCandidate,
    config: &FleetConfig,
    proposal: Proposal,
    proposed_at: i64,
) {
    let accepted_at = ms(proposed_at + 900);
    candidate.accepted(config, HostId(0), proposal, accepted_at);
    assert!(candidate.accepted(config, HostId(2), proposal, accepted_at));
    let held = candidate.held(accepted_at).unwrap();
    assert_eq!(
        held.until,
        ms(proposed_at) + config.held_coordinator_lease()
    );
}

/// The fields of a message that are drawn.
type Fields = (i32, u32, u32, u64, u32, u64, Vec<(u64, u32, f32)>);

fn fields() -> impl Strategy<Value = Fields> {
    let part = (0u64..3, any::<u32>(), any::<f32>());
    let parts = prop::collection::vec(part, 0..3);
    (
        0i32..14,
        0u32..4,
        0u32..4,
        any::<u64>(),
        any::<u32>(),
        any::<u64>(),
        parts,
    )
}

fn drawn_message((what, from, to, round, by, number, parts): Fields) -> FleetMessage {
    let part = |(budget, share, asked)| FleetPart {
        budget,
        share,
        asked,
    };
    FleetMessage {
        fleet: 7,
        rules: 1,
        what,
        from,
        to,
        round: round >> 12,
        by,
        number,
        serial: number,
        epoch: round >> 12,
        parts: parts.into_iter().map(part).collect(),
        ..FleetMessage::default()
    }
}

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        ..ProptestConfig::with_cases(500)
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Any messages whatever: nothing panics, no share exceeds the whole, the epoch only grows.
    #[test]
    fn any_messages_are_survived(messages in prop::collection::vec(fields(), 1..40)) {
        let mut f = coordinator();
        let mut at = 3000;
        let mut epoch = f.epoch();
        for fields in messages {
            at += 37;
            let message = drawn_message(fields);
            let link = HostId(message.from % 2);
            f.handle(ms(at), Event::Message { link, message });
            f.advance(ms(at));
            f.outputs().for_each(drop);
            prop_assert!(f.share(VolumeId(1)) <= WHOLE);
            prop_assert!(f.epoch() >= epoch);
            epoch = f.epoch();
        }
    }
}
