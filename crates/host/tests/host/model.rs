//! Whole hosts beside the model of the rules, by their frames: what goes to clients and nodes is what was
//! done, what comes from them is what was seen. Nodes are slow, err, reset, restart cold and drain; clients
//! withdraw and leave; hosts are killed. Peers can't be reached, so every demand report is lost.
//! `GULLSAIL_SEED=N` plays another world by hand.

mod observations;
mod surroundings;
mod traffic;
mod world;

use world::World;

#[test]
fn whole_hosts_keep_the_rules() {
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
        // Each has one answer at most, over the socket too.
        for side in &world.hosts {
            (1..=world.last).for_each(|id| {
                assert!(side.rig.outcomes(side.client, id).len() <= 1, "seed {seed}")
            });
        }
    }
    println!("put to the test: {tested:?}");
    assert!(
        by_hand.is_some() || tested.iter().all(|count| *count >= 30),
        "some rule was hardly tested: {tested:?}"
    );
}
