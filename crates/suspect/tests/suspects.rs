//! Requests that are quarantined for the targets lost under them.

use std::time::Duration;

use suspect::{Decision, Fingerprint, Loss, Place, Settings, Status, Subject, Suspects};
use yare::parameterized;

const CRASHING: Fingerprint = 1;
const OTHER: Fingerprint = 2;
/// Time between two losses of a case, longer than the correlation window.
const STEP: Duration = Duration::from_secs(2);

/// A loss of a target.
#[derive(Clone, Copy)]
struct Lost {
    /// Fingerprints whose attempts ran on the target.
    under: &'static [Fingerprint],
    /// Whether the loss came before any part of their answers.
    before_output: bool,
    /// Other targets of the domain that are lost at the same moment.
    others: u16,
}

const OWN: Lost = Lost { under: &[CRASHING], before_output: true, others: 0 };
const SHARED: Lost = Lost { under: &[CRASHING, OTHER], before_output: true, others: 0 };
const CORRELATED: Lost = Lost { others: 2, ..OWN };
const MIDWAY: Lost = Lost { before_output: false, ..OWN };

/// Losses in order, each followed by a decision after its confirmation time, and the fingerprints
/// that are quarantined at the end.
struct Case {
    losses: &'static [Lost],
    crashing: bool,
    other: bool,
}

fn loss(suspects: &mut Suspects, target: String, now: Duration, settings: &Settings) -> Loss {
    let place = Place { domain: 0, rack: Default::default() };
    suspects.record_loss(Loss { target: target.into(), place, at: now }, settings)
}

fn decided(suspects: &mut Suspects, who: Fingerprint, now: Duration, settings: &Settings) -> bool {
    if let Status::Pending(at) = suspects.status(who, now, settings) {
        assert!(at <= now, "the confirmation time is over");
        let decision = suspects.decide(who, now, settings);
        return matches!(decision, Decision::Quarantined(_));
    }
    matches!(suspects.status(who, now, settings), Status::Quarantined(_))
}

// Guards against a request that ends any number of targets because each loss could have had another
// cause (the cases `with_others` and `shared`).
#[parameterized(
    one_loss = { Case { losses: &[OWN], crashing: false, other: false } },
    two_losses = { Case { losses: &[OWN, OWN], crashing: true, other: false } },
    midway_weighs_half = { Case { losses: &[MIDWAY, MIDWAY, MIDWAY], crashing: false, other: false } },
    midway_once_then_at_its_start = { Case { losses: &[MIDWAY, OWN, OWN], crashing: true, other: false } },
    shared_twice = { Case { losses: &[SHARED, SHARED], crashing: false, other: false } },
    shared_twice_then_alone = { Case { losses: &[SHARED, SHARED, OWN], crashing: true, other: false } },
    with_others_twice = { Case { losses: &[CORRELATED, CORRELATED], crashing: false, other: false } },
    with_others_three_times = { Case { losses: &[CORRELATED, CORRELATED, CORRELATED], crashing: true, other: false } },
    with_others_then_alone = { Case { losses: &[CORRELATED, CORRELATED, OWN], crashing: true, other: false } },
    shared_again_and_again = { Case { losses: &[SHARED, SHARED, SHARED, SHARED], crashing: true, other: false } },
)]
fn quarantined_for_losses(case: Case) {
    let settings = Settings::default();
    let mut suspects = Suspects::default();
    let (mut now, mut crashing, mut other) = (STEP, false, false);
    for (number, lost) in case.losses.iter().enumerate() {
        for other in 0..lost.others {
            loss(&mut suspects, format!("beside-{number}-{other}"), now, &settings);
        }
        let loss = loss(&mut suspects, format!("t{number}"), now, &settings);
        for &who in lost.under {
            suspects.add_evidence(
                Subject::request(who),
                loss.clone(),
                lost.before_output,
                &settings,
            );
        }
        now += STEP;
        crashing |= decided(&mut suspects, CRASHING, now, &settings);
        other |= decided(&mut suspects, OTHER, now, &settings);
    }
    assert_eq!((crashing, other), (case.crashing, case.other));
}

/// Targets that are lost at once under one request, as the numbers of their failure domains, and what
/// is decided then and after one more loss under the request alone.
struct Burst {
    domains: &'static [u16],
    at_once: bool,
    later: bool,
}

// Guards against the quarantine of a sound request that many callers send, because a trouble of the
// site ends targets in several domains at once, all of which run it.
#[parameterized(
    one_domain = { Burst { domains: &[0, 0], at_once: true, later: true } },
    two_domains_once = { Burst { domains: &[0, 1], at_once: true, later: true } },
    two_domains_twice = { Burst { domains: &[0, 0, 1, 1], at_once: false, later: true } },
    three_domains_twice = { Burst { domains: &[0, 1, 2, 0, 1, 2], at_once: false, later: true } },
    three_in_one_domain = { Burst { domains: &[0, 0, 0, 1], at_once: true, later: true } },
)]
fn targets_lost_at_once_count_once(burst: Burst) {
    let settings = Settings::default();
    let mut suspects = Suspects::default();
    let lose = |suspects: &mut Suspects, target: String, domain, now| {
        let place = Place { domain, rack: Default::default() };
        let loss = Loss { target: target.into(), place, at: now };
        let loss = suspects.record_loss(loss, &settings);
        suspects.add_evidence(Subject::request(CRASHING), loss, true, &settings);
    };
    for (number, &domain) in (0_u32..).zip(burst.domains) {
        let now = STEP + Duration::from_millis(50) * number;
        lose(&mut suspects, format!("t{number}"), domain, now);
    }
    assert_eq!(decided(&mut suspects, CRASHING, STEP * 2, &settings), burst.at_once);
    lose(&mut suspects, "later".into(), 0, STEP * 3);
    assert_eq!(decided(&mut suspects, CRASHING, STEP * 4, &settings), burst.later);
}

// Guards against a decision that is made only when the request is sent again.
#[test]
fn decision_is_due_without_another_request() {
    let settings = Settings::default();
    let mut suspects = Suspects::default();
    for target in ["a", "b"] {
        let loss = loss(&mut suspects, target.into(), STEP, &settings);
        suspects.add_evidence(Subject::request(CRASHING), loss, true, &settings);
    }
    assert!(suspects.take_due_decisions(STEP, &settings).is_empty());
    assert_eq!(
        suspects.take_due_decisions(STEP + settings.confirmation_time, &settings),
        [CRASHING]
    );
    assert!(
        suspects.take_due_decisions(STEP + settings.confirmation_time, &settings).is_empty(),
        "once"
    );
}

/// A sign that a suspect is not the cause.
#[derive(Clone, Copy)]
enum Sign {
    /// A target that was taken for lost answers.
    Survived,
    /// The request was answered.
    Answered,
}

#[parameterized(survived = { Sign::Survived }, answered = { Sign::Answered })]
fn contrary_sign_prevents_quarantine(sign: Sign) {
    let settings = Settings::default();
    let mut suspects = Suspects::default();
    for target in ["a", "b"] {
        let loss = loss(&mut suspects, target.into(), STEP, &settings);
        suspects.add_evidence(Subject::request(CRASHING), loss, true, &settings);
    }
    assert_eq!(
        suspects.status(CRASHING, STEP, &settings),
        Status::Pending(STEP + settings.confirmation_time)
    );
    match sign {
        Sign::Survived => suspects.record_survival("a"),
        Sign::Answered => assert!(suspects.clear_evidence(CRASHING)),
    }
    assert!(!decided(&mut suspects, CRASHING, STEP * 2, &settings));
}
