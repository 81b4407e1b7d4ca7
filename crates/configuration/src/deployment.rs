//! The contents of a document, with references between entries resolved. [`crate::build`] creates it.

pub use crate::entities::*;
use crate::routes::Routes;
use gullsail_fleet::maintenance::MaintenanceConfig;
use gullsail_scheduler_api::{CrossZoneBudget, HostId, SchedulerConfig, Span};
use std::collections::BTreeMap;

/// The contents of a document, with one field for each kind of entry. It is immutable: a reload replaces it as a
/// whole.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The names of the zones, indexed by [`ZoneId`](gullsail_scheduler_api::ZoneId).
    pub zones: Vec<String>,
    /// The request classes, indexed by [`RequestClassId`](gullsail_scheduler_api::RequestClassId).
    pub request_classes: Vec<NamedRequestClass>,
    /// The plans, indexed by [`PlanId`](gullsail_scheduler_api::PlanId).
    pub plans: Vec<NamedPlan>,
    /// The volumes, in the order of the document.
    pub volumes: Vec<NamedVolume>,
    /// The hosts, indexed by [`HostId`].
    pub hosts: Vec<Place>,
    /// The storage nodes, in the order of the document; spare nodes are among them.
    pub nodes: Vec<NodePlace>,
    /// The servers that simulated nodes run on (`machine` entries).
    pub servers: Vec<Server>,
    /// The addresses of the endpoint list service. Its zone is always 0.
    pub list: Place,
    /// The delay with which the simulated list service publishes a change.
    pub list_late: Span,
    /// How long after the notice of a drain an attempt may still begin (rule 3).
    pub drain_grace: Span,
    /// The limits on a host's memory and on the waits at its sockets.
    pub bounds: HostBounds,
    /// The number of bytes that one unit of work stands for; `None`: not stated.
    pub unit: Option<f64>,
    /// The pools and routes that decide on which nodes new objects may be placed.
    pub routes: Routes,
    /// The budgets for traffic between zones.
    pub cross_zone_budgets: Vec<NamedCrossZoneBudget>,
    /// The `fleet` entry; `None`: hosts do not coordinate.
    pub fleet: Option<NamedFleet>,
    /// The `works` entry; `None`: maintenance orders are not supported.
    pub maintenance: Option<MaintenanceConfig>,
    /// The document's revision and the file of the revision before.
    pub place: RevisionPlace,
    /// The limits of each volume and cross-zone budget in this revision and in those before it, oldest first.
    pub limit_history: Vec<gullsail_config_transition::RevisionLimits>,
    pub(crate) config: SchedulerConfig,
    pub(crate) volumes_by_name: BTreeMap<String, usize>,
}

impl Deployment {
    /// The scheduler's configuration without the parts that differ between hosts (`me`, `zone`,
    /// `cross_zone_budgets`).
    pub fn figures(&self) -> &SchedulerConfig {
        &self.config
    }

    /// The scheduler's configuration at one host.
    pub fn config(&self, host_id: HostId) -> SchedulerConfig {
        let zone = self
            .hosts
            .get(host_id.0 as usize)
            .map(|h| h.zone)
            .filter(|_| !self.cross_zone_budgets.is_empty());
        SchedulerConfig {
            host_id,
            zone,
            cross_zone_budgets: self.cross_zone_budgets_at(host_id),
            ..self.config.clone()
        }
    }

    /// The cross-zone budgets as the scheduler of one host needs them: `host_count` is 0 for a budget in which the
    /// host has no share.
    pub fn cross_zone_budgets_at(&self, me: HostId) -> Vec<CrossZoneBudget> {
        let share = |c: &NamedCrossZoneBudget| CrossZoneBudget {
            id: c.id,
            scope: c.scope,
            limit: c.limit,
            hard: c.hard,
            host_count: if c.hosts.binary_search(&me).is_ok() {
                c.hosts.len() as u32
            } else {
                0
            },
        };
        self.cross_zone_budgets.iter().map(share).collect()
    }

    /// Returns the number of the host with this name.
    pub fn host(&self, name: &str) -> Option<HostId> {
        self.hosts
            .iter()
            .position(|h| h.name == name)
            .map(|p| HostId(p as u32))
    }

    /// Returns the volume with this name.
    pub fn volume(&self, name: &str) -> Option<&NamedVolume> {
        self.volume_at(name).map(|index| &self.volumes[index])
    }

    /// Returns the index of the volume with this name in `volumes`.
    pub fn volume_at(&self, name: &str) -> Option<usize> {
        self.volumes_by_name.get(name).copied()
    }

    /// Returns the node with this name.
    pub fn node(&self, name: &str) -> Option<&NodePlace> {
        self.nodes.iter().find(|n| n.place.name == name)
    }
}
