//! Names and their numbers.

use gullsail_scheduler_api::ZoneId;
use gullsail_scheduler_settings::Names;

/// Rule 2: nodes of zones that no settings name are not of one zone because of it.
#[test]
fn unknown_zones_are_no_zone_together() {
    let names = Names {
        zones: vec!["a".into()],
        ..Names::default()
    };
    let all = ["a", "x", "y", ""].map(|n| names.zone(n));
    assert_eq!((all[0], names.zone("x")), (ZoneId(0), all[1]));
    assert!(all.iter().enumerate().all(|(at, z)| !all[..at].contains(z)));
}
