//! Names and numbers: what the settings call zones, plans and request classes, and the hash that gives other
//! things their numbers.

use gullsail_scheduler_api::{PlanId, RequestClassId, ZoneId};
use std::hash::Hasher;

/// A setting whose word is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown {what} '{found}'")]
pub struct Problem {
    what: &'static str,
    found: String,
}

impl Problem {
    /// Such a word, cut to a length that fits into a message.
    pub fn unknown(what: &'static str, found: &str) -> Problem {
        Problem {
            what,
            found: found.chars().take(80).collect(),
        }
    }
}

/// The names of one host's settings, in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// By `ZoneId`.
    pub zones: Vec<String>,
    /// By `PlanId`.
    pub plans: Vec<String>,
    /// By `RequestClassId`.
    pub request_classes: Vec<String>,
}

impl Names {
    /// The plan of a name. Where the settings have no plans, any name is the one that has neither limit nor
    /// reserve.
    ///
    /// # Errors
    /// No plan is called so.
    pub fn plan(&self, name: &str) -> Result<PlanId, Problem> {
        if self.plans.is_empty() {
            return Ok(PlanId(0));
        }
        place(&self.plans, name)
            .map(PlanId)
            .ok_or_else(|| Problem::unknown("plan", name))
    }

    /// The request class of a name.
    ///
    /// # Errors
    /// No request class is called so.
    pub fn request_class(&self, name: &str) -> Result<RequestClassId, Problem> {
        place(&self.request_classes, name)
            .map(RequestClassId)
            .ok_or_else(|| Problem::unknown("stream type", name))
    }

    /// The zone of a name. A zone that no settings name is none of theirs, and not that of another such name:
    /// nodes of two of them must not be taken for one group that knows a keyed request's repeats.
    pub fn zone(&self, name: &str) -> ZoneId {
        ZoneId(
            place(&self.zones, name)
                .unwrap_or_else(|| hash(name) as usize | 1 << (usize::BITS - 1)),
        )
    }
}

fn place(list: &[String], name: &str) -> Option<usize> {
    list.iter().position(|n| n == name)
}

/// Ids must be the same at every host and in every process, so they are hashes of the names.
pub fn hash(name: &str) -> u64 {
    let mut h = fnv::FnvHasher::default();
    h.write(name.as_bytes());
    h.finish()
}
