//! Compatibility of the control socket's messages between versions. The JSON texts were written by an earlier
//! version, whose types had other names. Every field has a distinct value, so that one that is read into the wrong
//! field is detected.

use gullsail_host::control::{ControlReply, ControlRequest, State};
use gullsail_host::core::Counts;
use gullsail_host::core::maintenance::OperatorCommand;
use gullsail_zone_traffic::Reason;
use serde_json::{Value, json};

const STATE: &str = r#"{
    "told": "status",
    "host": "h1", "revision": 7, "behind": ["h2", "h3"], "open": 11, "legs_out": 12, "held_bytes": 13,
    "counts": {
        "taken": 101, "not_taken": 102, "done": 103, "deferred": 104, "abandoned": 105, "clients_left": 106,
        "legs": 107, "late_node_answers": 108, "links_broken": 109, "labels_sent": 110, "labels_heard": 111,
        "labels_dropped": 112, "nodes_restarted": 113, "nodes_met_again": 114, "list_lost": 115,
        "links_refused": 116, "held_back": 117, "longest_step_us": 118, "long_steps": 119, "stood_still": 120,
        "longest_still_us": 121, "aged": 122, "answers_withheld": 123, "documents_taken": 124,
        "documents_turned_down": 125, "most_open": 126, "most_held": 127
    },
    "crossed": [{
        "from": "a", "to": "b", "reason": "further", "plan": "base", "volume": "v", "stream_type": "read",
        "frames": 201, "bytes": 202, "for_nothing": 203
    }],
    "past": [{ "budget": "a-b", "cause": "further legs", "from_us": 301, "to_us": 302, "bytes": 303 }],
    "fleet": {
        "name": "f", "lease_ms": 401.5, "hosts": ["h1", "h2"], "budgets": [[402, "v"]],
        "status": {
            "me": 0, "epoch": 403, "round": 404, "coordinator": 1, "decides_for_ms": 405.5,
            "takes_over_ms": 406.5, "lease_ms": 407.5, "mute_ms": 408.5, "fenced": true,
            "members": [{
                "host": 1, "life": 409, "standing": "suspected", "heard_ms": 410.5, "via": 0, "over_ms": 411.5
            }],
            "budgets": [{ "budget": 402, "share": 412, "counted": 413, "parts": [[0, 414], [1, 415]] }],
            "dropped": { "old": 416 },
            "counts": {
                "notes_out": 417, "notes_in": 418, "passed_on": 419, "elected": 420, "leases_lost": 421,
                "granted": 422
            }
        }
    },
    "works": {
        "known": true, "anew": true,
        "orders": [{
            "machine": "n1", "before": 501, "stage": "let-go", "for_ms": 502.5, "longest_ms": 503.5,
            "waits": "for its leases", "hosts": ["h2"], "reason": "disks"
        }]
    }
}"#;

#[test]
fn a_state_of_an_earlier_version_is_read_into_the_right_fields() {
    let ControlReply::Status(state) = serde_json::from_str(STATE).unwrap() else {
        panic!("not a state")
    };
    assert_eq!((state.host.as_str(), state.revision), ("h1", 7));
    assert_eq!(state.behind, ["h2", "h3"]);
    assert_eq!(
        (state.open, state.attempts_in_flight, state.held_bytes),
        (11, 12, 13)
    );
    check_counts(&state.counts);
    check_traffic(&state);
    check_fleet_and_maintenance(&state);
}

fn check_counts(counts: &Counts) {
    assert_eq!(
        (
            counts.taken,
            counts.not_taken,
            counts.done,
            counts.rejected,
            counts.failed
        ),
        (101, 102, 103, 104, 105)
    );
    assert_eq!(
        (
            counts.clients_left,
            counts.attempts,
            counts.late_node_answers,
            counts.connections_closed
        ),
        (106, 107, 108, 109)
    );
    assert_eq!(counts.demand_reports_sent, 110);
    assert_eq!(counts.demand_reports_received, 111);
    assert_eq!(counts.demand_reports_dropped, 112);
    assert_eq!(
        (
            counts.nodes_restarted,
            counts.nodes_met_again,
            counts.endpoint_list_losses
        ),
        (113, 114, 115)
    );
    assert_eq!(
        (
            counts.connections_refused,
            counts.back_pressure_events,
            counts.longest_step_us,
            counts.long_steps
        ),
        (116, 117, 118, 119)
    );
    assert_eq!(
        (
            counts.stalls,
            counts.longest_stall_us,
            counts.timeouts_shortened,
            counts.late_answers_dropped
        ),
        (120, 121, 122, 123)
    );
    assert_eq!(
        (counts.documents_taken, counts.documents_turned_down),
        (124, 125)
    );
    assert_eq!((counts.most_open, counts.most_held), (126, 127));
}

fn check_traffic(state: &State) {
    let flow = &state.crossed[0];
    assert_eq!(
        (flow.from.as_str(), flow.to.as_str(), flow.reason),
        ("a", "b", Reason::Further)
    );
    assert_eq!((flow.plan.as_str(), flow.volume.as_str()), ("base", "v"));
    assert_eq!(flow.request_class, "read");
    assert_eq!(
        (flow.total.frames, flow.total.bytes, flow.total.for_nothing),
        (201, 202, 203)
    );
    let overrun = &state.past[0];
    assert_eq!(
        (overrun.budget.as_str(), overrun.cause.as_str()),
        ("a-b", "further legs")
    );
    assert_eq!(
        (overrun.from_us, overrun.to_us, overrun.bytes),
        (301, 302, 303)
    );
}

fn check_fleet_and_maintenance(state: &State) {
    let fleet = state.fleet.as_ref().unwrap();
    assert_eq!((fleet.name.as_str(), fleet.lease_ms), ("f", 401.5));
    assert_eq!(fleet.budgets, [(402, "v".to_string())]);
    let maintenance = state.maintenance.as_ref().unwrap();
    assert!(maintenance.known && maintenance.anew);
    let order = &maintenance.orders[0];
    assert_eq!((order.server.as_str(), order.before), ("n1", 501));
    assert_eq!((order.for_ms, order.longest_ms), (502.5, 503.5));
    assert_eq!(
        (order.waits.as_str(), order.reason.as_str()),
        ("for its leases", "disks")
    );
    assert_eq!(order.hosts, ["h2"]);
}

/// The current types write the same keys and values, those of the fleet's status included.
#[test]
fn a_state_is_written_with_the_keys_of_an_earlier_version() {
    let reply: ControlReply = serde_json::from_str(STATE).unwrap();
    let expected: Value = serde_json::from_str(STATE).unwrap();
    assert_eq!(serde_json::to_value(&reply).unwrap(), expected);
}

#[test]
fn other_replies_are_written_as_by_an_earlier_version() {
    let change = json!({
        "of": "plan \"base\"", "what": "limit", "from": "1", "to": "2", "class": "dangerous",
        "while_serving": true, "why": "because", "hosts": ["h1"],
    });
    let texts = [
        json!({ "told": "taken", "revision": 8, "changes": [change] }),
        json!({ "told": "turned-down", "why": ["a", "b"] }),
        json!({ "told": "broken", "problems": [] }),
        json!({ "told": "word-taken" }),
        json!({ "told": "error", "why": "not understood" }),
    ];
    for text in texts {
        let reply: ControlReply = serde_json::from_value(text.clone()).unwrap();
        assert_eq!(serde_json::to_value(&reply).unwrap(), text);
    }
}

#[test]
fn requests_are_written_as_by_an_earlier_version() {
    let command = json!({
        "ask": "word", "kind": "out", "names": ["n1", "a"], "longest_ms": 601, "cell_away": true,
        "returns": true, "reason": "disks",
    });
    let texts = [
        json!({ "ask": "reload", "insist": true }),
        json!({ "ask": "status" }),
        command.clone(),
    ];
    for text in texts {
        let request: ControlRequest = serde_json::from_value(text.clone()).unwrap();
        assert_eq!(serde_json::to_value(&request).unwrap(), text);
    }
    let request: ControlRequest = serde_json::from_value(command).unwrap();
    let ControlRequest::OperatorCommand(command) = request else {
        panic!("not a command")
    };
    let expected = OperatorCommand {
        kind: "out".into(),
        names: vec!["n1".into(), "a".into()],
        longest_ms: 601,
        shard_away: true,
        returns: true,
        reason: "disks".into(),
    };
    assert_eq!(command, expected);
}
