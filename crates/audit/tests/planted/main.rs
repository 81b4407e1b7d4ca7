//! Judges handmade recordings: one that keeps every rule, and others with planted breaches that must be found.

mod breaches;
mod evidence;
mod fleet;
mod limits;
mod recording;

use gullsail_audit::{Verdict, judge};
use gullsail_configuration::parse;
use gullsail_protocol::record::ProcessEvent;
use recording::{DOCUMENT, clean_recording};

#[test]
fn a_recording_without_breaches_keeps_and_tests_every_rule() {
    for verdict in clean_recording().judge() {
        assert!(
            verdict.passed(),
            "rule {}: {:?}",
            verdict.rule,
            verdict.breaches
        );
        assert!(verdict.tested > 0, "rule {}", verdict.rule);
    }
}

#[test]
fn an_unanswered_request_at_a_killed_host_is_no_breach() {
    let mut r = clean_recording();
    r.submit(50_000, "h1", 90, "read", "v", 1.0);
    r.process("h1", 50_100, ProcessEvent::Killed);
    r.served(60_000, "h2", 91, "read");
    assert!(r.judge().iter().all(Verdict::passed));
}

#[test]
fn a_truncated_recording_is_refused_with_the_line_number() {
    let r = clean_recording();
    let d = parse("planted.kdl", DOCUMENT).unwrap();
    let text = r.lines.join("\n");
    let error = judge(&d, &text[..text.len() - 5]).unwrap_err().to_string();
    assert!(
        error.starts_with(&format!("line {} of the recording", r.lines.len())),
        "{error}"
    );
}
