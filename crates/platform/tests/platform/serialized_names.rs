//! Names that leave the process: the metrics' keys and the texts of errors in settings documents.

use crate::rig::*;
use gullsail_platform::core::{Metrics, RequestError};
use gullsail_platform::settings_document::SettingsDocument;

#[test]
fn metrics_keep_their_keys_and_order() {
    let expected = concat!(
        r#"{"accepted":0,"no_place":0,"made_room":0,"crowded":0,"taken":0,"done":0,"deferred":0,"abandoned":0,"#,
        r#""client_left":0,"refused":{},"sent":0,"endings":{},"spoilt":{},"surplus":0,"opened":0,"#,
        r#""used_again":0,"found_dead":0,"not_reached":0,"breaks":0,"lives_on":0,"lists":0,"changes":0,"#,
        r#""list_lost":0,"entries_skipped":0,"told":0,"heard":0,"foreign_datagrams":0,"reloads":0}"#
    );
    assert_eq!(
        serde_json::to_string(&Metrics::default()).unwrap(),
        expected
    );
}

#[test]
fn invalid_requests_keep_their_keys_and_order() {
    let names = [
        (RequestError::Malformed, "unreadable"),
        (RequestError::HeadTooLong, "head_too_long"),
        (RequestError::BodyTooLong, "body_too_long"),
        (RequestError::TooSlow, "too_slow"),
        (RequestError::Path, "path"),
        (RequestError::Method, "method"),
        (RequestError::RequestClass, "stream_type"),
        (RequestError::Plan, "plan"),
        (RequestError::TraceId, "trace"),
        (RequestError::Deadline, "expiry"),
        (RequestError::Extent, "extent"),
        (RequestError::IdempotencyKey, "key"),
        (RequestError::LengthRequired, "length"),
        (RequestError::ReadWithBody, "read_with_body"),
        (RequestError::DuplicateTraceId, "id_is_open"),
        (RequestError::OutOfMemory, "no_room"),
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

/// Some of these texts name a type.
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
