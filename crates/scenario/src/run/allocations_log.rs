//! Copies the shares and maintenance stages that hosts logged into the recording, for the audit.

use super::ScenarioRun;
use gullsail_protocol::record::What;

/// A log line that reports a host's shares.
#[derive(serde::Deserialize)]
struct SharesLine {
    timestamp: String,
    target: String,
    incarnation: u64,
    epoch: u64,
    lasts_us: i64,
    /// A JSON object as text: shares by budget.
    parts: String,
}

/// A log line that reports the stage of a maintenance order.
#[derive(serde::Deserialize)]
struct StageLine {
    timestamp: String,
    target: String,
    server: String,
    number: u64,
    stage: String,
}

impl ScenarioRun<'_> {
    /// Records the shares and stages from the logs of all hosts. Lines that cannot be parsed are skipped, since the log
    /// of a killed host may end with an incomplete line.
    pub(super) fn record_allocations(&mut self) {
        for host in self
            .host_names()
            .iter()
            .filter(|_| self.deployment.fleet.is_some())
        {
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
                .filter_map(|l| serde_json::from_str::<SharesLine>(l).ok());
            for l in lines.filter(|l| l.target == "gullsail_parts") {
                let when = humantime::parse_rfc3339(&l.timestamp);
                if let (Ok(when), Ok(parts)) = (when, serde_json::from_str(&l.parts)) {
                    let what = What::Parts {
                        incarnation: l.incarnation,
                        epoch: l.epoch,
                        lease_us: l.lasts_us,
                        shares: parts,
                    };
                    self.wire.record_at(host, when, what);
                }
            }
        }
    }
}
