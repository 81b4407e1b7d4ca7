//! Small placement problems with known solutions.

use gullsail_placement::*;

/// A problem with three zones, in which traffic to and from the third is expensive.
fn question(
    capacity: [f64; 3],
    demands: &[(&str, [f64; 3], &[usize])],
    budgets: &[(usize, usize, f64)],
) -> Question {
    let demand = |(volume, from, zones): &(&str, [f64; 3], &[usize])| Demand {
        volume: volume.to_string(),
        from: from.to_vec(),
        zones: zones.iter().copied().collect(),
        units_per_byte: 1.0,
    };
    let budget = |(from, to, limit): &(usize, usize, f64)| Budget {
        from: *from,
        to: *to,
        limit: *limit,
    };
    let price = |a: usize, b: usize| if a == 2 || b == 2 { 5.0 } else { 1.0 };
    Question {
        zones: ["a", "b", "c"].map(String::from).into(),
        capacity: capacity.into(),
        node_capacity: vec![10.0; 3],
        demands: demands.iter().map(demand).collect(),
        budgets: budgets.iter().map(budget).collect(),
        price: (0..3)
            .map(|a| (0..3).map(|b| price(a, b)).collect())
            .collect(),
    }
}

const ANY: &[usize] = &[0, 1, 2];

#[test]
fn plan_satisfies_bounds_at_the_lowest_cost() {
    use Bound::*;
    // capacity of zones, demands, budgets; expected bytes a second by volume and zone, cost, binding bounds with their
    // savings
    type Case<'a> = (
        [f64; 3],
        &'a [(&'a str, [f64; 3], &'a [usize])],
        &'a [(usize, usize, f64)],
        &'a [[f64; 3]],
        f64,
        &'a [(Bound, f64)],
    );
    let cases: [Case; 7] = [
        // All objects fit into the zone that they come from.
        (
            [100.0, 100.0, 100.0],
            &[("v", [30.0, 20.0, 0.0], ANY)],
            &[],
            &[[30.0, 20.0, 0.0]],
            0.0,
            &[],
        ),
        // The zone is too small: the rest is placed in the cheaper of the others.
        (
            [20.0, 100.0, 100.0],
            &[("v", [50.0, 0.0, 0.0], ANY)],
            &[],
            &[[20.0, 30.0, 0.0]],
            30.0,
            &[(Nodes(0), 10.0)],
        ),
        // The budget to the cheaper zone is used up: the rest is placed in the expensive one.
        (
            [20.0, 100.0, 100.0],
            &[("v", [50.0, 0.0, 0.0], ANY)],
            &[(0, 1, 10.0)],
            &[[20.0, 10.0, 20.0]],
            110.0,
            &[(Nodes(0), 50.0), (Budget(0), 4.0)],
        ),
        // One volume is restricted to another zone, so part of the other volume moves out of that zone.
        (
            [100.0, 30.0, 100.0],
            &[("v", [20.0, 0.0, 0.0], &[1]), ("w", [0.0, 30.0, 0.0], ANY)],
            &[],
            &[[0.0, 20.0, 0.0], [20.0, 10.0, 0.0]],
            40.0,
            &[(Nodes(1), 10.0)],
        ),
        // A budget without traffic is not binding.
        (
            [100.0, 100.0, 100.0],
            &[("v", [9.0, 0.0, 0.0], ANY)],
            &[(0, 1, 0.0)],
            &[[9.0, 0.0, 0.0]],
            0.0,
            &[],
        ),
        // Demand in a zone without nodes.
        (
            [100.0, 100.0, 0.0],
            &[("v", [0.0, 0.0, 5.0], ANY)],
            &[(2, 0, 5.0), (2, 1, 0.0)],
            &[[5.0, 0.0, 0.0]],
            25.0,
            &[(Nodes(2), 25.0)],
        ),
        // No demand.
        ([0.0, 0.0, 0.0], &[], &[], &[], 0.0, &[]),
    ];
    for (case, (capacity, demands, budgets, to, cost, binding)) in cases.into_iter().enumerate() {
        let q = question(capacity, demands, budgets);
        let plan = q.plan().unwrap_or_else(|e| panic!("case {case}: {e:?}"));
        let near = |a: f64, b: f64| (a - b).abs() < 1e-3;
        assert!(near(plan.cost, cost), "case {case}: {plan:?}");
        assert!(
            plan.to
                .iter()
                .flatten()
                .zip(to.iter().flatten())
                .all(|(a, b)| near(*a, *b)),
            "case {case}: {plan:?}"
        );
        let found: Vec<_> = plan.binding.iter().map(|b| b.bound).collect();
        assert_eq!(
            found,
            binding.iter().map(|b| b.0).collect::<Vec<_>>(),
            "case {case}: {plan:?}"
        );
        assert!(
            plan.binding
                .iter()
                .zip(binding)
                .all(|(a, b)| near(a.saves, b.1)),
            "case {case}: {plan:?}"
        );
    }
}

#[test]
fn reported_conflict_is_a_minimal_set_of_bounds() {
    use Bound::*;
    let cases: [(Question, &[Bound]); 4] = [
        // The demand exceeds the capacity of all nodes together.
        (
            question([1.0, 1.0, 1.0], &[("v", [9.0, 0.0, 0.0], ANY)], &[]),
            &[Nodes(0), Nodes(1), Nodes(2)],
        ),
        // The zone of one volume is too small. The other volume and the other zones are not part of the conflict.
        (
            question(
                [99.0, 5.0, 99.0],
                &[("w", [9.0, 0.0, 0.0], ANY), ("v", [9.0, 0.0, 0.0], &[1])],
                &[],
            ),
            &[Nodes(1), Zones(1)],
        ),
        // The objects may not stay in the zone that they come from, and the budget out of that zone is too small.
        (
            question(
                [99.0; 3],
                &[("v", [9.0, 0.0, 0.0], &[1])],
                &[(0, 1, 3.0), (0, 2, 3.0)],
            ),
            &[Budget(0), Zones(0)],
        ),
        // The zone is too small, and so are both budgets out of it.
        (
            question(
                [1.0, 99.0, 99.0],
                &[("v", [9.0, 0.0, 0.0], ANY)],
                &[(0, 1, 3.0), (0, 2, 3.0), (1, 0, 3.0)],
            ),
            &[Nodes(0), Budget(0), Budget(1)],
        ),
    ];
    for (q, expected) in cases {
        match q.plan() {
            Err(NoPlan::Clash(found)) => assert_eq!(found, expected),
            other => panic!("{other:?}"),
        }
    }
}
