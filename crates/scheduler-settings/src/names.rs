//! Names and ids: the names of zones, plans and request classes in the settings, and the hash from which the ids of
//! other names are made.

use gullsail_scheduler_api::{PlanId, RequestClassId, ZoneId};
use std::hash::Hasher;

/// A name or word that the settings do not define.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown {kind} '{found}'")]
pub struct UnknownName {
    /// The kind of name or word, such as `plan`, or the key of the setting.
    kind: &'static str,
    /// The unknown name or word.
    found: String,
}

impl UnknownName {
    /// Reports an unknown name or word, cut to a length that fits into a log line.
    pub fn unknown(kind: &'static str, found: &str) -> UnknownName {
        UnknownName {
            kind,
            found: found.chars().take(80).collect(),
        }
    }
}

/// A bit in the id of each zone that the settings do not name. It is the highest bit, so no such id is the
/// position of a named zone.
const UNKNOWN_ZONE: usize = 1 << (usize::BITS - 1);

/// The names in one host's settings. The position of a name is its id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The zones, indexed by `ZoneId`.
    pub zones: Vec<String>,
    /// The plans, indexed by `PlanId`.
    pub plans: Vec<String>,
    /// The request classes, indexed by `RequestClassId`.
    pub request_classes: Vec<String>,
}

impl Names {
    /// The id of a plan. If the settings have no plans, every name stands for the default plan, which has no limit
    /// and no reserve.
    ///
    /// # Errors
    /// The settings have plans, but none of this name.
    pub fn plan(&self, name: &str) -> Result<PlanId, UnknownName> {
        if self.plans.is_empty() {
            return Ok(PlanId(0));
        }
        position(&self.plans, name)
            .map(PlanId)
            .ok_or_else(|| UnknownName::unknown("plan", name))
    }

    /// The id of a request class.
    ///
    /// # Errors
    /// The settings have no request class of this name.
    pub fn request_class(&self, name: &str) -> Result<RequestClassId, UnknownName> {
        position(&self.request_classes, name)
            .map(RequestClassId)
            .ok_or_else(|| UnknownName::unknown("request class", name))
    }

    /// The id of a zone. Each zone that the settings do not name gets a different id, made of the hash of its name.
    /// With one id for all of them, their nodes would count as nodes of one zone, which know the same idempotency
    /// keys.
    pub fn zone(&self, name: &str) -> ZoneId {
        let unknown = || hash(name) as usize | UNKNOWN_ZONE;
        ZoneId(position(&self.zones, name).unwrap_or_else(unknown))
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The id for a name. It is a hash, so that it is the same at every host and in every process.
pub fn hash(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
