//! Tests which writes the simulated nodes recognise as repeats.

use gullsail_configuration::{Deployment, parse};
use gullsail_protocol::Handle;
use gullsail_scheduler_api::{Instant, ShardId, Span, ZoneId};
use gullsail_simulator::idempotency_keys::{IdempotencyKeys, KeyedWrite, NodeLocation};
use std::io::Write;
use std::path::Path;

const NOW: Instant = Instant::from_micros(1_000_000);
const FIRST: Handle = Handle {
    shard: 1,
    object: 7,
};
const REPEAT: Handle = Handle {
    shard: 1,
    object: 8,
};

fn deployment() -> Deployment {
    let text = r#"
zone "east"
zone "west"
stream-type "everywhere" effect="keyed" group="all" window="5s" slo="1s" expiry="2s" write=#true
stream-type "in-zone" effect="keyed" group="zone" window="5s" slo="1s" expiry="2s" write=#true
stream-type "in-shard" effect="keyed" group="cell" window="5s" slo="1s" expiry="2s" write=#true
stream-type "unrepeatable" effect="unrepeatable" slo="1s" expiry="2s" write=#true
plan "free"
host "h1" zone="east" address="127.0.0.1:1"
node "n1" zone="east" cell=1 address="127.0.0.1:2"
volume "v" plan="free"
"#;
    parse("keys.kdl", text).unwrap()
}

/// Creates the keys of a node that has just started and shares the records in `directory`.
fn node(directory: &Path, zone: usize, shard: i64) -> IdempotencyKeys {
    let location = NodeLocation {
        zone: ZoneId(zone),
        shard: ShardId(shard),
    };
    IdempotencyKeys::shared(&deployment(), &location, directory)
}

fn write(keys: &mut IdempotencyKeys, class: &str, handle: Handle, now: Instant) -> KeyedWrite {
    keys.record(class, "key", handle, now).unwrap()
}

#[test]
fn only_nodes_within_the_scope_recognise_a_repeat() {
    struct Case {
        class: &'static str,
        zone: usize,
        shard: i64,
        recognised: bool,
    }
    let case = |class, zone, shard, recognised| Case {
        class,
        zone,
        shard,
        recognised,
    };
    for case in [
        case("everywhere", 1, 2, true),
        case("in-zone", 0, 2, true),
        case("in-zone", 1, 1, false),
        case("in-shard", 0, 1, true),
        case("in-shard", 0, 2, false),
        case("unrepeatable", 0, 1, false),
    ] {
        let directory = tempfile::tempdir().unwrap();
        let mut first = node(directory.path(), 0, 1);
        let mut second = node(directory.path(), case.zone, case.shard);
        assert_eq!(
            write(&mut first, case.class, FIRST, NOW),
            KeyedWrite::TakesEffect
        );
        let expected = if case.recognised {
            KeyedWrite::Repeats(FIRST)
        } else {
            KeyedWrite::TakesEffect
        };
        let repeat = write(&mut second, case.class, REPEAT, NOW);
        assert_eq!(
            repeat, expected,
            "{} in zone {} with shard {}",
            case.class, case.zone, case.shard
        );
    }
}

/// Guards against a node that replaces a killed one, has no record of its keys, and runs a repeated write again.
#[test]
fn the_successor_of_a_killed_node_recognises_a_repeat() {
    let directory = tempfile::tempdir().unwrap();
    let mut killed = node(directory.path(), 0, 1);
    write(&mut killed, "in-shard", FIRST, NOW);
    drop(killed);
    let mut successor = node(directory.path(), 0, 1);
    assert_eq!(
        write(&mut successor, "in-shard", REPEAT, NOW),
        KeyedWrite::Repeats(FIRST)
    );
}

/// Guards against a record that cannot be read because a node was killed while it wrote a key, which leaves an
/// incomplete line.
#[test]
fn keys_after_an_incomplete_line_are_recognised() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("keys-shard-1.jsonl");
    let mut file = std::fs::File::create(path).unwrap();
    file.write_all(b"{\"key\":\"ke").unwrap();
    let mut first = node(directory.path(), 0, 1);
    let mut second = node(directory.path(), 0, 1);
    assert_eq!(
        write(&mut first, "in-shard", FIRST, NOW),
        KeyedWrite::TakesEffect
    );
    assert_eq!(
        write(&mut second, "in-shard", REPEAT, NOW),
        KeyedWrite::Repeats(FIRST)
    );
}

#[test]
fn a_key_expires_after_the_window() {
    let directory = tempfile::tempdir().unwrap();
    let mut keys = node(directory.path(), 0, 1);
    let window = Span::from_millis(5_000.0);
    write(&mut keys, "in-shard", FIRST, NOW);
    assert_eq!(
        write(&mut keys, "in-shard", REPEAT, NOW + window),
        KeyedWrite::Repeats(FIRST)
    );
    let later = NOW + window + Span::from_micros(1);
    assert_eq!(
        write(&mut keys, "in-shard", REPEAT, later),
        KeyedWrite::TakesEffect
    );
}

/// Guards against nodes that get the same write at the same time, and each record it as the first.
#[test]
fn one_of_several_concurrent_writes_takes_effect() {
    let directory = tempfile::tempdir().unwrap();
    let effects = std::thread::scope(|scope| {
        let nodes = (0..8).map(|_| {
            scope.spawn(|| write(&mut node(directory.path(), 0, 1), "in-shard", FIRST, NOW))
        });
        let nodes: Vec<_> = nodes.collect();
        let written = nodes.into_iter().map(|node| node.join().unwrap());
        written
            .filter(|write| *write == KeyedWrite::TakesEffect)
            .count()
    });
    assert_eq!(effects, 1);
}
