//! Settings of small deployments, by the figures of the pages and the site files.

use crate::host::Deployment;

/// The settings that differ between deployments.
struct Site {
    zones: &'static str,
    mode: &'static str,
    max_attempts: u32,
    second_copies: bool,
    probes: bool,
    retry_after: bool,
    keepalive_ms: u32,
    meter_ms: u32,
    says_others: bool,
    report: &'static str,
    within_share: f64,
    idle_worth: f64,
    classes: &'static str,
    writes: &'static str,
    plans: &'static str,
    rules: &'static str,
    max_units: u32,
    stage: &'static str,
    kind: &'static str,
}

/// Hosts of each of the deployments; the pages have 3 to 5.
const HOSTS: usize = 3;

fn deployment(site: &Site, shards: usize) -> Deployment {
    let Site {
        zones,
        mode,
        max_attempts,
        second_copies,
        probes,
        retry_after,
        keepalive_ms,
        meter_ms,
        says_others,
        report,
        within_share,
        idle_worth,
        classes,
        writes,
        plans,
        rules,
        max_units,
        stage,
        kind,
    } = site;
    let zone = zones.split('"').nth(1).unwrap_or_default();
    let settings = format!(
        r#"{{"clients":{{"marks-retry":false}},"failure-domains":[{zones}],"family":"stores",
"family-info":{{"cold-units":40.0,"idle-worth":{idle_worth},"max-units":{max_units},"meter-period":{meter_ms}.0,
"says-others":{says_others},"slots-total":{shards},"unit-mean":2.0,"within-share":{within_share},"writes":{writes}}},
"limits":{{"connect-timeout":250.0,"keepalive":{keepalive_ms}.0,"max-attempts":{max_attempts},"max-open":10000,
"max-retry-after":1000.0,"may-cancel":true,"parallel-tries":{second_copies},"peer-messages":true,"probing":{probes},
"retry-after":{retry_after},"streams-per-conn":100}},"machine-types":["{kind}"],"membership-mode":"{mode}",
"peers-total":{HOSTS},"policies":{plans},"profiles":{classes},"rank":0,
"report":{report},"rules":{rules},"stages":["{stage}"],"tick":2.0,"tier":0,
"weight-source":"nominal","zone":"{zone}"}}"#
    );
    Deployment {
        settings,
        hosts: HOSTS,
        memory_mb: 192,
        sockets: 1024,
    }
}

pub fn vieux_port(shards: usize) -> Deployment {
    let site = Site {
        zones: r#""batiment-a","batiment-b","batiment-c""#,
        mode: "ask",
        max_attempts: 4,
        second_copies: true,
        probes: true,
        retry_after: true,
        keepalive_ms: 15_000,
        meter_ms: 500,
        says_others: true,
        report: r#"{"how":"silent","names":[]}"#,
        within_share: 0.35,
        idle_worth: 0.08,
        classes: r#"[{"effect":"pure","give-up":1200.0,"group":"all","late-value":0.1,"name":"record-read",
"objective":150.0,"streamed":false,"window":5000.0,"worth":2.0},{"effect":"pure","give-up":1200.0,"group":"all",
"late-value":0.1,"name":"record-write","objective":200.0,"streamed":false,"window":5000.0,"worth":3.0}]"#,
        writes: "[false,true]",
        plans: r#"[{"limit":96.0,"limit-burst":144.0,"limit-slack":14.0,"name":"base","nominal":16.0,"parts":1.0,
"reserve":0.0,"value-factor":0.96},{"limit":192.0,"limit-burst":288.0,"limit-slack":29.0,"name":"standard",
"nominal":32.0,"parts":1.0,"reserve":38.0,"value-factor":0.9},{"limit":0.0,"limit-burst":0.0,"limit-slack":0.0,
"name":"prioritaire","nominal":40.0,"parts":1.0,"reserve":48.0,"value-factor":1.5}]"#,
        rules: r#"{"answer-slack":8.0,"drain-grace":1000.0,"must-ask-in":10000.0,"overload-factor":2.0,
"overload-for":1500.0,"ramp-time":17000.0,"start-capacity":0.17}"#,
        max_units: 8,
        stage: "photo-store",
        kind: "box-std",
    };
    deployment(&site, shards)
}

pub fn depot_limoilou(shards: usize) -> Deployment {
    let site = Site {
        zones: r#""salle-nord","salle-sud""#,
        mode: "push",
        max_attempts: 3,
        second_copies: false,
        probes: false,
        retry_after: true,
        keepalive_ms: 30_000,
        meter_ms: 500,
        says_others: false,
        report: r#"{"how":"piggyback","names":["load_share","concurrent"]}"#,
        within_share: 0.3,
        idle_worth: 0.1,
        classes: r#"[{"effect":"pure","give-up":1500.0,"group":"all","late-value":0.15,"name":"lecture-fiche",
"objective":300.0,"streamed":false,"window":5000.0,"worth":2.0},{"effect":"token","give-up":3000.0,"group":"cell",
"late-value":0.1,"name":"depot-fiche","objective":400.0,"streamed":false,"window":5000.0,"worth":3.0},
{"effect":"pure","give-up":5000.0,"group":"all","late-value":0.2,"name":"export-releve","objective":1500.0,
"streamed":false,"window":5000.0,"worth":1.0}]"#,
        writes: "[false,true,false]",
        plans: r#"[{"limit":120.0,"limit-burst":180.0,"limit-slack":18.0,"name":"courant","nominal":20.0,"parts":1.0,
"reserve":0.0,"value-factor":0.8},{"limit":0.0,"limit-burst":0.0,"limit-slack":0.0,"name":"prioritaire",
"nominal":40.0,"parts":2.0,"reserve":32.0,"value-factor":1.0}]"#,
        rules: r#"{"answer-slack":8.0,"drain-grace":500.0,"overload-factor":4.0,"overload-for":2000.0,
"ramp-time":16000.0,"start-capacity":0.23,"free-resends":3.0,"extra-per-request":0.1,"look-back":5000.0}"#,
        max_units: 6,
        stage: "stockage-garage",
        kind: "noeud-2c",
    };
    deployment(&site, shards)
}

pub fn trois_rivieres(shards: usize) -> Deployment {
    let site = Site {
        zones: r#""salle-cap""#,
        mode: "push",
        max_attempts: 3,
        second_copies: false,
        probes: true,
        retry_after: false,
        keepalive_ms: 15_000,
        meter_ms: 2000,
        says_others: false,
        report: r#"{"how":"piggyback","names":["depth"]}"#,
        within_share: 0.3,
        idle_worth: 0.08,
        classes: r#"[{"effect":"pure","give-up":3000.0,"group":"all","late-value":0.15,"name":"lecture",
"objective":500.0,"streamed":false,"window":5000.0,"worth":2.0},{"effect":"side_effect","give-up":6000.0,
"group":"all","late-value":0.15,"name":"nouveau-trajet","objective":750.0,"streamed":false,"window":5000.0,
"worth":2.0}]"#,
        writes: "[false,true]",
        plans: r#"[{"limit":120.0,"limit-burst":180.0,"limit-slack":18.0,"name":"standard","nominal":20.0,"parts":1.0,
"reserve":6.0,"value-factor":0.8},{"limit":0.0,"limit-burst":0.0,"limit-slack":0.0,"name":"prioritaire",
"nominal":40.0,"parts":3.0,"reserve":32.0,"value-factor":0.9}]"#,
        rules: r#"{"answer-slack":8.0,"drain-grace":1000.0,"overload-factor":2.5,"overload-for":1500.0,
"ramp-time":17000.0,"start-capacity":0.16}"#,
        max_units: 8,
        stage: "journaux",
        kind: "noeud-3c",
    };
    deployment(&site, shards)
}
