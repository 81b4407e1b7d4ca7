//! Compares volumes, hosts and nodes.

use super::{BTreeMap, BTreeSet, Class, Deployment, Differ, HostId, NamedVolume, say};

impl Differ<'_> {
    fn hosts_of(deployment: &Deployment, v: &NamedVolume) -> BTreeSet<String> {
        v.hosts
            .iter()
            .filter_map(|h: &HostId| deployment.hosts.get(h.0 as usize))
            .map(|h| h.name.clone())
            .collect()
    }

    pub(super) fn volumes(&mut self) {
        let names: BTreeSet<String> = self
            .old
            .volumes
            .iter()
            .chain(&self.new.volumes)
            .map(|v| v.name.clone())
            .collect();
        for name in names {
            let of = format!("volume \"{name}\"");
            let (old, new) = (
                self.old.volume(&name).cloned(),
                self.new.volume(&name).cloned(),
            );
            let (old, new) = match (old, new) {
                (Some(old), Some(new)) => (old, new),
                (Some(_), None) => {
                    let (why, before) = (
                        "its clients are turned away from then on",
                        self.changes.len(),
                    );
                    self.change(
                        &of,
                        "volume",
                        "there".into(),
                        "none".into(),
                        Class::Dangerous,
                        why,
                    );
                    self.allow_while_serving(before);
                    continue;
                }
                _ => {
                    let why = "nothing of it is under way";
                    self.change(
                        &of,
                        "volume",
                        "none".into(),
                        "there".into(),
                        Class::Safe,
                        why,
                    );
                    continue;
                }
            };
            self.plan_of_volume(&of, &old, &new);
            self.hosts_of_volume(&of, &old, &new);
        }
    }

    fn plan_of_volume(&mut self, of: &str, old: &NamedVolume, new: &NamedVolume) {
        let plan = |deployment: &Deployment, v: &NamedVolume| deployment.plans[v.plan.0].clone();
        let (x, y) = (plan(self.old, old), plan(self.new, new));
        let limit = y.decisions.limit.map_or(f64::INFINITY, |l| l.rate);
        let (class, why) = if limit < x.decisions.nominal_rate.max(x.decisions.reserve) {
            (
                Class::Dangerous,
                "the new plan's limit is under what the volume was sized for",
            )
        } else {
            (
                Class::Safe,
                "each host keeps to the lower of its parts until all have followed",
            )
        };
        let before = self.changes.len();
        self.change(of, "plan", x.name, y.name, class, why);
        self.allow_while_serving(before);
    }

    fn hosts_of_volume(&mut self, of: &str, old: &NamedVolume, new: &NamedVolume) {
        let (x, y) = (Self::hosts_of(self.old, old), Self::hosts_of(self.new, new));
        let leaves = x.difference(&y).next().is_some();
        let (class, why) = if leaves {
            (
                Class::Dangerous,
                "a host leaves its set: its clients there are turned away and must go elsewhere",
            )
        } else {
            (
                Class::Safe,
                "a host that joins sends nothing for it until the others have followed",
            )
        };
        let before = self.changes.len();
        self.change(of, "hosts", say(&x), say(&y), class, why);
        if let Some(change) = self.changes.get_mut(before) {
            change.hosts = x.symmetric_difference(&y).cloned().collect();
        }
        self.allow_while_serving(before);
    }

    pub(super) fn hosts(&mut self) {
        let index = |deployment: &Deployment| -> BTreeMap<String, (String, String, u32)> {
            let zone = |z: usize| deployment.zones.get(z).cloned().unwrap_or_default();
            deployment
                .hosts
                .iter()
                .enumerate()
                .map(|(i, h)| {
                    (
                        h.name.clone(),
                        (h.address.clone(), zone(h.zone.0), i as u32),
                    )
                })
                .collect()
        };
        let (old, new) = (index(self.old), index(self.new));
        for name in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
            let of = format!("host \"{name}\"");
            let (from, to) = (
                old.get(name).map_or("none".into(), say),
                new.get(name).map_or("none".into(), say),
            );
            let is_new = !old.contains_key(name);
            let why = if is_new && self.hosts_can_join() {
                "it is a member once it runs and the others have this document"
            } else {
                "hosts know each other by their places and addresses, which are read at a start only"
            };
            let class = match (is_new, new.contains_key(name)) {
                (true, _) if self.hosts_can_join() => Class::Safe,
                (false, false) => Class::Dangerous,
                _ => Class::Restart,
            };
            self.change(&of, "place", from, to, class, why);
        }
    }

    pub(super) fn nodes(&mut self) {
        let index = |deployment: &Deployment| -> BTreeMap<String, (i64, String, String)> {
            let zone = |z: usize| deployment.zones.get(z).cloned().unwrap_or_default();
            let place = |n: &crate::deployment::NodePlace| {
                (n.shard.0, zone(n.place.zone.0), n.place.address.clone())
            };
            deployment
                .nodes
                .iter()
                .filter(|n| !n.spare)
                .map(|n| (n.place.name.clone(), place(n)))
                .collect()
        };
        let (old, new) = (index(self.old), index(self.new));
        for name in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
            let of = format!("node \"{name}\"");
            let (from, to) = (
                old.get(name).map_or("none".into(), say),
                new.get(name).map_or("none".into(), say),
            );
            self.change(
                &of,
                "place",
                from,
                to,
                Class::Safe,
                "hosts follow the node list; the document is where they start from",
            );
        }
        let shards = |m: &BTreeMap<String, (i64, String, String)>| {
            m.values().map(|n| n.0).collect::<BTreeSet<_>>()
        };
        let before = self.changes.len();
        for shard in shards(&old).difference(&shards(&new)) {
            let why = "no node is left that holds it: reads of its data can't be served";
            self.change(
                &format!("cell {shard}"),
                "nodes",
                "some".into(),
                "none".into(),
                Class::Dangerous,
                why,
            );
        }
        self.allow_while_serving(before);
    }
}
