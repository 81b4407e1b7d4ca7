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

fn attempt(id: RequestId, node: NodeId) -> Action {
    Action::StartAttempt {
        id,
        node,
        time_out: Some(ms(100)),
    }
}

/// Whether a request is held and its class is like this.
fn class_is(
    world: &World,
    requests: &Requests,
    id: RequestId,
    what: fn(&RequestClass) -> bool,
) -> bool {
    requests
        .get(&id)
        .is_some_and(|held| what(&world.config.request_classes[held.request.request_class.0]))
}

fn answers_twice(_: &World, _: usize, _: &Requests, action: Action) -> Vec<Action> {
    match action {
        Action::Reject { .. } | Action::Fail { .. } => vec![action.clone(), action],
        action => vec![action],
    }
}

fn answers_nothing(_: &World, _: usize, _: &Requests, action: Action) -> Vec<Action> {
    match action {
        Action::Reject { .. } => vec![],
        action => vec![action],
    }
}

fn rejects_what_failed(_: &World, _: usize, _: &Requests, action: Action) -> Vec<Action> {
    match action {
        Action::Fail { id } => vec![Action::Reject {
            id,
            retry_after: None,
        }],
        action => vec![action],
    }
}

fn sends_to_a_leaving_node(world: &World, _: usize, _: &Requests, action: Action) -> Vec<Action> {
    let Action::StartAttempt { id, .. } = action else {
        return vec![action];
    };
    let is_ready = |server: &&Server| server.entry.state == EndpointState::Ready;
    let leaving = world.servers.iter().find(|server| !is_ready(server));
    vec![leaving.map_or(action, |server| attempt(id, server.entry.node))]
}

fn sends_all_to_the_newest_node(
    world: &World,
    _: usize,
    requests: &Requests,
    action: Action,
) -> Vec<Action> {
    let Action::StartAttempt { id, .. } = action else {
        return vec![action];
    };
    let is_first = requests
        .get(&id)
        .is_some_and(|held| held.attempts_sent == 0);
    if !is_first {
        return vec![action];
    }
    let started = |server: &&Server| server.entry.started;
    let young = |server: &&Server| started(server).is_some_and(|at| world.now - at > ms(400));
    let newest = world.servers.iter().filter(young).max_by_key(started);
    vec![newest.map_or(action, |server| attempt(id, server.entry.node))]
}

fn ignores_the_order(world: &World, _: usize, requests: &Requests, action: Action) -> Vec<Action> {
    let in_order = |id| class_is(world, requests, id, |class| class.in_order);
    let Action::StartAttempt { id, node, .. } = action else {
        return vec![action];
    };
    if !in_order(id) {
        return vec![action];
    }
    let object = requests[&id].request.object;
    let next = requests.iter().find(|(other, held)| {
        **other > id
            && held.attempts_sent == 0
            && object.is_some()
            && held.request.object == object
            && in_order(**other)
    });
    let next = next.map(|(other, _)| attempt(*other, node));
    [Some(action), next].into_iter().flatten().collect()
}

fn retries_what_it_rejects(
    world: &World,
    _: usize,
    requests: &Requests,
    action: Action,
) -> Vec<Action> {
    let Action::Reject { id, .. } = action else {
        return vec![action];
    };
    let is_idempotent = |class: &RequestClass| class.idempotency == Idempotency::Idempotent;
    if !class_is(world, requests, id, is_idempotent) {
        return vec![action];
    }
    let held = &requests[&id];
    if held.attempts_sent > 0 && world.now - held.arrived_at < held.request.timeout {
        vec![attempt(id, NodeId(0))]
    } else {
        vec![action]
    }
}

fn sends_without_tokens(
    world: &World,
    me: usize,
    requests: &Requests,
    action: Action,
) -> Vec<Action> {
    let Action::Reject { id, .. } = action else {
        return vec![action];
    };
    let HeldRequest {
        arrived_at,
        request,
        attempts_sent,
    } = &requests[&id];
    let limited = world.members[me].plans_reversed == (request.plan.0 == 0);
    let in_time = world.now - *arrived_at < request.timeout;
    if *attempts_sent == 0 && limited && in_time && request.object.is_none() {
        vec![attempt(id, NodeId(0)), action]
    } else {
        vec![action]
    }
}

/// For each rule a fault is planted, and the model calls it by that rule's number.
#[test]
fn injected_faults_are_named() {
    let faults: [(u8, &str, Fault); 8] = [
        (1, "a second answer", answers_twice),
        (1, "no answer", answers_nothing),
        (2, "rejected in place of failed", rejects_what_failed),
        (
            3,
            "an attempt to a node that leaves",
            sends_to_a_leaving_node,
        ),
        (
            4,
            "new objects to the newest node",
            sends_all_to_the_newest_node,
        ),
        (5, "requests sent before their turn", ignores_the_order),
        (6, "retries instead of rejections", retries_what_it_rejects),
        (7, "requests sent without tokens", sends_without_tokens),
    ];
    for (rule, what, fault) in faults {
        let breaks_rule = |seed| {
            let breaches = played(seed, Some(fault)).breaches;
            breaches.iter().any(|breach| breach.rule == rule)
        };
        let named = (1..=12).any(breaks_rule);
        assert!(named, "rule {rule}, {what}: not seen");
    }
}
