//! What this host counted since its start, by cause: to be set against what went over the sockets.

use super::ask::Refused;
use gullsail_scheduler_api::AttemptOutcome;
use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Connections of clients; those to which nobody could give way; those closed to make room; those on which more came
    /// behind an open request than may wait.
    pub accepted: u64,
    pub no_place: u64,
    pub made_room: u64,
    pub crowded: u64,
    /// Requests, and how they were answered.
    pub taken: u64,
    pub done: u64,
    #[serde(rename = "deferred")]
    pub rejected: u64,
    #[serde(rename = "abandoned")]
    pub failed: u64,
    pub client_left: u64,
    /// Messages that were no request.
    pub refused: BTreeMap<Refused, u64>,
    /// Attempts that went out, and how all ended.
    pub sent: u64,
    pub endings: BTreeMap<&'static str, u64>,
    /// Answers that could not be read, and bytes that nobody had asked for.
    pub spoilt: BTreeMap<String, u64>,
    pub surplus: u64,
    /// Connections to nodes.
    pub opened: u64,
    pub used_again: u64,
    pub found_dead: u64,
    pub not_reached: u64,
    /// Breaks, and those after which the same process was proven to live on.
    pub breaks: u64,
    pub lives_on: u64,
    pub lists: u64,
    pub changes: u64,
    pub list_lost: u64,
    /// Entries of the list that could not be read.
    pub entries_skipped: u64,
    pub told: u64,
    pub heard: u64,
    pub foreign_datagrams: u64,
    pub reloads: u64,
}

impl Counts {
    pub fn outcome(&mut self, outcome: AttemptOutcome) {
        let name = match outcome {
            AttemptOutcome::Succeeded => "done",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Rejected => "turned_away",
            AttemptOutcome::Unreachable => "unreached",
            AttemptOutcome::NotSent => "unsent",
            AttemptOutcome::TimedOut => "timed_out",
            AttemptOutcome::ConnectionLost => "broken",
            AttemptOutcome::Cancelled => "cancelled",
        };
        *self.endings.entry(name).or_default() += 1;
    }
}
