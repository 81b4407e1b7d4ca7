//! Values in a diff have fixed texts, since programs read them. A type or field that is renamed must not change them.

use gullsail_configuration::{diff::diff, parse};

#[test]
fn diff_equals_the_recorded_text() {
    let old = parse("old.kdl", include_str!("diff/old.kdl")).unwrap();
    let new = parse("new.kdl", include_str!("diff/new.kdl")).unwrap();
    let changes: Vec<_> = diff(&old, &new)
        .iter()
        .map(|c| serde_json::to_string(c).unwrap())
        .collect();
    let expected: Vec<_> = include_str!("diff/changes.jsonl").lines().collect();
    assert_eq!(changes, expected);
}
