//! Where volumes' new objects should go, zone by zone: a linear programme over what each volume brings from each
//! zone, what nodes can do, where objects may lie and what may cross. No I/O; what it is asked is a [`Question`].

pub mod documents;

use good_lp::{Expression, ResolutionError, Solution, SolverModel, Variable, microlp, variable, variables};
use std::collections::BTreeSet;

/// One volume's new objects.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    pub volume: String,
    /// Bytes a second that come through hosts of each zone, by the zone's place.
    pub from: Vec<f64>,
    /// Where they may lie.
    pub zones: BTreeSet<usize>,
    /// Work on nodes for each byte, in units.
    pub units_a_byte: f64,
}

/// What may cross from zone to zone, in bytes a second.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    pub from: usize,
    pub to: usize,
    pub most: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Question {
    pub zones: Vec<String>,
    /// Units a second that each zone's nodes may be given, and what one node more would add.
    pub can: Vec<f64>,
    pub a_node: Vec<f64>,
    pub demands: Vec<Demand>,
    pub budgets: Vec<Budget>,
    /// What a byte costs that crosses, by the places of its zones.
    pub price: Vec<Vec<f64>>,
}

/// Something that bounds the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bound {
    /// What a zone's nodes can do.
    Nodes(usize),
    /// A budget, by its place.
    Budget(usize),
    /// Where a volume's objects may lie: without it, anywhere.
    Zones(usize),
}

/// A bound that holds the plan back, and what easing it would bring.
#[derive(Clone, Debug, PartialEq)]
pub struct Binding {
    pub bound: Bound,
    /// One node more, or a byte a second more.
    pub saves: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// By volume: bytes a second that go to each zone.
    pub to: Vec<Vec<f64>>,
    /// What crosses, by zones, in bytes a second.
    pub crosses: Vec<Vec<f64>>,
    /// A second.
    pub cost: f64,
    pub binding: Vec<Binding>,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NoPlan {
    /// These can't all hold, and any one fewer could.
    #[error("the bounds clash")]
    Clash(Vec<Bound>),
    #[error("the solver gave up: {0}")]
    Solver(String),
}

struct Solved {
    y: Vec<Vec<Vec<f64>>>,
    cost: f64,
}

/// Relative to the largest figure: what the solver's rounding may leave over.
const NEAR: f64 = 1e-6;

impl Question {
    fn bounds(&self) -> Vec<Bound> {
        let nodes = (0..self.zones.len()).map(Bound::Nodes);
        let budgets = (0..self.budgets.len()).map(Bound::Budget);
        nodes.chain(budgets).chain((0..self.demands.len()).map(Bound::Zones)).collect()
    }

    fn budget(&self, from: usize, to: usize) -> Option<usize> {
        self.budgets.iter().position(|b| b.from == from && b.to == to)
    }

    /// With these bounds alone; `Ok(None)`: no plan keeps them.
    fn solve(&self, kept: &BTreeSet<Bound>) -> Result<Option<Solved>, NoPlan> {
        let zones = self.zones.len();
        let mut all = variables!();
        let mut y: Vec<Vec<Vec<Option<Variable>>>> = Vec::new();
        for (v, d) in self.demands.iter().enumerate() {
            let may = |to: &usize| !kept.contains(&Bound::Zones(v)) || d.zones.contains(to);
            let mut row = |from: usize| -> Vec<Option<Variable>> {
                let used = d.from[from] > 0.0;
                (0..zones).map(|to| (used && may(&to)).then(|| all.add(variable().min(0.0)))).collect()
            };
            y.push((0..zones).map(&mut row).collect());
        }
        let each = || {
            (0..self.demands.len())
                .flat_map(move |v| (0..zones).flat_map(move |a| (0..zones).map(move |b| (v, a, b))))
        };
        let sum = |of: &dyn Fn(usize, usize, usize) -> f64| -> Expression {
            each().filter_map(|(v, a, b)| Some(of(v, a, b) * y[v][a][b]?)).sum()
        };
        let price = |a: usize, b: usize| self.price.get(a).and_then(|row| row.get(b)).copied().unwrap_or(0.0);
        // Among plans that cost alike, one that crosses less.
        let largest = self.price.iter().flatten().copied().fold(0.0, f64::max).max(1.0);
        let cost = sum(&|_, a, b| if a == b { 0.0 } else { price(a, b) + largest * NEAR });
        let mut model = all.minimise(cost).using(microlp);
        for (v, d) in self.demands.iter().enumerate() {
            for (a, asked) in d.from.iter().enumerate().filter(|(_, asked)| **asked > 0.0) {
                let placed = sum(&|w, from, _| f64::from(u8::from(w == v && from == a)));
                model = model.with(placed.eq(*asked));
            }
        }
        for bound in kept {
            match *bound {
                Bound::Nodes(z) => {
                    let work = sum(&|v, _, b| if b == z { self.demands[v].units_a_byte } else { 0.0 });
                    model = model.with(work.leq(self.can[z]));
                }
                Bound::Budget(place) => {
                    let b = &self.budgets[place];
                    let crosses = sum(&|_, from, to| f64::from(u8::from(from == b.from && to == b.to)));
                    model = model.with(crosses.leq(b.most));
                }
                Bound::Zones(_) => {}
            }
        }
        match model.solve() {
            Ok(solution) => {
                let value = |at: &Option<Variable>| at.map_or(0.0, |var| solution.value(var).max(0.0));
                let y: Vec<Vec<Vec<f64>>> =
                    y.iter().map(|v| v.iter().map(|a| a.iter().map(value).collect()).collect()).collect();
                let cost = each().map(|(v, a, b)| if a == b { 0.0 } else { y[v][a][b] * price(a, b) }).sum();
                Ok(Some(Solved { y, cost }))
            }
            Err(ResolutionError::Infeasible) => Ok(None),
            Err(e) => Err(NoPlan::Solver(e.to_string())),
        }
    }

    /// The cheapest plan, what holds it back, or what clashes.
    ///
    /// # Errors
    /// No plan keeps all bounds, with a smallest set of those that clash; or the solver gave up.
    pub fn plan(&self) -> Result<Plan, NoPlan> {
        let all: BTreeSet<Bound> = self.bounds().into_iter().collect();
        let Some(solved) = self.solve(&all)? else { return Err(NoPlan::Clash(self.clash(all)?)) };
        let zones = self.zones.len();
        let sum = |of: &dyn Fn(usize, usize, usize) -> bool| -> f64 {
            let each = solved.y.iter().enumerate().flat_map(|(v, rows)| {
                rows.iter()
                    .enumerate()
                    .flat_map(move |(a, row)| row.iter().enumerate().map(move |(b, y)| (v, a, b, *y)))
            });
            each.filter(|(v, a, b, _)| of(*v, *a, *b)).map(|e| e.3).sum()
        };
        let to =
            (0..self.demands.len()).map(|v| (0..zones).map(|z| sum(&|w, _, b| w == v && b == z)).collect());
        let crosses =
            |a| (0..zones).map(|b| if a == b { 0.0 } else { sum(&|_, x, y| x == a && y == b) }).collect();
        let mut plan = Plan {
            to: to.collect(),
            crosses: (0..zones).map(crosses).collect(),
            cost: solved.cost,
            binding: Vec::new(),
        };
        for bound in all {
            let (eased, step) = match bound {
                Bound::Nodes(z) if self.a_node[z] > 0.0 => {
                    let mut q = self.clone();
                    q.can[z] += q.a_node[z];
                    (q, 1.0)
                }
                Bound::Budget(place) => {
                    let mut q = self.clone();
                    // A thousandth: what a byte is worth here, not what a flood would be.
                    let step = (q.budgets[place].most / 1000.0).max(1.0);
                    q.budgets[place].most += step;
                    (q, step)
                }
                _ => continue,
            };
            let cost = eased.solve(&self.bounds().into_iter().collect())?.map_or(plan.cost, |s| s.cost);
            let saves = (plan.cost - cost) / step;
            if (plan.cost - cost) > plan.cost.max(1e-12) * NEAR {
                plan.binding.push(Binding { bound, saves });
            }
        }
        plan.binding.sort_by(|a, b| b.saves.total_cmp(&a.saves));
        Ok(plan)
    }

    /// A smallest set of bounds that clash: each that can be left out without a plan coming about is left out.
    fn clash(&self, mut kept: BTreeSet<Bound>) -> Result<Vec<Bound>, NoPlan> {
        for bound in self.bounds() {
            kept.remove(&bound);
            if self.solve(&kept)?.is_some() {
                kept.insert(bound);
            }
        }
        Ok(kept.into_iter().collect())
    }

    /// A bound in words.
    pub fn say(&self, bound: Bound) -> String {
        match bound {
            Bound::Nodes(z) => {
                format!("what the nodes of {} can do, {:.0} units a second", self.zones[z], self.can[z])
            }
            Bound::Budget(place) => {
                let b = &self.budgets[place];
                format!(
                    "the budget from {} to {}, {:.0} bytes a second",
                    self.zones[b.from], self.zones[b.to], b.most
                )
            }
            Bound::Zones(v) => {
                let d = &self.demands[v];
                let names: Vec<_> = d.zones.iter().map(|z| self.zones[*z].as_str()).collect();
                format!("volume \"{}\" may lie in {}", d.volume, names.join(", "))
            }
        }
    }

    /// The budget of a pair that a plan's bytes would be held to.
    pub fn most(&self, from: usize, to: usize) -> Option<f64> {
        self.budget(from, to).map(|place| self.budgets[place].most)
    }
}
