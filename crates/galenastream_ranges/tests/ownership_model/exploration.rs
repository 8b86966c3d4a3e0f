//! Breadth-first exploration of all orders of steps.

use galenastream_utils::FastSet;

use crate::{model::Model, scope::Scope, step::Step};

/// What an exploration has found.
#[derive(Debug)]
pub struct Exploration {
    /// The number of different states.
    pub states: usize,
    /// The number of steps up to which all orders were explored; `None` if there are no further
    /// states.
    pub depth: Option<usize>,
    /// The number of states in which the other target holds the key.
    pub takeovers: usize,
    /// The shortest order of steps that breaks a rule, and the rule.
    pub counterexample: Option<Counterexample>,
}

/// An order of steps that breaks a rule.
#[derive(Debug)]
pub struct Counterexample {
    pub rule: &'static str,
    pub steps: Vec<Step>,
    /// One line a step, with the state after it.
    pub trace: String,
}

struct Visited {
    model: Model,
    /// The index of the state before and the step from there; `None` for the first state.
    from: Option<(usize, Step)>,
    depth: usize,
}

impl Exploration {
    /// Explores all orders of the steps of a scope that begin with `prefix`, until a rule is broken
    /// or `max_states` different states are known.
    pub fn run(prefix: &[Step], scope: &Scope, max_states: usize) -> Self {
        let steps = Model::steps(scope);
        let mut model = Model::new();
        for &step in prefix {
            model = model.after(step, scope).expect("the steps of the prefix are possible");
        }
        let first = Visited { model, from: None, depth: prefix.len() };
        let mut known = FastSet::default();
        known.insert(first.model.key(&scope.terms));
        let mut visited = vec![first];
        let mut takeovers = 0;
        let mut index = 0;
        while index < visited.len() && visited.len() < max_states {
            let model = visited[index].model.clone();
            let depth = visited[index].depth + 1;
            for &step in &steps {
                let Some(next) = model.after(step, scope) else {
                    continue;
                };
                if let Some(rule) = next.violation(&model) {
                    let mut path = prefix.to_vec();
                    path.extend(path_to(&visited, index));
                    path.push(step);
                    let trace = trace(&path, scope);
                    let counterexample = Some(Counterexample { rule, steps: path, trace });
                    return Self {
                        states: visited.len(),
                        depth: Some(depth),
                        takeovers,
                        counterexample,
                    };
                }
                if !known.insert(next.key(&scope.terms)) {
                    continue;
                }
                takeovers += usize::from(next.other_holds());
                visited.push(Visited { model: next, from: Some((index, step)), depth });
            }
            index += 1;
        }
        let depth = visited.get(index).map(|it| it.depth);
        Self { states: visited.len(), depth, takeovers, counterexample: None }
    }
}

fn path_to(visited: &[Visited], index: usize) -> Vec<Step> {
    let mut path = Vec::new();
    let mut index = index;
    while let Some((from, step)) = visited[index].from {
        path.push(step);
        index = from;
    }
    path.reverse();
    path
}

/// Lists the steps with the state after each.
fn trace(steps: &[Step], scope: &Scope) -> String {
    let mut model = Model::new();
    let mut lines = format!("    {model}\n");
    for (number, &step) in steps.iter().enumerate() {
        let Some(next) = model.after(step, scope) else {
            break;
        };
        model = next;
        lines += &format!("{:3} {step}\n    {model}\n", number + 1);
    }
    lines
}
