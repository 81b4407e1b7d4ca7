//! Messages from other hosts to one host: invalid messages are dropped and counted by cause, and only one process of a
//! host holds a lease.

use gullsail_fleet::{Budget, Event, Fleet, FleetConfig, WHOLE};
use gullsail_protocol::{FleetMessage, FleetMessageKind, FleetShare};
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

fn fleet_config(hosts: u32, voters: u32) -> Arc<FleetConfig> {
    let budget = Budget {
        hosts: (0..hosts).map(HostId).collect(),
        floor: WHOLE / 5 / hosts,
        lagging_hosts: BTreeMap::new(),
        min_share: 1000,
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

/// The only voter of two hosts, elected coordinator.
fn coordinator() -> Fleet {
    let mut fleet = Fleet::new(fleet_config(2, 1), HostId(0), 11, 1, ms(0));
    (0..3000).step_by(10).for_each(|at| fleet.advance(ms(at)));
    fleet.outputs().for_each(drop);
    assert!(fleet.is_coordinator(ms(3000)));
    fleet
}

/// A renewal of the other host in this incarnation, with the ballot of the newest poll.
fn renewal(fleet: &mut Fleet, incarnation: u64, at: i64) -> FleetMessage {
    fleet.advance(ms(at));
    let polls = fleet
        .outputs()
        .filter(|output| output.message.kind() == FleetMessageKind::Ask);
    let newest = polls.map(|output| output.message).next_back();
    let (round, by) = newest.map_or((u64::MAX >> 20, 0), |poll| (poll.round, poll.by));
    FleetMessage {
        fleet: 7,
        rules: 1,
        kind: FleetMessageKind::Renew as i32,
        from: 1,
        from_incarnation: incarnation,
        number: 1,
        round,
        by,
        ..FleetMessage::default()
    }
}

/// Delivers a message from host 1 at this time, and returns the kinds of the messages sent to that host in reply.
fn answers(fleet: &mut Fleet, message: FleetMessage, at: i64) -> Vec<FleetMessageKind> {
    // The fleet advances through the last second; times before the last event have no effect.
    (at - 1000..at)
        .step_by(10)
        .for_each(|at| fleet.advance(ms(at)));
    fleet.outputs().for_each(drop);
    fleet.handle(
        ms(at),
        Event::Message {
            link: HostId(1),
            message,
        },
    );
    fleet
        .outputs()
        .filter(|output| output.to == HostId(1))
        .map(|output| output.message.kind())
        .collect()
}

/// A change that makes a message invalid, and the cause under which the message is counted.
struct DamagedMessage {
    damage: fn(&mut FleetMessage),
    cause: &'static str,
}

fn damaged_messages() -> [DamagedMessage; 10] {
    let case = |damage, cause| DamagedMessage { damage, cause };
    [
        case(|message| message.fleet = 8, "of another fleet"),
        case(|message| message.rules = 2, "of other rules"),
        case(|message| message.from = 9, "of an unknown host"),
        case(|message| message.to = 9, "of an unknown host"),
        case(
            |message| message.from = 0,
            "of another process with this host's name",
        ),
        case(
            |message| message.to_incarnation = 99,
            "for an earlier process of this name",
        ),
        case(|message| message.kind = 77, "of an unknown kind"),
        case(
            |message| message.kind = FleetMessageKind::Left as i32,
            "out of place",
        ),
        case(
            |message| message.shares[0].demand = f32::NAN,
            "with figures that make no sense",
        ),
        case(
            |message| message.shares[0].share = WHOLE + 1,
            "with figures that make no sense",
        ),
    ]
}

#[test]
fn invalid_messages_are_dropped_and_counted_by_cause() {
    for (index, DamagedMessage { damage, cause }) in damaged_messages().into_iter().enumerate() {
        let mut fleet = coordinator();
        let mut message = renewal(&mut fleet, 21, 3500);
        message.shares = vec![FleetShare {
            budget: 1,
            share: 0,
            demand: 3.0,
        }];
        damage(&mut message);
        let epoch = fleet.epoch();
        let share = fleet.share(VolumeId(1));
        let members = fleet.status().members.len();
        assert_eq!(answers(&mut fleet, message, 3501), [], "case {index}");
        assert_eq!(fleet.epoch(), epoch, "case {index}");
        assert_eq!(fleet.share(VolumeId(1)), share, "case {index}");
        assert_eq!(fleet.status().members.len(), members, "case {index}");
        let dropped = fleet.status().dropped;
        assert_eq!(dropped.get(cause), Some(&1), "case {index}: {dropped:?}");
    }
}

/// Two processes of one host must not both hold a lease: the second is fenced until the lease of the first expires.
#[test]
fn a_second_process_of_a_host_is_fenced_until_the_lease_expires() {
    let mut fleet = coordinator();
    let first = renewal(&mut fleet, 21, 3500);
    assert_eq!(
        answers(&mut fleet, first.clone(), 3501),
        [FleetMessageKind::Grant]
    );
    let second = FleetMessage {
        from_incarnation: 22,
        ..first.clone()
    };
    assert_eq!(
        answers(&mut fleet, second.clone(), 3700),
        [FleetMessageKind::Fence]
    );
    assert_eq!(answers(&mut fleet, first, 3800), [FleetMessageKind::Grant]);
    assert_eq!(
        answers(&mut fleet, second.clone(), 4700),
        [FleetMessageKind::Fence],
        "the lease of the first process has not expired"
    );
    assert_eq!(
        answers(&mut fleet, second.clone(), 4801),
        [FleetMessageKind::Grant]
    );
    // A fenced process uses no share, not even its floor.
    let mut other = Fleet::new(fleet_config(2, 1), HostId(1), 22, 1, ms(0));
    assert!(other.share(VolumeId(1)) > 0);
    let fence = FleetMessage {
        kind: FleetMessageKind::Fence as i32,
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

/// A host relays a message that comes directly from its sender, but not one that was relayed already.
#[test]
fn a_message_is_relayed_only_once() {
    let mut fleet = Fleet::new(fleet_config(3, 3), HostId(0), 11, 1, ms(0));
    let message = FleetMessage {
        fleet: 7,
        rules: 1,
        kind: FleetMessageKind::Renew as i32,
        from: 1,
        to: 2,
        ..FleetMessage::default()
    };
    fleet.handle(
        ms(1),
        Event::Message {
            link: HostId(1),
            message: message.clone(),
        },
    );
    assert_eq!(
        fleet
            .outputs()
            .map(|output| (output.to, output.message))
            .collect::<Vec<_>>(),
        [(HostId(2), message.clone())]
    );
    fleet.handle(
        ms(2),
        Event::Message {
            link: HostId(2),
            message,
        },
    );
    assert_eq!(fleet.outputs().count(), 0);
    assert_eq!(fleet.status().dropped.get("passed on twice"), Some(&1));
}

/// The fields of a random message.
type Fields = (i32, u32, u32, u64, u32, u64, Vec<(u64, u32, f32)>);

fn random_fields() -> impl Strategy<Value = Fields> {
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

fn random_message((what, from, to, round, by, number, parts): Fields) -> FleetMessage {
    let part = |(budget, share, asked)| FleetShare {
        budget,
        share,
        demand: asked,
    };
    FleetMessage {
        fleet: 7,
        rules: 1,
        kind: what,
        from,
        to,
        round: round >> 12,
        by,
        number,
        serial: number,
        epoch: round >> 12,
        shares: parts.into_iter().map(part).collect(),
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

    /// Random messages cause no panic, no share above the whole and no decrease of the epoch.
    #[test]
    fn random_messages_keep_shares_and_epochs_valid(messages in prop::collection::vec(random_fields(), 1..40)) {
        let mut fleet = coordinator();
        let mut at = 3000;
        let mut epoch = fleet.epoch();
        for fields in messages {
            at += 37;
            let message = random_message(fields);
            let link = HostId(message.from % 2);
            fleet.handle(ms(at), Event::Message { link, message });
            fleet.advance(ms(at));
            fleet.outputs().for_each(drop);
            prop_assert!(fleet.share(VolumeId(1)) <= WHOLE);
            prop_assert!(fleet.epoch() >= epoch);
            epoch = fleet.epoch();
        }
    }
}
