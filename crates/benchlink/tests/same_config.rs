//! The bench's adapter and the platform give the scheduler the same configuration and requests.

use gullsail_benchlink::events::{self, Names};
use gullsail_benchlink::wire::WireEvent;
use gullsail_platform::settings_document::SettingsDocument;
use gullsail_scheduler_api::{Event, Request, RequestId, SchedulerConfig, Span};
use std::collections::BTreeMap;

const SETTINGS: &str = r#"{"clients":{"marks-retry":false},"failure-domains":["a","b"],"family":"stores",
        "family-info":{"cold-units":15.0,"idle-worth":0.08,"max-units":8,"slots-total":9,"within-share":0.35,
        "writes":[false,true]},"limits":{"connect-timeout":250.0,"keepalive":15000.0,"max-attempts":4,
        "max-retry-after":1000.0,"peer-messages":true,"retry-after":true},"membership-mode":"ask","peers-total":3,
        "policies":[{"limit":38.0,"limit-burst":50.0,"name":"base","nominal":6.4,"parts":1.0,"reserve":0.0,
        "value-factor":0.96},{"name":"best","nominal":16.0,"parts":2.0,"reserve":19.0,"value-factor":1.5}],
        "profiles":[{"effect":"pure","give-up":1200.0,"group":"all","late-value":0.1,"name":"r","objective":150.0,
        "worth":2.0},{"effect":"token","give-up":1200.0,"group":"cell","window":5000.0,"name":"w",
        "objective":200.0,"serial-by-key":true}],"rank":2,
        "rules":{"free-resends":3.0,"extra-per-request":0.1,"look-back":5000.0,"overload-for":1500.0,
        "ramp-time":17000.0,"start-capacity":0.17,"order-settle":100.0},"tick":2.0}"#;

const VOLUME: &str = "00000003b4d60021";
const OBJECT: &str = "7f3a9c21e0b4d655";

fn platform_document() -> SettingsDocument {
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"x:1","limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
        "settings":{SETTINGS}}}"#
    );
    SettingsDocument::parse("d", &text).unwrap()
}

fn request_from_bench(names: &mut Names) -> Request {
    let accept = format!(
        r#"{{"type":"Accept","host":1,"id":5,"quota-units":2,"ttl":900.0,"grade":"best","profile":"w",
        "store-user":"{VOLUME}","lies-in":3,"object":"{OBJECT}","mounts":3}}"#
    );
    let event = serde_json::from_str(&accept).unwrap();
    match events::translate(event, names, &BTreeMap::new()) {
        Ok(Some(Event::RequestArrived(request))) => request,
        _ => panic!("{accept}"),
    }
}

fn request_from_platform(document: &SettingsDocument) -> Request {
    let text = format!(
        "PUT /w/{VOLUME}/{OBJECT} HTTP/1.1\r\nHost: h\r\nX-Trace-Id: 9b1f03aa5c7e2d41\r\nX-Qos: w\r\n\
         X-Storage-Class: best\r\nX-Expires-In-Ms: 900\r\nX-Extent: units=2,shard=3,hosts=3\r\n\
         Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n"
    );
    let mut decoder = gullsail_http::Decoder::requests(gullsail_platform::core::BOUNDS);
    decoder.feed(text.as_bytes());
    let message = decoder.take().unwrap().unwrap();
    let parsed = gullsail_platform::core::request_parser::parse(
        &message,
        &document.names,
        &document.config,
        &document.connection_settings,
    );
    Request {
        id: RequestId(5),
        ..parsed.unwrap().request
    }
}

/// Equal settings and an equal request give the same configuration, names and ids in the bench's adapter and in the
/// platform's host.
#[test]
fn the_bench_and_the_platform_make_the_same_config_and_ids() {
    let start = format!(r#"{{"type":"Born","host":1,"rng-seed":9,"boot-info":{SETTINGS}}}"#);
    let Ok(WireEvent::Start { boot_info, .. }) = serde_json::from_str(&start) else {
        panic!("{start}")
    };
    let (from_bench, mut names) = events::config(&boot_info).unwrap();
    let document = platform_document();
    // Only on sockets can an attempt wait for its connection.
    assert_eq!(document.config.max_connect_wait, Span::from_millis(250.0));
    let from_platform = SchedulerConfig {
        max_connect_wait: Span::ZERO,
        ..document.config.clone()
    };
    assert_eq!(format!("{from_bench:?}"), format!("{from_platform:?}"));
    assert_eq!(names.settings, document.names);
    let from_bench = request_from_bench(&mut names);
    let from_platform = request_from_platform(&document);
    assert_eq!(format!("{from_bench:?}"), format!("{from_platform:?}"));
}
