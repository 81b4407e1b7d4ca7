//! The budgets that hosts share out among themselves, as the fleet is configured with them and as operators
//! see them.

use super::Core;
use super::fleet::{CONNECT_BUDGET, PROBE_BUDGET, SLOW_START_BUDGET};
use gullsail_fleet::config::{floor, least};
use gullsail_fleet::{Budget, FleetConfig};
use gullsail_scheduler_api::{HostId, VolumeId};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Core {
    /// The fleet's configuration; `None`: there is no fleet.
    pub(super) fn fleet_config(&self) -> Option<FleetConfig> {
        let d = &self.deployment;
        let fleet = d.fleet.as_ref()?;
        let mut budgets = BTreeMap::new();
        for v in &d.volumes {
            let Some(limit) = d.plans.get(v.plan.0).and_then(|p| p.decisions.limit) else {
                continue;
            };
            let least = least(d.figures().max_units, limit.burst);
            budgets.insert(
                v.id,
                self.fleet_budget(v.id, v.hosts.clone(), least, fleet.floor),
            );
        }
        for c in &d.cross_zone_budgets {
            let least = least(d.figures().max_bytes, c.limit.burst);
            budgets.insert(
                c.id,
                self.fleet_budget(c.id, c.hosts.clone(), least, fleet.floor),
            );
        }
        budgets.extend(self.node_budgets(fleet.floor, fleet.connects, fleet.probes));
        Some(FleetConfig {
            fleet: gullsail_configuration::number(&fleet.name),
            hosts: d.hosts.len() as u32,
            lease: fleet.lease,
            drift: fleet.drift,
            voters: fleet.voters,
            budgets,
            maintenance: d.maintenance.clone(),
        })
    }

    pub(super) fn fleet_budget(
        &self,
        id: VolumeId,
        through: Arc<[HostId]>,
        least: u32,
        floor_share: f64,
    ) -> Budget {
        let floor = floor(floor_share, through.len());
        Budget {
            through,
            floor,
            lagging_hosts: self.lagging_hosts(id, floor_share),
            least,
        }
    }

    /// Budgets of all hosts for their nodes: what nodes bear that warm up, connections and probes.
    pub(super) fn node_budgets(
        &self,
        floor_share: f64,
        connects: Option<f64>,
        probes: Option<f64>,
    ) -> BTreeMap<VolumeId, Budget> {
        let d = &self.deployment;
        let through: Arc<[HostId]> = (0..d.hosts.len() as u32).map(HostId).collect();
        let least = least(d.figures().max_units, d.figures().slow_start.units);
        let floor = floor(floor_share, through.len());
        let slow_start = Budget {
            through,
            floor,
            lagging_hosts: BTreeMap::new(),
            least,
        };
        // Rates have no largest request that a share must hold: each is spaced out.
        let mut budgets = BTreeMap::new();
        for (id, rate) in [(CONNECT_BUDGET, connects), (PROBE_BUDGET, probes)] {
            if rate.is_some() {
                budgets.insert(
                    id,
                    Budget {
                        least: 0,
                        ..slow_start.clone()
                    },
                );
            }
        }
        budgets.insert(SLOW_START_BUDGET, slow_start);
        budgets
    }

    /// Hosts that may still use a floor by an earlier configuration, with that floor.
    pub(super) fn lagging_hosts(
        &self,
        budget: VolumeId,
        floor_share: f64,
    ) -> BTreeMap<HostId, u32> {
        let mut all: BTreeMap<HostId, u32> = BTreeMap::new();
        for lagging in self.config_transition.lagging_hosts(budget) {
            let most = all.entry(lagging.host).or_default();
            *most = floor(floor_share, lagging.sharing).max(*most);
        }
        all
    }

    pub(super) fn budget_name(&self, id: u64) -> Option<String> {
        let d = &self.deployment;
        let node_budgets = [
            (SLOW_START_BUDGET, "cold nodes"),
            (CONNECT_BUDGET, "connections to nodes"),
            (PROBE_BUDGET, "probes of nodes"),
        ];
        if let Some((_, name)) = node_budgets.iter().find(|(budget, _)| budget.0 == id) {
            return Some(name.to_string());
        }
        let volume = d
            .volumes
            .iter()
            .find(|v| v.id.0 == id)
            .map(|v| v.name.clone());
        volume.or_else(|| {
            d.cross_zone_budgets
                .iter()
                .find(|c| c.id.0 == id)
                .map(|c| format!("crossing {}", c.name))
        })
    }
}
