//! What hosts wrote down of what they may use, and of machines out for work, from their logs into the
//! recording.

use super::*;

/// A line of a host's log, of those that tell of parts.
#[derive(serde::Deserialize)]
struct Line {
    timestamp: String,
    target: String,
    incarnation: u64,
    epoch: u64,
    lasts_us: i64,
    /// An object in itself.
    parts: String,
}

/// And of those that tell of an order's stage.
#[derive(serde::Deserialize)]
struct StageLine {
    timestamp: String,
    target: String,
    server: String,
    number: u64,
    stage: String,
}

impl Day<'_> {
    /// Lines that are cut, where a host was killed, tell nothing.
    pub(super) fn record_allocations(&mut self) {
        for host in self.host_names().iter().filter(|_| self.d.fleet.is_some()) {
            let file = self.stage.dir.join(format!("{host}.log"));
            let log = std::fs::read_to_string(file).unwrap_or_default();
            let stages = log
                .lines()
                .filter_map(|l| serde_json::from_str::<StageLine>(l).ok());
            for l in stages.filter(|l| l.target == "gullsail_works") {
                if let Ok(when) = humantime::parse_rfc3339(&l.timestamp) {
                    let StageLine {
                        server,
                        number,
                        stage,
                        ..
                    } = l;
                    self.wire.record_at(
                        host,
                        when,
                        What::Stage {
                            server,
                            number,
                            stage,
                        },
                    );
                }
            }
            let lines = log
                .lines()
                .filter_map(|l| serde_json::from_str::<Line>(l).ok());
            for l in lines.filter(|l| l.target == "gullsail_parts") {
                let when = humantime::parse_rfc3339(&l.timestamp);
                if let (Ok(when), Ok(parts)) = (when, serde_json::from_str(&l.parts)) {
                    let what = What::Parts {
                        incarnation: l.incarnation,
                        epoch: l.epoch,
                        lasts_us: l.lasts_us,
                        parts,
                    };
                    self.wire.record_at(host, when, what);
                }
            }
        }
    }
}
