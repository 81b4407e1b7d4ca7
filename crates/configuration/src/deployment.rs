//! All that a document says, with its parts fit together. Nothing here reads documents: [`crate::build`]
//! does.

pub use crate::entities::*;
use crate::routes::Routes;
use gullsail_fleet::maintenance::MaintenanceConfig;
use gullsail_scheduler_api::*;
use std::collections::BTreeMap;

/// All that a document says.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub zones: Vec<String>,
    pub request_classes: Vec<NamedRequestClass>,
    pub plans: Vec<NamedPlan>,
    pub volumes: Vec<NamedVolume>,
    pub hosts: Vec<Place>,
    pub nodes: Vec<NodePlace>,
    pub servers: Vec<Server>,
    pub list: Place,
    /// How late the list tells what it knows.
    pub list_late: Span,
    pub drain_grace: Span,
    pub bounds: HostBounds,
    /// Bytes that a unit of work stands for, where it is said.
    pub unit: Option<f64>,
    pub routes: Routes,
    pub cross_zone_budgets: Vec<NamedCrossZoneBudget>,
    /// How hosts settle things among themselves; `None`: they don't.
    pub fleet: Option<NamedFleet>,
    /// How machines go out for work; `None`: there are no such orders.
    pub maintenance: Option<MaintenanceConfig>,
    pub place: RevisionPlace,
    /// What this document and those before it promise of limits, oldest first.
    pub line: Vec<gullsail_config_transition::RevisionLimits>,
    pub(crate) config: SchedulerConfig,
    pub(crate) volumes_by_name: BTreeMap<String, usize>,
}

impl Deployment {
    /// The figures that are the same at every host.
    pub fn figures(&self) -> &SchedulerConfig {
        &self.config
    }

    /// What the decisions at one host are told.
    pub fn config(&self, me: HostId) -> SchedulerConfig {
        let zone = self
            .hosts
            .get(me.0 as usize)
            .map(|h| h.zone)
            .filter(|_| !self.cross_zone_budgets.is_empty());
        SchedulerConfig {
            me,
            zone,
            cross_zone_budgets: self.cross_zone_budgets_at(me),
            ..self.config.clone()
        }
    }

    /// The budgets as one host shares them.
    pub fn cross_zone_budgets_at(&self, me: HostId) -> Vec<CrossZoneBudget> {
        let share = |c: &NamedCrossZoneBudget| CrossZoneBudget {
            id: c.id,
            of: c.of,
            limit: c.limit,
            hard: c.hard,
            hosts: if c.hosts.binary_search(&me).is_ok() {
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
