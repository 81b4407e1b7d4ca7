//! Compares two deployments by meaning: comments, includes and templates do not matter, and neither does the order of
//! entries, except where positions are ids. Each change is classified by its effect on hosts that are running.
//! Programs read the texts, so they must not change.

mod volumes;

use crate::deployment::{Deployment, NamedPlan, NamedVolume};
use crate::diff_values::{self as values, plain as say};
use crate::routes::Pool;
use gullsail_scheduler_api::{HostId, RequestClassId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How a change can be applied. The variants are in order of increasing severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Hosts can apply the change while they serve.
    Safe,
    /// The hosts concerned must be restarted.
    Restart,
    /// While or after the change is applied, a guarantee may be broken.
    Dangerous,
}

/// A single change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The entry, such as `plan "base"`.
    pub of: String,
    /// The part of the entry that changed, such as `limit`.
    pub what: String,
    /// The old value.
    pub from: String,
    /// The new value.
    pub to: String,
    /// Whether the change is safe while hosts serve, needs restarts or is dangerous.
    pub class: Class,
    /// Whether hosts can apply the change without a restart. They apply a dangerous one only if an operator insists.
    pub while_serving: bool,
    /// The reason for the class.
    pub why: String,
    /// The names of the hosts that the change concerns; empty: all hosts.
    pub hosts: Vec<String>,
}

/// Collects the changes between two deployments.
struct Differ<'a> {
    old: &'a Deployment,
    new: &'a Deployment,
    changes: Vec<Change>,
}

/// Returns all changes from one deployment to another.
pub fn diff(old: &Deployment, new: &Deployment) -> Vec<Change> {
    let mut differ = Differ {
        old,
        new,
        changes: Vec::new(),
    };
    differ.rules();
    differ.request_classes();
    differ.plans();
    differ.volumes();
    differ.hosts();
    differ.nodes();
    differ.pools();
    differ.cross_zone_budgets();
    differ.order();
    differ.other_entries();
    differ.changes
}

impl Differ<'_> {
    /// Records a change if the two values differ.
    fn change(&mut self, of: &str, what: &str, from: String, to: String, class: Class, why: &str) {
        if from != to {
            let (of, what, why) = (of.to_string(), what.to_string(), why.to_string());
            let while_serving = class == Class::Safe;
            self.changes.push(Change {
                of,
                what,
                from,
                to,
                class,
                while_serving,
                why,
                hosts: Vec::new(),
            });
        }
    }

    /// Marks the dangerous changes from index `since` on as applicable while hosts serve.
    fn allow_while_serving(&mut self, since: usize) {
        self.changes[since..]
            .iter_mut()
            .for_each(|c| c.while_serving |= c.class == Class::Dangerous);
    }

    /// Compares the order of request classes, hosts and zones, whose ids are their positions.
    fn order(&mut self) {
        let names = |deployment: &Deployment| {
            let types: Vec<_> = deployment
                .request_classes
                .iter()
                .map(|s| s.name.clone())
                .collect();
            let hosts: Vec<_> = deployment.hosts.iter().map(|h| h.name.clone()).collect();
            [
                ("stream types", types),
                ("hosts", hosts),
                ("zones", deployment.zones.clone()),
            ]
        };
        for ((what, old), (_, new)) in names(self.old).into_iter().zip(names(self.new)) {
            let sorted = |names: &[String]| names.iter().cloned().collect::<BTreeSet<_>>();
            if sorted(&old) == sorted(&new) {
                let why = "hosts number them by their places, and the numbers must not change";
                self.change(what, "order", say(&old), say(&new), Class::Restart, why);
            } else if what == "zones" {
                let class = if new.starts_with(&old) {
                    Class::Safe
                } else {
                    Class::Restart
                };
                let why = "a new one at the end takes no number from another";
                self.change(what, "names", say(&old), say(&new), class, why);
            } else if what == "hosts" && self.hosts_can_join() && !new.starts_with(&old) {
                let why = "a new host has to stand at the end, or it takes the number of another";
                self.change(what, "names", say(&old), say(&new), Class::Restart, why);
            }
        }
    }

    /// Whether hosts can join while others serve. They can if the fleet, which agrees on its members, stays the same.
    fn hosts_can_join(&self) -> bool {
        self.old.fleet.is_some() && self.old.fleet == self.new.fleet
    }

    fn cross_zone_budgets(&mut self) {
        let index = |deployment: &Deployment| -> BTreeMap<String, (f64, f64, bool)> {
            deployment
                .cross_zone_budgets
                .iter()
                .map(|c| (c.name.clone(), (c.limit.rate, c.limit.burst, c.hard)))
                .collect()
        };
        let (old, new) = (index(self.old), index(self.new));
        if old.is_empty() != new.is_empty() {
            let why = "whether zones count is read at a start only";
            let say = |m: &BTreeMap<_, _>| {
                if m.is_empty() {
                    "none".to_string()
                } else {
                    "some".to_string()
                }
            };
            self.change(
                "crossings",
                "budgets",
                say(&old),
                say(&new),
                Class::Restart,
                why,
            );
        }
        for name in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
            let (from, to) = (
                old.get(name).map_or("none".into(), say),
                new.get(name).map_or("none".into(), say),
            );
            let why = "each host keeps to the lower of its parts until all have followed";
            self.change(
                &format!("crossing {name}"),
                "budget",
                from,
                to,
                Class::Safe,
                why,
            );
        }
    }

    /// Compares the entries `bounds`, `fleet`, `works`, `list` and `machine`.
    fn other_entries(&mut self) {
        let bounds = |deployment: &Deployment| say(&deployment.bounds);
        let (old, new) = (bounds(self.old), bounds(self.new));
        self.change(
            "bounds",
            "figures",
            old,
            new,
            Class::Restart,
            "sockets are bound by them from their start",
        );
        let fleet =
            |deployment: &Deployment| deployment.fleet.as_ref().map_or("none".to_string(), say);
        let why = "hosts that hold to different leases, voters or floors could use more than the whole together";
        self.change(
            "fleet",
            "figures",
            fleet(self.old),
            fleet(self.new),
            Class::Restart,
            why,
        );
        let maintenance = |deployment: &Deployment| {
            deployment
                .maintenance
                .as_ref()
                .map_or("none".to_string(), values::maintenance)
        };
        let why = "whoever decides and those who let go must hold to the same times";
        self.change(
            "works",
            "figures",
            maintenance(self.old),
            maintenance(self.new),
            Class::Restart,
            why,
        );
        let list = |deployment: &Deployment| deployment.list.address.clone();
        let (old, new) = (list(self.old), list(self.new));
        self.change(
            "list",
            "address",
            old,
            new,
            Class::Restart,
            "it is read at a start only",
        );
        self.servers();
    }

    /// Compares the servers of simulated nodes.
    fn servers(&mut self) {
        let servers = |deployment: &Deployment| {
            say(&deployment
                .servers
                .iter()
                .map(|m| (&m.name, values::server(m)))
                .collect::<BTreeMap<_, _>>())
        };
        let (old, new) = (servers(self.old), servers(self.new));
        self.change(
            "machines",
            "figures",
            old,
            new,
            Class::Safe,
            "they are the stand-ins'; no host reads them",
        );
    }

    fn pools(&mut self) {
        let index = |deployment: &Deployment| -> BTreeMap<String, String> {
            let zones = |p: &Pool| {
                p.zones
                    .iter()
                    .filter_map(|z| deployment.zones.get(z.0))
                    .cloned()
                    .collect::<Vec<_>>()
            };
            deployment
                .routes
                .pools
                .iter()
                .map(|p| (p.name.clone(), say(&(zones(p), &p.kinds))))
                .collect()
        };
        let (old, new) = (index(self.old), index(self.new));
        let none = "none".to_string();
        let why = "new objects go there from now on; what lies somewhere stays";
        for name in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
            let (from, to) = (
                old.get(name).unwrap_or(&none),
                new.get(name).unwrap_or(&none),
            );
            self.change(
                &format!("pool \"{name}\""),
                "nodes",
                from.clone(),
                to.clone(),
                Class::Safe,
                why,
            );
        }
        self.pools_of_volumes(why);
    }

    /// Compares the pools for new objects of each volume, by request class.
    fn pools_of_volumes(&mut self, why: &str) {
        let pools = |deployment: &Deployment, name: &str| -> BTreeMap<String, String> {
            let Some(volume) = deployment.volume_at(name) else {
                return BTreeMap::new();
            };
            let types = deployment
                .request_classes
                .iter()
                .enumerate()
                .filter(|(_, s)| s.write);
            let to = |place| {
                deployment
                    .routes
                    .name(deployment.routes.pool(volume, RequestClassId(place)))
                    .to_string()
            };
            types
                .map(|(place, s)| (s.name.clone(), to(place)))
                .collect()
        };
        for v in &self.new.volumes {
            let (old, new) = (pools(self.old, &v.name), pools(self.new, &v.name));
            for (request_class, to) in &new {
                let Some(from) = old.get(request_class) else {
                    continue;
                };
                let what = format!("pool of {request_class}");
                self.change(
                    &format!("volume \"{}\"", v.name),
                    &what,
                    from.clone(),
                    to.clone(),
                    Class::Safe,
                    why,
                );
            }
        }
    }

    fn rules(&mut self) {
        let (old, new) = (self.old.figures().clone(), self.new.figures().clone());
        let graces = (self.old.drain_grace, self.new.drain_grace);
        let restart = "every host reads it at its start only";
        let mut c = |what: &str, from: String, to: String| {
            self.change("rules", what, from, to, Class::Restart, restart);
        };
        c("tick", say(&old.tick), say(&new.tick));
        c(
            "order-settle",
            say(&old.order_settle),
            say(&new.order_settle),
        );
        c("most-units", say(&old.max_units), say(&new.max_units));
        c(
            "share-part",
            say(&old.within_share_value),
            say(&new.within_share_value),
        );
        c(
            "spare-part",
            say(&old.beyond_share_value),
            say(&new.beyond_share_value),
        );
        c(
            "advice",
            say(&old.max_retry_after),
            say(&new.max_retry_after),
        );
        c(
            "legs",
            say(&(
                old.max_attempts,
                old.retry_budget
                    .map(|l| (l.fixed_retries, l.retries_per_request, l.window)),
            )),
            say(&(
                new.max_attempts,
                new.retry_budget
                    .map(|l| (l.fixed_retries, l.retries_per_request, l.window)),
            )),
        );
        c("drain-grace", say(&graces.0), say(&graces.1));
        let (x, y) = (old.slow_start, new.slow_start);
        let why = "hosts with the old and the new figures together may send a cold node more than it bears";
        self.change(
            "cold",
            "figures",
            say(&(x.units, x.window, x.initial_fraction, x.ramp)),
            say(&(y.units, y.window, y.initial_fraction, y.ramp)),
            Class::Dangerous,
            why,
        );
    }

    fn request_classes(&mut self) {
        let index = |deployment: &Deployment| -> BTreeMap<String, String> {
            deployment
                .request_classes
                .iter()
                .map(|s| (s.name.clone(), values::request_class(s)))
                .collect()
        };
        let (old, new) = (index(self.old), index(self.new));
        for name in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
            let of = format!("stream-type \"{name}\"");
            let none = "none".to_string();
            let (from, to) = (
                old.get(name).unwrap_or(&none),
                new.get(name).unwrap_or(&none),
            );
            let idempotency = |deployment: &Deployment| {
                deployment
                    .request_classes
                    .iter()
                    .find(|s| s.name == *name)
                    .map(|s| values::idempotency(&s.decisions.idempotency))
            };
            let changed = idempotency(self.old) != idempotency(self.new)
                && old.contains_key(name)
                && new.contains_key(name);
            if changed {
                let why = "transfers that may have run by the old effect would be repeated by the new one";
                self.change(
                    &of,
                    "effect",
                    from.clone(),
                    to.clone(),
                    Class::Dangerous,
                    why,
                );
            } else {
                self.change(
                    &of,
                    "figures",
                    from.clone(),
                    to.clone(),
                    Class::Restart,
                    "stream types are read at a start only",
                );
            }
        }
    }

    fn plans(&mut self) {
        let none = "none".to_string();
        let names: BTreeSet<String> = self
            .old
            .plans
            .iter()
            .chain(&self.new.plans)
            .map(|p| p.name.clone())
            .collect();
        for name in names {
            let find =
                |deployment: &Deployment| deployment.plans.iter().find(|p| p.name == name).cloned();
            let of = format!("plan \"{name}\"");
            let (Some(old), Some(new)) = (find(self.old), find(self.new)) else {
                let is = |deployment: &Deployment| {
                    if find(deployment).is_some() {
                        "defined".into()
                    } else {
                        none.clone()
                    }
                };
                let (from, to) = (is(self.old), is(self.new));
                let why = "volumes that have it, or had it, say what that means";
                self.change(&of, "plan", from, to, Class::Safe, why);
                continue;
            };
            self.plan_limit(&of, &old, &new);
            self.plan_figures(&of, &old, &new);
        }
    }

    fn plan_limit(&mut self, of: &str, old: &NamedPlan, new: &NamedPlan) {
        let limit = |p: &NamedPlan| p.decisions.limit.map(|l| (l.rate, l.burst));
        let (x, y) = (limit(old), limit(new));
        let lowered = match (x, y) {
            (None, Some(_)) => true,
            (Some(x), Some(y)) => y.0 < x.0 || y.1 < x.1,
            _ => false,
        };
        let sized = new.decisions.nominal_rate.max(new.decisions.reserve);
        let under = lowered && y.is_some_and(|y| y.0 < sized);
        let (class, why) = if under {
            (
                Class::Dangerous,
                "it is under what its volumes are sized for: what they ask beyond is put off",
            )
        } else {
            (
                Class::Safe,
                "each host keeps to the lower of its parts until all have followed",
            )
        };
        let before = self.changes.len();
        self.change(of, "limit", say(&x), say(&y), class, why);
        self.allow_while_serving(before);
    }

    /// Compares the values of a plan that only affect the order in which waiting requests are served.
    fn plan_figures(&mut self, of: &str, old: &NamedPlan, new: &NamedPlan) {
        let safe = "it orders what waits; no rule depends on it";
        self.change(
            of,
            "reserve",
            say(&old.decisions.reserve),
            say(&new.decisions.reserve),
            Class::Safe,
            safe,
        );
        self.change(
            of,
            "usual",
            say(&old.decisions.nominal_rate),
            say(&new.decisions.nominal_rate),
            Class::Safe,
            safe,
        );
        self.change(
            of,
            "weight",
            say(&old.decisions.weight),
            say(&new.decisions.weight),
            Class::Safe,
            safe,
        );
        self.change(
            of,
            "price",
            say(&old.decisions.price),
            say(&new.decisions.price),
            Class::Safe,
            safe,
        );
        self.change(
            of,
            "slack",
            say(&old.slack),
            say(&new.slack),
            Class::Safe,
            "hosts do not use it",
        );
    }
}
