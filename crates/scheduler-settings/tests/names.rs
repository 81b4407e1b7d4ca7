//! Names in the settings and their ids.

use gullsail_scheduler_api::ZoneId;
use gullsail_scheduler_settings::Names;

/// Rule 2: zones that the settings do not name must not count as one zone, since the nodes of a zone know the same
/// idempotency keys.
#[test]
fn zones_missing_from_the_settings_get_different_ids() {
    let names = Names {
        zones: vec!["a".into()],
        ..Names::default()
    };
    let all = ["a", "x", "y", ""].map(|n| names.zone(n));
    assert_eq!((all[0], names.zone("x")), (ZoneId(0), all[1]));
    assert!(all.iter().enumerate().all(|(at, z)| !all[..at].contains(z)));
}
