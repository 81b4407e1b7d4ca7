//! Recordings made by hand: a sound one, and others with planted breaches, which must be found.

mod breaches;
mod evidence;
mod fleet;
mod limits;
mod recording;

use gullsail_audit::{Verdict, judge};
use gullsail_configuration::parse;
use gullsail_protocol::record::ProcessEvent;
use recording::{DOCUMENT, sound};

#[test]
fn a_sound_recording_keeps_and_tests_every_rule() {
    for verdict in sound().judge() {
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
fn what_a_killed_host_held_is_no_breach() {
    let mut r = sound();
    r.submit(50_000, "h1", 90, "read", "v", 1.0);
    r.process("h1", 50_100, ProcessEvent::Killed);
    r.served(60_000, "h2", 91, "read");
    assert!(r.judge().iter().all(Verdict::passed));
}

#[test]
fn a_recording_that_is_cut_off_is_refused_with_its_line() {
    let r = sound();
    let d = parse("planted.kdl", DOCUMENT).unwrap();
    let text = r.lines.join("\n");
    let error = judge(&d, &text[..text.len() - 5]).unwrap_err().to_string();
    assert!(
        error.starts_with(&format!("line {} of the recording", r.lines.len())),
        "{error}"
    );
}
