//! Recordings written by an earlier version stay readable, and what is written now has the same keys.

use gullsail_protocol::record::Entry;

/// One entry of each kind, as the version before the types were renamed wrote it.
const RECORDED: &str = include_str!("recorded.jsonl");

#[test]
fn entries_of_an_earlier_version_are_read_and_written_alike() {
    for line in RECORDED.lines() {
        let entry: Entry = serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        assert_eq!(serde_json::to_string(&entry).unwrap(), line);
    }
}
