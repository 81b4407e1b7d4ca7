//! Two events that cross, in both orders, where the core decides what holds. docs/platform.md has a row for each.

use crate::rig::*;
use gullsail_platform::core::{ConnId, Input, Output};

/// Handled together, as one batch.
fn together(r: &mut Rig, inputs: Vec<Input>) {
    inputs.into_iter().for_each(|i| r.core.handle(r.now, i));
    r.go();
}

fn came(conn: ConnId, text: &str) -> Input {
    Input::Came(conn, text.as_bytes().to_vec().into())
}

/// The word that a message is written, and the end of its attempt's time: whichever comes first, the attempt may have run.
#[test]
fn what_was_handed_to_a_connection_may_have_run() {
    for written_first in [true, false] {
        let mut r = Rig::new();
        let client = r.asks(&ask("once", 7, 0));
        let link = *r.dialled(NODES[0].1).last().unwrap();
        r.put(Input::Up(link));
        assert_eq!(r.sent(link).len(), 1);
        if written_first {
            r.put(Input::Written(link));
        }
        r.pass(620.0);
        if !written_first {
            r.put(Input::Written(link));
        }
        assert_eq!((r.ended("timed_out"), r.ended("unreached")), (1, 0), "{written_first}");
        assert_eq!((r.statuses(client), r.closed(link)), (vec!["500".to_string()], true), "{written_first}");
        r.pass(1000.0);
        let again = r.dialled(NODES[0].1).into_iter().filter(|c| !r.sent(*c).is_empty()).count();
        assert_eq!(again, 1, "{written_first}: not sent a second time");
    }
}

/// A connection's end, and the message that it should carry: with the word that all was written it may have run, without
/// it never did.
#[test]
fn an_end_before_the_last_byte_proves_that_it_never_ran() {
    for (written, outcome, goes_on) in [(false, "unreached", true), (true, "broken", false)] {
        let mut r = Rig::new();
        let client = r.asks(&ask("once", 7, 0));
        let link = *r.dialled(NODES[0].1).last().unwrap();
        r.put(Input::Up(link));
        let word = written.then_some(Input::Written(link));
        together(&mut r, word.into_iter().chain([Input::Ended(link)]).collect());
        assert_eq!(r.ended(outcome), 1, "{written}");
        assert_eq!(r.statuses(client).is_empty(), goes_on, "{written}");
    }
}

/// Bytes that nobody asked for, and the next message on that connection. The connection's task is asked to write only if
/// no more came than is handled here; what comes before it says that it wrote is no answer, nor the beginning of one.
#[test]
fn a_second_answer_does_not_become_part_of_the_next() {
    let copy = answer(200, "", "another's");
    // What comes behind the first answer, and at which of its bytes it is cut off.
    for cut in [copy.len(), copy.len() - 1, 40, 17, 5, 1] {
        for (written, status, outcome) in [(true, "500", "failed"), (false, "200", "done")] {
            let mut r = Rig::new();
            r.asks(&ask("once", 1, 0));
            let link = r.up(0);
            r.say(link, &answer(200, "", "first"));
            let seen = |r: &Rig| {
                let last = r.out.iter().rev().find_map(|o| match o {
                    Output::Send { conn, seen, .. } if *conn == link => Some(*seen),
                    _ => None,
                });
                last.unwrap()
            };
            let client = r.asks(&ask("once", 2, 0));
            assert_eq!(seen(&r), answer(200, "", "first").len() as u64, "what was handled before");
            // It was read before the order to write reached the connection's task.
            r.say(link, &copy[..cut]);
            assert!(r.statuses(client).is_empty(), "{cut}");
            if written {
                r.put(Input::Written(link));
                r.say(link, &answer(200, "", "made for it"));
            } else {
                r.put(Input::Unwritten(link));
                let new = r.up(0);
                r.say(new, &answer(200, "", "made for it"));
            }
            assert!(r.closed(link), "{cut} {written}: it carries nothing more");
            assert_eq!(r.statuses(client), [status], "{cut} {written}");
            assert!(r.ended(outcome) >= 1, "{cut} {written}");
            let served = r.heard(client)[0].ends_with("made for it");
            assert_eq!(served, !written, "{cut} {written}");
        }
    }
}

/// The list says that a node drains, is gone, started anew or is elsewhere, and a connection to it comes up for an attempt that
/// waits: in both orders, and in one batch.
#[test]
fn nothing_goes_to_a_node_that_the_list_speaks_against() {
    let moved = page(2, false, &[(0, "SERVING", 0.0)]).replace(NODES[0].1, "10.9.9.9:1");
    let cases = [
        ("drains", page(2, false, &[(0, "DRAINING", 0.0)])),
        ("is gone", page(2, false, &[(0, "DELETED", 0.0)])),
        ("is in no list", page(2, true, &[(1, "SERVING", 0.0)])),
        ("started anew", page(2, false, &[(0, "SERVING", 50.0)])),
        ("is elsewhere", moved),
    ];
    for (what, news) in &cases {
        for (list_first, batch) in [(true, false), (true, true), (false, true), (false, false)] {
            let mut r = Rig::new();
            r.asks(&ask("once", 1, 0));
            r.pass(60.0);
            let link = *r.dialled(NODES[0].1).last().unwrap();
            let discovery = *r.dialled(DISCOVERY).last().unwrap();
            let mut both = vec![came(discovery, &answer(200, "", news)), Input::Up(link)];
            if !list_first {
                both.reverse();
            }
            if batch {
                together(&mut r, both);
            } else {
                both.into_iter().for_each(|i| r.put(i));
            }
            let case = format!("{what}, list first: {list_first}, one batch: {batch}");
            if list_first {
                // Of a node that started anew it is decided anew, and may go out by that.
                assert!(r.sent(link).is_empty() || *what == "started anew", "{case}");
                assert_ne!(*what == "is elsewhere", r.ended("unsent") == 1, "{case}");
            } else {
                // It had gone out: it runs to its end there, and the connection is not used again.
                assert_eq!(r.sent(link).len(), 1, "{case}");
                r.put(Input::Written(link));
                r.say(link, &answer(200, "", "b"));
                assert!(r.closed(link) || *what == "started anew", "{case}");
            }
            r.pass(300.0);
            r.asks(&ask("once", 9, 0));
            let most = if *what == "started anew" { 2 } else { usize::from(!list_first) };
            assert!(r.sent(link).len() <= most, "{case}");
        }
    }
}

/// A node that drains tells who waits for it at once, not when the wait for its connection is over.
#[test]
fn who_waits_for_a_node_that_drains_is_decided_anew_at_once() {
    let mut r = Rig::new();
    r.asks(&ask("read", 1, 0));
    let dialling = r.dialled(NODES[0].1)[0];
    r.list(&page(2, false, &[(0, "DRAINING", 0.0)]));
    assert_eq!((r.ended("unsent"), r.closed(dialling), r.length("legs")), (1, true, 0));
}

/// The client's end and what would send its request on: its connection's coming up, its decision, a free connection, the
/// refusal of a first attempt. In both orders and in one batch, nothing begins once the end is known, and the module is told of
/// every attempt that it decided.
#[test]
fn nothing_begins_for_a_client_that_is_gone() {
    for what in ["up", "decision", "free", "turned away", "unreached"] {
        for (gone_first, batch) in [(true, false), (true, true), (false, true), (false, false)] {
            let mut r = Rig::new();
            let case = format!("{what}, gone first: {gone_first}, one batch: {batch}");
            let client = r.client();
            let (mut cross_zone_budget, mut link) = (Vec::new(), None);
            match what {
                "up" => {
                    r.say(client, &ask("read", 1, 0));
                    link = r.dialled(NODES[0].1).last().copied();
                    cross_zone_budget.extend(link.map(Input::Up));
                }
                "decision" => cross_zone_budget.push(came(client, &ask("read", 1, 0))),
                "free" => {
                    // Its connection does not come up; another's comes free.
                    r.asks(&ask("read", 8, 0));
                    link = Some(r.up(0));
                    r.say(client, &ask("read", 1, 0));
                    cross_zone_budget.extend(link.map(|l| came(l, &answer(200, "", "b"))));
                }
                _ => {
                    r.say(client, &ask("read", 1, 0));
                    let first = r.up(0);
                    cross_zone_budget.push(match what {
                        "turned away" => came(first, &answer(503, "X-Never-Ran: 1\r\n", "")),
                        _ => Input::Ended(first),
                    });
                }
            }
            let before = r.counts().sent;
            cross_zone_budget.push(Input::Ended(client));
            if gone_first {
                cross_zone_budget.reverse();
            }
            if batch {
                together(&mut r, cross_zone_budget);
            } else {
                cross_zone_budget.into_iter().for_each(|i| r.put(i));
            }
            let sends = |r: &Rig| r.out.iter().filter(|o| matches!(o, Output::Send { .. })).count();
            let sent = sends(&r);
            // Whatever connection comes up later carries nothing of it.
            for conn in r.dialled(NODES[0].1) {
                if !r.closed(conn) && Some(conn) != link {
                    r.put(Input::Up(conn));
                }
            }
            r.pass(100.0);
            assert_eq!(sends(&r), sent, "{case}");
            if gone_first && what != "decision" {
                let own = r.out.iter().filter(|o| match o {
                    Output::Send { bytes, .. } => bytes.windows(16).any(|w| w == b"0000000000000001"),
                    _ => false,
                });
                let first = usize::from(matches!(what, "turned away" | "unreached"));
                assert_eq!(own.count(), first, "{case}");
                assert_eq!(r.counts().sent, before, "{case}");
            }
            r.pass(3000.0);
            assert_eq!((r.length("transfers"), r.length("legs"), r.length("nodes.out")), (0, 0, 0), "{case}");
            assert_eq!(r.length("desk.xfers"), 0, "{case}");
        }
    }
}

/// In one batch a request comes, the list changes and the client leaves: the list is known to what is decided, and an attempt
/// that is decided for who is gone ends untold to nobody.
#[test]
fn one_batch_decides_on_all_that_it_holds() {
    let drains = answer(200, "", &page(2, false, &[(0, "DRAINING", 0.0)]));
    let other = answer(200, "", &page(2, false, &[(1, "DRAINING", 0.0)]));
    for (news, to_node) in [(&drains, false), (&other, true)] {
        for order in [[0, 1, 2], [1, 0, 2], [0, 2, 1]] {
            for leaves in [false, true] {
                let mut r = Rig::new();
                let client = r.client();
                let discovery = *r.dialled(DISCOVERY).last().unwrap();
                let inputs = order.into_iter().filter(|i| leaves || *i != 2).map(|i| match i {
                    0 => came(client, &ask("read", 1, 0)),
                    1 => came(discovery, news),
                    _ => Input::Ended(client),
                });
                let inputs: Vec<_> = inputs.collect();
                together(&mut r, inputs);
                let dialled = r.dialled(NODES[0].1).len();
                assert_eq!(dialled, usize::from(to_node && !leaves), "{order:?} {leaves}");
                r.pass(3000.0);
                let size_metrics = ["transfers", "legs", "nodes.out", "desk.xfers"].map(|l| r.length(l));
                assert_eq!(size_metrics, [0; 4], "{order:?} {leaves}");
            }
        }
    }
}

/// A message on a connection that rests, and the order to close it. The order holds only for as much as was handled when
/// it was given; a message that comes all the same is served as any other, and the connection may be closed again later.
#[test]
fn an_order_to_close_holds_for_what_was_handled_when_it_was_given() {
    for leaving in [false, true] {
        let mut r = Rig::new();
        let health = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
        let client = r.asks(health);
        if leaving {
            r.put(Input::Stop);
            r.pass(1110.0);
        } else {
            r.pass(2200.0);
        }
        let orders = |r: &Rig| {
            let seen = |o: &Output| match o {
                Output::CloseIdle { conn, seen } if *conn == client => Some(*seen as usize),
                _ => None,
            };
            r.out.iter().filter_map(seen).collect::<Vec<_>>()
        };
        assert_eq!(orders(&r), [health.len()], "{leaving}");
        // It was read before the order reached the connection's task, which does nothing then.
        let text = ask("read", 1, 0);
        r.say(client, &text[..100]);
        r.say(client, &text[100..]);
        let link = r.up(0);
        r.say(link, &answer(200, "", "b"));
        assert_eq!(r.statuses(client), ["200", "200"], "{leaving}");
        assert_eq!((r.finished(client), r.closed(client)), (leaving, false), "{leaving}");
        if !leaving {
            r.pass(2300.0);
            assert_eq!(orders(&r), [health.len(), health.len() + text.len()]);
        }
    }
}

/// A further attempt waits for its connection, and the time ends within which a repeat is known as one.
#[test]
fn an_idempotency_key_request_is_not_repeated_past_its_window() {
    for (wait, goes) in [(100.0, true), (180.0, true), (195.0, false), (230.0, false)] {
        let mut r =
            Rig::with(&document(1024, 192, DISCOVERY).replace("\"window\":5000.0", "\"window\":200.0"));
        let client = r.asks(&ask("write", 1, 0));
        let first = r.up(0);
        r.put(Input::Ended(first));
        let second = *r.dialled(NODES[0].1).last().unwrap();
        assert!(second != first && r.ended("broken") == 1);
        r.pass(wait);
        r.put(Input::Up(second));
        assert_eq!(r.sent(second).len(), usize::from(goes), "{wait}");
        r.pass(600.0);
        assert!(!r.statuses(client).is_empty() || goes, "{wait}");
    }
}

/// Another document comes while a list is being read: what the old address still says is nobody's.
#[test]
fn a_list_that_crosses_a_move_is_not_taken() {
    let moved = document(1024, 192, "10.2.0.9:8500");
    for half in [0, 60] {
        let mut r = Rig::new();
        let old = r.dialled(DISCOVERY)[0];
        let drains = answer(200, "", &page(2, false, &[(0, "DRAINING", 0.0)]));
        r.say(old, &drains[..half]);
        let d = gullsail_platform::document::Document::read("d", &moved).unwrap();
        together(&mut r, vec![Input::Reload(Box::new(d)), came(old, &drains[half..])]);
        r.put(Input::Ended(old));
        r.asks(&ask("read", 1, 0));
        assert_eq!((r.dialled(NODES[0].1).len(), r.counts().list_lost), (1, 0), "{half}");
        // What the new one says of an older number is its own.
        let new = *r.dialled("10.2.0.9:8500").last().unwrap();
        r.put(Input::Up(new));
        r.say(new, &answer(200, "", &page(0, true, &[(1, "SERVING", 0.0)])));
        r.pass(300.0);
        r.asks(&ask("read", 2, 0));
        assert_eq!(r.counts().lists, 2, "{half}");
    }
}
