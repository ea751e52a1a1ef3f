//! Single decisions of the limiter and its parts.

use std::time::Duration;

use fleet::{Request, Shape};
use limit::{
    Action, Builder, Capacity, Claim, Demand, Ending, Limiter, Message, Reason, Settings,
    Tolerance, max_min_shares,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

struct Division {
    capacity: f64,
    claims: &'static [(f64, f64)],
    expected: &'static [f64],
}

#[parameterized(
    enough_for_all = { Division { capacity: 10.0, claims: &[(1.0, 2.0), (1.0, 3.0)], expected: &[2.0, 3.0] } },
    greedy_gets_the_rest = { Division { capacity: 10.0, claims: &[(1.0, 2.0), (1.0, 90.0)], expected: &[2.0, 8.0] } },
    weights = { Division { capacity: 9.0, claims: &[(2.0, 90.0), (1.0, 90.0)], expected: &[6.0, 3.0] } },
    no_claims = { Division { capacity: 9.0, claims: &[], expected: &[] } },
    no_capacity = { Division { capacity: 0.0, claims: &[(1.0, 5.0)], expected: &[0.0] } },
)]
fn division(case: Division) {
    let claims: Vec<Claim> =
        case.claims.iter().map(|&(weight, demand)| Claim { weight, demand }).collect();
    assert_eq!(max_min_shares(case.capacity, &claims), case.expected);
}

struct Waits {
    abandoned_ms: &'static [u64],
    served_ms: &'static [u64],
    /// Bounds of the expected estimate, if any.
    estimate_ms: Option<(u64, u64)>,
}

#[parameterized(
    none_abandoned = { Waits { abandoned_ms: &[], served_ms: &[100, 900, 5_000], estimate_ms: None } },
    one_sample_is_too_few = { Waits { abandoned_ms: &[50], served_ms: &[], estimate_ms: None } },
    all_abandon_alike = { Waits { abandoned_ms: &[3_000; 5], served_ms: &[200; 20], estimate_ms: Some((2_000, 3_000)) } },
    early_served_change_little = { Waits { abandoned_ms: &[3_000; 5], served_ms: &[10; 500], estimate_ms: Some((2_000, 3_000)) } },
    late_served_outweigh = { Waits { abandoned_ms: &[1_000; 2], served_ms: &[9_000; 200], estimate_ms: None } },
)]
fn tolerance(case: Waits) {
    let mut tolerance = Tolerance::default();
    for &waited in case.served_ms {
        tolerance.record_served(Duration::from_millis(waited));
    }
    for &waited in case.abandoned_ms {
        tolerance.record_abandoned(Duration::from_millis(waited));
    }
    let estimate = tolerance.estimate().map(|estimate| estimate.as_millis() as u64);
    match case.estimate_ms {
        None => assert_eq!(estimate, None),
        Some((least, most)) => {
            assert!(estimate.is_some_and(|ms| (least..=most).contains(&ms)), "{estimate:?}");
        }
    }
}

/// Guards against losing the estimate once requests are answered within it: then callers no
/// longer abandon requests, and only early served samples are recorded.
#[test]
fn tolerance_survives_many_served() {
    let mut tolerance = Tolerance::default();
    for _ in 0..5 {
        tolerance.record_abandoned(Duration::from_secs(3));
    }
    let estimate = tolerance.estimate();
    for _ in 0..10_000 {
        tolerance.record_served(Duration::from_millis(200));
    }
    assert!(estimate.is_some());
    assert_eq!(tolerance.estimate(), estimate);
}

/// An estimate is withdrawn when later callers wait longer without abandoning.
#[test]
fn tolerance_follows_longer_waits() {
    let mut tolerance = Tolerance::default();
    for _ in 0..5 {
        tolerance.record_abandoned(Duration::from_secs(3));
    }
    for _ in 0..1_000 {
        tolerance.record_served(Duration::from_secs(6));
    }
    assert_eq!(tolerance.estimate(), None);
}

fn request(id: u128) -> Request {
    Request {
        id,
        organisation: "o".into(),
        service: "m".into(),
        shape: Shape { prompt_tokens: 10, max_tokens: 10, stream: true },
        fingerprint: id as u64,
        idempotent: true,
    }
}

struct Harness {
    limiter: Limiter,
    rng: SmallRng,
}

impl Harness {
    fn new(settings: Settings, slots: u32) -> Self {
        let mut harness = Self { limiter: Limiter::new(settings), rng: SmallRng::seed_from_u64(1) };
        harness.send(0, Message::Capacity(capacity(slots)));
        harness
    }

    fn send(&mut self, now_ms: u64, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        self.limiter.step(Duration::from_millis(now_ms), message, &mut self.rng, &mut actions);
        actions.retain(|action| matches!(action, Action::Admit { .. } | Action::Refuse { .. }));
        actions
    }

    /// Wakes the limiter and returns the demand that it reports.
    fn demand(&mut self, now_ms: u64) -> Vec<Demand> {
        let mut actions = Vec::new();
        let now = Duration::from_millis(now_ms);
        self.limiter.step(now, Message::Wake, &mut self.rng, &mut actions);
        let reports = actions.into_iter().find_map(|action| match action {
            Action::Demand(reports) => Some(reports),
            _ => None,
        });
        let demand = |(organisation, cost)| Demand { node: "far".into(), organisation, cost };
        reports.unwrap_or_default().into_iter().map(demand).collect()
    }

    fn refusals(&mut self, now_ms: u64, message: Message) -> Vec<(u128, Reason)> {
        let actions = self.send(now_ms, message);
        let refused = actions.into_iter().filter_map(|action| match action {
            Action::Refuse { request, reason, retry_after } => {
                assert!(retry_after >= Duration::from_secs(1));
                Some((request, reason))
            }
            _ => None,
        });
        refused.collect()
    }
}

fn capacity(slots: u32) -> Capacity {
    Capacity { service: "m".into(), tokens_per_second: 0.0, slots }
}

#[test]
fn request_is_refused_at_once_without_capacity() {
    let mut harness = Harness::new(Settings::default(), 0);
    let refused = harness.refusals(0, Message::Arrive(request(1)));
    assert_eq!(refused, vec![(1, Reason::NoCapacity)]);
}

#[test]
fn freed_slot_goes_to_queued_request() {
    let mut harness = Harness::new(Settings::default(), 1);
    assert!(matches!(
        harness.send(0, Message::Arrive(request(1)))[..],
        [Action::Admit { request: 1, .. }]
    ));
    assert_eq!(harness.send(1, Message::Arrive(request(2))), vec![]);
    let ending = Message::Finished { request: 1, ending: Ending::Complete };
    assert!(matches!(harness.send(2, ending)[..], [Action::Admit { request: 2, .. }]));
}

#[test]
fn hang_up_frees_slot_and_queue_entry() {
    let mut harness = Harness::new(Settings::default(), 1);
    harness.send(0, Message::Arrive(request(1)));
    harness.send(1, Message::Arrive(request(2)));
    harness.send(2, Message::HungUp(2));
    assert_eq!(harness.limiter.waiting(), 0);
    harness.send(3, Message::HungUp(1));
    assert_eq!(harness.limiter.running(), 0);
}

/// A queued request is refused as soon as it can no longer be answered in time.
#[test]
fn late_request_is_refused_before_its_caller_hangs_up() {
    let tolerance = Duration::from_secs(10);
    let settings = Settings { stream_tolerance: tolerance, ..Settings::default() };
    let mut harness = Harness::new(settings, 1);
    harness.send(0, Message::Arrive(request(1)));
    harness.send(1, Message::Arrive(request(2)));
    assert_eq!(harness.refusals(9_000, Message::Wake), vec![]);
    assert_eq!(harness.refusals(10_002, Message::Wake).len(), 1);
}

/// Guards against refusing a burst of an idle organisation that fits the wait tolerance: with
/// 4 slots held for 2 s each, the last of 12 requests starts within 4 s.
#[test]
fn burst_of_idle_organisation_is_queued() {
    let mut harness = Harness::new(Settings::default(), 4);
    for id in 1..=12 {
        assert_eq!(harness.refusals(1_000, Message::Arrive(request(id))), vec![]);
    }
    assert_eq!((harness.limiter.running(), harness.limiter.waiting()), (4, 8));
}

/// Requests of a class that is new to this node, while another node reports its own burst.
struct NewClass {
    /// Number of requests that end before the rest arrives.
    ended: u128,
    /// Demand that the other node reports, in slots.
    remote_demand: f64,
}

/// Guards against refusals on assumed costs: the time for which a new class of request holds a
/// slot is unknown until one has completed.
#[parameterized(
    alone = { NewClass { ended: 0, remote_demand: 0.0 } },
    beside_a_burst = { NewClass { ended: 0, remote_demand: 40.0 } },
    one_known = { NewClass { ended: 1, remote_demand: 40.0 } },
    some_known = { NewClass { ended: 4, remote_demand: 40.0 } },
)]
fn assumed_cost_refuses_no_request(case: NewClass) {
    let mut harness = Harness::new(Settings::default(), 6);
    let remote_demand =
        Demand { node: "elsewhere".into(), organisation: "o".into(), cost: case.remote_demand };
    for id in 1..=15 {
        assert_eq!(harness.refusals(1_000, Message::Arrive(request(id))), vec![]);
    }
    harness.send(1_020, Message::Peers { live: 4, demand: vec![remote_demand] });
    for id in 1..=case.ended {
        let ended = Message::Finished { request: id, ending: Ending::Complete };
        assert_eq!(harness.refusals(1_000 + 50 * id as u64, ended), vec![]);
    }
    for id in 16..=20 {
        assert_eq!(harness.refusals(1_300, Message::Arrive(request(id))), vec![]);
    }
}

/// A burst of a new class at two nodes, of which only the near one has measured its cost.
struct UnevenKnowledge {
    /// Time for which the first request holds its slot.
    held_ms: u64,
    /// Number of requests at the near node before the first of them ends.
    before: u128,
    /// Number of requests at the near node after the first of them has ended.
    after: u128,
}

/// Guards against refusals because another node reports demand at an assumed cost: with six
/// slots for both nodes, the last request starts long before its caller hangs up.
#[parameterized(
    quick = { UnevenKnowledge { held_ms: 50, before: 2, after: 18 } },
    slow = { UnevenKnowledge { held_ms: 800, before: 2, after: 18 } },
    slow_and_early = { UnevenKnowledge { held_ms: 800, before: 6, after: 14 } },
    slower = { UnevenKnowledge { held_ms: 1_200, before: 3, after: 14 } },
)]
fn assumed_costs_of_other_nodes_take_no_share(case: UnevenKnowledge) {
    let mut far = Harness::new(Builder::new("far").build(), 6);
    let mut near = Harness::new(Builder::new("near").build(), 6);
    for id in 101..=120 {
        assert_eq!(far.refusals(1_000, Message::Arrive(request(id))), vec![]);
    }
    for id in 1..=case.before {
        assert_eq!(near.refusals(1_000, Message::Arrive(request(id))), vec![]);
    }
    let demand = far.demand(1_010);
    near.send(1_020, Message::Peers { live: 2, demand });
    let ended = Message::Finished { request: 1, ending: Ending::Complete };
    assert_eq!(near.refusals(1_000 + case.held_ms, ended), vec![]);
    for id in case.before + 1..=case.before + case.after {
        let arrives = Message::Arrive(request(id));
        assert_eq!(near.refusals(1_010 + case.held_ms, arrives), vec![]);
    }
}

#[test]
fn full_queue_refuses_the_last() {
    let settings = Settings { queue: 2, early_refusal: false, ..Settings::default() };
    let mut harness = Harness::new(settings, 1);
    for id in 1..=3 {
        assert_eq!(harness.refusals(id, Message::Arrive(request(u128::from(id)))), vec![]);
    }
    assert_eq!(harness.refusals(4, Message::Arrive(request(4))), vec![(4, Reason::QueueFull)]);
}
