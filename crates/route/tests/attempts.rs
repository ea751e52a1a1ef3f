//! Attempts, endings and outcomes of single requests, message by message.

use std::time::Duration;

use fleet::{Engine, Kind, Layers, Request, Service, Shape, Standing, Target};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{Action, Dispatch, Ending, Message, Outcome, Reason, Router, Settings};
use yare::parameterized;

const DEPTH: u16 = 48;

fn engine(name: &str, domain: &str, layers: (u16, u16), rate: f64) -> Target {
    let kind = Kind::Engine(Engine {
        model: "plank".into(),
        depth: DEPTH,
        layers: Layers::from(layers),
        tokens_per_second: rate,
        slots: 16,
        accelerator: "a100".into(),
        checks_orders: true,
    });
    target(name, domain, kind)
}

fn booking(name: &str, domain: &str) -> Target {
    let kind = Kind::Service(Service { name: "booking".into(), idempotent: false, slots: 8 });
    target(name, domain, kind)
}

fn target(name: &str, domain: &str, kind: Kind) -> Target {
    Target {
        name: name.into(),
        address: "127.0.0.1:9001".parse().expect("constant address"),
        domain: domain.into(),
        rack: "".into(),
        standing: Standing::Live,
        kind,
    }
}

fn fleet() -> Vec<Target> {
    vec![
        engine("e1", "a", (0, 20), 900.0),
        engine("e2", "b", (0, 20), 900.0),
        engine("e3", "a", (20, 48), 800.0),
        engine("e4", "b", (12, 48), 800.0),
        booking("b1", "a"),
        booking("b2", "b"),
    ]
}

struct Bench {
    router: Router,
    rng: SmallRng,
    now: Duration,
}

impl Bench {
    fn new(targets: Vec<Target>) -> Self {
        let router = Router::new(Settings::default());
        let mut bench = Self { router, rng: SmallRng::seed_from_u64(1), now: Duration::ZERO };
        bench.hear(Message::Fleet { targets, links: Vec::new() });
        bench
    }

    fn hear(&mut self, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        self.now += Duration::from_millis(1);
        self.router.step(self.now, message, &mut self.rng, &mut actions);
        actions.retain(|action| !matches!(action, Action::Log(_) | Action::Wake(_)));
        actions
    }

    fn start(&mut self, id: u128, service: &str, idempotent: bool) -> Vec<Action> {
        let shape = Shape { prompt_tokens: 100, max_tokens: 50, stream: true };
        let request = Request {
            id,
            organisation: "cascade".into(),
            service: service.into(),
            shape,
            fingerprint: u64::try_from(id).expect("small id"),
            idempotent,
        };
        self.hear(Message::Start { request, priority: 3, prefixes: Vec::new() })
    }

    fn end(&mut self, dispatch: &Dispatch, next: u32, ending: Ending) -> Vec<Action> {
        let (request, attempt) = (dispatch.request, dispatch.attempt);
        self.hear(Message::Ended { request, attempt, next, ending })
    }
}

fn dispatch(actions: &[Action]) -> Dispatch {
    let found = actions.iter().find_map(|action| match action {
        Action::Dispatch(dispatch) => Some(dispatch.clone()),
        _ => None,
    });
    found.expect("a dispatch")
}

fn outcome(actions: &[Action]) -> Option<Outcome> {
    actions.iter().find_map(|action| match action {
        Action::Finish { outcome, .. } => Some(outcome.clone()),
        _ => None,
    })
}

#[test]
fn plan_covers_the_model_and_completes() {
    let mut bench = Bench::new(fleet());
    for id in 0..100 {
        let sent = dispatch(&bench.start(id, "plank", true));
        assert_eq!(sent.plan.verify(DEPTH), Ok(()));
        assert_eq!((sent.attempt, sent.from), (1, 0));
        let end = bench.end(&sent, 50, Ending::Complete);
        assert_eq!(outcome(&end), Some(Outcome::Complete));
    }
    assert_eq!(bench.router.open_requests(), 0);
}

#[test]
fn next_attempt_resumes_and_keeps_the_surviving_stage() {
    let mut bench = Bench::new(fleet());
    let first = dispatch(&bench.start(1, "plank", true));
    let lost = first.plan.stages[0].target.clone();
    let actions = bench.end(&first, 12, Ending::Broken { target: None });
    let second = dispatch(&actions);
    let cancelled = actions.iter().any(|action| {
        matches!(action, Action::Cancel { request: 1, attempt: 1, plan } if *plan == first.plan)
    });
    assert!(cancelled, "the old attempt is cancelled");
    assert_eq!((second.attempt, second.from), (2, 12));
    assert!(second.plan.stages.iter().all(|stage| stage.target != lost));
    assert_eq!(second.plan.stages.last(), first.plan.stages.last());
    assert_eq!(second.reuse, vec![first.plan.stages[1].target.clone()]);
    assert_eq!(second.plan.verify(DEPTH), Ok(()));
}

#[test]
fn endings_of_replaced_attempts_are_ignored() {
    let mut bench = Bench::new(fleet());
    let first = dispatch(&bench.start(1, "plank", true));
    let second = dispatch(&bench.end(&first, 5, Ending::Broken { target: None }));
    assert_eq!(bench.end(&first, 6, Ending::Complete), vec![]);
    assert_eq!(outcome(&bench.end(&second, 50, Ending::Complete)), Some(Outcome::Complete));
}

struct Call {
    ending: fn(&Dispatch) -> Ending,
    tried_again: bool,
}

fn named(dispatch: &Dispatch) -> fleet::TargetName {
    dispatch.plan.stages[0].target.clone()
}

#[parameterized(
    refused = { Call {
        ending: |d| Ending::Refused { target: named(d), leaving: false, retry_after: None },
        tried_again: true,
    } },
    unreachable = { Call {
        ending: |d| Ending::Unreachable { target: named(d) },
        tried_again: true,
    } },
    broken = { Call { ending: |d| Ending::Broken { target: Some(named(d)) }, tried_again: false } },
    stalled = { Call { ending: |_| Ending::Stalled, tried_again: false } },
    failed = { Call { ending: |_| Ending::Failed, tried_again: false } },
)]
fn call_that_may_not_be_repeated(call: Call) {
    let mut bench = Bench::new(fleet());
    let first = dispatch(&bench.start(1, "booking", false));
    let actions = bench.end(&first, 0, (call.ending)(&first));
    if call.tried_again {
        assert_ne!(named(&dispatch(&actions)), named(&first));
    } else {
        assert_eq!(outcome(&actions), Some(Outcome::Unknown));
    }
}

#[test]
fn refusal_by_all_is_not_run_with_the_longest_retry_after() {
    let mut bench = Bench::new(fleet());
    let mut actions = bench.start(1, "booking", false);
    for seconds in [3, 7] {
        let sent = dispatch(&actions);
        let retry_after = Some(Duration::from_secs(seconds));
        let ending = Ending::Refused { target: named(&sent), leaving: false, retry_after };
        actions = bench.end(&sent, 0, ending);
    }
    let retry_after = Duration::from_secs(7);
    let expected = Outcome::NotRun { retry_after, reason: Reason::Refused };
    assert_eq!(outcome(&actions), Some(expected));
}

#[test]
fn refusal_by_a_later_stage_is_not_called_not_run() {
    let mut bench =
        Bench::new(vec![engine("e1", "a", (0, 20), 900.0), engine("e3", "a", (20, 48), 800.0)]);
    let sent = dispatch(&bench.start(1, "plank", true));
    let target = sent.plan.stages[1].target.clone();
    let ending = Ending::Refused { target, leaving: false, retry_after: None };
    let actions = bench.end(&sent, 0, ending);
    assert!(matches!(outcome(&actions), Some(Outcome::Incomplete { .. })), "{actions:?}");
}

#[test]
fn target_that_refuses_as_leaving_is_told_on_and_gets_nothing_more() {
    let mut bench = Bench::new(fleet());
    let first = dispatch(&bench.start(1, "booking", false));
    let target = named(&first);
    let ending = Ending::Refused { target: target.clone(), leaving: true, retry_after: None };
    let actions = bench.end(&first, 0, ending);
    assert!(actions.contains(&Action::Leaving(target.clone())));
    for id in 2..50 {
        assert_ne!(named(&dispatch(&bench.start(id, "booking", false))), target);
    }
}

#[test]
fn unknown_service_is_not_run() {
    let mut bench = Bench::new(fleet());
    let actions = bench.start(1, "nothing", true);
    let expected = Some(Reason::UnknownService);
    let reason = match outcome(&actions) {
        Some(Outcome::NotRun { reason, .. }) => Some(reason),
        _ => None,
    };
    assert_eq!(reason, expected);
}

#[test]
fn hang_up_cancels_and_forgets() {
    let mut bench = Bench::new(fleet());
    let sent = dispatch(&bench.start(1, "plank", true));
    let actions = bench.hear(Message::CallerDisconnected(1));
    let cancel = Action::Cancel { request: 1, attempt: 1, plan: sent.plan.clone() };
    assert_eq!(actions, vec![cancel]);
    assert_eq!(bench.router.open_requests(), 0);
    assert_eq!(bench.end(&sent, 3, Ending::Broken { target: None }), vec![]);
}

struct LastChain {
    ending: Ending,
    /// Whether the only chain is tried again.
    again: bool,
}

/// A target that was only silent may be slow: where nothing else covers the layers, it is
/// tried again. One that broke the connection is gone.
#[parameterized(
    silent = { LastChain { ending: Ending::Stalled, again: true } },
    gone = { LastChain { ending: Ending::Broken { target: Some("e3".into()) }, again: false } },
)]
fn the_only_chain_after_a_failure(case: LastChain) {
    let only = vec![engine("e1", "a", (0, 20), 900.0), engine("e3", "a", (20, 48), 800.0)];
    let mut bench = Bench::new(only);
    let first = dispatch(&bench.start(1, "plank", true));
    let actions = bench.end(&first, 3, case.ending);
    if case.again {
        let second = dispatch(&actions);
        assert_eq!((second.attempt, second.from), (2, 3));
        assert_eq!(second.plan, first.plan);
        assert_eq!(outcome(&bench.end(&second, 50, Ending::Complete)), Some(Outcome::Complete));
    } else {
        let given_up = outcome(&actions);
        assert!(matches!(given_up, Some(Outcome::Incomplete { reason: Reason::NoPlan, .. })));
    }
}

/// How the only target of a layer range, ejected before, shows that it works.
enum Sign {
    /// A token comes, then the answer ends.
    Token,
    /// The whole answer comes at once.
    Answer,
    /// Nothing: the time for which it is left out ends.
    None,
}

/// Without the target there is no capacity, so nothing is admitted that could probe it: its
/// return has to be told.
#[parameterized(token = { Sign::Token }, whole_answer = { Sign::Answer }, time = { Sign::None })]
fn capacity_returns_with_the_only_target(sign: Sign) {
    let only = vec![engine("e1", "a", (0, 20), 900.0), engine("e3", "a", (20, 48), 800.0)];
    let mut bench = Bench::new(only);
    let sent: Vec<Dispatch> = (1..=3).map(|id| dispatch(&bench.start(id, "plank", true))).collect();
    // Two that stall have the target left out; the third goes on.
    bench.now += Duration::from_secs(1);
    bench.end(&sent[0], 0, Ending::Stalled);
    let mut actions = bench.end(&sent[1], 0, Ending::Stalled);
    bench.now += Duration::from_millis(100);
    let (request, attempt) = (sent[2].request, sent[2].attempt);
    match sign {
        Sign::Token => actions.extend(bench.hear(Message::Progress { request, attempt, next: 10 })),
        Sign::Answer => actions.extend(bench.end(&sent[2], 50, Ending::Complete)),
        Sign::None => {}
    }
    for _ in 0..30 {
        bench.now += Duration::from_millis(100);
        actions.extend(bench.hear(Message::Wake));
    }
    let slots = actions.iter().filter_map(|action| match action {
        Action::Capacity { slots, .. } => Some(*slots),
        _ => None,
    });
    let slots: Vec<u32> = slots.collect();
    assert!(slots.contains(&0), "{slots:?}");
    assert!(slots.last().is_some_and(|slots| *slots > 0), "{slots:?}");
}
