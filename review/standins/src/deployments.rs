//! Settings of small deployments, by the figures of the pages.

use crate::host::Deployment;

/// The keys that all deployments share.
struct Common {
    zones: &'static str,
    mode: &'static str,
    max_attempts: u32,
    classes: &'static str,
    writes: &'static str,
    plans: &'static str,
    rules: &'static str,
    max_units: u32,
    shards: usize,
    hosts: usize,
    stage: &'static str,
    kind: &'static str,
}

fn settings(common: &Common) -> String {
    let Common {
        zones,
        mode,
        max_attempts,
        classes,
        writes,
        plans,
        rules,
        max_units,
        shards,
        hosts,
        stage,
        kind,
    } = common;
    let zone = zones.split('"').nth(1).unwrap_or_default();
    format!(
        r#"{{"clients":{{"marks-retry":false}},"failure-domains":[{zones}],"family":"stores",
"family-info":{{"cold-units":40.0,"idle-worth":0.1,"max-units":{max_units},"meter-period":500.0,"says-others":false,
"slots-total":{shards},"unit-mean":2.0,"within-share":0.3,"writes":{writes}}},
"limits":{{"connect-timeout":250.0,"keepalive":30000.0,"max-attempts":{max_attempts},"max-open":10000,
"max-retry-after":1000.0,"may-cancel":true,"parallel-tries":false,"peer-messages":true,"probing":false,
"retry-after":true,"streams-per-conn":1}},"machine-types":["{kind}"],"membership-mode":"{mode}",
"peers-total":{hosts},"policies":{plans},"profiles":{classes},"rank":0,
"report":{{"how":"silent","names":[]}},"rules":{rules},"stages":["{stage}"],"tick":2.0,"tier":0,
"weight-source":"nominal","zone":"{zone}"}}"#
    )
}

/// Three disk boxes' buildings; the shards are numbered from 0.
pub fn vieux_port(shards: usize) -> Deployment {
    Deployment {
        settings: settings(&Common {
            zones: r#""batiment-a","batiment-b","batiment-c""#,
            mode: "ask",
            max_attempts: 4,
            classes: r#"[{"effect":"pure","give-up":1200.0,"group":"all","late-value":0.1,"name":"record-read",
"objective":150.0,"streamed":false,"window":5000.0,"worth":2.0},{"effect":"pure","give-up":1200.0,"group":"all",
"late-value":0.1,"name":"record-write","objective":200.0,"streamed":false,"window":5000.0,"worth":3.0}]"#,
            writes: "[false,true]",
            plans: r#"[{"limit":0.0,"limit-burst":0.0,"limit-slack":0.0,"name":"prioritaire","nominal":40.0,
"parts":1.0,"reserve":48.0,"value-factor":1.5}]"#,
            rules: r#"{"answer-slack":8.0,"drain-grace":1000.0,"must-ask-in":10000.0,"overload-factor":2.0,
"overload-for":1500.0,"ramp-time":17000.0,"start-capacity":0.17}"#,
            max_units: 8,
            shards,
            hosts: 3,
            stage: "photo-store",
            kind: "box-std",
        }),
        hosts: 3,
        memory_mb: 192,
        sockets: 1024,
    }
}

pub fn depot_limoilou(shards: usize) -> Deployment {
    Deployment {
        settings: settings(&Common {
            zones: r#""salle-nord","salle-sud""#,
            mode: "push",
            max_attempts: 3,
            classes: r#"[{"effect":"pure","give-up":1500.0,"group":"all","late-value":0.15,"name":"lecture-fiche",
"objective":300.0,"streamed":false,"window":5000.0,"worth":2.0},{"effect":"token","give-up":3000.0,"group":"cell",
"late-value":0.1,"name":"depot-fiche","objective":400.0,"streamed":false,"window":5000.0,"worth":3.0},
{"effect":"pure","give-up":5000.0,"group":"all","late-value":0.2,"name":"export-releve","objective":1500.0,
"streamed":false,"window":5000.0,"worth":1.0}]"#,
            writes: "[false,true,false]",
            plans: r#"[{"limit":0.0,"limit-burst":0.0,"limit-slack":0.0,"name":"prioritaire","nominal":40.0,
"parts":2.0,"reserve":32.0,"value-factor":1.0}]"#,
            rules: r#"{"answer-slack":8.0,"drain-grace":500.0,"overload-factor":4.0,"overload-for":2000.0,
"ramp-time":16000.0,"start-capacity":0.23,"free-resends":3.0,"extra-per-request":0.1,"look-back":5000.0}"#,
            max_units: 6,
            shards,
            hosts: 3,
            stage: "stockage-garage",
            kind: "noeud-2c",
        }),
        hosts: 3,
        memory_mb: 192,
        sockets: 1024,
    }
}

pub fn trois_rivieres(shards: usize) -> Deployment {
    Deployment {
        settings: settings(&Common {
            zones: r#""salle-cap""#,
            mode: "push",
            max_attempts: 3,
            classes: r#"[{"effect":"pure","give-up":3000.0,"group":"all","late-value":0.15,"name":"lecture",
"objective":500.0,"streamed":false,"window":5000.0,"worth":2.0},{"effect":"side_effect","give-up":6000.0,
"group":"all","late-value":0.15,"name":"nouveau-trajet","objective":750.0,"streamed":false,"window":5000.0,
"worth":2.0}]"#,
            writes: "[false,true]",
            plans: r#"[{"limit":0.0,"limit-burst":0.0,"limit-slack":0.0,"name":"prioritaire","nominal":40.0,
"parts":3.0,"reserve":32.0,"value-factor":0.9}]"#,
            rules: r#"{"answer-slack":8.0,"drain-grace":1000.0,"overload-factor":2.5,"overload-for":1500.0,
"ramp-time":17000.0,"start-capacity":0.16}"#,
            max_units: 8,
            shards,
            hosts: 3,
            stage: "journaux",
            kind: "noeud-3c",
        }),
        hosts: 3,
        memory_mb: 192,
        sockets: 1024,
    }
}
