//! Discovery: polls and their failures, pages that are applied or ignored, reloads, and invalid settings documents.

use crate::rig::{DISCOVERY, NODES, Rig, page, request_text, response, settings_document};
use gullsail_platform::core::{ConnectionId, Input};
use gullsail_platform::settings_document::SettingsDocument;

#[test]
fn after_each_page_the_next_poll_asks_for_the_changes_since_its_version() {
    let mut rig = Rig::new();
    let conn = rig.connections_to(DISCOVERY)[0];
    rig.discovery_answers(&page(41, false, &[(1, "DRAINING", 0.0)]));
    let request_lines: Vec<_> = rig
        .sent(conn)
        .iter()
        .map(|text| text.lines().next().unwrap_or_default().to_string())
        .collect();
    let poll_for_changes = |seq| format!("GET /catalog/members?after={seq}&wait_ms=2000 HTTP/1.1");
    assert_eq!(
        request_lines,
        [
            "GET /catalog/members HTTP/1.1".to_string(),
            poll_for_changes(1),
            poll_for_changes(41)
        ]
    );
}

#[test]
fn a_malformed_page_changes_nothing_and_the_complete_list_is_requested() {
    let drains = page(2, false, &[(0, "DRAINING", 0.0)]);
    let cases = [
        response(200, "", "{\"seq\":2"),
        response(500, "", &drains),
        "HTTP/1.1 200 OK\r\n\r\n".to_string() + &drains,
        "noise\r\n\r\n".to_string(),
    ];
    for text in cases {
        let mut rig = Rig::new();
        let conn = rig.connections_to(DISCOVERY)[0];
        rig.receive(conn, &text);
        assert!(rig.closed(conn), "{text}");
        rig.client_sending(&request_text("read", 1, 0));
        assert_eq!(
            rig.connections_to(NODES[0].1).len(),
            1,
            "{text}: the node is still ready"
        );
        rig.advance_time(100.0);
        assert_eq!(rig.connections_to(DISCOVERY).len(), 2, "{text}");
        rig.discovery_answers(&page(7, true, &[(0, "DRAINING", 0.0), (1, "SERVING", 0.0)]));
        assert_eq!(
            (
                rig.metrics().discovery_snapshots,
                rig.metrics().discovery_lost
            ),
            (2, 1),
            "{text}"
        );
    }
}

/// A replacement in the first entry of a page, and its expected effects.
struct EntryChange {
    from: &'static str,
    to: &'static str,
    /// The number of entries that are skipped.
    skipped: u64,
    /// The status with which a read for the first shard is answered at once. `None` if it is not answered at once.
    answer: Option<&'static str>,
}

const fn skipped(from: &'static str, to: &'static str) -> EntryChange {
    EntryChange {
        from,
        to,
        skipped: 1,
        answer: None,
    }
}

const fn applied(
    from: &'static str,
    to: &'static str,
    answer: Option<&'static str>,
) -> EntryChange {
    EntryChange {
        from,
        to,
        skipped: 0,
        answer,
    }
}

const ENTRY_CHANGES: [EntryChange; 7] = [
    skipped("SERVING", "SLEEPING"),
    skipped("\"block\":0", "\"block\":\"x\""),
    skipped("\"block\":0,", ""),
    skipped("\"hosts\":[", "\"hosts\":[7,"),
    applied("\"site\":\"a\"", "\"site\":\"z\"", None),
    applied("\"class\":\"m\"", "\"class\":\"new\"", None),
    applied("\"block\":0", "\"block\":99", Some("503")),
];

/// Applies a page and sends a read for each shard. `first_answer`: the status with which the read for the first shard
/// is answered at once, if it is.
fn check_page(text: &str, skipped: u64, first_answer: Option<&str>) {
    let mut rig = Rig::new();
    rig.discovery_answers(text);
    assert_eq!(rig.metrics().discovery_entries_skipped, skipped, "{text}");
    assert_eq!(rig.metrics().discovery_lost, 0, "{text}");
    for (shard, expected) in [first_answer, None].into_iter().enumerate() {
        let client = rig.client_sending(&request_text("read", shard as u64 + 1, shard as i64));
        let statuses = rig.statuses(client);
        let answer = statuses.first().map(String::as_str);
        assert_eq!(answer, expected, "{text}: shard {shard}");
    }
    // Every page drains the second node or does not list it, so nothing is sent to it.
    assert_eq!(rig.connections_to(NODES[1].1).len(), 0, "{text}");
    let is_sent = first_answer.is_none() && !text.contains("[]");
    let connections = rig.connections_to(NODES[0].1).len();
    assert_eq!(connections, usize::from(is_sent), "{text}");
}

/// An entry that cannot be parsed is skipped: its node keeps its earlier entry, and the other entries are applied.
/// Unknown zones, shards and classes of nodes and empty lists are accepted. A request that no node serves is answered
/// at once.
#[test]
fn a_malformed_entry_is_skipped_and_the_others_are_applied() {
    let both = page(2, true, &[(0, "SERVING", 0.0), (1, "DRAINING", 0.0)]);
    for change in ENTRY_CHANGES {
        let text = both.replacen(change.from, change.to, 1);
        check_page(&text, change.skipped, change.answer);
    }
    check_page(&page(2, true, &[]), 0, None);
}

#[test]
fn requests_are_rejected_while_the_endpoint_list_is_empty() {
    let none = settings_document(1024, 192, DISCOVERY).replace("\"known\":{", "\"old\":{");
    let mut rig = Rig::with_settings(&none);
    rig.discovery_answers(&page(2, true, &[]));
    let client = rig.client_sending(&request_text("once", 1, 1));
    rig.advance_time(700.0);
    assert_eq!(rig.statuses(client), ["503"]);
}

/// In mode `push` an agent responds at once and its list counts as reported, so after each failure it is polled again
/// well within the 250 ms of a drain's grace. In mode `ask` retries put load on the discovery service, so the delays
/// between them are longer. In both modes an unanswered poll stays open beside the next one, since the service may be
/// slow.
#[test]
fn unanswered_polls_time_out_and_are_retried_at_bounded_intervals() {
    // The mode, the number of polls in ten seconds without a response, and the longest time between two polls in ms.
    for (mode, polls, max_interval_ms) in [("push", 60..70, 160.0), ("ask", 5..8, 1600.0)] {
        let text =
            settings_document(1024, 192, DISCOVERY).replace("\"push\"", &format!("\"{mode}\""));
        let mut rig = Rig::with_settings(&text);
        rig.advance_time(3_400.0);
        assert_eq!(rig.metrics().discovery_lost, 0, "{mode}");
        rig.advance_time(200.0);
        let open = |rig: &Rig| {
            rig.connections_to(DISCOVERY)
                .iter()
                .filter(|conn| !rig.closed(**conn))
                .count()
        };
        for _ in 0..3 {
            let before = rig.connections_to(DISCOVERY).len();
            for _ in 0..(10_000.0 / max_interval_ms) as usize {
                let last = rig.connections_to(DISCOVERY).len();
                rig.advance_time(max_interval_ms);
                assert!(rig.connections_to(DISCOVERY).len() > last, "{mode}");
                assert_eq!(
                    open(&rig),
                    2,
                    "{mode}: the newest connection and the suspect one"
                );
            }
            let polled = rig.connections_to(DISCOVERY).len() - before;
            assert!(polls.contains(&polled), "{mode}: {polled}");
        }
    }
}

/// A way in which a poll of discovery fails.
#[derive(Clone, Copy, Debug)]
enum PollFailure {
    Refused,
    NeverConnected,
    SilentWhenAsked,
    SilentInHead,
    SilentInBody,
    Busy,
    ClosedInBody,
}

const POLL_FAILURES: [PollFailure; 7] = [
    PollFailure::Refused,
    PollFailure::NeverConnected,
    PollFailure::SilentWhenAsked,
    PollFailure::SilentInHead,
    PollFailure::SilentInBody,
    PollFailure::Busy,
    PollFailure::ClosedInBody,
];

impl PollFailure {
    fn simulate(self, rig: &mut Rig, conn: ConnectionId) {
        let half_body = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":2,";
        match self {
            PollFailure::NeverConnected => return,
            PollFailure::Refused => return rig.input(Input::Closed(conn)),
            _ => rig.input(Input::Connected(conn)),
        }
        match self {
            PollFailure::Refused | PollFailure::NeverConnected | PollFailure::SilentWhenAsked => {}
            PollFailure::SilentInHead => rig.receive(conn, "HTTP/1.1 200 OK\r\nContent-"),
            PollFailure::SilentInBody => rig.receive(conn, half_body),
            PollFailure::Busy => rig.receive(conn, &response(503, "", "")),
            PollFailure::ClosedInBody => {
                rig.receive(conn, half_body);
                rig.input(Input::Closed(conn));
            }
        }
    }
}

/// Advances the time until there are more than `count` connections to discovery. Returns the newest.
fn next_poll(rig: &mut Rig, count: usize, case: &str) -> ConnectionId {
    let start = rig.now;
    while rig.connections_to(DISCOVERY).len() == count {
        rig.advance_time(10.0);
        assert!((rig.now - start).millis() < 6_000.0, "{case}");
    }
    *rig.connections_to(DISCOVERY).last().unwrap()
}

/// Polls fail in these two ways alternately. Then discovery is available, and the response to the next poll drains a
/// node.
fn check_change_is_received(mode: &str, failures: [PollFailure; 2], max_delay_ms: f64) {
    let case = format!("{mode}: {failures:?}");
    let text = settings_document(1024, 192, DISCOVERY).replace("\"push\"", &format!("\"{mode}\""));
    let mut rig = Rig::with_settings(&text);
    let start = rig.now;
    let mut connection_count = rig.connections_to(DISCOVERY).len();
    // After 20 s the backoff has reached its bound.
    for failure in failures.into_iter().cycle() {
        if (rig.now - start).millis() >= 20_000.0 {
            break;
        }
        let conn = next_poll(&mut rig, connection_count, &case);
        connection_count = rig.connections_to(DISCOVERY).len();
        failure.simulate(&mut rig, conn);
    }
    let available_at = rig.now;
    let conn = next_poll(&mut rig, connection_count, &case);
    let delay_ms = (rig.now - available_at).millis();
    assert!(delay_ms <= max_delay_ms, "{case}: {delay_ms} ms");
    rig.input(Input::Connected(conn));
    let drains = page(9, true, &[(0, "DRAINING", 0.0), (1, "SERVING", 0.0)]);
    rig.receive(conn, &response(200, "", &drains));
    rig.client_sending(&request_text("read", 1, 0));
    let connections = rig.connections_to(NODES[0].1).len();
    assert_eq!(connections, 0, "{case}: the node drains");
}

/// When discovery is available again, the host receives a change well within the 6 s after which it counts as reported,
/// whichever failures preceded.
#[test]
fn a_change_is_received_in_time_after_any_two_kinds_of_poll_failures() {
    for (mode, max_delay_ms) in [("push", 160.0), ("ask", 2_400.0)] {
        for first in POLL_FAILURES {
            for second in POLL_FAILURES {
                check_change_is_received(mode, [first, second], max_delay_ms);
            }
        }
    }
}

/// The host continues with the connection whose poll is answered first and closes the other one. Later input on the
/// other connection is ignored.
#[test]
fn of_two_open_polls_the_first_response_is_applied() {
    let drains = response(
        200,
        "",
        &page(9, true, &[(0, "DRAINING", 0.0), (1, "SERVING", 0.0)]),
    );
    let serves = response(
        200,
        "",
        &page(8, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)]),
    );
    for old_first in [true, false] {
        let mut rig = Rig::new();
        let old = rig.connections_to(DISCOVERY)[0];
        rig.advance_time(3_510.0);
        let new = *rig.connections_to(DISCOVERY).last().unwrap();
        assert!(new != old && !rig.closed(old));
        rig.input(Input::Connected(new));
        let (first, second) = if old_first { (old, new) } else { (new, old) };
        rig.receive(first, &drains);
        assert!(rig.closed(second) && !rig.closed(first), "{old_first}");
        assert!(
            rig.sent(first).last().unwrap().contains("after=9&"),
            "{old_first}"
        );
        rig.receive(second, &serves);
        rig.input(Input::Closed(second));
        rig.client_sending(&request_text("read", 1, 0));
        assert_eq!(
            (
                rig.connections_to(NODES[0].1).len(),
                rig.metrics().discovery_snapshots
            ),
            (0, 2),
            "{old_first}"
        );
    }
}

/// A list with an older version than the newest one is ignored, since nodes that it does not contain yet would be
/// treated as gone. If no newer version is received for 6 s, discovery has restarted its version numbers.
#[test]
fn an_older_list_is_applied_only_after_six_seconds_without_a_newer_one() {
    let mut rig = Rig::new();
    rig.discovery_answers(&page(9, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)]));
    let older = page(8, true, &[(1, "SERVING", 0.0)]);
    let mut snapshot_counts = Vec::new();
    for _ in 0..80 {
        let conn = *rig.connections_to(DISCOVERY).last().unwrap();
        if rig.sent(conn).is_empty() {
            rig.input(Input::Connected(conn));
        }
        if !rig.closed(conn) {
            rig.receive(conn, &response(200, "", &older));
        }
        snapshot_counts.push((rig.now, rig.metrics().discovery_snapshots));
        rig.advance_time(100.0);
    }
    let applied_after_ms = snapshot_counts
        .iter()
        .find(|sample| sample.1 == 3)
        .map(|sample| (sample.0 - snapshot_counts[0].0).millis());
    assert!(
        applied_after_ms.is_some_and(|ms| (6_000.0..6_200.0).contains(&ms)),
        "{applied_after_ms:?}"
    );
    // A newer version in between restarts the 6 s.
    let mut rig = Rig::new();
    rig.discovery_answers(&page(9, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)]));
    for seq in [8, 9, 8] {
        for _ in 0..30 {
            rig.advance_time(100.0);
            let conn = *rig.connections_to(DISCOVERY).last().unwrap();
            if !rig.closed(conn) {
                let all = [(0, "SERVING", 0.0), (1, "SERVING", 0.0)];
                rig.discovery_answers(&page(seq, true, &all[usize::from(seq < 9)..]));
            }
        }
    }
    rig.client_sending(&request_text("read", 1, 0));
    assert_eq!(
        rig.connections_to(NODES[0].1).len(),
        1,
        "the node is still listed"
    );
}

/// The request line of the first poll on the newest connection to discovery.
fn newest_poll(rig: &mut Rig) -> String {
    let conn = *rig.connections_to(DISCOVERY).last().unwrap();
    if rig.sent(conn).is_empty() {
        rig.input(Input::Connected(conn));
    }
    let poll = rig.sent(conn).first().cloned().unwrap_or_default();
    poll.lines().next().unwrap_or_default().to_string()
}

/// A host that polls a remote discovery service.
fn polling_rig() -> Rig {
    Rig::with_settings(&settings_document(1024, 192, DISCOVERY).replace("\"push\"", "\"ask\""))
}

const CHANGES_SINCE_41: &str = "GET /catalog/members?after=41&wait_ms=0 HTTP/1.1";

/// Guards against hosts that ask for the complete list after they were refused: a service that many hosts poll refuses
/// complete lists under load. The changes since the known version are enough. An agent on the host's server has no such
/// limit.
#[test]
fn after_a_refused_poll_a_remote_service_is_asked_for_the_changes() {
    for (mode, expected) in [
        ("ask", CHANGES_SINCE_41),
        ("push", "GET /catalog/members HTTP/1.1"),
    ] {
        let text =
            settings_document(1024, 192, DISCOVERY).replace("\"push\"", &format!("\"{mode}\""));
        let mut rig = Rig::with_settings(&text);
        let conn = rig.connections_to(DISCOVERY)[0];
        rig.discovery_answers(&page(41, false, &[(1, "DRAINING", 0.0)]));
        rig.receive(conn, &response(503, "Connection: close\r\n", ""));
        rig.advance_time(100.0);
        assert_eq!(newest_poll(&mut rig), expected, "{mode}");
        let changed = page(42, false, &[(0, "DRAINING", 0.0)]);
        let conn = *rig.connections_to(DISCOVERY).last().unwrap();
        if mode == "ask" {
            rig.receive(conn, &response(200, "", &changed));
            rig.client_sending(&request_text("read", 1, 0));
            assert_eq!(rig.connections_to(NODES[0].1).len(), 0, "the node drains");
        }
    }
}

/// Guards against an overload of discovery by complete lists when all hosts of a fleet restart together. Each host has
/// stored a list in its last run.
#[test]
fn a_host_with_a_stored_list_asks_for_the_changes_since_its_version() {
    let stored = settings_document(1024, 192, DISCOVERY)
        .replace("\"push\"", "\"ask\"")
        .replace("\"known\":{\"seq\":1,", "\"known\":{\"seq\":41,");
    let mut rig = Rig::without_endpoint_list(&stored);
    assert_eq!(newest_poll(&mut rig), CHANGES_SINCE_41);
}

/// Guards against polls for the changes since an earlier version after discovery has restarted its version numbers.
#[test]
fn the_complete_list_is_requested_after_discovery_restarts_its_versions() {
    let mut rig = polling_rig();
    let conn = rig.connections_to(DISCOVERY)[0];
    rig.discovery_answers(&page(41, false, &[(1, "DRAINING", 0.0)]));
    rig.input(Input::Closed(conn));
    rig.advance_time(100.0);
    assert_eq!(newest_poll(&mut rig), CHANGES_SINCE_41);
    let conn = *rig.connections_to(DISCOVERY).last().unwrap();
    let anew = page(2, false, &[(0, "DRAINING", 0.0)]);
    rig.receive(conn, &response(200, "", &anew));
    assert!(rig.closed(conn));
    rig.advance_time(200.0);
    assert_eq!(newest_poll(&mut rig), "GET /catalog/members HTTP/1.1");
}

/// Guards against hosts that are refused at the same time and then retry at the same times.
#[test]
fn hosts_that_are_refused_together_retry_at_different_times() {
    let connect_times = |seed: &str| {
        let text = settings_document(1024, 192, DISCOVERY)
            .replace("\"push\"", "\"ask\"")
            .replace("\"8c1f\"", &format!("\"{seed}\""));
        let mut rig = Rig::with_settings(&text);
        let mut connection_count = 0;
        let mut times = Vec::new();
        for _ in 0..12 {
            let conn = next_poll(&mut rig, connection_count, seed);
            connection_count = rig.connections_to(DISCOVERY).len();
            times.push(rig.now);
            rig.input(Input::Closed(conn));
        }
        times
    };
    let (one, other) = (connect_times("1"), connect_times("2"));
    let late_retries = one.iter().zip(&other).skip(6);
    assert!(
        late_retries.clone().all(|(one, other)| one != other),
        "{one:?} {other:?}"
    );
}

/// Endpoint lists may be larger than other bodies.
#[test]
fn an_indented_list_of_many_nodes_is_parsed() {
    let all: Vec<_> = (0..600).map(|_| (1, "SERVING", 0.0)).collect();
    let compact = page(5, true, &all);
    let value: serde_json::Value = serde_json::from_str(&compact).unwrap();
    let indented = serde_json::to_string_pretty(&value).unwrap();
    assert!(indented.len() > 64 << 10);
    let mut rig = Rig::new();
    rig.discovery_answers(&indented);
    assert_eq!(
        (
            rig.metrics().discovery_snapshots,
            rig.metrics().discovery_lost
        ),
        (2, 0)
    );
}

#[test]
fn a_draining_or_gone_node_gets_no_requests_and_its_connections_close() {
    for change in [
        page(2, false, &[(0, "DRAINING", 0.0)]),
        page(2, false, &[(0, "DELETED", 0.0)]),
        page(2, true, &[(1, "SERVING", 0.0)]),
    ] {
        let mut rig = Rig::new();
        rig.client_sending(&request_text("read", 1, 0));
        let idle = rig.establish(0);
        rig.client_sending(&request_text("read", 2, 0));
        let busy = rig.establish(0);
        rig.receive(idle, &response(200, "", "b"));
        rig.discovery_answers(&change);
        assert!(
            rig.closed(idle) && !rig.closed(busy),
            "{change}: the attempt in flight continues"
        );
        let client = rig.client_sending(&request_text("read", 3, 0));
        rig.advance_time(50.0);
        assert_eq!(
            (
                rig.connections_to(NODES[0].1).len(),
                rig.sent(idle).len(),
                rig.statuses(client).len()
            ),
            (2, 1, 0)
        );
        rig.receive(busy, &response(200, "", "b"));
        assert!(rig.closed(busy));
    }
}

#[test]
fn a_node_whose_address_changed_is_connected_to_at_the_new_one() {
    let mut rig = Rig::new();
    rig.discovery_answers(
        &page(2, false, &[(0, "SERVING", 0.0)]).replace(NODES[0].1, "10.9.9.9:1"),
    );
    rig.client_sending(&request_text("read", 1, 0));
    assert_eq!(
        (
            rig.connections_to("10.9.9.9:1").len(),
            rig.connections_to(NODES[0].1).len()
        ),
        (1, 0)
    );
}

/// The stage of a request, or of the host, at which the settings document is reloaded.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum ReloadStage {
    WithinHead,
    AttemptWaits,
    AttemptInFlight,
    ShuttingDown,
}

fn both_serving() -> String {
    page(3, true, &[(0, "SERVING", 0.0), (1, "SERVING", 0.0)])
}

fn check_reload(stage: ReloadStage, changed: &SettingsDocument) {
    let mut rig = Rig::new();
    let text = request_text("read", 1, 0);
    let client = rig.client();
    let sent_bytes = if stage == ReloadStage::WithinHead {
        30
    } else {
        text.len()
    };
    rig.receive(client, &text[..sent_bytes]);
    if stage >= ReloadStage::AttemptInFlight {
        rig.establish(0);
    }
    if stage == ReloadStage::ShuttingDown {
        rig.input(Input::Shutdown);
    }
    let old = rig.connections_to(DISCOVERY)[0];
    rig.input(Input::Reload(Box::new(changed.clone())));
    rig.input(Input::Reload(Box::new(changed.clone())));
    let new = *rig.connections_to("10.2.0.9:8500").last().unwrap();
    assert!(rig.closed(old), "{stage:?}");
    rig.input(Input::Connected(new));
    let poll = &rig.sent(new)[0];
    assert!(
        poll.starts_with("GET /catalog/members HTTP"),
        "{stage:?}: {poll}"
    );
    rig.receive(new, &response(200, "", &both_serving()));
    if stage == ReloadStage::WithinHead {
        rig.receive(client, &text[sent_bytes..]);
    }
    if stage < ReloadStage::AttemptInFlight {
        rig.establish(0);
    }
    let conn = rig.connections_to(NODES[0].1)[0];
    rig.receive(conn, &response(200, "", "b"));
    assert_eq!(rig.statuses(client), ["200"], "{stage:?}");
    assert_eq!(rig.metrics().discovery_lost, 0, "{stage:?}");
}

#[test]
fn a_reload_changes_the_discovery_address_and_does_not_affect_requests() {
    let changed = settings_document(1024, 192, "10.2.0.9:8500");
    let changed = SettingsDocument::parse("d", &changed).unwrap();
    for stage in [
        ReloadStage::WithinHead,
        ReloadStage::AttemptWaits,
        ReloadStage::AttemptInFlight,
        ReloadStage::ShuttingDown,
    ] {
        check_reload(stage, &changed);
    }
}

/// A replacement that makes a valid document invalid, and a text that the error contains.
struct DocumentChange {
    from: &'static str,
    to: &'static str,
    error: &'static str,
}

const fn invalid(from: &'static str, to: &'static str, error: &'static str) -> DocumentChange {
    DocumentChange { from, to, error }
}

const DOCUMENT_CHANGES: [DocumentChange; 19] = [
    invalid("\"discovery\"", "\"dscovery\"", "discovery"),
    invalid("\"sockets\":256", "\"sockets\":\"many\"", "many"),
    invalid("\"sockets\":256", "\"sockets\":8", "at least 32"),
    invalid("127.0.0.1:0", "here", "line 1"),
    invalid(
        "\"effect\":\"pure\"",
        "\"effect\":\"odd\"",
        "unknown effect 'odd'",
    ),
    invalid(
        "\"peers-total\":2",
        "\"peers-total\":\"two\"",
        "settings.peers-total",
    ),
    invalid(
        "\"nominal\":10.0",
        "\"nominal\":\"x\"",
        "settings.policies[0].nominal",
    ),
    invalid(
        "\"nominal\":10.0",
        "\"limit\":-1.0",
        "settings.policies[0].limit: a figure of 0 or more",
    ),
    invalid(
        "\"nominal\":10.0",
        "\"limit\":9.0,\"limit-burst\":5.0",
        "settings.policies[0].limit-burst: room for one largest transfer, 6 units",
    ),
    invalid(
        "\"tick\"",
        "\"zone\":\"x\",\"tick\"",
        "settings.zone: one of the failure-domains [\"a\"]",
    ),
    invalid(
        "\"tick\"",
        "\"stages\":[\"s\"],\"tier\":1,\"tick\"",
        "settings.tier: one of the 1 stages was meant, not 1",
    ),
    invalid(
        "\"rank\":0",
        "\"rank\":2",
        "settings.rank: a number below peers-total, 2",
    ),
    invalid(
        "\"push\"",
        "\"pull\"",
        "settings.membership-mode: 'push' or 'ask'",
    ),
    invalid(
        "\"name\":\"write\"",
        "\"name\":\"read\"",
        "settings.profiles[1].name: another name",
    ),
    invalid(
        "[false,true,true]",
        "[false]",
        "settings.family-info.writes: one word for each of 3",
    ),
    invalid(
        "\"slots-total\":2",
        "\"slots-total\":-2",
        "settings.family-info.slots-total",
    ),
    invalid(
        "\"objective\":600.0",
        "\"objective\":0.0",
        "settings.profiles[0].objective: a time above",
    ),
    invalid(
        "\"max-attempts\":3",
        "\"max-attempts\":0",
        "settings.limits.max-attempts: at least one",
    ),
    invalid(
        "\"overload-for\"",
        "\"free-resends\":3.0,\"overload-for\"",
        "settings.rules.look-back",
    ),
];

fn assert_invalid(text: &str, expected: &str) {
    let error = SettingsDocument::parse("config.json", text)
        .unwrap_err()
        .to_string();
    assert!(error.contains(expected), "{error}");
    assert!(error.contains("config.json"), "{error}");
}

#[test]
fn errors_of_invalid_documents_state_the_place_and_what_was_expected() {
    let valid = settings_document(256, 32, DISCOVERY);
    assert_invalid(&valid[..valid.len() / 2], "line ");
    assert_invalid("", "EOF");
    for DocumentChange { from, to, error } in DOCUMENT_CHANGES {
        assert!(valid.contains(from), "{from}");
        assert_invalid(&valid.replacen(from, to, 1), error);
    }
    assert!(SettingsDocument::parse("config.json", &valid).is_ok());
}

#[test]
fn unknown_keys_of_a_document_are_ignored_at_any_level() {
    let valid = settings_document(256, 32, DISCOVERY);
    let text = valid.replacen("\"tick\"", "\"novelty\":{\"a\":[1]},\"tick\"", 1);
    let text = text.replacen("\"listen\"", "\"weather\":null,\"listen\"", 1);
    assert!(SettingsDocument::parse("config.json", &text).is_ok());
}
