//! The decisions beside the model of the rules: hosts in one world of nodes that are slow, full, erring,
//! resetting, that restart cold and drain; demand reports lost, late and repeated; hosts killed and
//! restarted; configurations that change; clients that leave. Worlds are drawn from fixed seeds;
//! `GULLSAIL_SEED=N` plays another by hand.

use crate::common::*;
use crate::world::{Fault, HeldRequest, Requests, Server, World};
use gullsail::api::{Action, EndpointState, Idempotency, NodeId, RequestClass, RequestId};

fn played(seed: u64, fault: Option<Fault>) -> World {
    let mut w = World::new(seed, fault);
    w.play();
    w
}

/// No rule is broken, and each was put to the test often enough for that to mean something.
#[test]
fn worlds_keep_the_rules() {
    let by_hand = std::env::var("GULLSAIL_SEED")
        .ok()
        .and_then(|s| s.parse::<u64>().ok());
    let seeds = by_hand.map_or(1..=12, |seed| seed..=seed);
    let mut tested = [0; 7];
    for seed in seeds {
        let w = played(seed, None);
        if let Some(breach) = w.breaches.first() {
            panic!("seed {seed}: {breach}");
        }
        tested
            .iter_mut()
            .zip(w.model.tested)
            .for_each(|(sum, n)| *sum += n);
    }
    println!("put to the test: {tested:?}");
    assert!(
        by_hand.is_some() || tested.iter().all(|n| *n >= 50),
        "some rule was hardly tested: {tested:?}"
    );
}

/// For each rule a fault is planted, and the model calls it by that rule's number.
#[test]
fn injected_faults_are_named() {
    fn attempt(id: RequestId, node: NodeId) -> Action {
        Action::StartAttempt {
            id,
            node,
            time_out: Some(ms(100)),
        }
    }
    fn is(w: &World, requests: &Requests, id: RequestId, what: fn(&RequestClass) -> bool) -> bool {
        requests
            .get(&id)
            .is_some_and(|held| what(&w.config.request_classes[held.request.request_class.0]))
    }
    let faults: [(u8, &str, Fault); 8] = [
        (1, "a second answer", |_, _, _, a| match a {
            Action::Reject { .. } | Action::Fail { .. } => vec![a.clone(), a],
            a => vec![a],
        }),
        (1, "no answer", |_, _, _, a| match a {
            Action::Reject { .. } => vec![],
            a => vec![a],
        }),
        (2, "rejected in place of failed", |_, _, _, a| match a {
            Action::Fail { id } => vec![Action::Reject {
                id,
                retry_after: None,
            }],
            a => vec![a],
        }),
        (
            3,
            "an attempt to a node that leaves",
            |w, _, _, a| match a {
                Action::StartAttempt { id, .. } => {
                    let left = w
                        .servers
                        .iter()
                        .find(|m| m.entry.state != EndpointState::Ready);
                    vec![left.map_or(a, |m| attempt(id, m.entry.node))]
                }
                a => vec![a],
            },
        ),
        (
            4,
            "all new objects to the newest node",
            |w, _, requests, a| match a {
                Action::StartAttempt { id, .. }
                    if requests
                        .get(&id)
                        .is_some_and(|held| held.attempts_sent == 0) =>
                {
                    let young = |m: &&Server| m.entry.started.is_some_and(|s| w.now - s > ms(400));
                    let newest = w
                        .servers
                        .iter()
                        .filter(young)
                        .max_by_key(|m| m.entry.started);
                    vec![newest.map_or(a, |m| attempt(id, m.entry.node))]
                }
                a => vec![a],
            },
        ),
        (
            5,
            "what waits for its order is sent at once",
            |w, _, requests, a| match &a {
                Action::StartAttempt { id, node, .. } if is(w, requests, *id, |s| s.in_order) => {
                    let object = requests[id].request.object;
                    let next = requests.iter().find(|(other, held)| {
                        **other > *id
                            && held.attempts_sent == 0
                            && object.is_some()
                            && held.request.object == object
                            && is(w, requests, **other, |s| s.in_order)
                    });
                    let next = next.map(|(other, _)| attempt(*other, *node));
                    [Some(a.clone()), next].into_iter().flatten().collect()
                }
                _ => vec![a],
            },
        ),
        (
            6,
            "retries instead of rejections",
            |w, _, requests, a| match &a {
                Action::Reject { id, .. }
                    if is(w, requests, *id, |s| {
                        s.idempotency == Idempotency::Idempotent
                    }) =>
                {
                    let held = &requests[id];
                    if held.attempts_sent > 0 && w.now - held.arrived_at < held.request.timeout {
                        vec![attempt(*id, NodeId(0))]
                    } else {
                        vec![a]
                    }
                }
                _ => vec![a],
            },
        ),
        (
            7,
            "what has no tokens is sent all the same",
            |w, me, requests, a| match &a {
                Action::Reject { id, .. } => {
                    let HeldRequest {
                        arrived_at,
                        request,
                        attempts_sent,
                    } = &requests[id];
                    let limited = w.members[me].plans_reversed == (request.plan.0 == 0);
                    let in_time = w.now - *arrived_at < request.timeout;
                    let goes =
                        *attempts_sent == 0 && limited && in_time && request.object.is_none();
                    if goes {
                        vec![attempt(*id, NodeId(0)), a]
                    } else {
                        vec![a]
                    }
                }
                _ => vec![a],
            },
        ),
    ];
    for (rule, what, fault) in faults {
        let named = (1..=12).any(|seed| {
            played(seed, Some(fault))
                .breaches
                .iter()
                .any(|b| b.rule == rule)
        });
        assert!(named, "rule {rule}, {what}: not seen");
    }
}
