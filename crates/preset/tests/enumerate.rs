//! All interleavings of two operators, two nodes, one store and one fault, to a stated depth.
//!
//! An operator's call takes effect and is answered in one step: its next call is a step of
//! its own, so all orders of the calls' effects are there. A node's poll is asked for, read
//! and answered in three steps, so that any of its reads may be answered late.
//! The fault is one of: a write whose answer is lost, a write that is lost, a write that takes
//! effect long after its answer was given up, a store set back to its state before the last
//! write, a node paused for a minute.

mod common;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use common::{Node, document, ms};
use preset::{Action, Commit, Input, Message, Outcome, Output, Request, Settings, Stored};

/// Steps of all actors together.
const DEPTH: usize = 13;
/// Steps of the two operators without the nodes: more than either needs to its end.
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
    /// The call that is on its way.
    want: Option<Output>,
    told: Option<Outcome>,
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
    fn signature(&self) -> u64 {
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
    /// Changes that were made: name, version, when.
    made: Vec<(String, u64, u64)>,
    before: Option<Option<Vec<u8>>>,
    late: Option<(Vec<u8>, u64)>,
    operators: Vec<Operator>,
    followers: Vec<Follower>,
    faults: u8,
    restored: bool,
    /// Whether the operators' clocks go, and what they show. They move with the long faults
    /// only, which keeps worlds few.
    clock: bool,
    clock_ms: u64,
    most_polls: u8,
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Call(usize),
    WriteThenLoseAnswer(usize),
    LoseWrite(usize),
    DelayWrite(usize),
    LateWrite,
    Restore,
    Poll(usize),
    Read(usize),
    Deliver(usize),
    Pause,
    Tell(usize, usize),
}

#[derive(Clone, Copy)]
struct Switches {
    read_back: bool,
    monotonic: bool,
    dated: bool,
    /// Whether the operators' clocks go.
    clock: bool,
    /// Polls by each node.
    polls: u8,
}

const ALL: Switches =
    Switches { read_back: true, monotonic: true, dated: true, clock: true, polls: POLLS };

fn mix(history: &mut u64, item: impl Hash) {
    let mut hasher = DefaultHasher::new();
    (*history, item).hash(&mut hasher);
    *history = hasher.finish();
}

impl World {
    fn new(switches: Switches) -> Self {
        let operators = ["a", "b"].map(|name| {
            let mut request = Request::new(document(name), name.into(), ms(EPOCH_MS));
            request.read_back = switches.read_back;
            let mut commit = Commit::new(request);
            let mut wants = Vec::new();
            commit.step(ms(0), Input::Start, &mut wants);
            let want = wants.pop();
            Operator { commit, history: 0, want, told: None }
        });
        let settings = Settings::builder()
            .freshness(ms(FRESHNESS_MS))
            .monotonic(switches.monotonic)
            .date_by_request(switches.dated)
            .build();
        let mut node = Node::new(settings);
        node.meet(0);
        node.step(0, Message::Stored(None));
        let follower =
            Follower { node, history: 0, polls: 0, polling: false, read: None, highest: 0 };
        let mut world = Self {
            now: 0,
            value: None,
            revision: 0,
            made: vec![],
            before: None,
            late: None,
            operators: operators.into(),
            followers: vec![follower.clone(), follower],
            faults: 0,
            restored: false,
            clock: switches.clock,
            clock_ms: 0,
            most_polls: switches.polls,
        };
        // Both operators have asked the nodes, which have nothing in force yet.
        world.make(Move::Call(0));
        world.make(Move::Call(1));
        world
    }

    fn signature(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, &self.value, self.revision, &self.made, &self.before).hash(&mut hasher);
        (&self.late, self.faults, self.restored).hash(&mut hasher);
        for operator in &self.operators {
            (operator.history, operator.want.is_some()).hash(&mut hasher);
        }
        // The nodes are alike, so worlds that differ by their exchange are one.
        let mut nodes: Vec<u64> = self.followers.iter().map(Follower::signature).collect();
        nodes.sort_unstable();
        nodes.hash(&mut hasher);
        hasher.finish()
    }

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        let may_fail = self.faults == 0;
        for (index, operator) in self.operators.iter().enumerate() {
            if operator.want.is_some() {
                moves.push(Move::Call(index));
            }
            if may_fail && matches!(operator.want, Some(Output::Write { .. })) {
                moves.push(Move::WriteThenLoseAnswer(index));
                moves.push(Move::LoseWrite(index));
                moves.push(Move::DelayWrite(index));
            }
        }
        if self.late.is_some() {
            moves.push(Move::LateWrite);
        }
        if may_fail && self.before.is_some() {
            moves.push(Move::Restore);
        }
        for (index, follower) in self.followers.iter().enumerate() {
            if !follower.polling && follower.polls < self.most_polls {
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
                moves.push(Move::Tell(index, other));
            }
        }
        if may_fail && self.followers.iter().any(|follower| follower.polling) {
            moves.push(Move::Pause);
        }
        moves
    }

    fn make(&mut self, choice: Move) {
        match choice {
            Move::Call(index) => {
                let Some(want) = self.operators[index].want.take() else { return };
                let answer = self.call(want);
                self.step_operator(index, answer);
            }
            Move::WriteThenLoseAnswer(index) => {
                self.faults += 1;
                if let Some(want) = self.operators[index].want.take() {
                    self.call(want);
                }
                self.step_operator(index, Input::WriteLost);
            }
            Move::LoseWrite(index) => {
                self.faults += 1;
                self.operators[index].want = None;
                self.step_operator(index, Input::WriteLost);
            }
            Move::DelayWrite(index) => {
                self.faults += 1;
                if let Some(Output::Write { value, expected }) = self.operators[index].want.take() {
                    self.late = Some((value, expected));
                }
                self.step_operator(index, Input::WriteLost);
            }
            Move::LateWrite => {
                if let Some((value, expected)) = self.late.take() {
                    self.write(value, expected);
                }
            }
            Move::Restore => {
                self.faults += 1;
                self.restored = true;
                self.now += RESTORE_MS;
                self.clock_ms += RESTORE_MS;
                if let Some(before) = self.before.take() {
                    self.value = before;
                    self.revision += 100;
                }
            }
            Move::Poll(index) => {
                self.now += 1_600;
                let said = self.step_follower(index, Message::Wake);
                self.followers[index].polls += 1;
                self.followers[index].polling = said.contains(&Action::Poll);
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
            Move::Tell(from, to) => {
                let Some((_, value)) = self.followers[from].node.follower.in_force() else {
                    return;
                };
                let value = value.to_vec();
                self.step_follower(to, Message::PeerValue { node: "other".into(), value });
            }
        }
    }

    fn call(&mut self, want: Output) -> Input {
        match want {
            Output::Read => Input::Read { value: self.value.clone(), revision: self.revision },
            Output::Write { value, expected } => {
                if self.write(value, expected) {
                    Input::Written
                } else {
                    Input::WriteRefused
                }
            }
            Output::Status => {
                let told = |follower: &Follower| Some(follower.node.follower.version());
                let nodes = self.followers.iter().enumerate();
                Input::Status(
                    nodes.map(|(index, node)| (format!("n{index}").into(), told(node))).collect(),
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
        self.made.push((preset.change.to_string(), preset.version, self.now));
        self.before = Some(self.value.replace(value));
        self.revision += 1;
        true
    }

    fn step_operator(&mut self, index: usize, step: Input) {
        let now = if self.clock { ms(self.clock_ms) } else { ms(0) };
        let operator = &mut self.operators[index];
        mix(&mut operator.history, (&step, now));
        let mut wants = Vec::new();
        operator.commit.step(now, step, &mut wants);
        for want in wants {
            match want {
                Output::Report(outcome) => operator.told = Some(outcome),
                want => operator.want = Some(want),
            }
        }
        // How the change spreads is no matter of this test.
        if operator.told.is_some() {
            operator.want = None;
        }
    }

    fn step_follower(&mut self, index: usize, message: Message) -> Vec<Action> {
        let follower = &mut self.followers[index];
        mix(&mut follower.history, (format!("{message:?}"), self.now));
        follower.node.step(self.now, message)
    }

    /// What must hold in every state.
    fn verify(&mut self) -> Result<(), String> {
        for (index, (change, version, _)) in self.made.iter().enumerate() {
            let before = &self.made[..index];
            if before.iter().any(|(other, _, _)| other == change) {
                return Err(format!("change {change} was made twice"));
            }
            if !self.restored && before.iter().any(|(_, other, _)| other >= version) {
                return Err(format!("version {version} did not grow"));
            }
        }
        for (operator, name) in self.operators.iter().zip(["a", "b"]) {
            let made = self.made.iter().find(|(change, _, _)| change == name);
            match (&operator.told, made) {
                (Some(Outcome::Accepted { .. }), None) => {
                    return Err(format!("{name} was told accepted and was not made"));
                }
                (Some(Outcome::Conflict(_) | Outcome::NotMade), Some(_)) => {
                    return Err(format!("{name} was told not made and was made"));
                }
                _ => {}
            }
        }
        for follower in &mut self.followers {
            let version = follower.node.follower.version();
            if version < follower.highest {
                return Err(format!("went back from {} to {version}", follower.highest));
            }
            follower.highest = version;
            // A store that is set back may lose a change that no node has seen yet.
            let newer = !self.restored
                && self
                    .made
                    .iter()
                    .any(|(_, made, at)| *made > version && self.now > at + FRESHNESS_MS);
            if newer && follower.node.follower.fresh(ms(self.now)) {
                return Err(format!("takes new work under {version} too long"));
            }
        }
        let versions = [0, 1].map(|index| self.followers[index].node.follower.in_force());
        if let [Some((one, _)), Some((two, _))] = versions
            && one.version == two.version
            && one.change != two.change
        {
            return Err(format!("two presets of version {}", one.version));
        }
        Ok(())
    }
}

struct Search {
    /// Signatures with the greatest depth to which they have been followed.
    seen: HashMap<u64, usize>,
}

impl Search {
    fn run(&mut self, world: World, depth: usize, path: &mut Vec<Move>) -> Result<(), String> {
        let followed = self.seen.entry(world.signature()).or_default();
        if *followed > depth {
            return Ok(());
        }
        *followed = depth + 1;
        if depth == 0 {
            return Ok(());
        }
        for choice in world.moves() {
            let mut next = world.clone();
            next.make(choice);
            path.push(choice);
            next.verify().map_err(|fault| format!("{fault} after {path:?}"))?;
            self.run(next, depth - 1, path)?;
            path.pop();
        }
        Ok(())
    }
}

fn search(switches: Switches, depth: usize) -> (usize, Result<(), String>) {
    let mut search = Search { seen: HashMap::new() };
    let verdict = search.run(World::new(switches), depth, &mut Vec::new());
    (search.seen.len(), verdict)
}

#[test]
fn no_interleaving_breaks_a_promise() {
    let (states, verdict) = search(ALL, DEPTH);
    println!("{states} states to depth {DEPTH}");
    assert_eq!(verdict, Ok(()));
}

#[test]
fn no_interleaving_of_two_operators_breaks_a_promise_to_their_end() {
    let (states, verdict) = search(Switches { polls: 0, ..ALL }, DEPTH_OPERATORS);
    println!("{states} states to depth {DEPTH_OPERATORS}");
    assert_eq!(verdict, Ok(()));
}

#[test]
fn without_reading_back_a_lost_answer_is_told_wrongly() {
    let (_, verdict) = search(Switches { read_back: false, ..ALL }, DEPTH);
    assert!(verdict.unwrap_err().contains("told not made and was made"));
}

#[test]
fn without_monotonic_versions_a_late_read_takes_the_version_back() {
    let (_, verdict) = search(Switches { monotonic: false, ..ALL }, DEPTH);
    assert!(verdict.unwrap_err().contains("went back"));
}

#[test]
fn without_dates_a_paused_node_takes_new_work_under_an_old_version() {
    let (_, verdict) = search(Switches { dated: false, ..ALL }, DEPTH);
    assert!(verdict.unwrap_err().contains("takes new work"));
}

#[test]
fn without_the_clock_a_restored_store_gives_a_version_twice() {
    let (_, verdict) = search(Switches { clock: false, ..ALL }, DEPTH);
    assert!(verdict.unwrap_err().contains("two presets of version"));
}
