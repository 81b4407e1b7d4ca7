//! Races of two events, in both orders. docs/platform.md lists these races.

use crate::rig::{DISCOVERY, NODES, Rig, page, request_text, response, settings_document};
use gullsail_platform::core::{ConnectionId, Input, Output};
use gullsail_scheduler_api::Span;

/// Passes the inputs to the core as one batch.
fn handle_as_batch(rig: &mut Rig, inputs: Vec<Input>) {
    inputs.into_iter().for_each(|i| rig.core.handle(rig.now, i));
    rig.advance();
}

fn received(conn: ConnectionId, text: &str) -> Input {
    Input::Received(conn, text.as_bytes().to_vec().into())
}

/// During the shutdown the host announces the close with the last response on a connection. A request that crosses this
/// response is served, and its response announces the close instead. After the host's direction is closed, requests are
/// ignored.
#[test]
fn a_request_that_crosses_the_last_response_is_answered() {
    for crosses in [true, false] {
        let mut rig = Rig::new();
        let client = rig.client();
        rig.input(Input::Shutdown);
        rig.advance_time(1150.0);
        rig.receive(client, &request_text("read", 1, 0));
        let conn = rig.establish(0);
        rig.receive(conn, &response(200, "", "b"));
        let last_responses = |rig: &Rig| {
            rig.outputs
                .iter()
                .filter(
                    |output| matches!(output, Output::RespondLast { conn, .. } if *conn == client),
                )
                .count()
        };
        assert_eq!(last_responses(&rig), 1, "{crosses}");
        if crosses {
            // The task has read more, so it writes the response without the announcement and reports it as written.
            handle_as_batch(
                &mut rig,
                vec![
                    received(client, &request_text("read", 2, 0)),
                    Input::Written(client),
                ],
            );
            let next = rig.establish(0);
            rig.receive(next, &response(200, "", "b"));
        } else {
            rig.input(Input::WriteClosed(client));
            rig.receive(client, &request_text("read", 2, 0));
        }
        let served = 1 + usize::from(crosses);
        assert_eq!(rig.statuses(client), vec!["200"; served], "{crosses}");
        assert_eq!(last_responses(&rig), served, "{crosses}");
        assert_eq!(rig.metrics().requests_accepted, served as u64, "{crosses}");
    }
}

/// Above the soft limit a connection is closed after its response, unless the client has pipelined another request.
#[test]
fn a_connection_over_the_limit_stays_open_until_pipelined_requests_are_answered() {
    let mut rig = Rig::with_settings(&settings_document(64, 32, DISCOVERY));
    let clients: Vec<_> = (0..24)
        .map(|n| rig.client_sending(&request_text("read", 100 + n, 0)))
        .collect();
    let client = clients[0];
    rig.receive(client, &request_text("read", 7, 0));
    rig.advance_time(1600.0);
    let responses = rig.responses(client);
    assert_eq!(responses.len(), 2);
    assert!(!responses[0].contains("Connection: close"));
}

/// The report that a message is written races the attempt's timeout. In both orders the node may have run the attempt,
/// so a request that is not idempotent must not be sent again.
#[test]
fn an_attempt_that_may_have_been_written_by_its_timeout_is_not_repeated() {
    for written_first in [true, false] {
        let mut rig = Rig::new();
        let client = rig.client_sending(&request_text("once", 7, 0));
        let conn = *rig.connections_to(NODES[0].1).last().unwrap();
        rig.input(Input::Connected(conn));
        assert_eq!(rig.sent(conn).len(), 1);
        if written_first {
            rig.input(Input::Written(conn));
        }
        rig.advance_time(620.0);
        if !written_first {
            rig.input(Input::Written(conn));
        }
        assert_eq!(
            (
                rig.outcome_count("timed_out"),
                rig.outcome_count("unreachable")
            ),
            (1, 0),
            "{written_first}"
        );
        assert_eq!(
            (rig.statuses(client), rig.closed(conn)),
            (vec!["500".to_string()], true),
            "{written_first}"
        );
        rig.advance_time(1000.0);
        let connections_used = rig
            .connections_to(NODES[0].1)
            .into_iter()
            .filter(|conn| !rig.sent(*conn).is_empty())
            .count();
        assert_eq!(connections_used, 1, "{written_first}: sent only once");
    }
}

/// The end of a connection races the report that the message is written. With the report the node may have run the
/// attempt. Without it the node did not receive the complete message, so the attempt never ran.
#[test]
fn an_attempt_lost_before_its_last_byte_is_unreachable_and_may_be_repeated() {
    for (written, outcome, stays_open) in [
        (false, "unreachable", true),
        (true, "connection_lost", false),
    ] {
        let mut rig = Rig::new();
        let client = rig.client_sending(&request_text("once", 7, 0));
        let conn = *rig.connections_to(NODES[0].1).last().unwrap();
        rig.input(Input::Connected(conn));
        let written_report = written.then_some(Input::Written(conn));
        handle_as_batch(
            &mut rig,
            written_report
                .into_iter()
                .chain([Input::Closed(conn)])
                .collect(),
        );
        assert_eq!(rig.outcome_count(outcome), 1, "{written}");
        assert_eq!(rig.statuses(client).is_empty(), stays_open, "{written}");
    }
}

/// `bytes_handled` of the last order to send on a connection.
fn last_bytes_handled(rig: &Rig, conn: ConnectionId) -> Option<u64> {
    rig.outputs.iter().rev().find_map(|output| match output {
        Output::Send {
            conn: to,
            bytes_handled,
            ..
        } if *to == conn => Some(*bytes_handled),
        _ => None,
    })
}

/// A node sends unsolicited input after a response. The next message on that connection is written or not.
fn check_unsolicited_input(input: &str, written: bool) {
    let case = format!("{} bytes, written: {written}", input.len());
    let (status, outcome) = if written {
        ("500", "failed")
    } else {
        ("200", "succeeded")
    };
    let mut rig = Rig::new();
    rig.client_sending(&request_text("once", 1, 0));
    let conn = rig.establish(0);
    let first = response(200, "", "first");
    rig.receive(conn, &first);
    rig.pass_reuse_delay();
    let client = rig.client_sending(&request_text("once", 2, 0));
    let bytes_handled = last_bytes_handled(&rig, conn);
    assert_eq!(bytes_handled, Some(first.len() as u64), "{case}");
    // The input was read before the order to write reached the connection's task.
    rig.receive(conn, input);
    assert!(rig.statuses(client).is_empty(), "{case}");
    if written {
        rig.input(Input::Written(conn));
        rig.receive(conn, &response(200, "", "made for it"));
    } else {
        rig.input(Input::NotWritten(conn));
        let new = rig.establish(0);
        rig.receive(new, &response(200, "", "made for it"));
    }
    assert!(rig.closed(conn), "{case}: it carries no further message");
    assert_eq!(rig.statuses(client), [status], "{case}");
    assert!(rig.outcome_count(outcome) >= 1, "{case}");
    let served = rig.responses(client)[0].ends_with("made for it");
    assert_eq!(served, !written, "{case}");
}

/// The connection's task writes a message only if the core has handled all input. Input that the task reports before it
/// reports the message as written is not a part of the response to the message.
#[test]
fn unsolicited_input_does_not_become_part_of_the_next_response() {
    let copy = response(200, "", "another's");
    for cut in [copy.len(), copy.len() - 1, 40, 17, 5, 1] {
        for written in [true, false] {
            check_unsolicited_input(&copy[..cut], written);
        }
    }
}

/// The order of two events, and whether both are handled in one batch.
#[derive(Clone, Copy, Debug)]
struct Order {
    reversed: bool,
    batch: bool,
}

const ORDERS: [Order; 4] = [
    Order {
        reversed: false,
        batch: false,
    },
    Order {
        reversed: false,
        batch: true,
    },
    Order {
        reversed: true,
        batch: true,
    },
    Order {
        reversed: true,
        batch: false,
    },
];

impl Order {
    fn simulate(self, rig: &mut Rig, mut inputs: Vec<Input>) {
        if self.reversed {
            inputs.reverse();
        }
        if self.batch {
            handle_as_batch(rig, inputs);
        } else {
            inputs.into_iter().for_each(|input| rig.input(input));
        }
    }
}

/// A change of the first node that discovery reports.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NodeChange {
    Drains,
    Deleted,
    Unlisted,
    Restarted,
    AddressChanged,
}

impl NodeChange {
    fn page(self) -> String {
        match self {
            NodeChange::Drains => page(2, false, &[(0, "DRAINING", 0.0)]),
            NodeChange::Deleted => page(2, false, &[(0, "DELETED", 0.0)]),
            NodeChange::Unlisted => page(2, true, &[(1, "SERVING", 0.0)]),
            NodeChange::Restarted => page(2, false, &[(0, "SERVING", 50.0)]),
            NodeChange::AddressChanged => {
                page(2, false, &[(0, "SERVING", 0.0)]).replace(NODES[0].1, "10.9.9.9:1")
            }
        }
    }

    /// Discovery reports the change while a connection to the node is established for a waiting attempt.
    fn check(self, order: Order) {
        let case = format!("{self:?}, {order:?}");
        let restarted = self == NodeChange::Restarted;
        let list_first = !order.reversed;
        let mut rig = Rig::new();
        rig.client_sending(&request_text("once", 1, 0));
        rig.advance_time(60.0);
        let conn = *rig.connections_to(NODES[0].1).last().unwrap();
        let discovery = *rig.connections_to(DISCOVERY).last().unwrap();
        let list = received(discovery, &response(200, "", &self.page()));
        order.simulate(&mut rig, vec![list, Input::Connected(conn)]);
        if list_first {
            // If the node was restarted, the scheduler decides again and may send the request to it.
            assert!(rig.sent(conn).is_empty() || restarted, "{case}");
            let ended = rig.outcome_count("not_sent") == 1;
            assert_eq!(ended, self != NodeChange::AddressChanged, "{case}");
        } else {
            // The attempt was sent before the change, so it is not cancelled. Its connection is not reused.
            assert_eq!(rig.sent(conn).len(), 1, "{case}");
            rig.input(Input::Written(conn));
            rig.receive(conn, &response(200, "", "b"));
            assert!(rig.closed(conn) || restarted, "{case}");
        }
        rig.advance_time(300.0);
        rig.client_sending(&request_text("once", 9, 0));
        let most_messages = if restarted {
            2
        } else {
            usize::from(!list_first)
        };
        assert!(rig.sent(conn).len() <= most_messages, "{case}");
    }
}

#[test]
fn no_attempt_is_sent_to_a_node_that_the_list_excludes() {
    for change in [
        NodeChange::Drains,
        NodeChange::Deleted,
        NodeChange::Unlisted,
        NodeChange::Restarted,
        NodeChange::AddressChanged,
    ] {
        for order in ORDERS {
            change.check(order);
        }
    }
}

/// Attempts that wait for a connection to a node end when the node starts to drain, not at the connect timeout.
#[test]
fn attempts_waiting_for_a_draining_node_end_at_once() {
    let mut rig = Rig::new();
    rig.client_sending(&request_text("read", 1, 0));
    let connecting = rig.connections_to(NODES[0].1)[0];
    rig.discovery_answers(&page(2, false, &[(0, "DRAINING", 0.0)]));
    assert_eq!(
        (
            rig.outcome_count("not_sent"),
            rig.closed(connecting),
            rig.size("attempts")
        ),
        (1, true, 0)
    );
}

/// An event after which a request would be sent to a node if its client had not disconnected.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trigger {
    ConnectionEstablished,
    Decision,
    ConnectionFree,
    FirstAttemptRejected,
    FirstAttemptUnreachable,
}

/// The input of a trigger whose preconditions are set up.
struct PreparedTrigger {
    input: Input,
    /// The connection that would carry the request, if it is established or being established already.
    reused: Option<ConnectionId>,
}

impl Trigger {
    fn prepare(self, rig: &mut Rig, client: ConnectionId) -> PreparedTrigger {
        let text = request_text("read", 1, 0);
        match self {
            Trigger::ConnectionEstablished => {
                rig.receive(client, &text);
                let conn = *rig.connections_to(NODES[0].1).last().unwrap();
                PreparedTrigger {
                    input: Input::Connected(conn),
                    reused: Some(conn),
                }
            }
            Trigger::Decision => PreparedTrigger {
                input: received(client, &text),
                reused: None,
            },
            Trigger::ConnectionFree => {
                // The connection for this request is not established; that of another request becomes free.
                rig.client_sending(&request_text("read", 8, 0));
                let conn = rig.establish(0);
                rig.receive(client, &text);
                PreparedTrigger {
                    input: received(conn, &response(200, "", "b")),
                    reused: Some(conn),
                }
            }
            Trigger::FirstAttemptRejected | Trigger::FirstAttemptUnreachable => {
                rig.receive(client, &text);
                let first = rig.establish(0);
                let input = if self == Trigger::FirstAttemptRejected {
                    received(first, &response(503, "X-Never-Ran: 1\r\n", ""))
                } else {
                    Input::Closed(first)
                };
                PreparedTrigger {
                    input,
                    reused: None,
                }
            }
        }
    }

    /// The number of attempts of the request that were sent before the trigger.
    fn attempts_before(self) -> usize {
        usize::from(matches!(
            self,
            Trigger::FirstAttemptRejected | Trigger::FirstAttemptUnreachable
        ))
    }

    /// Simulates the client's disconnect and the trigger in this order.
    fn check(self, order: Order) {
        let case = format!("{self:?}, {order:?}");
        let mut rig = Rig::new();
        let client = rig.client();
        let PreparedTrigger { input, reused } = self.prepare(&mut rig, client);
        let attempts_before = rig.metrics().attempts_sent;
        order.simulate(&mut rig, vec![Input::Closed(client), input]);
        let sent = send_count(&rig, b"");
        // The request must not be sent on a connection that is established later.
        for conn in rig.connections_to(NODES[0].1) {
            if !rig.closed(conn) && Some(conn) != reused {
                rig.input(Input::Connected(conn));
            }
        }
        rig.advance_time(100.0);
        assert_eq!(send_count(&rig, b""), sent, "{case}");
        if !order.reversed && self != Trigger::Decision {
            let sent_attempts = send_count(&rig, b"0000000000000001");
            assert_eq!(sent_attempts, self.attempts_before(), "{case}");
            assert_eq!(rig.metrics().attempts_sent, attempts_before, "{case}");
        }
        rig.advance_time(3000.0);
        let held = [
            "requests",
            "attempts",
            "endpoints.in_flight",
            "open_requests",
        ]
        .map(|name| rig.size(name));
        assert_eq!(held, [0; 4], "{case}");
    }
}

/// The number of messages that contain this text and were ordered to be sent. An empty text counts all messages.
fn send_count(rig: &Rig, text: &[u8]) -> usize {
    let contains_text = |output: &&Output| match output {
        Output::Send { bytes, .. } => {
            text.is_empty()
                || bytes
                    .to_vec()
                    .windows(text.len())
                    .any(|window| window == text)
        }
        _ => false,
    };
    rig.outputs.iter().filter(contains_text).count()
}

/// After the disconnect no attempt is sent, in both orders and in one batch. The scheduler receives the outcome of each
/// attempt that it started.
#[test]
fn no_attempt_is_sent_for_a_disconnected_client() {
    for trigger in [
        Trigger::ConnectionEstablished,
        Trigger::Decision,
        Trigger::ConnectionFree,
        Trigger::FirstAttemptRejected,
        Trigger::FirstAttemptUnreachable,
    ] {
        for order in ORDERS {
            trigger.check(order);
        }
    }
}

/// In one batch a request arrives, the endpoint list changes and the client disconnects. The scheduler decides with the
/// new list, and the outcome of an attempt that it starts for the disconnected client is reported.
#[test]
fn decisions_take_all_events_of_a_batch_into_account() {
    let drains = response(200, "", &page(2, false, &[(0, "DRAINING", 0.0)]));
    let other = response(200, "", &page(2, false, &[(1, "DRAINING", 0.0)]));
    for (change, to_node) in [(&drains, false), (&other, true)] {
        for order in [[0, 1, 2], [1, 0, 2], [0, 2, 1]] {
            for disconnects in [false, true] {
                let mut rig = Rig::new();
                let client = rig.client();
                let discovery = *rig.connections_to(DISCOVERY).last().unwrap();
                let inputs =
                    order
                        .into_iter()
                        .filter(|i| disconnects || *i != 2)
                        .map(|i| match i {
                            0 => received(client, &request_text("read", 1, 0)),
                            1 => received(discovery, change),
                            _ => Input::Closed(client),
                        });
                let inputs: Vec<_> = inputs.collect();
                handle_as_batch(&mut rig, inputs);
                let connections_to = rig.connections_to(NODES[0].1).len();
                assert_eq!(
                    connections_to,
                    usize::from(to_node && !disconnects),
                    "{order:?} {disconnects}"
                );
                rig.advance_time(3000.0);
                let size_metrics = [
                    "requests",
                    "attempts",
                    "endpoints.in_flight",
                    "open_requests",
                ]
                .map(|name| rig.size(name));
                assert_eq!(size_metrics, [0; 4], "{order:?} {disconnects}");
            }
        }
    }
}

/// A message on an idle connection races the order to close the connection. The order states how many bytes the core
/// has handled and has no effect if more were read. The message is served, and the connection may be closed again
/// later.
#[test]
fn input_that_crosses_the_close_of_an_idle_connection_is_served() {
    for shutting_down in [false, true] {
        let mut rig = Rig::new();
        let health = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
        let client = rig.client_sending(health);
        if shutting_down {
            rig.input(Input::Shutdown);
            rig.advance_time(1110.0);
        } else {
            rig.advance_time(2200.0);
        }
        let orders = |rig: &Rig| {
            let bytes_handled = |output: &Output| match output {
                Output::CloseIdle {
                    conn,
                    bytes_handled,
                } if *conn == client => Some(*bytes_handled as usize),
                _ => None,
            };
            rig.outputs
                .iter()
                .filter_map(bytes_handled)
                .collect::<Vec<_>>()
        };
        assert_eq!(orders(&rig), [health.len()], "{shutting_down}");
        // The message was read before the order reached the connection's task, so the order has no effect.
        let text = request_text("read", 1, 0);
        rig.receive(client, &text[..100]);
        rig.receive(client, &text[100..]);
        let conn = rig.establish(0);
        rig.receive(conn, &response(200, "", "b"));
        assert_eq!(rig.statuses(client), ["200", "200"], "{shutting_down}");
        assert_eq!(
            (rig.finished(client), rig.closed(client)),
            (shutting_down, false),
            "{shutting_down}"
        );
        if !shutting_down {
            rig.advance_time(2300.0);
            assert_eq!(orders(&rig), [health.len(), health.len() + text.len()]);
        }
    }
}

/// The settings with this idempotency window, in ms.
fn settings_with_window(window: &str) -> String {
    settings_document(1024, 192, DISCOVERY)
        .replace("\"window\":5000.0", &format!("\"window\":{window}"))
}

/// The idempotency window may expire while the second attempt waits for a connection, or while the process is held up
/// for up to 150 ms on the way to the write.
#[test]
fn a_request_with_an_idempotency_key_is_not_repeated_outside_its_window() {
    for (wait, is_sent) in [(100.0, true), (199.0, true), (201.0, false), (230.0, false)] {
        let mut rig = Rig::with_settings(&settings_with_window("350.0"));
        let client = rig.client_sending(&request_text("write", 1, 0));
        let first = rig.establish(0);
        rig.input(Input::Closed(first));
        let second = *rig.connections_to(NODES[0].1).last().unwrap();
        assert!(second != first && rig.outcome_count("connection_lost") == 1);
        rig.advance_time(wait);
        rig.input(Input::Connected(second));
        assert_eq!(rig.sent(second).len(), usize::from(is_sent), "{wait}");
        rig.advance_time(600.0);
        assert!(!rig.statuses(client).is_empty() || is_sent, "{wait}");
    }
}

/// Guards against a second run of a keyed request: the process is held up for up to 150 ms between reading its clock
/// and writing the repeat, and the node has forgotten the key by then.
#[test]
fn a_keyed_repeat_is_not_sent_where_a_hold_up_would_take_it_past_its_window() {
    for (lost_after, is_sent) in [(340.0, true), (355.0, false), (470.0, false)] {
        let mut rig = Rig::with_settings(&settings_with_window("500.0"));
        let decided_at = rig.now;
        let client = rig.client_sending(&request_text("write", 1, 0));
        let first = rig.establish(0);
        rig.advance_time(lost_after);
        rig.input(Input::Closed(first));
        let second = *rig.connections_to(NODES[0].1).last().unwrap();
        rig.input(Input::Connected(second));
        assert_eq!(rig.outcome_count("connection_lost"), 1);
        assert_eq!(rig.sent(second).len(), usize::from(is_sent), "{lost_after}");
        // Where no repeat is possible, the client has its answer at once.
        assert_eq!(rig.statuses(client).len(), usize::from(!is_sent));
        let write_by = rig.outputs.iter().find_map(|output| match output {
            Output::Send { conn, write_by, .. } if *conn == second => *write_by,
            _ => None,
        });
        let window_end = decided_at + Span::from_millis(500.0);
        assert_eq!(write_by, is_sent.then_some(window_end), "{lost_after}");
    }
}

/// The discovery address changes while a list is being received. Input from the old address is ignored.
#[test]
fn a_list_from_the_old_address_is_ignored_after_a_reload() {
    let changed = settings_document(1024, 192, "10.2.0.9:8500");
    for half in [0, 60] {
        let mut rig = Rig::new();
        let old = rig.connections_to(DISCOVERY)[0];
        let drains = response(200, "", &page(2, false, &[(0, "DRAINING", 0.0)]));
        rig.receive(old, &drains[..half]);
        let document =
            gullsail_platform::settings_document::SettingsDocument::parse("d", &changed).unwrap();
        handle_as_batch(
            &mut rig,
            vec![
                Input::Reload(Box::new(document)),
                received(old, &drains[half..]),
            ],
        );
        rig.input(Input::Closed(old));
        rig.client_sending(&request_text("read", 1, 0));
        assert_eq!(
            (
                rig.connections_to(NODES[0].1).len(),
                rig.metrics().discovery_lost
            ),
            (1, 0),
            "{half}"
        );
        // Versions from the old address do not count: the older version from the new address is applied.
        let new = *rig.connections_to("10.2.0.9:8500").last().unwrap();
        rig.input(Input::Connected(new));
        rig.receive(
            new,
            &response(200, "", &page(0, true, &[(1, "SERVING", 0.0)])),
        );
        rig.advance_time(300.0);
        rig.client_sending(&request_text("read", 2, 0));
        assert_eq!(rig.metrics().discovery_snapshots, 2, "{half}");
    }
}
