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
        handle: Some(Handle { shard: 1, object: id }),
        order_key: if volume == "w" { "key".into() } else { String::new() },
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
    r.frame(list, Hello { role: Role::List as i32, name: "list".into(), ..Hello::default() });
    let entry = ListedEndpoint {
        name: "n1".into(),
        address: "n1".into(),
        shard: 1,
        state: state as i32,
        incarnation: 11,
        age_us: 10_000_000_000,
        ..ListedEndpoint::default()
    };
    r.frame(list, EndpointListUpdate { version: 1, whole: false, entries: vec![entry] });
}

fn held(r: &Rig, name: &str) -> usize {
    r.core.size_metrics().into_iter().find(|l| l.0 == name).unwrap().1
}

/// Each stage of a request's path by what may happen to it there: the one answer, or none where the client left; what the
/// node is told; and that all that was held is given back.
#[test]
fn a_request_may_end_at_each_stage() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Stage {
        InLine,
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
    use End::*;
    use Outcome::{Failed, Rejected, Succeeded};
    use Stage::*;
    // stage, what happens, answers, attempts that the node saw, whether it is told that nobody waits
    type Case = (Stage, End, &'static [Outcome], usize, bool);
    let cases: [Case; 40] = [
        (InLine, Withdrawn, &[], 0, false),
        (InLine, ClientGone, &[], 0, false),
        (InLine, Deadline, &[Rejected], 0, false),
        (InLine, NodeBreaks, &[Rejected], 0, false),
        (InLine, Stop, &[Rejected], 0, false),
        (ForTokens, Withdrawn, &[], 0, false),
        (ForTokens, ClientGone, &[], 0, false),
        (ForTokens, Deadline, &[Rejected], 0, false),
        (ForTokens, NodeBreaks, &[Rejected], 0, false),
        (ForTokens, Stop, &[Rejected], 0, false),
        (ForItsTurn, Withdrawn, &[], 0, false),
        (ForItsTurn, ClientGone, &[], 0, false),
        (ForItsTurn, Deadline, &[Rejected], 0, false),
        (ForItsTurn, NodeBreaks, &[Rejected], 0, false),
        (ForItsTurn, Stop, &[Rejected], 0, false),
        (ForTheConnection, Withdrawn, &[], 0, false),
        (ForTheConnection, ClientGone, &[], 0, false),
        (ForTheConnection, Deadline, &[Rejected], 0, false),
        (ForTheConnection, NodeBreaks, &[Rejected], 0, false),
        (ForTheConnection, Stop, &[Rejected], 0, false),
        // Its bytes are on their way: it may run, whatever comes.
        (InTheLink, Withdrawn, &[], 1, true),
        (InTheLink, ClientGone, &[], 1, true),
        (InTheLink, Deadline, &[Failed], 1, true),
        (InTheLink, NodeBreaks, &[Failed], 1, false),
        (InTheLink, Stop, &[Failed], 1, true),
        (AtTheNode, Withdrawn, &[], 1, true),
        (AtTheNode, ClientGone, &[], 1, true),
        (AtTheNode, Deadline, &[Failed], 1, true),
        (AtTheNode, NodeBreaks, &[Failed], 1, false),
        (AtTheNode, Stop, &[Failed], 1, true),
        (BetweenAttempts, Withdrawn, &[], 1, false),
        (BetweenAttempts, ClientGone, &[], 1, false),
        (BetweenAttempts, Deadline, &[Rejected], 1, false),
        (BetweenAttempts, NodeBreaks, &[Rejected], 1, false),
        (BetweenAttempts, Stop, &[Rejected], 1, false),
        (Answered, Withdrawn, &[Succeeded], 1, false),
        (Answered, ClientGone, &[Succeeded], 1, false),
        (Answered, Deadline, &[Succeeded], 1, false),
        (Answered, NodeBreaks, &[Succeeded], 1, false),
        (Answered, Stop, &[Succeeded], 1, false),
    ];
    for (stage, end, answers, attempts, cancelled) in cases {
        let what = format!("{stage:?} {end:?}");
        let ordered = ("effect=\"unrepeatable\"", "effect=\"unrepeatable\" in-order=#true");
        let d = document(&[ordered, ("limit=\"40units/s\"", "limit=\"1units/s\"")]);
        let mut r = Rig::new(&d, 0, START);
        let (c, other) = (r.client(), r.client());
        let mut n = LinkId(0);
        if !matches!(stage, InLine | ForTheConnection) {
            n = r.node_up("n1", 11, ms(1e7));
        }
        let mut earlier = 0;
        match stage {
            InLine => {
                // The list says that its node drains: it waits for a successor.
                list_says(&mut r, ListedState::Draining);
                write(&mut r, c, 5, "v", 100);
            }
            // A newborn's bucket is empty.
            ForTokens => write(&mut r, c, 5, "w", 100),
            ForItsTurn => {
                r.pass(ms(2000.0));
                write(&mut r, other, 4, "w", 100);
                write(&mut r, c, 5, "w", 100);
                earlier = 1;
            }
            ForTheConnection => write(&mut r, c, 5, "v", 100),
            InTheLink | AtTheNode => {
                if stage == InTheLink {
                    r.stuck.insert(n);
                }
                write(&mut r, c, 5, "v", 100);
            }
            BetweenAttempts => {
                write(&mut r, c, 5, "v", 100);
                let attempt = r.attempts(n)[0].attempt;
                // The node takes no more, so the further attempt waits in its line.
                list_says(&mut r, ListedState::Draining);
                r.answer(n, attempt, AttemptResult::Rejected);
            }
            Answered => {
                r.stuck.insert(c);
                write(&mut r, c, 5, "v", 100);
                let attempt = r.attempts(n)[0].attempt;
                r.answer(n, attempt, AttemptResult::Succeeded);
            }
        }
        assert_eq!(
            r.core.load().open_requests,
            earlier + usize::from(stage != Answered),
            "{what}: it stands there"
        );
        match end {
            Withdrawn => r.frame(c, Withdraw { id: 5 }),
            ClientGone => r.handle(Input::Closed(c, "gone".into())),
            Deadline => {}
            NodeBreaks => {
                let link = r.connection_to("n1").unwrap();
                r.handle(Input::Closed(link, "reset".into()));
            }
            Stop => r.handle(Input::Stop),
        }
        if stage == InTheLink && end != NodeBreaks {
            // Its bytes go out at last.
            r.stuck.clear();
            r.handle(Input::Written(n, 10_000));
        }
        if stage == Answered && end != ClientGone {
            r.stuck.clear();
            r.handle(Input::Written(c, 10_000));
        }
        r.pass(ms(1600.0));
        assert_eq!(r.outcomes(c, 5), answers, "{what}");
        let seen: Vec<_> = r.new_attempts().into_iter().filter(|l| l.2.mark == "m5").collect();
        assert_eq!(seen.len(), attempts, "{what}");
        let sent = seen
            .iter()
            .any(|l| r.on(l.1).any(|f| f.message == Message::Cancel(Cancel { attempt: l.2.attempt })));
        assert_eq!(sent, cancelled, "{what}");
        nothing_is_held(&r, &what);
        let counts = r.core.counts();
        let ended = counts.done + counts.rejected + counts.failed + counts.clients_left;
        assert_eq!(counts.taken, ended, "{what}: {counts:?}");
        // Nothing comes of it later, and a host that was not stopped still serves.
        let before = r.outcomes(c, 5).len();
        r.pass(ms(1000.0));
        assert_eq!(r.outcomes(c, 5).len(), before, "{what}");
        assert_eq!(r.finished, end == Stop, "{what}");
    }
}
