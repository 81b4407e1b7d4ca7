//! Finds settings that are invalid or contradict each other. [`RawSettings::contradictions`] reports the key of
//! each, and the expected value. Settings that are only unusual are accepted.

use crate::raw::{Policy, RawSettings};

/// A setting that is invalid or contradicts another one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {expected}")]
pub struct Contradiction {
    /// The path of the setting's key, such as `policies[0].limit`.
    pub key: String,
    /// The expected value, and the value found.
    pub expected: String,
}

/// The contradictions found so far, in order.
#[derive(Default)]
struct Findings(Vec<Contradiction>);

impl Findings {
    fn check(&mut self, wrong: bool, key: impl Into<String>, expected: impl Into<String>) {
        if wrong {
            self.0.push(Contradiction {
                key: key.into(),
                expected: expected.into(),
            });
        }
    }

    fn check_not_negative(&mut self, key: impl Into<String>, figure: f64) {
        let wrong = !figure.is_finite() || figure < 0.0;
        self.check(
            wrong,
            key,
            format!("a figure of 0 or more was meant, not {figure}"),
        );
    }

    fn check_names_differ<'a>(&mut self, list: &str, names: impl Iterator<Item = &'a str>) {
        let names: Vec<_> = names.collect();
        if let Some(at) = (1..names.len()).find(|at| names[..*at].contains(&names[*at])) {
            let meant = format!("another name was meant: '{:.40}' is taken", names[at]);
            self.check(true, format!("{list}[{at}].name"), meant);
        }
    }
}

impl RawSettings {
    /// All contradictions, in the order of the settings.
    pub fn contradictions(&self) -> Vec<Contradiction> {
        let mut found = Findings::default();
        self.check_figures(&mut found);
        self.check_host(&mut found);
        for (at, policy) in self.policies.iter().enumerate() {
            self.check_policy(&mut found, at, policy);
        }
        found.check_names_differ(
            "policies",
            self.policies.iter().map(|policy| policy.name.as_str()),
        );
        found.check_names_differ(
            "profiles",
            self.profiles.iter().map(|profile| profile.name.as_str()),
        );
        self.check_profiles(&mut found);
        self.check_tier_and_zone(&mut found);
        found.0
    }

    fn check_figures(&self, found: &mut Findings) {
        let figures = [
            ("family-info.cold-units", self.family_info.cold_units),
            ("family-info.max-units", self.family_info.max_units),
            ("limits.max-retry-after", self.limits.max_retry_after),
            (
                "rules.must-ask-in",
                self.rules.must_ask_in.unwrap_or_default(),
            ),
            ("rules.order-settle", self.rules.order_settle),
            ("rules.overload-for", self.rules.overload_for),
            ("rules.ramp-time", self.rules.ramp_time),
            ("rules.start-capacity", self.rules.start_capacity),
            ("tick", self.tick),
        ];
        for (place, figure) in figures {
            found.check_not_negative(place, figure);
        }
    }

    fn check_host(&self, found: &mut Findings) {
        let writes = self.family_info.writes.len();
        let profiles = self.profiles.len();
        found.check(
            writes > 0 && writes != profiles,
            "family-info.writes",
            format!("one word for each of {profiles} profiles was meant, not {writes}"),
        );
        found.check(
            self.family_info.slots_total < 0,
            "family-info.slots-total",
            format!(
                "expected a number of shards of 0 or more, found {}",
                self.family_info.slots_total
            ),
        );
        found.check(
            self.limits.max_attempts == 0,
            "limits.max-attempts",
            "at least one attempt was meant",
        );
        found.check(
            !["push", "ask"].contains(&self.membership_mode.as_str()),
            "membership-mode",
            format!(
                "'push' or 'ask' was meant, not '{:.40}'",
                self.membership_mode
            ),
        );
        found.check(
            self.rank >= self.peers_total,
            "rank",
            format!(
                "a number below peers-total, {}, was meant, not {}",
                self.peers_total, self.rank
            ),
        );
    }

    fn check_policy(&self, found: &mut Findings, at: usize, policy: &Policy) {
        let place = |key: &str| format!("policies[{at}].{key}");
        let figures = [
            ("limit", policy.limit),
            ("limit-burst", policy.limit_burst),
            ("nominal", policy.nominal),
            ("parts", policy.parts),
            ("reserve", policy.reserve),
            ("value-factor", policy.value_factor),
        ];
        for (key, figure) in figures {
            found.check_not_negative(place(key), figure);
        }
        let burst = policy.limit_burst;
        let largest = self.family_info.max_units;
        found.check(
            policy.limit > 0.0 && burst < largest,
            place("limit-burst"),
            format!("room for one largest transfer, {largest} units, was meant, not {burst}"),
        );
    }

    fn check_profiles(&self, found: &mut Findings) {
        for (at, profile) in self.profiles.iter().enumerate() {
            for (key, time) in [
                ("objective", profile.objective),
                ("give-up", profile.give_up),
            ] {
                let wrong = !time.is_finite() || time <= 0.0;
                let place = format!("profiles[{at}].{key}");
                found.check(
                    wrong,
                    place,
                    format!("a time above 0 was meant, not {time}"),
                );
            }
        }
        let rules = &self.rules;
        found.check(
            rules.look_back.is_none()
                && (rules.free_resends.is_some() || rules.extra_per_request.is_some()),
            "rules.look-back",
            "required when a retry budget is set: the time over which retries are counted",
        );
    }

    fn check_tier_and_zone(&self, found: &mut Findings) {
        let tiers = self.stages.len() as i64;
        let zones = &self.failure_domains;
        found.check(
            tiers > 0 && !(0..tiers).contains(&self.tier),
            "tier",
            format!("one of the {tiers} stages was meant, not {}", self.tier),
        );
        found.check(
            !self.zone.is_empty() && !zones.is_empty() && !zones.contains(&self.zone),
            "zone",
            format!(
                "one of the failure-domains {zones:?} was meant, not '{:.40}'",
                self.zone
            ),
        );
    }
}
