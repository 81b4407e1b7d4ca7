//! Judges a recorded run by the rules that the gateway keeps, from what relays recorded and the configuration
//! alone. It shares no state with a host and none of its code. Called by the scenario runner after each run,
//! and by the command line for a recording on disk.
//!
//! [`History`] puts the recording in order by who did what; each rule is a function of it in `rules`. For
//! each rule the [`Verdict`] says whether it was kept, how often it was put to the test, how near its bound
//! came, and for each breach which lines of the recording show it.

mod error;
mod history;
mod rules;
mod verdict;

pub use error::RecordingError;
pub use history::History;
pub use verdict::{Breach, Verdict, table};

use gullsail_configuration::Deployment;
use std::collections::BTreeMap;

/// Judges a whole recording. `deployment`: the configuration that the run began with.
///
/// # Errors
/// A line that is no entry.
pub fn judge(deployment: &Deployment, recording: &str) -> Result<Vec<Verdict>, RecordingError> {
    let history = History::read(deployment, recording)?;
    Ok(rules::judge(deployment, &history))
}

/// Bytes of attempts and their answers that went from one zone to another to or from a host, by the host's
/// name and the names of the two zones.
///
/// # Errors
/// A line that is no entry.
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
