//! Names and texts that operators and clients see: the keys of the metrics in the log, errors of settings documents,
//! and responses to invalid requests.

use crate::rig::{DISCOVERY, settings_document};
use gullsail_platform::core::{Metrics, RequestError};
use gullsail_platform::settings_document::SettingsDocument;
use gullsail_scheduler_api::AttemptOutcome;

#[test]
fn metrics_keep_their_keys_and_order() {
    let expected = concat!(
        r#"{"connections_accepted":0,"connection_limit_reached":0,"clients_evicted":0,"input_overflows":0,"#,
        r#""requests_accepted":0,"requests_succeeded":0,"requests_rejected":0,"requests_failed":0,"#,
        r#""clients_disconnected":0,"invalid_requests":{},"attempts_sent":0,"attempt_outcomes":{},"#,
        r#""malformed_responses":{},"unsolicited_input":0,"node_connections_opened":0,"#,
        r#""node_connections_reused":0,"idle_connections_found_closed":0,"connect_failures":0,"#,
        r#""connections_lost":0,"same_process_after_break":0,"discovery_snapshots":0,"discovery_entries":0,"#,
        r#""discovery_lost":0,"discovery_entries_skipped":0,"reports_sent":0,"reports_received":0,"#,
        r#""foreign_datagrams":0,"reloads":0}"#
    );
    assert_eq!(
        serde_json::to_string(&Metrics::default()).unwrap(),
        expected
    );
}

#[test]
fn invalid_requests_keep_their_keys_and_order() {
    let names = [
        (RequestError::Malformed, "malformed"),
        (RequestError::HeadTooLong, "head_too_long"),
        (RequestError::BodyTooLong, "body_too_long"),
        (RequestError::TooSlow, "too_slow"),
        (RequestError::Path, "path"),
        (RequestError::Method, "method"),
        (RequestError::RequestClass, "request_class"),
        (RequestError::Plan, "plan"),
        (RequestError::TraceId, "trace_id"),
        (RequestError::Deadline, "deadline"),
        (RequestError::UnitsShardOrHosts, "units_shard_or_hosts"),
        (RequestError::IdempotencyKey, "idempotency_key"),
        (RequestError::LengthRequired, "length_required"),
        (RequestError::ReadWithBody, "read_with_body"),
        (RequestError::DuplicateTraceId, "duplicate_trace_id"),
        (RequestError::OutOfMemory, "out_of_memory"),
        (RequestError::ShuttingDown, "shutting_down"),
    ];
    for (error, name) in names {
        assert_eq!(
            serde_json::to_string(&error).unwrap(),
            format!("\"{name}\"")
        );
    }
    assert!(names.is_sorted_by_key(|(error, _)| *error));
}

/// These texts contain names of types, which therefore must not be renamed.
#[test]
fn document_errors_keep_their_texts() {
    let valid = settings_document(256, 32, DISCOVERY);
    let page =
        &valid[valid.find(r#""known":{"#).unwrap() + 8..valid.find(r#","settings""#).unwrap()];
    let limits = r#"{"cores":1.0,"memory_mb":32,"sockets":256}"#;
    let cases = [
        (
            valid.replace(limits, "[1]"),
            "at limits: invalid length 1, expected struct Limits with 3 elements",
        ),
        (
            "7".to_string(),
            "at .: invalid type: integer `7`, expected struct Written",
        ),
        (
            valid.replace(limits, "7"),
            "at limits: invalid type: integer `7`, expected struct Limits",
        ),
        (
            valid.replace(page, "7"),
            "at known: invalid type: integer `7`, expected struct Page",
        ),
    ];
    for (text, expected) in cases {
        let error = SettingsDocument::parse("d", &text).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}

/// The keys under which the metrics count the outcomes of attempts.
#[test]
fn attempt_outcomes_keep_their_keys() {
    let names = [
        (AttemptOutcome::Succeeded, "succeeded"),
        (AttemptOutcome::Failed, "failed"),
        (AttemptOutcome::Rejected, "rejected"),
        (AttemptOutcome::Unreachable, "unreachable"),
        (AttemptOutcome::NotSent, "not_sent"),
        (AttemptOutcome::TimedOut, "timed_out"),
        (AttemptOutcome::ConnectionLost, "connection_lost"),
        (AttemptOutcome::Cancelled, "cancelled"),
    ];
    for (outcome, name) in names {
        let mut metrics = Metrics::default();
        metrics.count_outcome(outcome);
        assert_eq!(
            metrics.attempt_outcomes.into_iter().collect::<Vec<_>>(),
            [(name, 1)]
        );
    }
}

/// An error with the expected response to the invalid request.
struct Response {
    error: RequestError,
    status: u16,
    body: &'static str,
}

const fn response_to(error: RequestError, status: u16, body: &'static str) -> Response {
    Response {
        error,
        status,
        body,
    }
}

const RESPONSES: [Response; 17] = [
    response_to(
        RequestError::Malformed,
        400,
        "an HTTP/1.1 message with one sound length was meant",
    ),
    response_to(
        RequestError::HeadTooLong,
        431,
        "a head of at most 16 KiB was meant",
    ),
    response_to(
        RequestError::BodyTooLong,
        413,
        "a body of at most 64 KiB was meant",
    ),
    response_to(
        RequestError::TooSlow,
        408,
        "a whole message within two seconds was meant",
    ),
    response_to(
        RequestError::Path,
        404,
        "a path of stream type, volume and object was meant",
    ),
    response_to(
        RequestError::Method,
        405,
        "GET for a read and PUT for a write were meant",
    ),
    response_to(
        RequestError::RequestClass,
        400,
        "X-Qos with the stream type of the path was meant",
    ),
    response_to(
        RequestError::Plan,
        400,
        "X-Storage-Class with a plan of the settings was meant",
    ),
    response_to(
        RequestError::TraceId,
        400,
        "X-Trace-Id with 16 hexadecimal digits was meant",
    ),
    response_to(
        RequestError::Deadline,
        400,
        "X-Expires-In-Ms with whole milliseconds was meant",
    ),
    response_to(
        RequestError::UnitsShardOrHosts,
        400,
        "X-Extent with units, shard and hosts in range was meant",
    ),
    response_to(
        RequestError::IdempotencyKey,
        400,
        "an Idempotency-Key was meant",
    ),
    response_to(
        RequestError::LengthRequired,
        411,
        "a length of the body was meant",
    ),
    response_to(
        RequestError::ReadWithBody,
        400,
        "a read without a body was meant",
    ),
    response_to(
        RequestError::DuplicateTraceId,
        409,
        "an id that is not open was meant",
    ),
    response_to(
        RequestError::OutOfMemory,
        413,
        "the host holds all that it has room for",
    ),
    response_to(
        RequestError::ShuttingDown,
        503,
        "another host was meant: this one leaves",
    ),
];

/// Clients depend on these statuses and bodies, so they must not change with the names in this program.
#[test]
fn responses_to_invalid_requests_keep_their_status_and_body() {
    for Response {
        error,
        status,
        body,
    } in RESPONSES
    {
        assert_eq!(error.status().code, status, "{error:?}");
        assert_eq!(error.expected(), body, "{error:?}");
    }
}
