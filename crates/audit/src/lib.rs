//! Checks a recorded run against the gateway's rules. The only inputs are the recording that proxies and the
//! scenario runner wrote, and the configuration. The audit shares neither state nor code with a host.
//! The scenario runner calls it after each run, and the command line calls it for a recording on disk.
//!
//! [`History`] sorts the recording into requests, attempts, processes and hosts; each rule is a function of it in
//! `rules`. A [`Verdict`] tells whether its rule was kept, how often it was tested, how close the run came to the
//! rule's bound, and which lines of the recording show each breach.

mod error;
mod history;
mod rules;
mod verdict;

pub use error::RecordingError;
pub use history::History;
pub use verdict::{Breach, Verdict, table};

use gullsail_configuration::Deployment;
use std::collections::BTreeMap;

/// Judges a complete recording. `deployment` is the configuration at the start of the run.
///
/// # Errors
/// A line of the recording is not a valid entry, or a configuration in it cannot be parsed.
pub fn judge(deployment: &Deployment, recording: &str) -> Result<Vec<Verdict>, RecordingError> {
    let history = History::read(deployment, recording)?;
    Ok(rules::judge(deployment, &history))
}

/// Sums the bytes of attempts and of nodes' answers that crossed zones. The key is the host's name, the zone of
/// the sender and the zone of the receiver.
///
/// # Errors
/// A line of the recording is not a valid entry, or a configuration in it cannot be parsed.
pub fn crossed(
    deployment: &Deployment,
    recording: &str,
) -> Result<BTreeMap<(String, String, String), u64>, RecordingError> {
    let history = History::read(deployment, recording)?;
    let mut bytes_by_host = BTreeMap::new();
    for frame in &history.frames {
        let Some(from) = location(deployment, &frame.from) else {
            continue;
        };
        let Some(to) = location(deployment, &frame.to) else {
            continue;
        };
        if from.zone != to.zone {
            let host = if from.is_host { &frame.from } else { &frame.to };
            let key = (host.clone(), from.zone.to_string(), to.zone.to_string());
            *bytes_by_host.entry(key).or_default() += frame.bytes as u64;
        }
    }
    Ok(bytes_by_host)
}

struct Location<'a> {
    zone: &'a str,
    is_host: bool,
}

fn location<'a>(deployment: &'a Deployment, name: &str) -> Option<Location<'a>> {
    let host = deployment.hosts.iter().find(|host| host.name == name);
    let place = host.or_else(|| deployment.node(name).map(|node| &node.place))?;
    let zone = deployment.zones.get(place.zone.0)?;
    Some(Location {
        zone,
        is_host: host.is_some(),
    })
}
