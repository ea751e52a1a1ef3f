//! Explores all orders of events of two nodes and a store that comes back from copies, up to a given
//! number of steps: withdrawn keys, returns from copies, and nodes that start or do not follow.

use std::collections::HashSet;
use std::time::Duration;

use edge::{REWRITE_TIME, Recency};
use platform::kv::Era;
use yare::parameterized;

/// Units of time from the return of the store until the operators have written again.
const REWRITE_UNITS: u32 = 4;
/// Units of time after which no node accepts a withdrawn key.
const REVOKE_UNITS: u32 = 3;
/// Units of time for which the statement of another node counts.
const STATEMENT_UNITS: u32 = 2;
const NODES: usize = 2;
/// A store that came back from a copy days ago.
const FIRST_ERA: Era = 1;

/// What is left out of the rule, so that tests can show that its absence is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// What the store states counts right after its return.
    NoWait,
    /// The mark counts in any era.
    AnyMark,
    /// What other nodes state does not count.
    NoStatements,
}

#[derive(Clone, Copy)]
struct Case {
    steps: usize,
    /// Number of withdrawals, each by the next version.
    withdrawals: u64,
    drills: u64,
    /// Whether the operators write again in time.
    rewrites: bool,
    mutation: Mutation,
}

/// Content of the store: the configuration with its revision, and the mark.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Content {
    version: u64,
    revision: u64,
    mark: Option<Era>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    recency: Recency,
    /// Whether the node knows any state of the store.
    is_listed: bool,
    era: Era,
    revision: u64,
    version: u64,
}

/// The times are in units.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u32,
    era: Era,
    content: Content,
    copy: Option<Content>,
    returned_at: u32,
    /// Times of the acknowledgements of the versions.
    acknowledged_at: Vec<u32>,
    nodes: Vec<Node>,
}

#[derive(Clone, Copy, Debug)]
enum Choice {
    Withdraw,
    Copy,
    Return,
    /// The operators write again what was lost.
    Rewrite,
    /// A node starts again.
    Start(usize),
    /// A node comes to know the store's state.
    Follow(usize),
    /// A node writes the mark.
    Mark(usize),
    Wait,
}

fn time(units: u32) -> Duration {
    REWRITE_TIME * units / REWRITE_UNITS
}

impl Node {
    fn follow(&mut self, world: (u32, Era, &Content), mutation: Mutation) {
        let (now, era, content) = world;
        if era > self.era && mutation != Mutation::NoWait {
            self.recency.begin_era(time(now));
        }
        let is_change = self.is_listed && era == self.era && content.revision > self.revision;
        (self.is_listed, self.era, self.revision) = (true, era, content.revision);
        self.version = self.version.max(content.version);
        self.recency.set_stored(content.version);
        let expected = content.mark.filter(|_| mutation == Mutation::AnyMark).unwrap_or(era);
        self.recency.set_mark(content.mark, expected);
        if is_change && !self.recency.is_stored_older(self.version) {
            self.recency.record_write(time(now));
        }
        self.recency.record_synced(time(now));
    }

    fn accepts_keys(&self, now: u32) -> bool {
        let age = self.recency.age(time(now), self.version);
        age.is_some_and(|age| age < time(REVOKE_UNITS))
    }

    /// Returns whether the node states its version to the others.
    fn states_version(&self) -> bool {
        self.is_listed && self.recency.is_stored_older(self.version)
    }
}

impl World {
    fn new() -> Self {
        let content = Content { mark: Some(FIRST_ERA), ..Content::default() };
        Self {
            now: 0,
            era: FIRST_ERA,
            content,
            copy: None,
            returned_at: 0,
            acknowledged_at: vec![0],
            nodes: vec![Node::default(); NODES],
        }
    }

    fn newest(&self) -> u64 {
        self.acknowledged_at.len() as u64 - 1
    }

    fn is_lost(&self) -> bool {
        self.content.version < self.newest()
    }

    fn choices(&self, case: &Case) -> Vec<Choice> {
        let mut choices = Vec::new();
        let is_rewrite_due = self.is_lost() && self.now + 1 >= self.returned_at + REWRITE_UNITS;
        if !(case.rewrites && is_rewrite_due) {
            choices.push(Choice::Wait);
        }
        if self.is_lost() {
            choices.push(Choice::Rewrite);
        } else if self.newest() < case.withdrawals {
            choices.push(Choice::Withdraw);
        }
        let may_return = self.era < FIRST_ERA + case.drills;
        if may_return && self.copy.as_ref() != Some(&self.content) {
            choices.push(Choice::Copy);
        }
        if may_return && self.copy.is_some() {
            choices.push(Choice::Return);
        }
        for (index, node) in self.nodes.iter().enumerate() {
            choices.push(Choice::Follow(index));
            if node.is_listed {
                choices.push(Choice::Start(index));
            }
            if node.recency.needs_mark(node.era, node.version) {
                choices.push(Choice::Mark(index));
            }
        }
        choices
    }

    fn apply(&mut self, choice: Choice, case: &Case) {
        match choice {
            Choice::Wait => self.now += 1,
            Choice::Withdraw => {
                self.acknowledged_at.push(self.now);
                self.write_newest();
            }
            Choice::Rewrite => self.write_newest(),
            Choice::Copy => self.copy = Some(self.content.clone()),
            Choice::Return => {
                self.content = self.copy.take().unwrap_or_default();
                self.era += 1;
                self.returned_at = self.now;
            }
            Choice::Start(index) => self.nodes[index] = Node::default(),
            Choice::Follow(index) => {
                let world = (self.now, self.era, &self.content);
                self.nodes[index].follow(world, case.mutation);
            }
            Choice::Mark(index) => {
                let node = &mut self.nodes[index];
                self.content.mark = Some(node.era);
                node.recency.set_mark(Some(node.era), node.era);
            }
        }
        if case.mutation != Mutation::NoStatements {
            self.exchange_statements();
        }
    }

    fn write_newest(&mut self) {
        self.content.version = self.newest();
        self.content.revision += 1;
    }

    fn exchange_statements(&mut self) {
        let until = time(self.now + STATEMENT_UNITS);
        let stating = self.nodes.iter().filter(|node| node.states_version());
        let stated: Vec<u64> = stating.map(|node| node.version).collect();
        for version in stated {
            self.nodes.iter_mut().for_each(|node| node.recency.record_stated(version, until));
        }
    }

    /// Returns whether a node accepts keys that were withdrawn too long ago: by any version if the
    /// operators write again in time, else by one that another node states.
    fn is_violated(&self, case: &Case) -> bool {
        let stating = self.nodes.iter().filter(|node| node.states_version());
        let stated = stating.map(|node| node.version).max().unwrap_or_default();
        let known = if case.rewrites { self.newest() } else { stated };
        self.nodes.iter().any(|node| {
            let missed = self.acknowledged_at.get(node.version as usize + 1);
            let is_late = missed.is_some_and(|at| self.now >= at + REVOKE_UNITS);
            node.version < known && is_late && node.accepts_keys(self.now)
        })
    }

    /// Returns whether all nodes accept keys some time after the operators have written again.
    fn recovers(mut self, case: &Case) -> bool {
        if self.is_lost() {
            self.apply(Choice::Rewrite, case);
        }
        for _ in 0..2 {
            (0..NODES).for_each(|index| self.apply(Choice::Follow(index), case));
            self.now += REWRITE_UNITS;
        }
        (0..NODES).for_each(|index| self.apply(Choice::Follow(index), case));
        self.nodes.iter().all(|node| node.accepts_keys(self.now) && node.version == self.newest())
    }
}

/// Returns the number of the states that are reached within the steps of the case.
///
/// # Errors
///
/// Returns what was wrong, and the choices that led to it.
fn explore(case: &Case) -> Result<usize, String> {
    let mut seen = HashSet::new();
    let mut level = vec![(World::new(), Vec::new())];
    for _ in 0..case.steps {
        let mut next = Vec::new();
        for (world, trace) in level {
            for choice in world.choices(case) {
                let mut world = world.clone();
                world.apply(choice, case);
                if !seen.insert(world.clone()) {
                    continue;
                }
                let mut trace: Vec<Choice> = trace.clone();
                trace.push(choice);
                if world.is_violated(case) {
                    return Err(format!("a withdrawn key is accepted after {trace:?}"));
                }
                if !world.clone().recovers(case) {
                    return Err(format!("a node accepts no keys after {trace:?}"));
                }
                next.push((world, trace));
            }
        }
        level = next;
    }
    Ok(seen.len())
}

const BASE: Case =
    Case { steps: 9, withdrawals: 2, drills: 1, rewrites: true, mutation: Mutation::None };

#[parameterized(
    one_drill = { BASE },
    two_drills = { Case { drills: 2, ..BASE } },
    late_operators = { Case { rewrites: false, ..BASE } },
)]
fn no_node_accepts_a_withdrawn_key(case: Case) {
    let states = explore(&case).expect("no violation");
    println!("{states} states");
    assert!(states > 1000);
}

// Guards against a check that would miss the failures that each part of the rule prevents.
#[parameterized(
    wait = { Case { mutation: Mutation::NoWait, ..BASE } },
    mark = { Case { mutation: Mutation::AnyMark, ..BASE } },
    statements = { Case { mutation: Mutation::NoStatements, rewrites: false, steps: 11, withdrawals: 1, ..BASE } },
)]
fn mutation_is_detected(case: Case) {
    let found = explore(&case).expect_err("a violation");
    assert!(found.starts_with("a withdrawn key is accepted"), "{found}");
}

// Guards against a node that refuses keys after its start on an ordinary day, whatever the era.
#[parameterized(first = { 0 }, marked = { 7 })]
fn node_accepts_keys_at_its_start(era: Era) {
    let content = Content { version: 1, revision: 1, mark: (era > 0).then_some(era) };
    let mut node = Node::default();
    node.follow((0, era, &content), Mutation::None);
    assert!(node.accepts_keys(0));
}
