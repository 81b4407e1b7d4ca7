//! What a diff says of values: programs read these texts, so they are those of the version before the types
//! were renamed, to the letter.

use gullsail_configuration::{diff::diff, parse};

#[test]
fn values_stand_as_an_earlier_version_wrote_them() {
    let old = parse("old.kdl", include_str!("diff/old.kdl")).unwrap();
    let new = parse("new.kdl", include_str!("diff/new.kdl")).unwrap();
    let changes: Vec<_> = diff(&old, &new)
        .iter()
        .map(|c| serde_json::to_string(c).unwrap())
        .collect();
    let expected: Vec<_> = include_str!("diff/changes.jsonl").lines().collect();
    assert_eq!(changes, expected);
}
