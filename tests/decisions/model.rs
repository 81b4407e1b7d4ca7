//! Simulated hosts, checked against the reference model of the rules. Nodes are slow or full, return errors,
//! reset connections, restart and drain; demand reports are lost, late and repeated; hosts are killed and
//! restarted; configurations change; clients disconnect. The simulations use fixed seeds; `GULLSAIL_SEED=N`
//! runs another seed.

use crate::common::*;
use crate::world::{Fault, HeldRequest, Requests, Server, World};
use gullsail::api::{Action, EndpointState, Idempotency, NodeId, RequestClass, RequestId};

/// Runs the simulation of one seed, with a fault injected into the hosts if given.
fn run_world(seed: u64, fault: Option<Fault>) -> World {
    let mut world = World::new(seed, fault);
    world.run();
    world
}

/// Without a fault, no rule is broken, and each rule is checked at least 50 times.
#[test]
fn simulated_hosts_break_no_rule() {
    let given_seed = std::env::var("GULLSAIL_SEED")
        .ok()
        .and_then(|s| s.parse::<u64>().ok());
    let seeds = given_seed.map_or(1..=12, |seed| seed..=seed);
    let mut tested = [0; 7];
    for seed in seeds {
        let world = run_world(seed, None);
        if let Some(breach) = world.breaches.first() {
            panic!("seed {seed}: {breach}");
        }
        tested
            .iter_mut()
            .zip(world.model.tested)
            .for_each(|(sum, n)| *sum += n);
    }
    println!("checks of each rule: {tested:?}");
    assert!(
        given_seed.is_some() || tested.iter().all(|n| *n >= 50),
        "some rule was checked fewer than 50 times: {tested:?}"
    );
}

fn attempt(id: RequestId, node: NodeId) -> Action {
    Action::StartAttempt {
        id,
        node,
        time_out: Some(ms(100)),
        send_before: None,
    }
}

/// Whether a host holds a request and the request's class satisfies the predicate.
fn class_is(
    world: &World,
    requests: &Requests,
    id: RequestId,
    predicate: fn(&RequestClass) -> bool,
) -> bool {
    requests
        .get(&id)
        .is_some_and(|held| predicate(&world.config.request_classes[held.request.request_class.0]))
}

fn answers_twice(_: &World, _: usize, _: &Requests, action: Action) -> Vec<Action> {
    match action {
        Action::Reject { .. } | Action::Fail { .. } => vec![action.clone(), action],
        action => vec![action],
    }
}

fn drops_rejections(_: &World, _: usize, _: &Requests, action: Action) -> Vec<Action> {
    match action {
        Action::Reject { .. } => vec![],
        action => vec![action],
    }
}

fn rejects_instead_of_failing(_: &World, _: usize, _: &Requests, action: Action) -> Vec<Action> {
    match action {
        Action::Fail { id } => vec![Action::Reject {
            id,
            retry_after: None,
        }],
        action => vec![action],
    }
}

fn sends_to_an_unready_node(world: &World, _: usize, _: &Requests, action: Action) -> Vec<Action> {
    let Action::StartAttempt { id, .. } = action else {
        return vec![action];
    };
    let is_ready = |server: &&Server| server.entry.state == EndpointState::Ready;
    let unready_server = world.servers.iter().find(|server| !is_ready(server));
    vec![unready_server.map_or(action, |server| attempt(id, server.entry.node))]
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
    let started_long_enough_ago =
        |server: &&Server| started(server).is_some_and(|at| world.now - at > ms(400));
    let newest = world
        .servers
        .iter()
        .filter(started_long_enough_ago)
        .max_by_key(started);
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

fn retries_instead_of_rejecting(
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

/// For each rule, a fault that breaks it is injected. The model must report a breach of that rule in at least
/// one of 12 simulations.
#[test]
fn model_reports_the_rule_that_an_injected_fault_breaks() {
    let faults: [(u8, &str, Fault); 8] = [
        (1, "two answers", answers_twice),
        (1, "no answer", drops_rejections),
        (
            2,
            "a rejection instead of a failure",
            rejects_instead_of_failing,
        ),
        (
            3,
            "an attempt at a node that is not ready",
            sends_to_an_unready_node,
        ),
        (
            4,
            "new objects to the newest node",
            sends_all_to_the_newest_node,
        ),
        (5, "requests sent before their turn", ignores_the_order),
        (
            6,
            "retries instead of rejections",
            retries_instead_of_rejecting,
        ),
        (7, "requests sent without tokens", sends_without_tokens),
    ];
    for (rule, description, fault) in faults {
        let breaks_rule = |seed| {
            let breaches = run_world(seed, Some(fault)).breaches;
            breaches.iter().any(|breach| breach.rule == rule)
        };
        let is_reported = (1..=12).any(breaks_rule);
        assert!(is_reported, "rule {rule}, {description}: not reported");
    }
}
