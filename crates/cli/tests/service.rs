//! A short form of the benchmark `service`: hosts, nodes, clients, volumes and documents come and go for some
//! hours of given time, and what is held once all clients have left stays what it was. Lengths and counts
//! only, from one seed.

#[path = "../benches/service/world.rs"]
mod world;

use gullsail_scheduler_api::Span;
use std::collections::BTreeMap;
use world::World;

#[test]
fn nothing_grows_over_hours() {
    let mut w = World::new(7, 8.0);
    let minutes = |m: f64| Span::from_millis(m * 60e3);
    let mut quiet: Vec<BTreeMap<&str, usize>> = Vec::new();
    for _ in 0..6 {
        w.open = true;
        w.play(minutes(35.0));
        w.open = false;
        w.play(minutes(6.0));
        quiet.push(w.size_metrics());
    }
    assert!(
        w.answered > 20_000 && w.incarnations > 10 && w.taken_documents > 100,
        "too little happened"
    );
    let [taken, _, done, ..] = w.outcomes();
    assert!(
        done * 2 > taken,
        "{done} done of {taken}: that is no service"
    );
    for name in quiet[0].keys() {
        let of = |part: &[BTreeMap<&str, usize>]| {
            part.iter().map(|l| l[name]).sum::<usize>() / part.len()
        };
        let (first, last) = (of(&quiet[..2]), of(&quiet[4..]));
        // The account fills up to a bound of its own, tested in `zones`.
        let fills = *name == "core.account" && last <= world::HOSTS * world::ACCOUNT;
        assert!(
            fills || last <= first + first / 4 + 12,
            "{name}: {first} at first, {last} at last"
        );
    }
}
