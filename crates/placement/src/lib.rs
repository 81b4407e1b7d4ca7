//! Where volumes' new objects should go, zone by zone: a linear programme over the bytes that each volume
//! brings from each zone, the nodes' capacity, the zones where objects may lie and the budgets between zones.
//! The command line builds a [`Question`] from a configuration ([`documents`]), calls [`Question::plan`] and
//! prints the [`Plan`]. No I/O.

// One-letter names are left in places: docs/ROADMAP.md lists them.
#![allow(clippy::min_ident_chars)]

pub mod documents;

use good_lp::{
    Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable, microlp,
    variable, variables,
};
use std::collections::BTreeSet;

/// One volume's new objects.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The volume's name.
    pub volume: String,
    /// Bytes a second that come through hosts of each zone, by the zone's index.
    pub from: Vec<f64>,
    /// The zones where they may lie.
    pub zones: BTreeSet<usize>,
    /// Work on nodes for each byte, in units.
    pub units_a_byte: f64,
}

/// A limit on the traffic from one zone to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The sending zone.
    pub from: usize,
    /// The receiving zone.
    pub to: usize,
    /// Bytes a second.
    pub limit: f64,
}

/// All that a plan depends on. Zones, volumes and budgets are numbered by their index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Question {
    /// Their names.
    pub zones: Vec<String>,
    /// Units a second that each zone's nodes may be given.
    pub capacity: Vec<f64>,
    /// What one node more would add to it.
    pub node_capacity: Vec<f64>,
    /// The volumes.
    pub demands: Vec<Demand>,
    /// The limits between zones.
    pub budgets: Vec<Budget>,
    /// The price of a byte that crosses, by its zones.
    pub price: Vec<Vec<f64>>,
}

/// A constraint of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bound {
    /// The capacity of a zone's nodes.
    Nodes(usize),
    /// A budget.
    Budget(usize),
    /// The zones where a volume's objects may lie: without it, anywhere.
    Zones(usize),
}

/// A bound that makes the plan dearer, and the gain from relaxing it.
#[derive(Clone, Debug, PartialEq)]
pub struct Binding {
    /// The bound.
    pub bound: Bound,
    /// Cost a second saved by one node more, or by one byte a second more.
    pub saves: f64,
}

/// The cheapest placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Bytes a second to each zone, by volume.
    pub to: Vec<Vec<f64>>,
    /// Bytes a second from zone to zone.
    pub crosses: Vec<Vec<f64>>,
    /// Its price a second.
    pub cost: f64,
    /// The bounds that make it dearer, the costliest first.
    pub binding: Vec<Binding>,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NoPlan {
    /// These bounds contradict each other; without any one of them there would be a plan.
    #[error("the constraints conflict")]
    Clash(Vec<Bound>),
    /// The solver failed.
    #[error("the solver found no solution: {0}")]
    Solver(String),
}

/// A solution of the linear programme.
struct Solved {
    /// Bytes a second, by volume, sending zone and receiving zone.
    flows: Vec<Vec<Vec<f64>>>,
    cost: f64,
}

/// A question with one bound relaxed by some nodes, or by some bytes a second.
struct Relaxed {
    question: Question,
    step: f64,
}

/// The solver's variables: bytes a second, by volume, sending zone and receiving zone; `None`: not allowed.
struct Flows {
    variables: Vec<Vec<Vec<Option<Variable>>>>,
}

impl Flows {
    /// The sum of all flows, each with a factor by volume, sending zone and receiving zone.
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

/// Relative to the largest number: the solver's rounding error.
const TOLERANCE: f64 = 1e-6;

impl Question {
    fn bounds(&self) -> Vec<Bound> {
        let nodes = (0..self.zones.len()).map(Bound::Nodes);
        let budgets = (0..self.budgets.len()).map(Bound::Budget);
        nodes
            .chain(budgets)
            .chain((0..self.demands.len()).map(Bound::Zones))
            .collect()
    }

    fn budget(&self, from: usize, to: usize) -> Option<usize> {
        self.budgets
            .iter()
            .position(|b| b.from == from && b.to == to)
    }

    /// Solves with these bounds alone; `Ok(None)`: no plan keeps them.
    fn solve(&self, kept: &BTreeSet<Bound>) -> Result<Option<Solved>, NoPlan> {
        let mut all = variables!();
        let flows = self.flow_variables(kept, &mut all);
        // Among plans of equal cost, prefer one with less traffic between zones.
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
            let asked = demand.from.iter().enumerate();
            for (zone, asked) in asked.filter(|(_, asked)| **asked > 0.0) {
                let placed = flows.sum(|v, from, _| indicator(v == volume && from == zone));
                model = model.with(placed.eq(*asked));
            }
        }
        for bound in kept {
            match *bound {
                Bound::Nodes(zone) => {
                    let units = |volume: usize| self.demands[volume].units_a_byte;
                    let work = flows.sum(|v, _, to| if to == zone { units(v) } else { 0.0 });
                    model = model.with(work.leq(self.capacity[zone]));
                }
                Bound::Budget(place) => {
                    let budget = &self.budgets[place];
                    let crosses =
                        flows.sum(|_, from, to| indicator(from == budget.from && to == budget.to));
                    model = model.with(crosses.leq(budget.limit));
                }
                Bound::Zones(_) => {}
            }
        }
        match model.solve() {
            Ok(solution) => Ok(Some(self.solved(&flows, &solution))),
            Err(ResolutionError::Infeasible) => Ok(None),
            Err(error) => Err(NoPlan::Solver(error.to_string())),
        }
    }

    /// A variable for each flow that the kept bounds allow.
    fn flow_variables(&self, kept: &BTreeSet<Bound>, all: &mut ProblemVariables) -> Flows {
        let zones = self.zones.len();
        let mut variables = Vec::new();
        for (volume, demand) in self.demands.iter().enumerate() {
            let any_zone = !kept.contains(&Bound::Zones(volume));
            let may_go = |to: &usize| any_zone || demand.zones.contains(to);
            let mut row = |from: usize| -> Vec<Option<Variable>> {
                let used = demand.from[from] > 0.0;
                (0..zones)
                    .map(|to| (used && may_go(&to)).then(|| all.add(variable().min(0.0))))
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

    fn solved(&self, flows: &Flows, solution: &impl Solution) -> Solved {
        let value = |flow: &Option<Variable>| flow.map_or(0.0, |it| solution.value(it).max(0.0));
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

    /// The cheapest plan, what holds it back, or what clashes.
    ///
    /// # Errors
    /// No plan keeps all bounds, with a smallest set of those that clash; or the solver gave up.
    pub fn plan(&self) -> Result<Plan, NoPlan> {
        let all: BTreeSet<Bound> = self.bounds().into_iter().collect();
        let Some(solved) = self.solve(&all)? else {
            return Err(NoPlan::Clash(self.clash(all)?));
        };
        let zones = self.zones.len();
        let sum = |of: &dyn Fn(usize, usize, usize) -> bool| -> f64 {
            let each = solved.flows.iter().enumerate().flat_map(|(v, rows)| {
                rows.iter().enumerate().flat_map(move |(a, row)| {
                    row.iter().enumerate().map(move |(b, y)| (v, a, b, *y))
                })
            });
            each.filter(|(v, a, b, _)| of(*v, *a, *b))
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

    /// The same question with one bound relaxed; `None`: that is not possible.
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
                // A thousandth: the value of a byte here, not that of a flood.
                let step = (question.budgets[index].limit / 1000.0).max(1.0);
                question.budgets[index].limit += step;
                Some(Relaxed { question, step })
            }
            Bound::Nodes(_) | Bound::Zones(_) => None,
        }
    }

    /// A smallest set of bounds that clash: each that can be left out without a plan coming about is left
    /// out.
    fn clash(&self, mut kept: BTreeSet<Bound>) -> Result<Vec<Bound>, NoPlan> {
        for bound in self.bounds() {
            kept.remove(&bound);
            if self.solve(&kept)?.is_some() {
                kept.insert(bound);
            }
        }
        Ok(kept.into_iter().collect())
    }

    /// A description of a bound.
    pub fn describe(&self, bound: Bound) -> String {
        match bound {
            Bound::Nodes(z) => {
                format!(
                    "what the nodes of {} can do, {:.0} units a second",
                    self.zones[z], self.capacity[z]
                )
            }
            Bound::Budget(place) => {
                let b = &self.budgets[place];
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

    /// The budget from one zone to another, if there is one.
    pub fn limit(&self, from: usize, to: usize) -> Option<f64> {
        self.budget(from, to).map(|place| self.budgets[place].limit)
    }
}
