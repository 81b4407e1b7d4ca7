//! Reads the entries on processes: hosts, nodes, the servers of simulated nodes, and the limits of a host.

use crate::entities::{HostBounds, NodePlace, Place, Server};
use crate::reader::{Names, Reader};
use gullsail_protocol::Bounds;
use gullsail_scheduler_api::{ShardId, Span, ZoneId};
use kdl::KdlNode;

/// Reads the name, zone and addresses of a host or node. `zone` is required if the document defines zones.
pub(crate) fn place(reader: &mut Reader, entry: &KdlNode, zones: &Names) -> Place {
    let address = reader.text_at(entry, "address").unwrap_or_default();
    let zone = if entry.entry("zone").is_some() || !zones.list().is_empty() {
        reader
            .refer_at(entry, "zone", "zone", zones)
            .unwrap_or_default()
    } else {
        0
    };
    let listen = reader
        .text_at(entry, "listen")
        .unwrap_or_else(|| address.clone());
    Place {
        name: reader.text(entry, 0, "a name"),
        zone: ZoneId(zone),
        address,
        listen,
    }
}

/// Reads a `node` entry.
pub(crate) fn node(
    reader: &mut Reader,
    entry: &KdlNode,
    zones: &Names,
    servers: &Names,
) -> NodePlace {
    reader.only(
        entry,
        1,
        &[
            "cell", "zone", "kind", "address", "listen", "machine", "spare",
        ],
        &[],
    );
    let server = if entry.entry("machine").is_some() {
        reader.refer_at(entry, "machine", "machine", servers)
    } else {
        None
    };
    _ = reader.number(entry, "cell", 0.0);
    let shard = ShardId(i64::from(reader.whole(entry, "cell", 0, 0)));
    NodePlace {
        place: place(reader, entry, zones),
        shard,
        kind: reader.text_at(entry, "kind").unwrap_or_default(),
        server: server.unwrap_or_default(),
        spare: reader.flag(entry, "spare"),
    }
}

/// Reads a `machine` entry.
pub(crate) fn server(reader: &mut Reader, entry: &KdlNode) -> Server {
    let known = [
        "cores",
        "unit",
        "queue",
        "pause",
        "pause-every",
        "put-off",
        "flush-every",
        "falls-over",
    ];
    reader.only(entry, 1, &known, &[]);
    Server {
        name: reader.text(entry, 0, "a name"),
        cores: reader.whole(entry, "cores", 1, 1),
        unit: reader.span(entry, "unit"),
        queue: reader.whole(entry, "queue", 0, 32),
        pause: reader.span_at(entry, "pause").unwrap_or_default(),
        pause_every: reader
            .span_at(entry, "pause-every")
            .unwrap_or(Span::from_millis(5000.0)),
        put_off: reader.fraction_at(entry, "put-off").unwrap_or_default(),
        flush_every: reader
            .span_at(entry, "flush-every")
            .unwrap_or(Span::from_millis(2000.0)),
        falls_over: reader.number_at(entry, "falls-over", 1.0).unwrap_or(2.0),
    }
}

/// Reads the `bounds` entry; without it, the defaults apply.
pub(crate) fn bounds(reader: &mut Reader, node: Option<&KdlNode>) -> HostBounds {
    let ms = Span::from_millis;
    let mut b = HostBounds {
        most_open: 8192,
        most_held: 256 << 20,
        frame: Bounds::DEFAULT,
        most_unsent: 4 << 20,
        client_stall: ms(10_000.0),
        connect: ms(250.0),
        redial: (ms(20.0), ms(2000.0)),
        clock_every: ms(1000.0),
        clock_apart: ms(2000.0),
    };
    let Some(entry) = node else { return b };
    let known = [
        "open",
        "held-bytes",
        "body-bytes",
        "unsent-bytes",
        "client-stall",
        "connect",
        "redial-first",
        "redial-last",
        "clock-every",
        "clock-apart",
    ];
    reader.only(entry, 0, &known, &[]);
    b.most_open = reader.whole(entry, "open", 1, b.most_open);
    b.most_held = reader.bytes(entry, "held-bytes", b.most_held);
    b.frame.body = reader.bytes(entry, "body-bytes", b.frame.body);
    b.most_unsent = reader.bytes(entry, "unsent-bytes", b.most_unsent);
    for (key, value) in [
        ("client-stall", &mut b.client_stall),
        ("connect", &mut b.connect),
        ("redial-first", &mut b.redial.0),
        ("redial-last", &mut b.redial.1),
        ("clock-every", &mut b.clock_every),
        ("clock-apart", &mut b.clock_apart),
    ] {
        *value = reader.span_at(entry, key).unwrap_or(*value);
    }
    b
}
