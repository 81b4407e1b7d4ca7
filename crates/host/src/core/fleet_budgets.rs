//! The budgets that the hosts of a fleet share: the fleet's configuration of them, and their names for operators.

use super::Core;
use super::fleet::{CONNECT_BUDGET, PROBE_BUDGET, SLOW_START_BUDGET};
use gullsail_fleet::config::{floor, min_share};
use gullsail_fleet::{Budget, FleetConfig};
use gullsail_scheduler_api::{HostId, VolumeId};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Core {
    /// Builds the fleet's configuration; `None`: the deployment has no fleet.
    pub(super) fn fleet_config(&self) -> Option<FleetConfig> {
        let deployment = &self.deployment;
        let fleet = deployment.fleet.as_ref()?;
        let mut budgets = self.volume_budgets(fleet.floor);
        budgets.extend(self.cross_zone_budgets(fleet.floor));
        budgets.extend(self.node_budgets(fleet.floor, fleet.connects, fleet.probes));
        Some(FleetConfig {
            fleet: gullsail_configuration::number(&fleet.name),
            hosts: deployment.hosts.len() as u32,
            lease: fleet.lease,
            drift: fleet.drift,
            voters: fleet.voters,
            budgets,
            maintenance: deployment.maintenance.clone(),
        })
    }

    /// Builds the budgets of volumes whose plan has a limit.
    fn volume_budgets(&self, floor_share: f64) -> BTreeMap<VolumeId, Budget> {
        let deployment = &self.deployment;
        let max_units = deployment.figures().max_units;
        let mut budgets = BTreeMap::new();
        for volume in &deployment.volumes {
            let plan = deployment.plans.get(volume.plan.0);
            if let Some(limit) = plan.and_then(|plan| plan.decisions.limit) {
                let smallest_share = min_share(max_units, limit.burst);
                let budget =
                    self.shared_budget(volume.id, &volume.hosts, smallest_share, floor_share);
                budgets.insert(volume.id, budget);
            }
        }
        budgets
    }

    fn cross_zone_budgets(&self, floor_share: f64) -> BTreeMap<VolumeId, Budget> {
        let max_bytes = self.deployment.figures().max_bytes;
        let configured = self.deployment.cross_zone_budgets.iter();
        configured
            .map(|budget| {
                let smallest_share = min_share(max_bytes, budget.limit.burst);
                let shared =
                    self.shared_budget(budget.id, &budget.hosts, smallest_share, floor_share);
                (budget.id, shared)
            })
            .collect()
    }

    /// Builds a budget that these hosts share. `smallest_share`: the smallest share that holds the largest request.
    /// `floor_share`: the fraction of an even share that each host may use without a lease.
    fn shared_budget(
        &self,
        id: VolumeId,
        sharing_hosts: &Arc<[HostId]>,
        smallest_share: u32,
        floor_share: f64,
    ) -> Budget {
        Budget {
            hosts: sharing_hosts.clone(),
            floor: floor(floor_share, sharing_hosts.len()),
            lagging_hosts: self.lagging_hosts(id, floor_share),
            min_share: smallest_share,
        }
    }

    /// Builds the budgets of slow start, new connections and probes, which all hosts share. `connects`, `probes`:
    /// limits per second to one node, from all hosts together; `None`: not limited, so there is no budget.
    fn node_budgets(
        &self,
        floor_share: f64,
        connects: Option<f64>,
        probes: Option<f64>,
    ) -> BTreeMap<VolumeId, Budget> {
        let figures = self.deployment.figures();
        let host_count = self.deployment.hosts.len() as u32;
        let sharing_hosts: Arc<[HostId]> = (0..host_count).map(HostId).collect();
        let slow_start = Budget {
            floor: floor(floor_share, sharing_hosts.len()),
            hosts: sharing_hosts,
            lagging_hosts: BTreeMap::new(),
            min_share: min_share(figures.max_units, figures.slow_start.units),
        };
        // Connections and probes are paced one by one, so there is no largest request that a share must hold.
        let paced = Budget {
            min_share: 0,
            ..slow_start.clone()
        };
        let mut budgets = BTreeMap::new();
        for (id, rate) in [(CONNECT_BUDGET, connects), (PROBE_BUDGET, probes)] {
            if rate.is_some() {
                budgets.insert(id, paced.clone());
            }
        }
        budgets.insert(SLOW_START_BUDGET, slow_start);
        budgets
    }

    /// Returns the hosts that may still use a floor of an earlier configuration, each with the highest such floor.
    fn lagging_hosts(&self, budget: VolumeId, floor_share: f64) -> BTreeMap<HostId, u32> {
        let mut floors: BTreeMap<HostId, u32> = BTreeMap::new();
        for lagging in self.config_change.transition.lagging_hosts(budget) {
            let highest = floors.entry(lagging.host).or_default();
            *highest = floor(floor_share, lagging.sharing).max(*highest);
        }
        floors
    }

    /// Returns the name of a budget for operators and the log; `None`: there is no such budget.
    pub(super) fn budget_name(&self, id: u64) -> Option<String> {
        let deployment = &self.deployment;
        let node_budgets = [
            (SLOW_START_BUDGET, "cold nodes"),
            (CONNECT_BUDGET, "connections to nodes"),
            (PROBE_BUDGET, "probes of nodes"),
        ];
        if let Some((_, name)) = node_budgets.iter().find(|(budget, _)| budget.0 == id) {
            return Some(name.to_string());
        }
        if let Some(volume) = deployment.volumes.iter().find(|volume| volume.id.0 == id) {
            return Some(volume.name.clone());
        }
        let mut cross_zone = deployment.cross_zone_budgets.iter();
        let budget = cross_zone.find(|budget| budget.id.0 == id)?;
        Some(format!("crossing {}", budget.name))
    }
}
