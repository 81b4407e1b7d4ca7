//! The configuration documents of a run. Each differs from the previous one.

use super::{HOSTS, SHARDS, VOLUMES};
use gullsail_configuration::{Deployment, Memory, load};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The text of document `n`. From each document to the next, volumes are added and removed, and the order of plans, the
/// kind of a pool and the volume of a route change.
fn text(n: u64) -> String {
    let mut t = String::from(
        "rules tick=\"20ms\" order-settle=\"50ms\" most-units=8 advice=\"1s\"\n\
         cold units=24 window=\"1s\" first-part=0.2 ramp=\"5s\"\nlegs most=3 free=20 share=0.2 window=\"5s\"\n\
         stream-type \"read\" effect=\"repeatable\" slo=\"400ms\" expiry=\"2s\"\n\
         stream-type \"write\" effect=\"keyed\" group=\"cell\" window=\"5s\" slo=\"400ms\" expiry=\"2s\" write=#true\n\
         stream-type \"trip\" effect=\"unrepeatable\" slo=\"400ms\" expiry=\"2s\" write=#true in-order=#true\n\
         machine \"box\" cores=2 unit=\"4ms\" queue=30\nlist address=\"list\"\nzone \"a\"\nzone \"b\"\n\
         crossing from=\"a\" to=\"b\" limit=\"64KiB/s\" burst=\"256KiB\"\nbounds body-bytes=\"16KiB\"\n",
    );
    let plans = [
        "plan \"free\"\n",
        "plan \"held\" limit=\"40units/s\" burst=64\n",
    ];
    t += &(plans[n as usize % 2].to_string() + plans[(n as usize + 1) % 2]);
    for h in 0..HOSTS {
        t += &format!(
            "host \"h{h}\" address=\"h{h}\" zone=\"{}\"\n",
            ["a", "b"][h % 2]
        );
    }
    for c in 0..SHARDS {
        t += &format!(
            "node \"n{c}\" cell={c} address=\"n{c}\" zone=\"{}\" kind=\"k{}\"\n",
            ["a", "b"][c as usize % 2],
            c % 2
        );
    }
    t += &format!("pool \"fast\" {{ kind \"k{}\"; }}\n", n % 2);
    for v in volumes(n) {
        t += &format!(
            "volume \"{v}\" plan=\"{}\"\n",
            if v.ends_with(['1', '3', '5', '7', '9']) {
                "held"
            } else {
                "free"
            }
        );
    }
    t + &format!(
        "route to=\"fast\" {{ volume \"{}\"; }}\nroute to=\"all\"\n",
        volumes(n)[0]
    )
}

/// The volumes of document `n`. Each document replaces two of the previous one's.
pub(super) fn volumes(n: u64) -> Vec<String> {
    (0..VOLUMES).map(|v| format!("v{}", v + 2 * n)).collect()
}

pub(super) fn document(n: u64) -> Arc<Deployment> {
    let revision = |n: u64, after: &str| text(n) + &format!("revision {n}{after}\n");
    let mut files = BTreeMap::new();
    let after = if n > 1 { " after=\"old.kdl\"" } else { "" };
    files.insert("new.kdl".to_string(), revision(n, after));
    files.insert("old.kdl".to_string(), revision(n.max(2) - 1, ""));
    let (d, _) = load(&Memory(files), "new.kdl").unwrap_or_else(|e| {
        panic!(
            "{e}: {:?}",
            e.problems
                .iter()
                .map(|p| p.diagnostic())
                .collect::<Vec<_>>()
        )
    });
    Arc::new(d)
}
