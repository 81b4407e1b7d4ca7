//! A short form of the benchmark `service`: hosts, nodes, clients, volumes and documents come and go for some hours of
//! simulated time. Once all clients have left, hosts hold only what the present document and nodes account for. The
//! test compares lengths and counts, on a few seeds.

#[path = "../benches/service/world.rs"]
mod world;

use gullsail_scheduler_api::Span;
use world::World;

/// Rounds of service; at the end of each, all clients leave for a while.
const ROUNDS: usize = 6;
/// The part of a round with clients, in simulated minutes.
const SERVICE_MINUTES: f64 = 35.0;
/// The part of a round without clients, in simulated minutes.
const QUIET_MINUTES: f64 = 6.0;
/// The most incarnations of a node that a host remembers (metric `core.starts`).
const MAX_INCARNATIONS: usize = 8;

/// The seeds to run: those of `SERVICE_SEEDS`, as in `1..60` (the last one included), or a few fixed ones.
fn seeds() -> Vec<u64> {
    let text = std::env::var("SERVICE_SEEDS").unwrap_or_default();
    let named = text
        .split_once("..")
        .map(|(from, to)| (from.parse(), to.parse()));
    match named {
        Some((Ok(from), Ok(to))) => (from..=to).collect(),
        _ => vec![1, 7, 42, 58],
    }
}

fn minutes(count: f64) -> Span {
    Span::from_millis(count * 60e3)
}

/// Guards against state that grows with former nodes, documents, volumes, objects and clients: once all clients have
/// left and nothing changes, hosts hold no more than new hosts that have served the same document and nodes for one
/// round.
#[test]
fn state_does_not_grow_over_hours_of_service() {
    for seed in seeds() {
        let mut w = World::new(seed, 8.0);
        for _ in 0..ROUNDS {
            play_round(&mut w);
        }
        assert!(
            w.answered > 20_000 && w.incarnations > 10 && w.accepted_documents > 100,
            "seed {seed}: too little happened"
        );
        let [taken, _, done, ..] = w.outcomes();
        assert!(
            done * 2 > taken,
            "seed {seed}: {done} done of {taken}: that is no service"
        );
        w.changing = false;
        w.play(minutes(QUIET_MINUTES));
        let mut unchanging = w.unchanging(seed);
        play_round(&mut unchanging);
        unchanging.play(minutes(QUIET_MINUTES));
        check_sizes(seed, &w, &unchanging);
    }
}

fn play_round(w: &mut World) {
    w.clients_active = true;
    w.play(minutes(SERVICE_MINUTES));
    w.clients_active = false;
    w.play(minutes(QUIET_MINUTES));
}

fn check_sizes(seed: u64, w: &World, unchanging: &World) {
    assert!(w.all_run() && unchanging.all_run(), "seed {seed}");
    let (held, expected) = (w.size_metrics(), unchanging.size_metrics());
    for (name, length) in &held {
        let most = match *name {
            // The account grows up to a separate bound, which the tests of `zones` check.
            "core.account" => world::HOSTS * world::MAX_LEDGER_TOTALS,
            "core.starts" => expected["core.nodes"] * MAX_INCARNATIONS,
            _ => expected[name],
        };
        assert!(
            *length <= most,
            "seed {seed}, {name}: {length} held, {most} accounted for"
        );
    }
}
