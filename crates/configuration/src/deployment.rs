//! All that a document says, with its parts fit together. Nothing here reads documents: [`crate::build`]
//! does.

pub use crate::entities::*;
use crate::routes::Routes;
use gullsail_fleet::maintenance::MaintenanceConfig;
use gullsail_scheduler_api::{CrossZoneBudget, HostId, SchedulerConfig, Span};
use std::collections::BTreeMap;

/// All that a document says. A field for each kind of entry: readers need single ones, and the whole is replaced at
/// a reload.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Names of zones, by [`ZoneId`](gullsail_scheduler_api::ZoneId).
    pub zones: Vec<String>,
    /// By [`RequestClassId`](gullsail_scheduler_api::RequestClassId).
    pub request_classes: Vec<NamedRequestClass>,
    /// By [`PlanId`](gullsail_scheduler_api::PlanId).
    pub plans: Vec<NamedPlan>,
    /// In the order of the document.
    pub volumes: Vec<NamedVolume>,
    /// By [`HostId`].
    pub hosts: Vec<Place>,
    /// The storage nodes.
    pub nodes: Vec<NodePlace>,
    /// What simulated nodes run on.
    pub servers: Vec<Server>,
    /// The endpoint list service.
    pub list: Place,
    /// By how much the endpoint list lags behind.
    pub list_late: Span,
    /// How long after the notice of a drain an attempt may still begin (rule 3).
    pub drain_grace: Span,
    /// What bounds a host's memory and waits.
    pub bounds: HostBounds,
    /// Bytes of a unit of work, if stated.
    pub unit: Option<f64>,
    /// Where new objects may be placed.
    pub routes: Routes,
    /// The budgets of bytes between zones.
    pub cross_zone_budgets: Vec<NamedCrossZoneBudget>,
    /// The `fleet` entry; `None`: hosts do not coordinate.
    pub fleet: Option<NamedFleet>,
    /// The `works` entry; `None`: servers are not taken offline by orders.
    pub maintenance: Option<MaintenanceConfig>,
    /// The document's revision and its predecessor.
    pub place: RevisionPlace,
    /// What this revision and those before it allow each volume, oldest first.
    pub limit_history: Vec<gullsail_config_transition::RevisionLimits>,
    pub(crate) config: SchedulerConfig,
    pub(crate) volumes_by_name: BTreeMap<String, usize>,
}

impl Deployment {
    /// The figures that are the same at every host.
    pub fn figures(&self) -> &SchedulerConfig {
        &self.config
    }

    /// What the decisions at one host are told.
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

    /// The budgets as one host shares them.
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

    /// The number of a host, by its name.
    pub fn host(&self, name: &str) -> Option<HostId> {
        self.hosts
            .iter()
            .position(|h| h.name == name)
            .map(|p| HostId(p as u32))
    }

    /// A volume, by its name.
    pub fn volume(&self, name: &str) -> Option<&NamedVolume> {
        self.volume_at(name).map(|place| &self.volumes[place])
    }

    /// Its place among the volumes.
    pub fn volume_at(&self, name: &str) -> Option<usize> {
        self.volumes_by_name.get(name).copied()
    }

    /// A node, by its name.
    pub fn node(&self, name: &str) -> Option<&NodePlace> {
        self.nodes.iter().find(|n| n.place.name == name)
    }
}
