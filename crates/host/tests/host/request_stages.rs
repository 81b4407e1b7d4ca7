//! A request that ends, by stage and cause: it has one answer, and everything that it held is released.

use crate::rig::{Rig, document, ms};
use bytes::Bytes;
use gullsail_host::core::{ConnectionId, HeldLoad, Input};
use gullsail_protocol::{
    AttemptResult, Cancel, EndpointListUpdate, Frame, Handle, ListedEndpoint, ListedState, Message,
    Outcome, Submit, Withdraw,
};
use gullsail_scheduler_api::Instant;

const START: Instant = Instant::from_micros(1_000_000_000);

pub fn write(rig: &mut Rig, client: ConnectionId, id: u64, volume: &str, bytes: usize) {
    let sent = Submit {
        id,
        request_class: "trip".into(),
        volume: volume.into(),
        units: 1.0,
        handle: Some(Handle {
            shard: 1,
            object: id,
        }),
        order_key: if volume == "w" {
            "key".into()
        } else {
            String::new()
        },
        idempotency_key: format!("m{id}"),
        timeout_us: 1_500_000,
        ..Submit::default()
    };
    rig.frame(
        client,
        Frame::from(sent).with_body(Bytes::from(vec![1; bytes])),
    );
}

/// Checks that no collection holds anything of a request.
pub fn assert_nothing_held(rig: &Rig, what: &str) {
    for name in [
        "core.open",
        "core.named",
        "core.legs",
        "core.pending",
        "open_requests",
        "wait_queues",
        "object_orders",
        "endpoints.in_flight",
    ] {
        assert_eq!(held(rig, name), 0, "{what}: {name}");
    }
    assert_eq!(rig.core.load(), HeldLoad::default(), "{what}");
}

/// Connects to the endpoint list, which reports the state of the first node.
pub fn list_reports(rig: &mut Rig, state: ListedState) {
    let list = rig.list_up();
    let entry = ListedEndpoint {
        name: "n1".into(),
        address: "n1".into(),
        shard: 1,
        state: state as i32,
        incarnation: 11,
        age_us: 10_000_000_000,
        ..ListedEndpoint::default()
    };
    rig.frame(
        list,
        EndpointListUpdate {
            version: 1,
            whole: false,
            entries: vec![entry],
        },
    );
}

fn held(rig: &Rig, name: &str) -> usize {
    rig.core
        .size_metrics()
        .into_iter()
        .find(|metric| metric.0 == name)
        .unwrap()
        .1
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Queued,
    AwaitingTokens,
    AwaitingOrder,
    AwaitingConnection,
    InWriteQueue,
    AtNode,
    BetweenAttempts,
    Answered,
}
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Withdrawn,
    ClientDisconnected,
    Deadline,
    NodeConnectionLost,
    Stop,
}

/// A request that ends in one stage.
struct Case {
    /// The stage that the request has reached when it ends.
    stage: Stage,
    /// Why the request ends.
    end: End,
    /// The answers that the client gets.
    answers: &'static [Outcome],
    /// Number of attempts that are sent.
    attempts: usize,
    /// Whether the attempt is cancelled at the node.
    cancelled: bool,
}

struct Setup {
    rig: Rig,
    client: ConnectionId,
    node: ConnectionId,
    /// Number of other requests that are open.
    other_requests: usize,
}

/// Returns a host with request 5 in this stage.
fn set_up(stage: Stage) -> Setup {
    let ordered = (
        "effect=\"unrepeatable\"",
        "effect=\"unrepeatable\" in-order=#true",
    );
    let deployment = document(&[ordered, ("limit=\"40units/s\"", "limit=\"1units/s\"")]);
    let mut rig = Rig::new(&deployment, 0, START);
    let (client, other) = (rig.client(), rig.client());
    let mut n = ConnectionId(0);
    if !matches!(stage, Stage::Queued | Stage::AwaitingConnection) {
        n = rig.node_up("n1", 11, ms(1e7));
    }
    let mut setup = Setup {
        rig,
        client,
        node: n,
        other_requests: 0,
    };
    submit_and_block(&mut setup, other, stage);
    setup
}

/// Submits request 5 so that it stops in this stage.
fn submit_and_block(setup: &mut Setup, other: ConnectionId, stage: Stage) {
    let rig = &mut setup.rig;
    let client = setup.client;
    let n = setup.node;
    match stage {
        Stage::Queued => {
            // The endpoint list reports that the node drains, so the request waits for another node.
            list_reports(rig, ListedState::Draining);
            write(rig, client, 5, "v", 100);
        }
        // The bucket of a host that has just started is empty.
        Stage::AwaitingTokens => write(rig, client, 5, "w", 100),
        Stage::AwaitingOrder => {
            rig.run_for(ms(2000.0));
            write(rig, other, 4, "w", 100);
            write(rig, client, 5, "w", 100);
            setup.other_requests = 1;
        }
        Stage::AwaitingConnection => write(rig, client, 5, "v", 100),
        Stage::InWriteQueue | Stage::AtNode => {
            if stage == Stage::InWriteQueue {
                rig.unread.insert(n);
            }
            write(rig, client, 5, "v", 100);
        }
        Stage::BetweenAttempts => {
            write(rig, client, 5, "v", 100);
            let attempt = rig.attempts(n)[0].attempt;
            // The node drains, so the retry waits for another node.
            list_reports(rig, ListedState::Draining);
            rig.answer(n, attempt, AttemptResult::Rejected);
        }
        Stage::Answered => {
            rig.unread.insert(client);
            write(rig, client, 5, "v", 100);
            let attempt = rig.attempts(n)[0].attempt;
            rig.answer(n, attempt, AttemptResult::Succeeded);
        }
    }
}

/// Lets the cause of the end happen.
fn apply(setup: &mut Setup, stage: Stage, end: End) {
    let Setup {
        rig,
        client,
        node: n,
        ..
    } = setup;
    let (client, n) = (*client, *n);
    match end {
        End::Withdrawn => rig.frame(client, Withdraw { id: 5 }),
        End::ClientDisconnected => rig.handle(Input::Closed(client, "gone".into())),
        End::Deadline => {}
        End::NodeConnectionLost => {
            let link = rig.connection_to("n1").unwrap();
            rig.handle(Input::Closed(link, "reset".into()));
        }
        End::Stop => rig.handle(Input::Stop),
    }
    if stage == Stage::InWriteQueue && end != End::NodeConnectionLost {
        // The attempt's bytes are written now.
        rig.unread.clear();
        rig.handle(Input::Written(n, 10_000));
    }
    if stage == Stage::Answered && end != End::ClientDisconnected {
        rig.unread.clear();
        rig.handle(Input::Written(client, 10_000));
    }
}

/// Each stage with each cause of the end.
fn cases() -> [Case; 40] {
    use End::{ClientDisconnected, Deadline, NodeConnectionLost, Stop, Withdrawn};
    use Outcome::{Failed, Rejected, Succeeded};
    use Stage::{
        Answered, AtNode, AwaitingConnection, AwaitingOrder, AwaitingTokens, BetweenAttempts,
        InWriteQueue, Queued,
    };
    let case = |stage, end, answers, attempts, cancelled| Case {
        stage,
        end,
        answers,
        attempts,
        cancelled,
    };
    [
        case(Queued, Withdrawn, &[], 0, false),
        case(Queued, ClientDisconnected, &[], 0, false),
        case(Queued, Deadline, &[Rejected], 0, false),
        case(Queued, NodeConnectionLost, &[Rejected], 0, false),
        case(Queued, Stop, &[Rejected], 0, false),
        case(AwaitingTokens, Withdrawn, &[], 0, false),
        case(AwaitingTokens, ClientDisconnected, &[], 0, false),
        case(AwaitingTokens, Deadline, &[Rejected], 0, false),
        case(AwaitingTokens, NodeConnectionLost, &[Rejected], 0, false),
        case(AwaitingTokens, Stop, &[Rejected], 0, false),
        case(AwaitingOrder, Withdrawn, &[], 0, false),
        case(AwaitingOrder, ClientDisconnected, &[], 0, false),
        case(AwaitingOrder, Deadline, &[Rejected], 0, false),
        case(AwaitingOrder, NodeConnectionLost, &[Rejected], 0, false),
        case(AwaitingOrder, Stop, &[Rejected], 0, false),
        case(AwaitingConnection, Withdrawn, &[], 0, false),
        case(AwaitingConnection, ClientDisconnected, &[], 0, false),
        case(AwaitingConnection, Deadline, &[Rejected], 0, false),
        case(
            AwaitingConnection,
            NodeConnectionLost,
            &[Rejected],
            0,
            false,
        ),
        case(AwaitingConnection, Stop, &[Rejected], 0, false),
        // The attempt was sent, so the node may run it in any case.
        case(InWriteQueue, Withdrawn, &[], 1, true),
        case(InWriteQueue, ClientDisconnected, &[], 1, true),
        case(InWriteQueue, Deadline, &[Failed], 1, true),
        case(InWriteQueue, NodeConnectionLost, &[Failed], 1, false),
        case(InWriteQueue, Stop, &[Failed], 1, true),
        case(AtNode, Withdrawn, &[], 1, true),
        case(AtNode, ClientDisconnected, &[], 1, true),
        case(AtNode, Deadline, &[Failed], 1, true),
        case(AtNode, NodeConnectionLost, &[Failed], 1, false),
        case(AtNode, Stop, &[Failed], 1, true),
        case(BetweenAttempts, Withdrawn, &[], 1, false),
        case(BetweenAttempts, ClientDisconnected, &[], 1, false),
        case(BetweenAttempts, Deadline, &[Rejected], 1, false),
        case(BetweenAttempts, NodeConnectionLost, &[Rejected], 1, false),
        case(BetweenAttempts, Stop, &[Rejected], 1, false),
        case(Answered, Withdrawn, &[Succeeded], 1, false),
        case(Answered, ClientDisconnected, &[Succeeded], 1, false),
        case(Answered, Deadline, &[Succeeded], 1, false),
        case(Answered, NodeConnectionLost, &[Succeeded], 1, false),
        case(Answered, Stop, &[Succeeded], 1, false),
    ]
}

/// In each stage, for each cause of the end: the client gets one answer, or none if it disconnected or withdrew the
/// request; the attempt is cancelled at the node if need be; and everything that was held is released.
#[test]
fn a_request_that_ends_at_any_stage_releases_everything_it_held() {
    for case in &cases() {
        let Case { stage, end, .. } = *case;
        let what = format!("{stage:?} {end:?}");
        let mut setup = set_up(stage);
        let open = setup.other_requests + usize::from(stage != Stage::Answered);
        assert_eq!(
            setup.rig.core.load().open_requests,
            open,
            "{what}: the request is in the stage"
        );
        apply(&mut setup, stage, end);
        check(setup, case, &what);
    }
}

fn check(setup: Setup, case: &Case, what: &str) {
    let Setup {
        mut rig, client, ..
    } = setup;
    rig.run_for(ms(1600.0));
    assert_eq!(rig.outcomes(client, 5), case.answers, "{what}");
    let seen: Vec<_> = rig
        .new_attempts()
        .into_iter()
        .filter(|sent| sent.attempt.idempotency_key == "m5")
        .collect();
    assert_eq!(seen.len(), case.attempts, "{what}");
    let cancelled = seen.iter().any(|sent| {
        rig.frames_on(sent.link).any(|frame| {
            frame.message
                == Message::Cancel(Cancel {
                    attempt: sent.attempt.attempt,
                })
        })
    });
    assert_eq!(cancelled, case.cancelled, "{what}");
    assert_nothing_held(&rig, what);
    let counts = rig.core.counts();
    let ended = counts.done + counts.rejected + counts.failed + counts.clients_left;
    assert_eq!(counts.taken, ended, "{what}: {counts:?}");
    // There is no later answer, and only a host that was stopped has finished.
    let before = rig.outcomes(client, 5).len();
    rig.run_for(ms(1000.0));
    assert_eq!(rig.outcomes(client, 5).len(), before, "{what}");
    assert_eq!(rig.finished, case.end == End::Stop, "{what}");
}
