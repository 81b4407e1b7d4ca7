//! Small questions whose answers are known.

use gullsail_placement::*;

/// Two zones, and a third that is dear to reach.
fn question(
    capacity: [f64; 3],
    demands: &[(&str, [f64; 3], &[usize])],
    budgets: &[(usize, usize, f64)],
) -> Question {
    let demand = |(volume, from, zones): &(&str, [f64; 3], &[usize])| Demand {
        volume: volume.to_string(),
        from: from.to_vec(),
        zones: zones.iter().copied().collect(),
        units_a_byte: 1.0,
    };
    let budget = |(from, to, most): &(usize, usize, f64)| Budget {
        from: *from,
        to: *to,
        limit: *most,
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
fn plans_keep_bounds_and_cost_least() {
    use Bound::*;
    // what zones can do, demands, budgets; where each volume goes, the cost, what binds and what easing it
    // saves
    type Case<'a> = (
        [f64; 3],
        &'a [(&'a str, [f64; 3], &'a [usize])],
        &'a [(usize, usize, f64)],
        &'a [[f64; 3]],
        f64,
        &'a [(Bound, f64)],
    );
    let cases: [Case; 7] = [
        // All at home.
        (
            [100.0, 100.0, 100.0],
            &[("v", [30.0, 20.0, 0.0], ANY)],
            &[],
            &[[30.0, 20.0, 0.0]],
            0.0,
            &[],
        ),
        // Home is too small: the rest goes where it is cheap.
        (
            [20.0, 100.0, 100.0],
            &[("v", [50.0, 0.0, 0.0], ANY)],
            &[],
            &[[20.0, 30.0, 0.0]],
            30.0,
            &[(Nodes(0), 10.0)],
        ),
        // And where the budget is spent, where it is dear.
        (
            [20.0, 100.0, 100.0],
            &[("v", [50.0, 0.0, 0.0], ANY)],
            &[(0, 1, 10.0)],
            &[[20.0, 10.0, 20.0]],
            110.0,
            &[(Nodes(0), 50.0), (Budget(0), 4.0)],
        ),
        // A volume that may lie in one zone only crosses; the other makes room for it there.
        (
            [100.0, 30.0, 100.0],
            &[("v", [20.0, 0.0, 0.0], &[1]), ("w", [0.0, 30.0, 0.0], ANY)],
            &[],
            &[[0.0, 20.0, 0.0], [20.0, 10.0, 0.0]],
            40.0,
            &[(Nodes(1), 10.0)],
        ),
        // Budgets that nothing needs do not bind.
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
        // Nothing is asked.
        ([0.0, 0.0, 0.0], &[], &[], &[], 0.0, &[]),
    ];
    for (place, (can, demands, budgets, to, cost, binding)) in cases.into_iter().enumerate() {
        let q = question(can, demands, budgets);
        let plan = q.plan().unwrap_or_else(|e| panic!("case {place}: {e:?}"));
        let near = |a: f64, b: f64| (a - b).abs() < 1e-3;
        assert!(near(plan.cost, cost), "case {place}: {plan:?}");
        assert!(
            plan.to
                .iter()
                .flatten()
                .zip(to.iter().flatten())
                .all(|(a, b)| near(*a, *b)),
            "case {place}: {plan:?}"
        );
        let found: Vec<_> = plan.binding.iter().map(|b| b.bound).collect();
        assert_eq!(
            found,
            binding.iter().map(|b| b.0).collect::<Vec<_>>(),
            "case {place}: {plan:?}"
        );
        assert!(
            plan.binding
                .iter()
                .zip(binding)
                .all(|(a, b)| near(a.saves, b.1)),
            "case {place}: {plan:?}"
        );
    }
}

#[test]
fn what_clashes_is_a_smallest_set() {
    use Bound::*;
    let cases: [(Question, &[Bound]); 4] = [
        // More than all nodes together can do.
        (
            question([1.0, 1.0, 1.0], &[("v", [9.0, 0.0, 0.0], ANY)], &[]),
            &[Nodes(0), Nodes(1), Nodes(2)],
        ),
        // It may lie in one zone, which is too small; the other volume, and other zones, are no part of it.
        (
            question(
                [99.0, 5.0, 99.0],
                &[("w", [9.0, 0.0, 0.0], ANY), ("v", [9.0, 0.0, 0.0], &[1])],
                &[],
            ),
            &[Nodes(1), Zones(1)],
        ),
        // It may not be where it comes from, and may not cross.
        (
            question(
                [99.0; 3],
                &[("v", [9.0, 0.0, 0.0], &[1])],
                &[(0, 1, 3.0), (0, 2, 3.0)],
            ),
            &[Budget(0), Zones(0)],
        ),
        // Home is full, and both ways out are too narrow.
        (
            question(
                [1.0, 99.0, 99.0],
                &[("v", [9.0, 0.0, 0.0], ANY)],
                &[(0, 1, 3.0), (0, 2, 3.0), (1, 0, 3.0)],
            ),
            &[Nodes(0), Budget(0), Budget(1)],
        ),
    ];
    for (q, wanted) in cases {
        match q.plan() {
            Err(NoPlan::Clash(found)) => assert_eq!(found, wanted),
            other => panic!("{other:?}"),
        }
    }
}
