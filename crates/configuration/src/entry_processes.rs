//! Reads the entries on processes: hosts, nodes, the servers of simulated nodes, a host's bounds.

use crate::entities::{HostBounds, NodePlace, Place, Server};
use crate::reader::{Names, Reader};
use gullsail_protocol::Bounds;
use gullsail_scheduler_api::{ShardId, Span, ZoneId};
use kdl::KdlNode;

pub(crate) fn place(r: &mut Reader, n: &KdlNode, zones: &Names) -> Place {
    let address = r.text_at(n, "address").unwrap_or_default();
    let zone = if n.entry("zone").is_some() || !zones.list().is_empty() {
        r.refer_at(n, "zone", "zone", zones).unwrap_or_default()
    } else {
        0
    };
    let listen = r.text_at(n, "listen").unwrap_or_else(|| address.clone());
    Place {
        name: r.text(n, 0, "a name"),
        zone: ZoneId(zone),
        address,
        listen,
    }
}

pub(crate) fn node(r: &mut Reader, n: &KdlNode, zones: &Names, servers: &Names) -> NodePlace {
    r.only(
        n,
        1,
        &[
            "cell", "zone", "kind", "address", "listen", "machine", "spare",
        ],
        &[],
    );
    let server = if n.entry("machine").is_some() {
        r.refer_at(n, "machine", "machine", servers)
    } else {
        None
    };
    _ = r.number(n, "cell", 0.0);
    let shard = ShardId(i64::from(r.whole(n, "cell", 0, 0)));
    NodePlace {
        place: place(r, n, zones),
        shard,
        kind: r.text_at(n, "kind").unwrap_or_default(),
        server: server.unwrap_or_default(),
        spare: r.flag(n, "spare"),
    }
}

pub(crate) fn server(r: &mut Reader, n: &KdlNode) -> Server {
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
    r.only(n, 1, &known, &[]);
    Server {
        name: r.text(n, 0, "a name"),
        cores: r.whole(n, "cores", 1, 1),
        unit: r.span(n, "unit"),
        queue: r.whole(n, "queue", 0, 32),
        pause: r.span_at(n, "pause").unwrap_or_default(),
        pause_every: r
            .span_at(n, "pause-every")
            .unwrap_or(Span::from_millis(5000.0)),
        put_off: r.part_at(n, "put-off").unwrap_or_default(),
        flush_every: r
            .span_at(n, "flush-every")
            .unwrap_or(Span::from_millis(2000.0)),
        falls_over: r.number_at(n, "falls-over", 1.0).unwrap_or(2.0),
    }
}

pub(crate) fn bounds(r: &mut Reader, node: Option<&KdlNode>) -> HostBounds {
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
    let Some(n) = node else { return b };
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
    r.only(n, 0, &known, &[]);
    b.most_open = r.whole(n, "open", 1, b.most_open);
    b.most_held = r.bytes(n, "held-bytes", b.most_held);
    b.frame.body = r.bytes(n, "body-bytes", b.frame.body);
    b.most_unsent = r.bytes(n, "unsent-bytes", b.most_unsent);
    for (key, at) in [
        ("client-stall", &mut b.client_stall),
        ("connect", &mut b.connect),
        ("redial-first", &mut b.redial.0),
        ("redial-last", &mut b.redial.1),
        ("clock-every", &mut b.clock_every),
        ("clock-apart", &mut b.clock_apart),
    ] {
        *at = r.span_at(n, key).unwrap_or(*at);
    }
    b
}
