//! Checks two hosts against the reference model. The frames that hosts receive are reported to the model as events,
//! the frames that they send as actions. Nodes are slow, fail, lose connections, restart cold and drain; clients
//! withdraw requests; hosts are killed. Peers cannot be reached, so every demand report is lost.
//! `GULLSAIL_SEED=N` runs one seed only.

mod observations;
mod surroundings;
mod traffic;
mod world;

use world::World;

#[test]
fn hosts_keep_the_rules_of_the_reference_model() {
    let by_hand = std::env::var("GULLSAIL_SEED")
        .ok()
        .and_then(|seed| seed.parse::<u64>().ok());
    let mut tested = [0; 7];
    for seed in by_hand.map_or(1..=14, |seed| seed..=seed) {
        let mut world = World::new(seed);
        world.run();
        if let Some(breach) = world.breaches.first() {
            panic!("seed {seed}: {breach}");
        }
        tested
            .iter_mut()
            .zip(world.model.tested)
            .for_each(|(sum, count)| *sum += count);
        // Each request has at most one answer on the client's connection.
        for host in &world.hosts {
            (1..=world.last).for_each(|id| {
                assert!(host.rig.outcomes(host.client, id).len() <= 1, "seed {seed}")
            });
        }
    }
    println!("checks per rule: {tested:?}");
    assert!(
        by_hand.is_some() || tested.iter().all(|count| *count >= 30),
        "too few checks of a rule: {tested:?}"
    );
}
