//! Settings that contradict each other or ask for what cannot be: [`Stated::contradictions`] names each by its place and
//! says what was meant. What is only unusual passes.

use super::{Profile, Stated};

/// One thing that cannot be as it is stated.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {meant}")]
pub struct Contradiction {
    /// From the settings down, such as `policies[0].limit`.
    pub place: String,
    pub meant: String,
}

fn twice(names: &[&str]) -> Option<usize> {
    (1..names.len()).find(|at| names[..*at].contains(&names[*at]))
}

impl Stated {
    /// All of them, in the order of the settings.
    pub fn contradictions(&self) -> Vec<Contradiction> {
        let mut found = Vec::new();
        let mut check = |wrong: bool, place: String, meant: String| {
            if wrong {
                found.push(Contradiction { place, meant });
            }
        };
        let below = |f: f64| !f.is_finite() || f < 0.0;
        let (f, l, r) = (&self.family_info, &self.limits, &self.rules);
        let figures = [
            ("family-info.cold-units", f.cold_units),
            ("family-info.max-units", f.max_units),
            ("limits.max-retry-after", l.max_retry_after),
            ("rules.must-ask-in", r.must_ask_in.unwrap_or_default()),
            ("rules.order-settle", r.order_settle),
            ("rules.overload-for", r.overload_for),
            ("rules.ramp-time", r.ramp_time),
            ("rules.start-capacity", r.start_capacity),
            ("tick", self.tick),
        ];
        for (place, figure) in figures {
            check(below(figure), place.into(), format!("a figure of 0 or more was meant, not {figure}"));
        }
        let (writes, types) = (f.writes.len(), self.profiles.len());
        check(
            writes > 0 && writes != types,
            "family-info.writes".into(),
            format!("one word for each of {types} profiles was meant, not {writes}"),
        );
        check(f.slots_total < 0, "family-info.slots-total".into(), "a number of shards was meant".into());
        check(l.max_attempts == 0, "limits.max-attempts".into(), "at least one leg was meant".into());
        check(
            !["push", "ask"].contains(&self.membership_mode.as_str()),
            "membership-mode".into(),
            format!("'push' or 'ask' was meant, not '{:.40}'", self.membership_mode),
        );
        check(
            self.rank >= self.peers_total,
            "rank".into(),
            format!("a number below peers-total, {}, was meant, not {}", self.peers_total, self.rank),
        );
        for (at, p) in self.policies.iter().enumerate() {
            let place = |key: &str| format!("policies[{at}].{key}");
            let figures = [
                ("limit", p.limit),
                ("limit-burst", p.limit_burst),
                ("nominal", p.nominal),
                ("parts", p.parts),
                ("reserve", p.reserve),
                ("value-factor", p.value_factor),
            ];
            for (key, figure) in figures {
                check(below(figure), place(key), format!("a figure of 0 or more was meant, not {figure}"));
            }
            check(
                p.limit > 0.0 && p.limit_burst < f.max_units,
                place("limit-burst"),
                format!(
                    "room for one largest transfer, {} units, was meant, not {}",
                    f.max_units, p.limit_burst
                ),
            );
        }
        let plans: Vec<_> = self.policies.iter().map(|p| p.name.as_str()).collect();
        let kinds: Vec<_> = self.profiles.iter().map(|p| p.name.as_str()).collect();
        for (list, names) in [("policies", &plans), ("profiles", &kinds)] {
            let at = twice(names).unwrap_or_default();
            let name = names.get(at).copied().unwrap_or_default();
            check(
                at > 0,
                format!("{list}[{at}].name"),
                format!("another name was meant: '{name:.40}' is taken"),
            );
        }
        let times = |p: &Profile| [("objective", p.objective), ("give-up", p.give_up)];
        for (at, p) in self.profiles.iter().enumerate() {
            for (key, span) in times(p) {
                let wrong = !span.is_finite() || span <= 0.0;
                check(
                    wrong,
                    format!("profiles[{at}].{key}"),
                    format!("a time above 0 was meant, not {span}"),
                );
            }
        }
        check(
            r.look_back.is_none() && (r.free_resends.is_some() || r.extra_per_request.is_some()),
            "rules.look-back".into(),
            "the time over which further legs are counted was meant beside their budget".into(),
        );
        let (tiers, zones) = (self.stages.len() as i64, &self.failure_domains);
        check(
            tiers > 0 && !(0..tiers).contains(&self.tier),
            "tier".into(),
            format!("one of the {tiers} stages was meant, not {}", self.tier),
        );
        check(
            !self.zone.is_empty() && !zones.is_empty() && !zones.contains(&self.zone),
            "zone".into(),
            format!("one of the failure-domains {zones:?} was meant, not '{:.40}'", self.zone),
        );
        found
    }
}
