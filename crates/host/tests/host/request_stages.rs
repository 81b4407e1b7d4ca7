//! What may happen to a request at each stage of its path: its one answer, and that all it held is released.

use crate::rig::*;
use bytes::Bytes;
use gullsail_host::core::{HeldLoad, Input, LinkId};
use gullsail_protocol::*;
use gullsail_scheduler_api::*;

const START: Instant = Instant::from_micros(1_000_000_000);

pub fn write(r: &mut Rig, c: LinkId, id: u64, volume: &str, bytes: usize) {
    let s = Submit {
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
        mark: format!("m{id}"),
        timeout_us: 1_500_000,
        ..Submit::default()
    };
    r.frame(c, Frame::from(s).with_body(Bytes::from(vec![1; bytes])));
}

/// What a request may hold anywhere: nothing of it is left.
pub fn nothing_is_held(r: &Rig, what: &str) {
    for name in [
        "core.open",
        "core.named",
        "core.legs",
        "core.pending",
        "desk.xfers",
        "desk.lines",
        "desk.turns",
        "nodes.out",
    ] {
        assert_eq!(held(r, name), 0, "{what}: {name}");
    }
    assert_eq!(r.core.load(), HeldLoad::default(), "{what}");
}

/// The list is reached, and says how the first node stands.
pub fn list_says(r: &mut Rig, state: ListedState) {
    let list = r.connection_to("list").unwrap();
    r.handle(Input::Connected(list));
    r.frame(
        list,
        Hello {
            role: Role::List as i32,
            name: "list".into(),
            ..Hello::default()
        },
    );
    let entry = ListedEndpoint {
        name: "n1".into(),
        address: "n1".into(),
        shard: 1,
        state: state as i32,
        incarnation: 11,
        age_us: 10_000_000_000,
        ..ListedEndpoint::default()
    };
    r.frame(
        list,
        EndpointListUpdate {
            version: 1,
            whole: false,
            entries: vec![entry],
        },
    );
}

fn held(r: &Rig, name: &str) -> usize {
    r.core
        .size_metrics()
        .into_iter()
        .find(|l| l.0 == name)
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
    r: Rig,
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
    let d = document(&[ordered, ("limit=\"40units/s\"", "limit=\"1units/s\"")]);
    let mut r = Rig::new(&d, 0, START);
    let (c, other) = (r.client(), r.client());
    let mut n = LinkId(0);
    if !matches!(stage, Stage::Queued | Stage::ForTheConnection) {
        n = r.node_up("n1", 11, ms(1e7));
    }
    let mut others = 0;
    match stage {
        Stage::Queued => {
            // The list says that its node drains: it waits for a successor.
            list_says(&mut r, ListedState::Draining);
            write(&mut r, c, 5, "v", 100);
        }
        // A newborn's bucket is empty.
        Stage::ForTokens => write(&mut r, c, 5, "w", 100),
        Stage::ForItsTurn => {
            r.pass(ms(2000.0));
            write(&mut r, other, 4, "w", 100);
            write(&mut r, c, 5, "w", 100);
            others = 1;
        }
        Stage::ForTheConnection => write(&mut r, c, 5, "v", 100),
        Stage::InTheLink | Stage::AtTheNode => {
            if stage == Stage::InTheLink {
                r.stuck.insert(n);
            }
            write(&mut r, c, 5, "v", 100);
        }
        Stage::BetweenAttempts => {
            write(&mut r, c, 5, "v", 100);
            let attempt = r.attempts(n)[0].attempt;
            // The node takes no more, so the further attempt waits in its line.
            list_says(&mut r, ListedState::Draining);
            r.answer(n, attempt, AttemptResult::Rejected);
        }
        Stage::Answered => {
            r.stuck.insert(c);
            write(&mut r, c, 5, "v", 100);
            let attempt = r.attempts(n)[0].attempt;
            r.answer(n, attempt, AttemptResult::Succeeded);
        }
    }
    Played {
        r,
        client: c,
        node: n,
        others,
    }
}

/// What happens to it there.
fn apply(p: &mut Played, stage: Stage, end: End) {
    let Played {
        r,
        client: c,
        node: n,
        ..
    } = p;
    let (c, n) = (*c, *n);
    match end {
        End::Withdrawn => r.frame(c, Withdraw { id: 5 }),
        End::ClientGone => r.handle(Input::Closed(c, "gone".into())),
        End::Deadline => {}
        End::NodeBreaks => {
            let link = r.connection_to("n1").unwrap();
            r.handle(Input::Closed(link, "reset".into()));
        }
        End::Stop => r.handle(Input::Stop),
    }
    if stage == Stage::InTheLink && end != End::NodeBreaks {
        // Its bytes go out at last.
        r.stuck.clear();
        r.handle(Input::Written(n, 10_000));
    }
    if stage == Stage::Answered && end != End::ClientGone {
        r.stuck.clear();
        r.handle(Input::Written(c, 10_000));
    }
}

/// Each stage of a request's path by what may happen to it there: the one answer, or none where the client
/// left; what the node is told; and that all that was held is given back.
#[test]
fn a_request_may_end_at_each_stage() {
    use End::*;
    use Outcome::{Failed, Rejected, Succeeded};
    use Stage::*;
    let case = |stage, end, answers, attempts, cancelled| Case {
        stage,
        end,
        answers,
        attempts,
        cancelled,
    };
    let cases: [Case; 40] = [
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
    ];
    for case in &cases {
        let Case { stage, end, .. } = *case;
        let what = format!("{stage:?} {end:?}");
        let mut p = bring_to(stage);
        let open = p.others + usize::from(stage != Answered);
        assert_eq!(
            p.r.core.load().open_requests,
            open,
            "{what}: it stands there"
        );
        apply(&mut p, stage, end);
        check(p, case, &what);
    }
}

fn check(p: Played, case: &Case, what: &str) {
    let Played {
        mut r, client: c, ..
    } = p;
    r.pass(ms(1600.0));
    assert_eq!(r.outcomes(c, 5), case.answers, "{what}");
    let seen: Vec<_> = r
        .new_attempts()
        .into_iter()
        .filter(|s| s.attempt.mark == "m5")
        .collect();
    assert_eq!(seen.len(), case.attempts, "{what}");
    let cancelled = seen.iter().any(|s| {
        r.on(s.link).any(|f| {
            f.message
                == Message::Cancel(Cancel {
                    attempt: s.attempt.attempt,
                })
        })
    });
    assert_eq!(cancelled, case.cancelled, "{what}");
    nothing_is_held(&r, what);
    let counts = r.core.counts();
    let ended = counts.done + counts.rejected + counts.failed + counts.clients_left;
    assert_eq!(counts.taken, ended, "{what}: {counts:?}");
    // Nothing comes of it later, and a host that was not stopped still serves.
    let before = r.outcomes(c, 5).len();
    r.pass(ms(1000.0));
    assert_eq!(r.outcomes(c, 5).len(), before, "{what}");
    assert_eq!(r.finished, case.end == End::Stop, "{what}");
}
