//! What may happen to a request at each stage of its path: its one answer, and that all it held is released.

use crate::rig::{Rig, document, ms};
use bytes::Bytes;
use gullsail_host::core::{HeldLoad, Input, LinkId};
use gullsail_protocol::{
    AttemptResult, Cancel, EndpointListUpdate, Frame, Handle, ListedEndpoint, ListedState, Message,
    Outcome, Submit, Withdraw,
};
use gullsail_scheduler_api::Instant;

const START: Instant = Instant::from_micros(1_000_000_000);

pub fn write(rig: &mut Rig, client: LinkId, id: u64, volume: &str, bytes: usize) {
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

/// What a request may hold anywhere: nothing of it is left.
pub fn nothing_is_held(rig: &Rig, what: &str) {
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

/// The list is reached, and says how the first node stands.
pub fn list_says(rig: &mut Rig, state: ListedState) {
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
    ForTokens,
    ForItsTurn,
    ForTheConnection,
    InTheLink,
    AtTheNode,
    BetweenAttempts,
    Answered,
}
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Withdrawn,
    ClientGone,
    Deadline,
    NodeBreaks,
    Stop,
}

/// A request that something happens to at one stage.
struct Case {
    stage: Stage,
    end: End,
    /// What its client is answered.
    answers: &'static [Outcome],
    /// Attempts that the node saw.
    attempts: usize,
    /// Whether the node learns that nobody waits.
    cancelled: bool,
}

struct Played {
    rig: Rig,
    client: LinkId,
    node: LinkId,
    /// Other requests that are open.
    others: usize,
}

/// A host that was brought to this stage of request 5.
fn bring_to(stage: Stage) -> Played {
    let ordered = (
        "effect=\"unrepeatable\"",
        "effect=\"unrepeatable\" in-order=#true",
    );
    let deployment = document(&[ordered, ("limit=\"40units/s\"", "limit=\"1units/s\"")]);
    let mut rig = Rig::new(&deployment, 0, START);
    let (client, other) = (rig.client(), rig.client());
    let mut n = LinkId(0);
    if !matches!(stage, Stage::Queued | Stage::ForTheConnection) {
        n = rig.node_up("n1", 11, ms(1e7));
    }
    let mut played = Played {
        rig,
        client,
        node: n,
        others: 0,
    };
    submit_for(&mut played, other, stage);
    played
}

/// Submits request 5, and brings about what it waits for.
fn submit_for(played: &mut Played, other: LinkId, stage: Stage) {
    let rig = &mut played.rig;
    let client = played.client;
    let n = played.node;
    match stage {
        Stage::Queued => {
            // The list says that its node drains: it waits for a successor.
            list_says(rig, ListedState::Draining);
            write(rig, client, 5, "v", 100);
        }
        // A newborn's bucket is empty.
        Stage::ForTokens => write(rig, client, 5, "w", 100),
        Stage::ForItsTurn => {
            rig.pass(ms(2000.0));
            write(rig, other, 4, "w", 100);
            write(rig, client, 5, "w", 100);
            played.others = 1;
        }
        Stage::ForTheConnection => write(rig, client, 5, "v", 100),
        Stage::InTheLink | Stage::AtTheNode => {
            if stage == Stage::InTheLink {
                rig.stuck.insert(n);
            }
            write(rig, client, 5, "v", 100);
        }
        Stage::BetweenAttempts => {
            write(rig, client, 5, "v", 100);
            let attempt = rig.attempts(n)[0].attempt;
            // The node takes no more, so the further attempt waits in its line.
            list_says(rig, ListedState::Draining);
            rig.answer(n, attempt, AttemptResult::Rejected);
        }
        Stage::Answered => {
            rig.stuck.insert(client);
            write(rig, client, 5, "v", 100);
            let attempt = rig.attempts(n)[0].attempt;
            rig.answer(n, attempt, AttemptResult::Succeeded);
        }
    }
}

/// What happens to it there.
fn apply(played: &mut Played, stage: Stage, end: End) {
    let Played {
        rig,
        client,
        node: n,
        ..
    } = played;
    let (client, n) = (*client, *n);
    match end {
        End::Withdrawn => rig.frame(client, Withdraw { id: 5 }),
        End::ClientGone => rig.handle(Input::Closed(client, "gone".into())),
        End::Deadline => {}
        End::NodeBreaks => {
            let link = rig.connection_to("n1").unwrap();
            rig.handle(Input::Closed(link, "reset".into()));
        }
        End::Stop => rig.handle(Input::Stop),
    }
    if stage == Stage::InTheLink && end != End::NodeBreaks {
        // Its bytes go out at last.
        rig.stuck.clear();
        rig.handle(Input::Written(n, 10_000));
    }
    if stage == Stage::Answered && end != End::ClientGone {
        rig.stuck.clear();
        rig.handle(Input::Written(client, 10_000));
    }
}

/// Each stage of a request's path by what may happen to it there.
fn cases() -> [Case; 40] {
    use End::{ClientGone, Deadline, NodeBreaks, Stop, Withdrawn};
    use Outcome::{Failed, Rejected, Succeeded};
    use Stage::{
        Answered, AtTheNode, BetweenAttempts, ForItsTurn, ForTheConnection, ForTokens, InTheLink,
        Queued,
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
        case(Queued, ClientGone, &[], 0, false),
        case(Queued, Deadline, &[Rejected], 0, false),
        case(Queued, NodeBreaks, &[Rejected], 0, false),
        case(Queued, Stop, &[Rejected], 0, false),
        case(ForTokens, Withdrawn, &[], 0, false),
        case(ForTokens, ClientGone, &[], 0, false),
        case(ForTokens, Deadline, &[Rejected], 0, false),
        case(ForTokens, NodeBreaks, &[Rejected], 0, false),
        case(ForTokens, Stop, &[Rejected], 0, false),
        case(ForItsTurn, Withdrawn, &[], 0, false),
        case(ForItsTurn, ClientGone, &[], 0, false),
        case(ForItsTurn, Deadline, &[Rejected], 0, false),
        case(ForItsTurn, NodeBreaks, &[Rejected], 0, false),
        case(ForItsTurn, Stop, &[Rejected], 0, false),
        case(ForTheConnection, Withdrawn, &[], 0, false),
        case(ForTheConnection, ClientGone, &[], 0, false),
        case(ForTheConnection, Deadline, &[Rejected], 0, false),
        case(ForTheConnection, NodeBreaks, &[Rejected], 0, false),
        case(ForTheConnection, Stop, &[Rejected], 0, false),
        // Its bytes are on their way: it may run, whatever comes.
        case(InTheLink, Withdrawn, &[], 1, true),
        case(InTheLink, ClientGone, &[], 1, true),
        case(InTheLink, Deadline, &[Failed], 1, true),
        case(InTheLink, NodeBreaks, &[Failed], 1, false),
        case(InTheLink, Stop, &[Failed], 1, true),
        case(AtTheNode, Withdrawn, &[], 1, true),
        case(AtTheNode, ClientGone, &[], 1, true),
        case(AtTheNode, Deadline, &[Failed], 1, true),
        case(AtTheNode, NodeBreaks, &[Failed], 1, false),
        case(AtTheNode, Stop, &[Failed], 1, true),
        case(BetweenAttempts, Withdrawn, &[], 1, false),
        case(BetweenAttempts, ClientGone, &[], 1, false),
        case(BetweenAttempts, Deadline, &[Rejected], 1, false),
        case(BetweenAttempts, NodeBreaks, &[Rejected], 1, false),
        case(BetweenAttempts, Stop, &[Rejected], 1, false),
        case(Answered, Withdrawn, &[Succeeded], 1, false),
        case(Answered, ClientGone, &[Succeeded], 1, false),
        case(Answered, Deadline, &[Succeeded], 1, false),
        case(Answered, NodeBreaks, &[Succeeded], 1, false),
        case(Answered, Stop, &[Succeeded], 1, false),
    ]
}

/// Each stage of a request's path by what may happen to it there: the one answer, or none where the client
/// left; what the node is told; and that all that was held is given back.
#[test]
fn a_request_may_end_at_each_stage() {
    for case in &cases() {
        let Case { stage, end, .. } = *case;
        let what = format!("{stage:?} {end:?}");
        let mut played = bring_to(stage);
        let open = played.others + usize::from(stage != Stage::Answered);
        assert_eq!(
            played.rig.core.load().open_requests,
            open,
            "{what}: it stands there"
        );
        apply(&mut played, stage, end);
        check(played, case, &what);
    }
}

fn check(played: Played, case: &Case, what: &str) {
    let Played {
        mut rig, client, ..
    } = played;
    rig.pass(ms(1600.0));
    assert_eq!(rig.outcomes(client, 5), case.answers, "{what}");
    let seen: Vec<_> = rig
        .new_attempts()
        .into_iter()
        .filter(|sent| sent.attempt.idempotency_key == "m5")
        .collect();
    assert_eq!(seen.len(), case.attempts, "{what}");
    let cancelled = seen.iter().any(|sent| {
        rig.on(sent.link).any(|frame| {
            frame.message
                == Message::Cancel(Cancel {
                    attempt: sent.attempt.attempt,
                })
        })
    });
    assert_eq!(cancelled, case.cancelled, "{what}");
    nothing_is_held(&rig, what);
    let counts = rig.core.counts();
    let ended = counts.done + counts.rejected + counts.failed + counts.clients_left;
    assert_eq!(counts.taken, ended, "{what}: {counts:?}");
    // Nothing comes of it later, and a host that was not stopped still serves.
    let before = rig.outcomes(client, 5).len();
    rig.pass(ms(1000.0));
    assert_eq!(rig.outcomes(client, 5).len(), before, "{what}");
    assert_eq!(rig.finished, case.end == End::Stop, "{what}");
}
