//! Exhaustive search over the interleavings of two operators, two nodes, one store and one fault,
//! to a fixed depth.
//!
//! A call of an operator takes effect and is answered in one step. Its next call is another step,
//! so the search covers all orders of the calls' effects. A poll of a node is requested, read and
//! answered in three steps, so that any of its reads may be answered late.
//! The fault is one of: a write whose answer is lost, a write that is lost, a write that takes
//! effect long after its time-out, a store restored to its state before the last write, a node
//! paused for a minute.

mod common;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use common::{Node, document, ms};
use preset::{Action, Commit, Input, Message, Outcome, Output, Request, Settings, Stored};

/// Number of steps of all actors together.
const DEPTH: usize = 13;
/// Number of steps of the two operators without the nodes; more than either operator needs to
/// finish.
const DEPTH_OPERATORS: usize = 40;
const POLLS: u8 = 1;
const PAUSE_MS: u64 = 60_000;
const EPOCH_MS: u64 = 1_000_000;
const RESTORE_MS: u64 = 1_000;
const FRESHNESS_MS: u64 = 5_000;

#[derive(Clone)]
struct Operator {
    commit: Commit,
    history: u64,
    /// Call in flight.
    output: Option<Output>,
    outcome: Option<Outcome>,
}

#[derive(Clone)]
struct Follower {
    node: Node,
    history: u64,
    polls: u8,
    polling: bool,
    read: Option<Option<Vec<u8>>>,
    highest: u64,
}

impl Follower {
    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.history, self.polls, self.polling, &self.read).hash(&mut hasher);
        hasher.finish()
    }
}

#[derive(Clone)]
struct World {
    now: u64,
    value: Option<Vec<u8>>,
    revision: u64,
    /// Committed changes: name, version and time.
    commits: Vec<(String, u64, u64)>,
    previous_value: Option<Option<Vec<u8>>>,
    delayed_write: Option<(Vec<u8>, u64)>,
    operators: Vec<Operator>,
    followers: Vec<Follower>,
    faults: u8,
    restored: bool,
    /// Whether the operators' clocks run, and their time. They advance only with the long faults,
    /// which keeps the number of states small.
    clock: bool,
    clock_ms: u64,
    max_polls: u8,
}

#[derive(Clone, Copy, Debug)]
enum Move {
    PerformCall(usize),
    WriteThenLoseAnswer(usize),
    LoseWrite(usize),
    DelayWrite(usize),
    ApplyDelayedWrite,
    Restore,
    Poll(usize),
    Read(usize),
    Deliver(usize),
    Pause,
    SendValue(usize, usize),
}

#[derive(Clone, Copy)]
struct Options {
    read_back: bool,
    monotonic: bool,
    date_by_request: bool,
    /// Whether the operators' clocks run.
    clock: bool,
    /// Number of polls by each node.
    polls: u8,
}

const ALL_ENABLED: Options =
    Options { read_back: true, monotonic: true, date_by_request: true, clock: true, polls: POLLS };

fn mix_hash(history: &mut u64, item: impl Hash) {
    let mut hasher = DefaultHasher::new();
    (*history, item).hash(&mut hasher);
    *history = hasher.finish();
}

impl World {
    fn new(options: Options) -> Self {
        let operators = ["a", "b"].map(|name| {
            let mut request = Request::new(document(name), name.into(), ms(EPOCH_MS));
            request.read_back = options.read_back;
            let mut commit = Commit::new(request);
            let mut outputs = Vec::new();
            commit.step(ms(0), Input::Start, &mut outputs);
            let output = outputs.pop();
            Operator { commit, history: 0, output, outcome: None }
        });
        let settings = Settings::builder()
            .freshness(ms(FRESHNESS_MS))
            .monotonic(options.monotonic)
            .date_by_request(options.date_by_request)
            .build();
        let mut node = Node::new(settings);
        node.meet_peer(0);
        node.step(0, Message::Stored(None));
        let follower =
            Follower { node, history: 0, polls: 0, polling: false, read: None, highest: 0 };
        let mut world = Self {
            now: 0,
            value: None,
            revision: 0,
            commits: vec![],
            previous_value: None,
            delayed_write: None,
            operators: operators.into(),
            followers: vec![follower.clone(), follower],
            faults: 0,
            restored: false,
            clock: options.clock,
            clock_ms: 0,
            max_polls: options.polls,
        };
        // Both operators query the nodes, which have nothing in force yet.
        world.apply(Move::PerformCall(0));
        world.apply(Move::PerformCall(1));
        world
    }

    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, &self.value, self.revision, &self.commits, &self.previous_value)
            .hash(&mut hasher);
        (&self.delayed_write, self.faults, self.restored).hash(&mut hasher);
        for operator in &self.operators {
            (operator.history, operator.output.is_some()).hash(&mut hasher);
        }
        // The nodes are interchangeable, so swapping them yields the same state.
        let mut nodes: Vec<u64> = self.followers.iter().map(Follower::state_hash).collect();
        nodes.sort_unstable();
        nodes.hash(&mut hasher);
        hasher.finish()
    }

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        let can_inject_fault = self.faults == 0;
        for (index, operator) in self.operators.iter().enumerate() {
            if operator.output.is_some() {
                moves.push(Move::PerformCall(index));
            }
            if can_inject_fault && matches!(operator.output, Some(Output::Write { .. })) {
                moves.push(Move::WriteThenLoseAnswer(index));
                moves.push(Move::LoseWrite(index));
                moves.push(Move::DelayWrite(index));
            }
        }
        if self.delayed_write.is_some() {
            moves.push(Move::ApplyDelayedWrite);
        }
        if can_inject_fault && self.previous_value.is_some() {
            moves.push(Move::Restore);
        }
        for (index, follower) in self.followers.iter().enumerate() {
            if !follower.polling && follower.polls < self.max_polls {
                moves.push(Move::Poll(index));
            }
            if follower.polling && follower.read.is_none() {
                moves.push(Move::Read(index));
            }
            if follower.read.is_some() {
                moves.push(Move::Deliver(index));
            }
            let other = 1 - index;
            if self.followers[other].node.follower.version() < follower.node.follower.version() {
                moves.push(Move::SendValue(index, other));
            }
        }
        if can_inject_fault && self.followers.iter().any(|follower| follower.polling) {
            moves.push(Move::Pause);
        }
        moves
    }

    fn apply(&mut self, step: Move) {
        match step {
            Move::PerformCall(index) => {
                let Some(output) = self.operators[index].output.take() else { return };
                let answer = self.call(output);
                self.step_operator(index, answer);
            }
            Move::WriteThenLoseAnswer(index) => {
                self.faults += 1;
                if let Some(output) = self.operators[index].output.take() {
                    self.call(output);
                }
                self.step_operator(index, Input::WriteLost);
            }
            Move::LoseWrite(index) => {
                self.faults += 1;
                self.operators[index].output = None;
                self.step_operator(index, Input::WriteLost);
            }
            Move::DelayWrite(index) => {
                self.faults += 1;
                if let Some(Output::Write { value, expected }) = self.operators[index].output.take()
                {
                    self.delayed_write = Some((value, expected));
                }
                self.step_operator(index, Input::WriteLost);
            }
            Move::ApplyDelayedWrite => {
                if let Some((value, expected)) = self.delayed_write.take() {
                    self.write(value, expected);
                }
            }
            Move::Restore => {
                self.faults += 1;
                self.restored = true;
                self.now += RESTORE_MS;
                self.clock_ms += RESTORE_MS;
                if let Some(before) = self.previous_value.take() {
                    self.value = before;
                    self.revision += 100;
                }
            }
            Move::Poll(index) => {
                self.now += 1_600;
                let actions = self.step_follower(index, Message::Wake);
                self.followers[index].polls += 1;
                self.followers[index].polling = actions.contains(&Action::Poll);
            }
            Move::Read(index) => self.followers[index].read = Some(self.value.clone()),
            Move::Deliver(index) => {
                self.followers[index].polling = false;
                if let Some(value) = self.followers[index].read.take() {
                    self.step_follower(index, Message::Stored(value));
                }
            }
            Move::Pause => {
                self.faults += 1;
                self.now += PAUSE_MS;
                self.clock_ms += PAUSE_MS;
            }
            Move::SendValue(from, to) => {
                let Some((_, value)) = self.followers[from].node.follower.in_force() else {
                    return;
                };
                let value = value.to_vec();
                self.step_follower(to, Message::PeerValue { node: "other".into(), value });
            }
        }
    }

    fn call(&mut self, output: Output) -> Input {
        match output {
            Output::Read => Input::Read { value: self.value.clone(), revision: self.revision },
            Output::Write { value, expected } => {
                if self.write(value, expected) {
                    Input::Written
                } else {
                    Input::WriteRefused
                }
            }
            Output::Status => {
                let version = |follower: &Follower| Some(follower.node.follower.version());
                let nodes = self.followers.iter().enumerate();
                Input::Status(
                    nodes
                        .map(|(index, node)| (format!("n{index}").into(), version(node)))
                        .collect(),
                )
            }
            Output::Wake(_) | Output::Report(_) => Input::Wake,
        }
    }

    fn write(&mut self, value: Vec<u8>, expected: u64) -> bool {
        if self.revision != expected {
            return false;
        }
        let stored = Stored::decode(&value).unwrap();
        let preset = stored.preset;
        self.commits.push((preset.change.to_string(), preset.version, self.now));
        self.previous_value = Some(self.value.replace(value));
        self.revision += 1;
        true
    }

    fn step_operator(&mut self, index: usize, input: Input) {
        let now = if self.clock { ms(self.clock_ms) } else { ms(0) };
        let operator = &mut self.operators[index];
        mix_hash(&mut operator.history, (&input, now));
        let mut outputs = Vec::new();
        operator.commit.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Report(outcome) => operator.outcome = Some(outcome),
                output => operator.output = Some(output),
            }
        }
        // This test does not cover how the change spreads.
        if operator.outcome.is_some() {
            operator.output = None;
        }
    }

    fn step_follower(&mut self, index: usize, message: Message) -> Vec<Action> {
        let follower = &mut self.followers[index];
        mix_hash(&mut follower.history, (format!("{message:?}"), self.now));
        follower.node.step(self.now, message)
    }

    /// Checks the invariants that must hold in every state.
    fn verify(&mut self) -> Result<(), String> {
        for (index, (change, version, _)) in self.commits.iter().enumerate() {
            let before = &self.commits[..index];
            if before.iter().any(|(other, _, _)| other == change) {
                return Err(format!("change {change} was committed twice"));
            }
            if !self.restored && before.iter().any(|(_, other, _)| other >= version) {
                return Err(format!("version {version} is not above all earlier ones"));
            }
        }
        for (operator, name) in self.operators.iter().zip(["a", "b"]) {
            let commit = self.commits.iter().find(|(change, _, _)| change == name);
            match (&operator.outcome, commit) {
                (Some(Outcome::Accepted { .. }), None) => {
                    return Err(format!("{name} was reported as accepted but not committed"));
                }
                (Some(Outcome::Conflict(_) | Outcome::NotMade), Some(_)) => {
                    return Err(format!("{name} was reported as not made but committed"));
                }
                _ => {}
            }
        }
        for follower in &mut self.followers {
            let version = follower.node.follower.version();
            if version < follower.highest {
                return Err(format!("version decreased from {} to {version}", follower.highest));
            }
            follower.highest = version;
            // A restored store may lose a change that no node has seen yet.
            let newer = !self.restored
                && self
                    .commits
                    .iter()
                    .any(|(_, newer, at)| *newer > version && self.now > at + FRESHNESS_MS);
            if newer && follower.node.follower.fresh(ms(self.now)) {
                return Err(format!("accepts new work under version {version} for too long"));
            }
        }
        let versions = [0, 1].map(|index| self.followers[index].node.follower.in_force());
        if let [Some((one, _)), Some((two, _))] = versions
            && one.version == two.version
            && one.change != two.change
        {
            return Err(format!("two presets have version {}", one.version));
        }
        Ok(())
    }
}

struct Search {
    /// Hashes of states, with the greatest depth to which each has been searched.
    seen: HashMap<u64, usize>,
}

impl Search {
    fn run(&mut self, world: World, depth: usize, path: &mut Vec<Move>) -> Result<(), String> {
        let searched = self.seen.entry(world.state_hash()).or_default();
        if *searched > depth {
            return Ok(());
        }
        *searched = depth + 1;
        if depth == 0 {
            return Ok(());
        }
        for step in world.moves() {
            let mut next = world.clone();
            next.apply(step);
            path.push(step);
            next.verify().map_err(|violation| format!("{violation} after {path:?}"))?;
            self.run(next, depth - 1, path)?;
            path.pop();
        }
        Ok(())
    }
}

fn search(options: Options, depth: usize) -> (usize, Result<(), String>) {
    let mut search = Search { seen: HashMap::new() };
    let result = search.run(World::new(options), depth, &mut Vec::new());
    (search.seen.len(), result)
}

#[test]
fn invariants_hold_in_all_interleavings() {
    let (states, result) = search(ALL_ENABLED, DEPTH);
    println!("{states} states to depth {DEPTH}");
    assert_eq!(result, Ok(()));
}

#[test]
fn invariants_hold_until_both_operators_finish() {
    let (states, result) = search(Options { polls: 0, ..ALL_ENABLED }, DEPTH_OPERATORS);
    println!("{states} states to depth {DEPTH_OPERATORS}");
    assert_eq!(result, Ok(()));
}

#[test]
fn without_reading_back_a_lost_answer_is_reported_wrongly() {
    let (_, result) = search(Options { read_back: false, ..ALL_ENABLED }, DEPTH);
    assert!(result.unwrap_err().contains("reported as not made but committed"));
}

#[test]
fn without_monotonic_versions_a_late_read_decreases_the_version() {
    let (_, result) = search(Options { monotonic: false, ..ALL_ENABLED }, DEPTH);
    assert!(result.unwrap_err().contains("version decreased"));
}

#[test]
fn without_request_dates_a_paused_node_accepts_work_under_an_old_version() {
    let (_, result) = search(Options { date_by_request: false, ..ALL_ENABLED }, DEPTH);
    assert!(result.unwrap_err().contains("accepts new work"));
}

#[test]
fn without_the_clock_a_restored_store_assigns_a_version_twice() {
    let (_, result) = search(Options { clock: false, ..ALL_ENABLED }, DEPTH);
    assert!(result.unwrap_err().contains("two presets have version"));
}
