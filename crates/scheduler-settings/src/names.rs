//! Names and ids: the names of zones, plans and request classes in the settings, and the hash that makes ids of
//! other names.

use gullsail_scheduler_api::{PlanId, RequestClassId, ZoneId};
use std::hash::Hasher;

/// A name or word that the settings do not define.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown {what} '{found}'")]
pub struct Problem {
    what: &'static str,
    found: String,
}

impl Problem {
    /// An unknown word `found` for `what`, cut to a length that fits into a log line.
    pub fn unknown(what: &'static str, found: &str) -> Problem {
        Problem {
            what,
            found: found.chars().take(80).collect(),
        }
    }
}

/// Set in the id of each zone that the settings do not name: the highest bit, so that the id is no position.
const UNKNOWN_ZONE: usize = 1 << (usize::BITS - 1);

/// The names in one host's settings, in the order of their ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Zones, by `ZoneId`.
    pub zones: Vec<String>,
    /// Plans, by `PlanId`.
    pub plans: Vec<String>,
    /// Request classes, by `RequestClassId`.
    pub request_classes: Vec<String>,
}

impl Names {
    /// The id of a plan. If the settings have no plans, every name stands for the one plan without limit and
    /// reserve.
    ///
    /// # Errors
    /// The settings have plans, but none of this name.
    pub fn plan(&self, name: &str) -> Result<PlanId, Problem> {
        if self.plans.is_empty() {
            return Ok(PlanId(0));
        }
        position(&self.plans, name)
            .map(PlanId)
            .ok_or_else(|| Problem::unknown("plan", name))
    }

    /// The id of a request class.
    ///
    /// # Errors
    /// The settings have no request class of this name.
    pub fn request_class(&self, name: &str) -> Result<RequestClassId, Problem> {
        position(&self.request_classes, name)
            .map(RequestClassId)
            .ok_or_else(|| Problem::unknown("request class", name))
    }

    /// The id of a zone. A zone that the settings do not name gets an id of its own, above all positions: the
    /// nodes of two such zones must not pass for one zone, whose nodes share their knowledge of idempotency
    /// keys.
    pub fn zone(&self, name: &str) -> ZoneId {
        let unknown = || hash(name) as usize | UNKNOWN_ZONE;
        ZoneId(position(&self.zones, name).unwrap_or_else(unknown))
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The id for a name. Ids are hashes because they must be the same at every host and in every process.
pub fn hash(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
