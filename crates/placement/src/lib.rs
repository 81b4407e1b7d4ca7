//! Plans in which zones the new objects of volumes are placed. The plan is the solution of a linear programme over the
//! bytes that each volume writes from each zone, the capacity of the nodes, the zones where objects may be placed and the
//! budgets between zones. The command line builds a [`Question`] from a configuration ([`documents`]), calls
//! [`Question::plan`] and prints the [`Plan`]. No I/O.

// One-letter names are left in places: docs/ROADMAP.md lists them.
#![allow(clippy::min_ident_chars)]

pub mod documents;

use good_lp::{
    Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable, microlp,
    variable, variables,
};
use std::collections::BTreeSet;

/// The new objects of one volume.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The volume's name.
    pub volume: String,
    /// Bytes a second that come through the hosts of each zone, by the zone's index.
    pub from: Vec<f64>,
    /// The zones where the objects may be placed.
    pub zones: BTreeSet<usize>,
    /// Units of work on nodes for each byte.
    pub units_per_byte: f64,
}

/// A limit on the traffic from one zone to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The sending zone.
    pub from: usize,
    /// The receiving zone.
    pub to: usize,
    /// The limit in bytes a second.
    pub limit: f64,
}

/// A placement problem: everything that a plan depends on. Zones, volumes and budgets are identified by their index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Question {
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The units a second that the nodes of each zone can serve.
    pub capacity: Vec<f64>,
    /// The units a second that one more node would add to the capacity of each zone; 0 if the zone has no nodes.
    pub node_capacity: Vec<f64>,
    /// The new objects of each volume.
    pub demands: Vec<Demand>,
    /// The limits between zones.
    pub budgets: Vec<Budget>,
    /// The price of one byte between two zones, by sending and receiving zone.
    pub price: Vec<Vec<f64>>,
}

/// A constraint of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bound {
    /// The capacity of a zone's nodes.
    Nodes(usize),
    /// The budget with this index.
    Budget(usize),
    /// The restriction of a volume's objects to its zones. Without it, they may be placed anywhere.
    Zones(usize),
}

/// A bound that raises the cost of the plan, and what relaxing it would save.
#[derive(Clone, Debug, PartialEq)]
pub struct Binding {
    /// The bound that raises the cost.
    pub bound: Bound,
    /// The cost a second that one more node, or one more byte a second of budget, would save.
    pub saves: f64,
}

/// The placement with the lowest cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Bytes a second placed in each zone, by volume and zone.
    pub to: Vec<Vec<f64>>,
    /// Bytes a second between two zones, by sending and receiving zone; 0 within a zone.
    pub crosses: Vec<Vec<f64>>,
    /// The cost of the traffic between zones, a second.
    pub cost: f64,
    /// The bounds that raise the cost, the one with the largest saving first.
    pub binding: Vec<Binding>,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NoPlan {
    /// These bounds conflict. Without any one of them there would be a plan.
    #[error("the constraints conflict")]
    Clash(Vec<Bound>),
    /// The solver failed with this error.
    #[error("the solver found no solution: {0}")]
    Solver(String),
}

/// A solution of the linear programme.
struct Solved {
    /// Bytes a second, by volume, sending zone and receiving zone.
    flows: Vec<Vec<Vec<f64>>>,
    /// The cost a second.
    cost: f64,
}

/// A problem with one bound relaxed.
struct Relaxed {
    question: Question,
    /// By how much: a number of nodes, or of bytes a second.
    step: f64,
}

/// The solver's variables: bytes a second, by volume, sending zone and receiving zone. `None`: the flow is not allowed.
struct Flows {
    variables: Vec<Vec<Vec<Option<Variable>>>>,
}

impl Flows {
    /// The sum of all flows, each multiplied by `factor(volume, sending zone, receiving zone)`.
    fn sum(&self, factor: impl Fn(usize, usize, usize) -> f64) -> Expression {
        let mut terms = Vec::new();
        for (volume, rows) in self.variables.iter().enumerate() {
            for (from, row) in rows.iter().enumerate() {
                for (to, flow) in row.iter().enumerate() {
                    if let Some(flow) = flow {
                        terms.push(factor(volume, from, to) * *flow);
                    }
                }
            }
        }
        terms.into_iter().sum()
    }
}

fn indicator(applies: bool) -> f64 {
    if applies { 1.0 } else { 0.0 }
}

/// The solver's rounding error, relative to the largest number of the problem.
const TOLERANCE: f64 = 1e-6;

impl Question {
    /// All bounds of the problem.
    fn bounds(&self) -> Vec<Bound> {
        let nodes = (0..self.zones.len()).map(Bound::Nodes);
        let budgets = (0..self.budgets.len()).map(Bound::Budget);
        nodes
            .chain(budgets)
            .chain((0..self.demands.len()).map(Bound::Zones))
            .collect()
    }

    /// The index of the budget from one zone to another.
    fn budget(&self, from: usize, to: usize) -> Option<usize> {
        self.budgets
            .iter()
            .position(|b| b.from == from && b.to == to)
    }

    /// Solves the problem with the kept bounds only. `Ok(None)`: no solution satisfies them.
    fn solve(&self, kept: &BTreeSet<Bound>) -> Result<Option<Solved>, NoPlan> {
        let mut all = variables!();
        let flows = self.flow_variables(kept, &mut all);
        // The small addition to the price selects, among plans of equal cost, the one with the least traffic between
        // zones.
        let prices = self.price.iter().flatten().copied();
        let largest = prices.fold(0.0, f64::max).max(1.0);
        let cost = flows.sum(|_, from, to| {
            if from == to {
                0.0
            } else {
                self.price_of(from, to) + largest * TOLERANCE
            }
        });
        let mut model = all.minimise(cost).using(microlp);
        for (volume, demand) in self.demands.iter().enumerate() {
            let rates = demand.from.iter().enumerate();
            for (zone, rate) in rates.filter(|(_, rate)| **rate > 0.0) {
                let placed = flows.sum(|v, from, _| indicator(v == volume && from == zone));
                model = model.with(placed.eq(*rate));
            }
        }
        for bound in kept {
            match *bound {
                Bound::Nodes(zone) => {
                    let units = |volume: usize| self.demands[volume].units_per_byte;
                    let work = flows.sum(|v, _, to| if to == zone { units(v) } else { 0.0 });
                    model = model.with(work.leq(self.capacity[zone]));
                }
                Bound::Budget(index) => {
                    let budget = &self.budgets[index];
                    let traffic =
                        flows.sum(|_, from, to| indicator(from == budget.from && to == budget.to));
                    model = model.with(traffic.leq(budget.limit));
                }
                Bound::Zones(_) => {}
            }
        }
        match model.solve() {
            Ok(solution) => Ok(Some(self.read_solution(&flows, &solution))),
            Err(ResolutionError::Infeasible) => Ok(None),
            Err(error) => Err(NoPlan::Solver(error.to_string())),
        }
    }

    /// Adds a variable to `all` for each flow that the kept bounds allow.
    fn flow_variables(&self, kept: &BTreeSet<Bound>, all: &mut ProblemVariables) -> Flows {
        let zones = self.zones.len();
        let mut variables = Vec::new();
        for (volume, demand) in self.demands.iter().enumerate() {
            let any_zone = !kept.contains(&Bound::Zones(volume));
            let is_allowed = |to: &usize| any_zone || demand.zones.contains(to);
            let mut row = |from: usize| -> Vec<Option<Variable>> {
                let used = demand.from[from] > 0.0;
                (0..zones)
                    .map(|to| (used && is_allowed(&to)).then(|| all.add(variable().min(0.0))))
                    .collect()
            };
            variables.push((0..zones).map(&mut row).collect());
        }
        Flows { variables }
    }

    fn price_of(&self, from: usize, to: usize) -> f64 {
        let row = self.price.get(from);
        row.and_then(|row| row.get(to)).copied().unwrap_or(0.0)
    }

    /// The values of the solver's variables and their cost, without the small addition that `solve` makes to prices.
    fn read_solution(&self, flows: &Flows, solution: &impl Solution) -> Solved {
        let value = |flow: &Option<Variable>| {
            flow.map_or(0.0, |variable| solution.value(variable).max(0.0))
        };
        let volume = |rows: &Vec<Vec<Option<Variable>>>| -> Vec<Vec<f64>> {
            rows.iter()
                .map(|row| row.iter().map(value).collect())
                .collect()
        };
        let flows: Vec<Vec<Vec<f64>>> = flows.variables.iter().map(volume).collect();
        let mut cost = 0.0;
        for rows in &flows {
            for (from, row) in rows.iter().enumerate() {
                for (to, bytes) in row.iter().enumerate().filter(|(to, _)| *to != from) {
                    cost += bytes * self.price_of(from, to);
                }
            }
        }
        Solved { flows, cost }
    }

    /// Computes the plan with the lowest cost, and the bounds that raise its cost.
    ///
    /// # Errors
    /// No plan satisfies all bounds, with a minimal set of bounds that conflict; or the solver failed.
    pub fn plan(&self) -> Result<Plan, NoPlan> {
        let all: BTreeSet<Bound> = self.bounds().into_iter().collect();
        let Some(solved) = self.solve(&all)? else {
            return Err(NoPlan::Clash(self.minimal_conflict(all)?));
        };
        let zones = self.zones.len();
        let sum = |included: &dyn Fn(usize, usize, usize) -> bool| -> f64 {
            let flows = solved.flows.iter().enumerate().flat_map(|(v, rows)| {
                rows.iter().enumerate().flat_map(move |(a, row)| {
                    row.iter().enumerate().map(move |(b, y)| (v, a, b, *y))
                })
            });
            flows
                .filter(|(v, a, b, _)| included(*v, *a, *b))
                .map(|e| e.3)
                .sum()
        };
        let to = (0..self.demands.len()).map(|v| {
            (0..zones)
                .map(|z| sum(&|w, _, b| w == v && b == z))
                .collect()
        });
        let crosses = |a| {
            (0..zones)
                .map(|b| {
                    if a == b {
                        0.0
                    } else {
                        sum(&|_, x, y| x == a && y == b)
                    }
                })
                .collect()
        };
        let mut plan = Plan {
            to: to.collect(),
            crosses: (0..zones).map(crosses).collect(),
            cost: solved.cost,
            binding: Vec::new(),
        };
        for bound in all {
            let Some(Relaxed { question, step }) = self.relax(bound) else {
                continue;
            };
            let cost = question
                .solve(&self.bounds().into_iter().collect())?
                .map_or(plan.cost, |s| s.cost);
            let saves = (plan.cost - cost) / step;
            if (plan.cost - cost) > plan.cost.max(1e-12) * TOLERANCE {
                plan.binding.push(Binding { bound, saves });
            }
        }
        plan.binding.sort_by(|a, b| b.saves.total_cmp(&a.saves));
        Ok(plan)
    }

    /// The problem with one bound relaxed; `None`: this bound can't be relaxed.
    fn relax(&self, bound: Bound) -> Option<Relaxed> {
        let mut question = self.clone();
        match bound {
            Bound::Nodes(zone) if self.node_capacity[zone] > 0.0 => {
                question.capacity[zone] += question.node_capacity[zone];
                Some(Relaxed {
                    question,
                    step: 1.0,
                })
            }
            Bound::Budget(index) => {
                // A small step, so that the saving is that of one more byte near the present limit.
                let step = (question.budgets[index].limit / 1000.0).max(1.0);
                question.budgets[index].limit += step;
                Some(Relaxed { question, step })
            }
            Bound::Nodes(_) | Bound::Zones(_) => None,
        }
    }

    /// A minimal set of bounds that conflict. Each bound is dropped unless its removal makes the problem solvable.
    fn minimal_conflict(&self, mut kept: BTreeSet<Bound>) -> Result<Vec<Bound>, NoPlan> {
        for bound in self.bounds() {
            kept.remove(&bound);
            if self.solve(&kept)?.is_some() {
                kept.insert(bound);
            }
        }
        Ok(kept.into_iter().collect())
    }

    /// Describes a bound for messages.
    pub fn describe(&self, bound: Bound) -> String {
        match bound {
            Bound::Nodes(z) => {
                format!(
                    "what the nodes of {} can do, {:.0} units a second",
                    self.zones[z], self.capacity[z]
                )
            }
            Bound::Budget(index) => {
                let b = &self.budgets[index];
                format!(
                    "the budget from {} to {}, {:.0} bytes a second",
                    self.zones[b.from], self.zones[b.to], b.limit
                )
            }
            Bound::Zones(v) => {
                let d = &self.demands[v];
                let names: Vec<_> = d.zones.iter().map(|z| self.zones[*z].as_str()).collect();
                format!("volume \"{}\" may lie in {}", d.volume, names.join(", "))
            }
        }
    }

    /// The budget from one zone to another in bytes a second; `None` if there is none.
    pub fn limit(&self, from: usize, to: usize) -> Option<f64> {
        self.budget(from, to).map(|index| self.budgets[index].limit)
    }
}
