//! Short forms of the benchmark `overload`: one play at a time, judged by the host's limit of memory and by the answers
//! of the regular clients.

#[allow(dead_code, reason = "the benchmark uses the rest")]
mod load;

use load::floods::{Flood, FloodKind};
use load::hostile::{HostileClients, SlowManner};
use load::leavers::{self, FirstAnswer, Leave};
use load::nodes::NodeManner;
use load::{Limits, Play, Report};
use std::sync::Mutex;
use std::time::Duration;

/// One play at a time, so that a play has the cores that its figures take for granted.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const SMALL_HOST: Limits = Limits {
    memory_mb: 32,
    descriptors: 1024,
};
const SMALLEST_HOST: Limits = Limits {
    memory_mb: 32,
    descriptors: 256,
};

/// Plays a load and checks that the host stays within its memory and answers its regular clients.
fn check(limits: Limits, node_manner: NodeManner, hostile: HostileClients) -> Report {
    let _guard = ONE_AT_A_TIME
        .lock()
        .unwrap_or_else(|error| error.into_inner());
    let report = load::play(&Play {
        limits,
        nodes_per_shard: 12,
        node_manner,
        hostile,
        duration: Duration::from_secs(4),
    });
    println!(
        "{limits:?}, {node_manner:?}, {hostile:?}: {}",
        report.line()
    );
    assert!(report.within_memory(limits), "{limits:?}, {hostile:?}");
    let regular = &report.regular;
    assert_eq!((regular.unanswered, regular.closed), (0, 0), "{hostile:?}");
    report
}

fn slow(manner: SlowManner, clients: usize) -> HostileClients {
    HostileClients::Slow { manner, clients }
}

/// Guards against memory beyond the limit: hundreds of clients at once get the largest responses.
#[test]
fn large_responses_for_hundreds_of_clients_stay_within_memory() {
    check(SMALL_HOST, NodeManner::Large, slow(SlowManner::Reads, 560));
    let writes = slow(SlowManner::LargeWrites, 139);
    check(SMALLEST_HOST, NodeManner::Large, writes);
}

fn flood(kind: FloodKind) -> HostileClients {
    HostileClients::Flood(Flood {
        kind,
        connections: 1,
        in_flight: Some(16),
    })
}

/// Guards against memory without end: one client at full speed names a new volume in each request.
#[test]
fn ever_new_volumes_of_one_client_do_not_grow_memory() {
    for kind in [FloodKind::NewVolumesUnserved, FloodKind::NewVolumesLimited] {
        check(SMALLEST_HOST, NodeManner::Short, flood(kind));
    }
}

/// Guards against one client that claims to wait for an hour: the other requests of its class were refused, and a timer
/// of each request stayed for that hour.
#[test]
fn clients_that_claim_to_wait_for_an_hour_harm_nobody() {
    for kind in [FloodKind::PatientReads, FloodKind::PatientUnserved] {
        let report = check(SMALLEST_HOST, NodeManner::Short, flood(kind));
        assert_eq!(report.regular.refused, 0, "{kind:?}");
    }
}

/// Guards against attempts for clients that are gone: no first attempt begins more than 0.1 s after the close of its
/// client's connection, and the 50 ms of sockets.
#[test]
fn requests_of_clients_that_left_are_not_sent_on() {
    let _guard = ONE_AT_A_TIME
        .lock()
        .unwrap_or_else(|error| error.into_inner());
    let stay = Duration::from_millis(100);
    for leave in [Leave::InOrder, Leave::Reset, Leave::Unread] {
        let report = leavers::play_leaving(SMALL_HOST, NodeManner::Busy, 30, stay, leave);
        println!("{leave:?}: {}", report.line());
        assert!(report.begun > 0, "{leave:?}");
        assert!(report.latest <= Duration::from_millis(150), "{leave:?}");
    }
}

/// Guards against a second run of a request that comes again with its id, after its client left or had its answer.
#[test]
fn an_id_that_comes_again_runs_once() {
    let _guard = ONE_AT_A_TIME
        .lock()
        .unwrap_or_else(|error| error.into_inner());
    let later = Duration::from_millis(300);
    for first in [FirstAnswer::NotWaitedFor, FirstAnswer::Read] {
        let report = leavers::play_repeats(SMALL_HOST, "once", first, later);
        println!("{first:?}: {}", report.line());
        assert_eq!((report.run_twice, report.run), (0, 20), "{first:?}");
        assert_eq!(report.repeats_refused, 20, "{first:?}");
    }
}
