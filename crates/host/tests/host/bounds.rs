//! Bounds of a host's core, and what is given back at each stage of a request's path.

use crate::changes::{first, propose};
use crate::rig::*;
use bytes::Bytes;
use gullsail_configuration::diff::{Class, diff};
use gullsail_configuration::{Memory, load};
use gullsail_host::core::changes::Reply;
use gullsail_host::core::{Input, LinkId};
use gullsail_protocol::*;
use gullsail_scheduler_api::*;
use std::sync::Arc;

const START: Instant = Instant::from_micros(1_000_000_000);

fn held(r: &Rig, name: &str) -> usize {
    r.core.size_metrics().into_iter().find(|l| l.0 == name).unwrap().1
}

/// The list is reached, and says how the first node stands.
fn list_says(r: &mut Rig, state: ListedState) {
    let list = r.dialled("list").unwrap();
    r.tell(Input::Dialled(list));
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

/// What a request may hold anywhere: nothing of it is left.
fn nothing_is_held(r: &Rig, what: &str) {
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
    assert_eq!(r.core.load(), (0, 0, 0), "{what}");
}

fn write(r: &mut Rig, c: LinkId, id: u64, volume: &str, bytes: usize) {
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
        assert_eq!(r.core.load().0, earlier + usize::from(stage != Answered), "{what}: it stands there");
        match end {
            Withdrawn => r.frame(c, Withdraw { id: 5 }),
            ClientGone => r.tell(Input::Closed(c, "gone".into())),
            Deadline => {}
            NodeBreaks => {
                let link = r.dialled("n1").unwrap();
                r.tell(Input::Closed(link, "reset".into()));
            }
            Stop => r.tell(Input::Stop),
        }
        if stage == InTheLink && end != NodeBreaks {
            // Its bytes go out at last.
            r.stuck.clear();
            r.tell(Input::Written(n, 10_000));
        }
        if stage == Answered && end != ClientGone {
            r.stuck.clear();
            r.tell(Input::Written(c, 10_000));
        }
        r.pass(ms(1600.0));
        assert_eq!(r.outcomes(c, 5), answers, "{what}");
        let seen: Vec<_> = r.new_attempts().into_iter().filter(|l| l.2.mark == "m5").collect();
        assert_eq!(seen.len(), attempts, "{what}");
        let told = seen
            .iter()
            .any(|l| r.on(l.1).any(|f| f.message == Message::Cancel(Cancel { attempt: l.2.attempt })));
        assert_eq!(told, cancelled, "{what}");
        nothing_is_held(&r, &what);
        let counts = r.core.counts();
        let ended = counts.done + counts.rejected + counts.failed + counts.clients_left;
        assert_eq!(counts.taken, ended, "{what}: {counts:?}");
        // Nothing comes of it later, and a host that was not stopped still serves.
        let before = r.outcomes(c, 5).len();
        r.pass(ms(1000.0));
        assert_eq!(r.outcomes(c, 5).len(), before, "{what}");
        assert_eq!(r.left, end == Stop, "{what}");
    }
}

/// A node that reads nothing: what waits for it counts as held, it is let go as a client is, and all is as before once it
/// reads again.
#[test]
fn bytes_to_a_node_that_reads_nothing_are_bounded() {
    let d = document(&[("open=50", "open=50 held-bytes=\"20000B\" body-bytes=\"10000B\"")]);
    let mut r = Rig::new(&d, 0, START);
    let (c, n) = (r.client(), r.node_up("n1", 11, ms(1e7)));
    r.stuck.insert(n);
    // One for each object: attempts go out together.
    (0..4).for_each(|id| write(&mut r, c, id, "v", 3000));
    r.pass(ms(1600.0));
    let (open, _, held) = r.core.load();
    assert_eq!(open, 0, "they were answered");
    assert!(held >= 3000 * 4, "what waits for the node is counted: {held}");
    assert!(!r.closed.contains(&n));
    r.pass(ms(3000.0));
    assert!(r.closed.contains(&n), "client-stall has passed");
    assert_eq!(r.core.load().2, 0);
    let n = r.node_up("n1", 11, ms(1e7 + 10_000.0));
    write(&mut r, c, 100, "v", 3000);
    r.answer(n, r.attempts(n)[0].attempt, AttemptResult::Succeeded);
    assert_eq!(r.outcomes(c, 100), [Outcome::Succeeded]);
    assert_eq!(r.core.counts().nodes_restarted, 0, "it is the same process");
}

/// All places taken: who has been idle for as long as a stalled one may be gives way, whoever has something open or spoke
/// just now does not, and peers' and nodes' connections of our own take none.
#[test]
fn idle_clients_give_their_places_to_others() {
    let mut r = Rig::new(&document(&[]), 0, START);
    r.core.set_most_links(3);
    r.nodes_up();
    let (idle, busy, later) = (r.client(), r.client(), r.client());
    assert_eq!(r.core.accept(r.now), None, "all have just come");
    r.pass(ms(2500.0));
    r.frame(later, Withdraw { id: 1 });
    r.submit(busy, 5, "read");
    r.pass(ms(900.0));
    assert!(r.core.accept(r.now).is_some(), "the idle one goes after client-stall");
    r.settle();
    let closed = [idle, busy, later].map(|link| r.closed.contains(&link));
    assert_eq!(closed, [true, false, false]);
    assert_eq!(r.core.accept(r.now), None, "one look each 0.1 s, and nobody else is idle");
    assert_eq!(r.core.counts().links_refused, 2);
    r.tell(Input::Closed(later, "gone".into()));
    assert!(r.core.accept(r.now).is_some(), "there is room again");
}

/// A process that stood still for an hour: all timers are due in one step. Nobody waits for an answer any more, so none
/// goes out, nor an attempt; nothing is kept, and what comes after is served.
#[test]
fn a_suspended_host_ends_what_it_held() {
    let mut r = Rig::new(&document(&[]), 0, START);
    let (c, (n, _)) = (r.client(), r.nodes_up());
    (0..20).for_each(|id| r.submit(c, id, ["read", "write", "trip"][id as usize % 3]));
    let attempts = r.new_attempts().len();
    r.now = r.now + ms(3.6e6);
    r.settle();
    assert!((0..20).all(|id| r.outcomes(c, id).is_empty()));
    assert_eq!(r.core.counts().answers_withheld, 20);
    assert!(r.new_attempts().is_empty() && attempts > 0);
    r.pass(ms(2000.0));
    assert_eq!(r.core.load(), (0, 0, 0));
    let before = r.attempts(n).len();
    r.submit(c, 100, "read");
    let attempt = r.attempts(n).last().unwrap().attempt;
    assert_eq!(r.attempts(n).len(), before + 1);
    r.answer(n, attempt, AttemptResult::Succeeded);
    assert_eq!(r.outcomes(c, 100), [Outcome::Succeeded]);
}

/// A document with none of the plans and volumes that were, while requests wait and attempts are out.
#[test]
fn a_document_with_other_plans_alone_is_borne() {
    let old = first();
    let mut r = Rig::new(&old, 0, START);
    let (c, (n, _)) = (r.client(), r.nodes_up());
    r.pass(ms(3000.0));
    (1..=3).for_each(|id| r.submit_to(c, id, "read", ["v", "w"][id as usize % 2], 1));
    let others = |line: &&str| !line.starts_with("plan") && !line.starts_with("volume");
    let text = text_of(&[]).lines().filter(others).collect::<Vec<_>>().join("\n");
    let text = text
        + "\nplan \"z\"\nvolume \"z\" plan=\"z\" { hosts \"h2\"; }\nroute to=\"all\"\nrevision 2 after=\"first.kdl\"\n";
    let before = text_of(&[]) + "revision 1\nroute to=\"all\"\n";
    let files = [("new.kdl".to_string(), text), ("first.kdl".to_string(), before)];
    let (new, _) = load(&Memory(files.into()), "new.kdl").unwrap_or_else(|e| panic!("{:?}", e.problems));
    let new = Arc::new(new);
    assert!(matches!(propose(&mut r, &old, &new, true), Reply::Taken { .. }));
    for l in r.attempts(n) {
        r.frame(
            n,
            AttemptAnswer {
                attempt: l.attempt,
                result: AttemptResult::Succeeded as i32,
                used_plus_one: 51,
                ..AttemptAnswer::default()
            },
        );
    }
    r.pass(ms(3000.0));
    assert!((1..=3).all(|id| r.outcomes(c, id).len() == 1));
    r.submit(c, 9, "read");
    assert_eq!(r.not_taken(c), ["no volume is called \"v\""]);
}

/// A document of two files cut at every byte, as if it were read half written: it is turned down, or what is left of it is
/// sound, not dangerous, and served by whole. With its revision as the last line every cut of the first file is turned down.
#[test]
fn half_written_documents_are_turned_down_or_whole() {
    let old = first();
    let whole = text_of(&[("limit=\"40units/s\"", "limit=\"50units/s\"")]);
    let (head, tail) = whole.split_at(whole.find("host \"h1\"").unwrap());
    let main = format!("include \"tail.kdl\"\n{head}route to=\"all\"\nrevision 2 after=\"first.kdl\"\n");
    let before = text_of(&[]) + "revision 1\nroute to=\"all\"\n";
    let (mut taken_main, mut taken_tail, mut down) = (0, 0, 0);
    for (cuts_main, length) in [(true, main.len()), (false, tail.len())] {
        for cut in 0..length {
            let (main, tail) = if cuts_main { (&main[..cut], tail) } else { (&main[..], &tail[..cut]) };
            let files = [("new.kdl", main), ("tail.kdl", tail), ("first.kdl", &before)];
            let files = files.map(|(name, text)| (name.to_string(), text.to_string()));
            let Ok((d, _)) = load(&Memory(files.into()), "new.kdl") else {
                down += 1;
                continue;
            };
            let mut r = Rig::new(&old, 0, START);
            let c = r.client();
            r.submit(c, 1, "read");
            let new = Arc::new(d);
            let changes = diff(&old, &new);
            match propose(&mut r, &old, &new, false) {
                Reply::Taken { revision } => {
                    assert_eq!(revision.0, 2);
                    assert!(Arc::ptr_eq(r.core.document().0, &new), "whole");
                    assert!(changes.iter().all(|c| c.class == Class::Safe), "cut {cut}: {changes:?}");
                    *(if cuts_main { &mut taken_main } else { &mut taken_tail }) += 1;
                }
                Reply::TurnedDown(why) => {
                    assert!(!why.is_empty());
                    assert!(Arc::ptr_eq(r.core.document().0, &old), "the old one, whole");
                    down += 1;
                }
            }
            r.pass(ms(1600.0));
            assert_eq!(r.outcomes(c, 1).len(), 1);
        }
    }
    // Only the line end of its last line may lack: nothing is lost with that.
    assert!(taken_main <= 1 && down > 500, "{taken_main} {taken_tail} {down}");
    println!(
        "taken: {taken_main} cuts of the first file, {taken_tail} of the included one; turned down: {down}"
    );
}

/// Rule 3: an attempt that waits for its node's connection is not sent once the node is known to drain; what may still run
/// elsewhere does, and the rest is answered.
#[test]
fn what_waits_for_a_connection_does_not_go_to_a_node_that_drains() {
    for state in [ListedState::Draining, ListedState::Gone] {
        let mut r = Rig::new(&document(&[]), 0, START);
        let c = r.client();
        let n = r.node_up("n1", 11, ms(1e7));
        r.tell(Input::Closed(n, "reset".into()));
        r.submit(c, 5, "trip");
        r.submit(c, 6, "read");
        r.pass(ms(25.0));
        let n = r.dialled("n1").unwrap();
        r.tell(Input::Dialled(n));
        list_says(&mut r, state);
        let hello = Hello { name: "n1".into(), incarnation: 11, age_us: 10_000_025_000, ..Hello::default() };
        r.frame(n, Hello { role: Role::Node as i32, shard_plus_one: 2, ..hello });
        r.pass(ms(1600.0));
        assert_eq!(r.new_attempts().len(), 0, "{state:?}");
        assert_eq!((r.outcomes(c, 5), r.outcomes(c, 6)), (vec![Outcome::Rejected], vec![Outcome::Rejected]));
        nothing_is_held(&r, "drained");
    }
}

/// Rule 6: a further attempt that was decided while its node's connection was down goes out later; it counts for the window in
/// which it goes out too.
#[test]
fn attempts_that_waited_for_a_connection_count_when_they_go_out() {
    let budget = ("legs most=3", "legs most=3 free=1 share=0 window=\"1s\"");
    let mut r = Rig::new(&document(&[budget]), 0, START);
    let c = r.client();
    let (n1, n2) = r.nodes_up();
    r.submit(c, 1, "read");
    r.tell(Input::Closed(n1, "reset".into()));
    r.pass(ms(150.0));
    r.node_up("n1", 11, ms(1e7 + 150.0));
    // At the other node two fail, each of which would have a further attempt: a second after the first was decided, and later.
    for id in 10..200 {
        r.submit_to(c, id, "read", "v", 2);
        if let Some(l) = r.attempts(n2).last().filter(|l| l.mark == format!("m{id}")) {
            let failed = [101, 160].contains(&id) && l.number == 0;
            r.answer(n2, l.attempt, if failed { AttemptResult::Failed } else { AttemptResult::Succeeded });
        }
        if let Some(l) = r.attempts(n2).last().filter(|l| l.number > 0 && l.mark == format!("m{id}")) {
            r.answer(n2, l.attempt, AttemptResult::Succeeded);
        }
        r.pass(ms(10.0));
    }
    let further: Vec<Instant> =
        r.new_attempts().into_iter().filter(|l| l.2.number > 0).map(|l| l.0).collect();
    assert!(further.len() >= 2, "{further:?}");
    let near = further.windows(2).find(|w| w[1] - w[0] < ms(1000.0));
    assert_eq!(near, None, "one in any second: {further:?}");
}

/// Rule 7: what is taken for an attempt that waits for its connection is missing from the store until it goes out: else the store
/// would fill up behind it and all of it go out on top.
#[test]
fn tokens_of_attempts_that_wait_are_not_filled_up_behind_them() {
    let (rate, burst) = (40.0, 64.0);
    let mut r = Rig::new(
        &document(&[("volume \"w\" plan=\"held\"", "volume \"w\" plan=\"held\" { hosts \"h1\"; }")]),
        0,
        START,
    );
    let c = r.client();
    let (n1, n2) = r.nodes_up();
    // A newborn's bucket is empty, and fills from the first request on.
    r.submit_to(c, 900, "read", "w", 2);
    r.pass(ms(100.0));
    let attempt = r.attempts(n2).last().unwrap().attempt;
    r.answer(n2, attempt, AttemptResult::Succeeded);
    // The bucket is full, and the window of the other node wide.
    for id in 1000..1200 {
        r.submit_to(c, id, "read", "v", 2);
        let attempt = r.attempts(n2).last().unwrap().attempt;
        r.pass(ms(1.0));
        r.answer(n2, attempt, AttemptResult::Succeeded);
    }
    r.pass(ms(4000.0));
    r.new_attempts();
    r.tell(Input::Closed(n1, "reset".into()));
    (1..=5).for_each(|id| r.submit_to(c, id, "read", "w", 1));
    r.pass(ms(180.0));
    r.node_up("n1", 11, ms(1e7 + 5000.0));
    for id in 10..90 {
        r.submit_to(c, id, "read", "w", 2);
        for l in r.attempts(n2).into_iter().filter(|l| l.mark == format!("m{id}")) {
            r.answer(n2, l.attempt, AttemptResult::Succeeded);
        }
    }
    // The store for all hosts, by what went out and when.
    let (mut level, mut at, mut low) = (burst, START, burst);
    let sent: Vec<_> = r.new_attempts().into_iter().filter(|l| l.2.volume == "w").collect();
    assert!(sent.len() > 60 && sent.iter().any(|l| l.1 != n2), "{}", sent.len());
    for (when, _, attempt) in sent {
        level = f64::min(level + rate * (when - at).secs(), burst) - attempt.units;
        (at, low) = (when, low.min(level));
    }
    assert!(low >= -1e-6, "the store went to {low}");
}

/// Rule 4: attempts that were decided while nobody knew of a restart, and waited for the connection, do not go out together to
/// the cold node that greets; they are decided anew, now that its start is known.
#[test]
fn attempts_that_waited_are_not_poured_on_a_cold_node() {
    for (incarnation, age, cold) in [(99, 0.0, true), (11, 1e7, false)] {
        let mut r = Rig::new(&document(&[("open=50", "open=500")]), 0, START);
        let (c, n) = (r.client(), r.node_up("n1", 11, ms(1e7)));
        // Its window grows while it is full and answers soon.
        for id in 1000..1400 {
            r.submit(c, id, "read");
        }
        for _ in 0..400 {
            let attempts = r.new_attempts();
            attempts.into_iter().for_each(|l| r.answer(n, l.2.attempt, AttemptResult::Succeeded));
        }
        // It breaks with no attempt out: the decisions hear nothing of it.
        r.new_attempts();
        r.tell(Input::Closed(n, "reset".into()));
        (1..=30).for_each(|id| r.submit(c, id, ["read", "trip"][id as usize % 2]));
        r.pass(ms(50.0));
        r.node_up("n1", incarnation, ms(age));
        let sent: f64 = r.new_attempts().iter().map(|l| l.2.units).sum();
        // Six units are borne, for two hosts.
        assert_eq!(sent <= 6.0, cold, "{sent} units to incarnation {incarnation}");
        r.pass(ms(1600.0));
        assert!((1..=30).all(|id| r.outcomes(c, id).len() == 1));
        nothing_is_held(&r, "cold");
    }
}
