//! Rules 1, 2 and 4 to 7 at one host.

use crate::common::*;
use gullsail::api::{
    Action, AttemptOutcome, Endpoint, Event, HostId, Idempotency, IdempotencyScope, Instant,
    NodeId, ObjectId, Plan, PlanId, Request, RequestId, RetryBudget, SchedulerConfig, ShardId,
    Span, UpdateKind, VolumeAllocation, VolumeId, ZoneId, demand_report,
};

/// Rule 1: a request gets one final answer before its deadline, and no attempt is sent after it.
#[test]
fn every_request_gets_one_answer_before_its_deadline() {
    // Request class; outcome of the first attempt, if it ends; answers by the scheduler.
    let cases = [
        (0, None, vec!["rejected"]),
        (1, None, vec!["failed"]),
        (2, None, vec!["failed"]),
        (0, Some(AttemptOutcome::Succeeded), vec![]),
        (2, Some(AttemptOutcome::ConnectionLost), vec!["failed"]),
        (0, Some(AttemptOutcome::TimedOut), vec!["rejected"]),
    ];
    for (request_class, outcome, wanted) in cases {
        let mut host = host();
        host.deliver(Event::RequestArrived(request(5, request_class)));
        assert_eq!(host.attempt_nodes(5), [1]);
        host.advance(ms(30));
        if let Some(outcome) = outcome {
            host.end_attempt(5, 0, 1, outcome, 30);
        }
        host.advance(ms(968));
        assert_eq!(host.answers(5), wanted, "{request_class} {outcome:?}");
        let sent = host.attempt_nodes(5).len();
        host.end_attempt(5, 0, 1, AttemptOutcome::TimedOut, 1000);
        host.advance(ms(3000));
        assert_eq!(
            (host.answers(5), host.attempt_nodes(5).len()),
            (wanted, sent),
            "{request_class} {outcome:?}"
        );
    }
}

/// Delivers a demand report of the other host about volume 7.
fn report_demand(host: &mut Host, made_at: Instant, demand: f64) {
    let report = demand_report::VolumeDemand {
        volume: demand_report::message_volume_id(VolumeId(7)),
        demand,
        wanted: 0.0,
        lent: 0.0,
    };
    host.deliver(Event::PeerMessage {
        from: HostId(1),
        bytes: demand_report::pack_report(made_at, &[report]),
    });
}

/// The retry delay in the rejection of request 5; `None` if the request was not rejected.
fn retry_delay(host: &Host) -> Option<Option<Span>> {
    host.actions.iter().find_map(|(_, action)| match action {
        Action::Reject {
            id: RequestId(5),
            retry_after,
        } => Some(*retry_after),
        _ => None,
    })
}

/// The cause for which request 5 is shed.
enum ShedCause {
    /// No endpoint serves the request's shard, and none did recently.
    Unreachable,
    /// The configuration has no plan of the request's id.
    UnknownPlan,
    /// Earlier requests of the volume need all tokens. The volume has this number of hosts, of which the other
    /// is as busy.
    NoTokens { hosts: u32 },
    /// The objective deadline of the request has passed when the request arrives.
    ArrivedLate,
    /// The volume is withdrawn from the host while the request waits.
    Withdrawn,
    /// The only attempt allowed ended with this outcome.
    AttemptEnded(AttemptOutcome),
}

impl ShedCause {
    /// A host that has shed request 5, of request class `class`, for this cause.
    fn host_after_shedding(&self, class: usize) -> Host {
        let mut config = config();
        config.max_attempts = 1;
        config.max_retry_after = Some(ms(600));
        let nodes = match self {
            ShedCause::Unreachable => vec![node(9, 9)],
            _ => vec![node(1, 0)],
        };
        let mut host = Host::new(config, nodes, at(1000));
        let request = request(5, class);
        match self {
            ShedCause::Unreachable => _ = host.deliver(Event::RequestArrived(request)),
            ShedCause::UnknownPlan => arrive_with_plan(&mut host, request, 7),
            ShedCause::NoTokens { hosts } => arrive_without_tokens(&mut host, request, *hosts),
            ShedCause::ArrivedLate => arrive_after_objective(&mut host, request, class),
            ShedCause::Withdrawn => {
                arrive_with_plan(&mut host, request, 1);
                withdraw_volume(&mut host);
            }
            ShedCause::AttemptEnded(outcome) => {
                host.deliver(Event::RequestArrived(request));
                host.advance(ms(30));
                host.end_attempt(5, 0, 1, *outcome, 30);
            }
        }
        host
    }
}

fn arrive_with_plan(host: &mut Host, request: Request, plan: usize) {
    host.deliver(Event::RequestArrived(Request {
        plan: PlanId(plan),
        ..request
    }));
}

/// Four requests of eight units arrive before this one, while the other host reports a demand for the whole
/// limit.
fn arrive_without_tokens(host: &mut Host, request: Request, hosts: u32) {
    let request = Request {
        plan: PlanId(1),
        volume_hosts: hosts,
        units: 8.0,
        ..request
    };
    for id in 1..=4 {
        host.deliver(Event::RequestArrived(Request {
            id: RequestId(id),
            ..request.clone()
        }));
        let made_at = host.now;
        host.advance(ms(1));
        report_demand(host, made_at, 40.0);
    }
    host.deliver(Event::RequestArrived(request));
}

/// An earlier request of the class had a timeout 500 ms longer. This exceeds the latency objective of 400 ms,
/// so the objective deadline of `late` has passed.
fn arrive_after_objective(host: &mut Host, late: Request, class: usize) {
    host.deliver(Event::RequestArrived(request(1, class)));
    host.deliver(Event::RequestArrived(Request {
        timeout: ms(500),
        ..late
    }));
}

fn withdraw_volume(host: &mut Host) {
    host.deliver(Event::ConfigChanged {
        plans: config().plans,
        allocations: vec![VolumeAllocation {
            volume: VolumeId(7),
            plan: PlanId(1),
            host_count: 0,
            host_limit: None,
        }],
        cross_zone_budgets: vec![],
        fleet_membership: None,
    });
}

/// A request is answered in the same step in which it is shed, whatever the cause and the idempotency. The
/// scheduler must not delay an answer to slow down a client's retry. A rejection has a retry delay up to the
/// configured maximum.
#[test]
fn shed_requests_are_answered_in_the_same_step() {
    let causes = [
        ShedCause::Unreachable,
        ShedCause::UnknownPlan,
        ShedCause::NoTokens { hosts: 1 },
        ShedCause::NoTokens { hosts: 2 },
        ShedCause::ArrivedLate,
        ShedCause::Withdrawn,
        ShedCause::AttemptEnded(AttemptOutcome::TimedOut),
        ShedCause::AttemptEnded(AttemptOutcome::Rejected),
    ];
    for (index, cause) in causes.iter().enumerate() {
        for class in 0..3 {
            let host = cause.host_after_shedding(class);
            let ran = matches!(cause, ShedCause::AttemptEnded(outcome) if !outcome.never_ran());
            let answer = if ran && class > 0 {
                "failed"
            } else {
                "rejected"
            };
            assert_eq!(host.answers(5), [answer], "cause {index}, class {class}");
            let retry_delay = retry_delay(&host);
            let is_valid = retry_delay.is_none_or(|delay| {
                delay.is_some_and(|delay| delay > Span::ZERO && delay <= ms(600))
            });
            assert!(is_valid, "cause {index}, class {class}: {retry_delay:?}");
        }
    }
}

/// Requests for a shard or a pool whose last node drained wait for a replacement for up to a minute. After
/// that, and if there never was a node, requests are shed at once.
#[test]
fn requests_wait_for_a_replacement_for_up_to_a_minute() {
    for shard in [Some(ShardId(0)), None] {
        for (entries, after, at_once) in [
            (vec![], 10, true),
            (draining_endpoints(0), 10, false),
            (draining_endpoints(0), 61_000, true),
        ] {
            let mut host = Host::new(config(), entries, at(1000));
            host.advance(ms(after));
            host.deliver(Event::RequestArrived(Request {
                shard,
                ..request(5, 0)
            }));
            assert_eq!(
                host.answers(5).len(),
                usize::from(at_once),
                "{shard:?} after {after} ms"
            );
        }
    }
}

/// A request is shed for lack of tokens only if it cannot get them in time. A small request is not shed, since
/// it needs fewer tokens than the larger ones before it. No request is shed while another host may lend tokens,
/// which it may while its demand is below the whole limit.
#[test]
fn requests_are_shed_only_if_tokens_cannot_arrive_in_time() {
    // Hosts of the volume; demand of the other host, in units a second; units of request 5; whether it is shed
    // at once.
    let cases = [
        (1, 0.0, 8.0, true),
        (1, 0.0, 1.0, false),
        (2, 39.0, 8.0, false),
        (2, 40.0, 8.0, true),
        (2, 40.0, 1.0, false),
    ];
    for (volume_hosts, demand, units, at_once) in cases {
        let mut host = Host::new(config(), vec![node(1, 0)], at(1000));
        let large = Request {
            plan: PlanId(1),
            volume_hosts,
            units: 8.0,
            ..request(5, 0)
        };
        for id in 1..=2 {
            host.deliver(Event::RequestArrived(Request {
                id: RequestId(id),
                ..large.clone()
            }));
        }
        report_demand(&mut host, at(1000), demand);
        host.deliver(Event::RequestArrived(Request { units, ..large }));
        let case = format!("{volume_hosts} {demand} {units}");
        assert_eq!(host.answers(5).len(), usize::from(at_once), "{case}");
        // The time in which this host's share yields the units of the two waiting requests.
        let min_delay =
            Span::from_millis(16.0 / (40.0 / f64::from(volume_hosts)) * 1e3).min(ms(1000));
        let retry_delay = retry_delay(&host).flatten();
        assert!(
            !at_once || retry_delay >= Some(min_delay),
            "{case}: {retry_delay:?}"
        );
    }
}

/// Rule 2: a request that an endpoint may have executed is sent again only if its idempotency allows it.
#[test]
fn requests_are_retried_only_if_idempotency_allows() {
    use AttemptOutcome::{Cancelled, ConnectionLost, Failed, Rejected, Unreachable};
    use Idempotency::{Idempotent, NonIdempotent};
    let with_key = |scope| Idempotency::WithKey {
        scope,
        window: ms(200),
    };
    let shard_key = with_key(IdempotencyScope::Shard);
    let any_key = with_key(IdempotencyScope::All);
    // Idempotency; outcome of the first attempt, and its time in ms; attempts sent; answer if there is no
    // second attempt.
    let cases = [
        (Idempotent, ConnectionLost, 20, 2, ""),
        (Idempotent, Failed, 20, 2, ""),
        (NonIdempotent, ConnectionLost, 20, 1, "failed"),
        (NonIdempotent, Failed, 20, 1, "failed"),
        (NonIdempotent, Cancelled, 20, 1, "failed"),
        (NonIdempotent, Rejected, 20, 2, ""),
        (NonIdempotent, Unreachable, 20, 2, ""),
        (shard_key, Failed, 20, 2, ""),
        (any_key, Failed, 20, 2, ""),
        (shard_key, Failed, 250, 1, "failed"),
        (any_key, Failed, 250, 1, "rejected"),
    ];
    for (idempotency, outcome, after, attempts, answer) in cases {
        let mut config = config();
        config.request_classes[0].idempotency = idempotency;
        let mut host = Host::new(config, vec![node(1, 0)], at(1000));
        host.deliver(Event::RequestArrived(request(5, 0)));
        host.advance(ms(after));
        host.end_attempt(5, 0, 1, outcome, after);
        host.advance(ms(300 - after.min(250) + 100));
        let case = format!("{idempotency:?} {outcome:?}");
        assert_eq!(host.attempt_nodes(5).len(), attempts, "{case}");
        if attempts == 1 {
            assert_eq!(host.answers(5), [answer], "{case}");
        }
    }
}

/// Rule 2: a new object that may have been stored is retried only within the scope of its idempotency key.
#[test]
fn retries_with_an_idempotency_key_stay_within_its_scope() {
    for (scope, is_retried_elsewhere) in [
        (IdempotencyScope::Shard, false),
        (IdempotencyScope::Zone, false),
        (IdempotencyScope::All, true),
    ] {
        let mut config = config();
        config.request_classes[1].idempotency = Idempotency::WithKey {
            scope,
            window: ms(5000),
        };
        let remote_node = Endpoint {
            zone: ZoneId(1),
            ..node(2, 1)
        };
        let mut host = Host::new(config, vec![node(1, 0)], at(1000));
        host.deliver(Event::RequestArrived(Request {
            shard: None,
            ..request(5, 1)
        }));
        host.deliver_list(UpdateKind::Snapshot, vec![remote_node]);
        host.advance(ms(20));
        host.end_attempt(5, 0, 1, AttemptOutcome::Failed, 20);
        host.advance(ms(100));
        assert_eq!(
            host.attempt_nodes(5).contains(&2),
            is_retried_elsewhere,
            "{scope:?}"
        );
    }
}

/// Rule 7: if a request does not give the number of hosts of its volume, this host has an even share of the
/// limit over all hosts of the fleet.
#[test]
fn volume_of_unknown_host_count_gets_an_even_share_over_all_hosts() {
    let config = SchedulerConfig {
        host_count: 4,
        peer_messages_enabled: false,
        ..config()
    };
    let mut host = Host::new(config, vec![node(1, 0)], at(1000));
    for id in 0..100 {
        let arrival = Request {
            plan: PlanId(1),
            volume_hosts: 0,
            ..request(id, 0)
        };
        host.deliver(Event::RequestArrived(arrival));
        host.advance(ms(10));
        host.sent_requests()
            .into_iter()
            .for_each(|id| host.end_attempt(id, 0, 1, AttemptOutcome::Succeeded, 1));
    }
    // 40 units a second over all hosts.
    assert!(
        (8..=10).contains(&host.sent_requests().len()),
        "{}",
        host.sent_requests().len()
    );
}

/// Rule 4: the units sent to a warming node within the slow-start window stay within this host's share. After a
/// lost connection, the node counts as just started until it reports its start. Rejected attempts count in
/// full, served ones in part.
#[test]
fn slow_start_bounds_the_units_sent_to_a_node() {
    use AttemptOutcome::{Rejected, Succeeded};
    let started_before = |ms: i64| Some(at(20_000 - ms));
    let minute_ago = started_before(60_000);
    // Listed start; whether a connection is lost first; start that the node reports then; outcome of the
    // attempts; least and most units sent in the first window.
    let cases = [
        (started_before(0), false, None, Rejected, 1.0, 6.0),
        (started_before(4000), false, None, Rejected, 1.0, 14.0),
        (started_before(11_000), false, None, Rejected, 1.0, 1e9),
        (None, false, None, Rejected, 1.0, 1e9),
        (None, true, None, Rejected, 1.0, 6.0),
        (None, true, None, Succeeded, 1.0, 19.0),
        // A node that reports its old start stays warm. A node that reports a new start is cold, even if the
        // list has an old one.
        (minute_ago, true, Some(minute_ago), Succeeded, 40.0, 1e9),
        (
            minute_ago,
            true,
            Some(started_before(0)),
            Rejected,
            1.0,
            6.0,
        ),
        (
            minute_ago,
            false,
            Some(started_before(0)),
            Rejected,
            1.0,
            6.0,
        ),
    ];
    for (started, connection_lost, reported_start, outcome, min_units, max_units) in cases {
        let started_at = |started| Endpoint {
            started,
            ..node(1, 0)
        };
        let mut host = Host::new(config(), vec![started_at(started)], at(20_000));
        if connection_lost {
            host.deliver(Event::RequestArrived(request(100, 2)));
            host.end_attempt(100, 0, 1, AttemptOutcome::ConnectionLost, 5);
        }
        if let Some(reported) = reported_start {
            host.deliver_list(UpdateKind::SelfReported, vec![started_at(reported)]);
        }
        let sent = sent_in_first_window(&mut host, outcome);
        assert!(
            min_units <= sent && sent <= max_units,
            "{started:?} {connection_lost} {reported_start:?} {outcome:?}: {sent}"
        );
    }
}

/// Fifty requests of one unit arrive within a slow-start window, and each attempt ends with `outcome`. Returns
/// the units sent.
fn sent_in_first_window(host: &mut Host, outcome: AttemptOutcome) -> f64 {
    for id in 0..50 {
        host.deliver(Event::RequestArrived(request(id, 0)));
        host.advance(ms(2));
        if !host.attempt_nodes(id).is_empty() {
            host.end_attempt(id, 0, 1, outcome, 2);
        }
    }
    let sent: usize = (0..50).map(|id| host.attempt_nodes(id).len()).sum();
    sent as f64
}

/// Rule 5: requests on one object run one at a time, in order. After an attempt with an unknown outcome, the
/// next request waits for the configured time.
#[test]
fn requests_on_one_object_run_one_at_a_time_in_order() {
    use AttemptOutcome::{Cancelled, ConnectionLost, Failed, Succeeded};
    let arrive = |host: &mut Host, id, object| {
        host.deliver(Event::RequestArrived(Request {
            object: Some(ObjectId(object)),
            ..request(id, 2)
        }))
    };
    // Outcome of the first request's attempt; time in ms until the second request may be sent.
    for (outcome, wait_ms) in [
        (Succeeded, 0),
        (ConnectionLost, 50),
        (Failed, 0),
        (Cancelled, 50),
    ] {
        let mut config = config();
        config.order_settle = ms(50);
        config.request_classes[2].in_order = true;
        let mut host = Host::new(config, vec![node(1, 0)], at(1000));
        for id in [5, 6, 7] {
            arrive(&mut host, id, 3);
        }
        arrive(&mut host, 8, 4);
        host.advance(ms(10));
        let sent = |host: &Host, ids: [u64; 3]| ids.map(|id| host.attempt_nodes(id).len());
        assert_eq!(sent(&host, [5, 6, 8]), [1, 0, 1]);
        host.end_attempt(8, 0, 1, Succeeded, 10);
        host.end_attempt(5, 0, 1, outcome, 10);
        if wait_ms > 0 {
            host.advance(ms(wait_ms - 10));
            assert_eq!(host.attempt_nodes(6).len(), 0, "{outcome:?}");
            host.advance(ms(150));
        }
        assert_eq!(sent(&host, [5, 6, 7])[1..], [1, 0], "{outcome:?}");
    }
}

/// Rule 6: retries stay within the fixed number plus the fraction of the arrived requests.
#[test]
fn retries_stay_within_the_retry_budget() {
    for (fixed, per_request, max_retries) in [(0.0, 0.0, 0), (3.0, 0.0, 3), (1.0, 0.1, 5)] {
        let mut config = config();
        config.retry_budget = Some(RetryBudget {
            fixed_retries: fixed,
            retries_per_request: per_request,
            window: ms(5000),
        });
        let mut host = Host::new(config, vec![node(1, 0)], at(1000));
        for id in 0..20 {
            host.deliver(Event::RequestArrived(request(id + 100, 0)));
            host.end_attempt(id + 100, 0, 1, AttemptOutcome::Succeeded, 1);
            host.deliver(Event::RequestArrived(request(id, 0)));
            host.advance(ms(5));
            host.end_attempt(id, 0, 1, AttemptOutcome::Failed, 5);
            host.advance(ms(20));
            if host.attempt_nodes(id).len() > 1 {
                host.end_attempt(id, 1, 1, AttemptOutcome::Succeeded, 5);
            }
        }
        let retries: usize = (0..20)
            .map(|id| host.attempt_nodes(id).len().saturating_sub(1))
            .sum();
        assert!(
            retries <= max_retries && retries * 2 >= max_retries,
            "{fixed} {per_request}: {retries}"
        );
    }
}

/// After a streamed response has started, or the client has disconnected, the scheduler gives no final answer
/// and sends no second attempt.
#[test]
fn no_answer_after_a_response_started_or_the_client_disconnected() {
    for (event, answers) in [
        (
            Some(Event::ResponseStarted {
                id: RequestId(5),
                node: NodeId(1),
                latency: ms(9),
            }),
            0,
        ),
        (Some(Event::ClientDisconnected(RequestId(5))), 0),
        (None, 1),
    ] {
        let mut host = host();
        host.deliver(Event::RequestArrived(request(5, 0)));
        event
            .into_iter()
            .for_each(|event| drop(host.deliver(event)));
        host.advance(ms(3000));
        host.end_attempt(5, 0, 1, AttemptOutcome::Cancelled, 3000);
        host.end_attempt(5, 0, 1, AttemptOutcome::Cancelled, 3000);
        host.advance(ms(100));
        assert_eq!(
            (host.answers(5).len(), host.attempt_nodes(5).len()),
            (answers, 1)
        );
    }
}

/// The request with the highest value per unit is sent first; of equal value, the one with the earliest
/// objective deadline, then the one with the lowest id.
#[test]
fn request_with_the_highest_value_is_sent_first() {
    // Priority weight, price and latency objective of request 6, against 2, 1 and 400 ms of the others.
    for (priority_weight, price, objective_ms) in
        [(3.0, 1.0, 400), (2.0, 1.5, 400), (2.0, 1.0, 300)]
    {
        let mut config = config();
        (
            config.request_classes[1].priority_weight,
            config.request_classes[1].latency_objective,
        ) = (priority_weight, ms(objective_ms));
        config.plans[1] = Plan {
            limit: None,
            price,
            ..config.plans[1].clone()
        };
        let mut host = Host::new(config, draining_endpoints(0), at(1000));
        for id in [4, 5] {
            host.deliver(Event::RequestArrived(request(id, 0)));
        }
        host.deliver(Event::RequestArrived(Request {
            plan: PlanId(1),
            volume: VolumeId(8),
            ..request(6, 1)
        }));
        host.deliver_list(UpdateKind::Snapshot, vec![node(1, 0)]);
        assert_eq!(
            host.sent_requests(),
            [6, 4, 5],
            "{priority_weight} {price} {objective_ms}"
        );
    }
}
