//! Recordings written by earlier versions stay readable, and new recordings have the same keys.

use gullsail_protocol::record::Entry;

/// Entries as an earlier version wrote them, whose types had other names than today.
const RECORDED: &str = include_str!("recorded.jsonl");

#[test]
fn entries_of_an_earlier_version_are_read_and_written_unchanged() {
    for line in RECORDED.lines() {
        let entry: Entry = serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        assert_eq!(serde_json::to_string(&entry).unwrap(), line);
    }
}
