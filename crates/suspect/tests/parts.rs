//! Parts of prompts that are quarantined for the targets lost under requests with them.

use std::time::Duration;

use suspect::{
    Decision, Fingerprint, Loss, Passes, Place, Scope, Settings, Status, Subject, Suspects, Trials,
};
use yare::parameterized;

/// First part of all prompts.
const FIRST: Fingerprint = 10;
/// Part that crashes targets.
const CRASHING: Fingerprint = 11;
/// Part of harmless requests.
const OTHER: Fingerprint = 12;
/// Time between two losses of a case, longer than the correlation window.
const STEP: Duration = Duration::from_secs(2);

/// A loss of a target.
#[derive(Clone, Copy)]
struct Lost {
    /// Requests that ran on the target, with the parts of their prompts.
    under: &'static [(Fingerprint, &'static [Fingerprint])],
    before_output: bool,
    /// Other targets of the domain that are lost at the same moment.
    others: u16,
    /// Parts with which requests run after the loss.
    passes: &'static [Fingerprint],
}

const fn lost(under: &'static [(Fingerprint, &'static [Fingerprint])]) -> Lost {
    Lost { under, before_output: true, others: 0, passes: &[] }
}

const A: Lost = lost(&[(1, &[FIRST, CRASHING])]);
const B: Lost = lost(&[(2, &[FIRST, CRASHING])]);
const C: Lost = lost(&[(3, &[FIRST, CRASHING])]);
const D: Lost = lost(&[(4, &[FIRST, CRASHING])]);
const A_BESIDE: Lost = lost(&[(1, &[FIRST, CRASHING]), (5, &[FIRST, OTHER])]);
const A_BESIDE_ANOTHER: Lost = lost(&[(1, &[FIRST, CRASHING]), (6, &[FIRST, OTHER])]);
const B_BESIDE: Lost = lost(&[(2, &[FIRST, CRASHING]), (6, &[FIRST, OTHER])]);
const X: Lost = lost(&[(5, &[FIRST, OTHER])]);

/// Losses in order, each followed by decisions after the confirmation time.
struct Case {
    losses: &'static [Lost],
    /// Parts with which requests have run before.
    run_before: &'static [Fingerprint],
    quarantined: &'static [Fingerprint],
}

const fn case(losses: &'static [Lost], quarantined: &'static [Fingerprint]) -> Case {
    Case { losses, run_before: &[], quarantined }
}

#[parameterized(
    two_requests = { case(&[A, B], &[CRASHING]) },
    one_request_twice = { case(&[A, A], &[1]) },
    request_quarantined_first = { case(&[A, A, B], &[1, CRASHING]) },
    // Guards against a sound part quarantined because requests with it ran beside one that crashed
    // several targets.
    one_request_beside_another = { case(&[A_BESIDE, A], &[1]) },
    one_request_beside_others_alone = {
        case(&[A_BESIDE, A_BESIDE_ANOTHER], &[1])
    },
    one_request_beside_others = { case(&[A_BESIDE, A_BESIDE_ANOTHER, A], &[1]) },
    run_between = { case(&[A, Lost { passes: &[FIRST, CRASHING], ..B }], &[]) },
    run_between_with_the_first_part = { case(&[Lost { passes: &[FIRST], ..A }, B], &[CRASHING]) },
    beside_another_twice = { case(&[A_BESIDE, B_BESIDE], &[]) },
    beside_another_then_alone = { case(&[A_BESIDE, B_BESIDE, C], &[CRASHING]) },
    beside_another_that_runs = {
        case(&[A_BESIDE, Lost { passes: &[OTHER], ..B_BESIDE }], &[CRASHING])
    },
    beside_another_that_ran_before = {
        Case { run_before: &[OTHER], ..case(&[A_BESIDE, B_BESIDE], &[CRASHING]) }
    },
    ran_before = { Case { run_before: &[CRASHING, FIRST], ..case(&[A, B, C], &[]) } },
    ran_before_and_crashes_now = {
        Case { run_before: &[CRASHING, FIRST], ..case(&[A, B, C, D], &[CRASHING]) }
    },
    different_parts = { case(&[A, X], &[FIRST]) },
    different_parts_after_runs = { Case { run_before: &[FIRST], ..case(&[A, X], &[]) } },
    with_others_twice = { case(&[Lost { others: 2, ..A }, Lost { others: 2, ..B }], &[]) },
    with_others_three_times = {
        case(&[Lost { others: 2, ..A }, Lost { others: 2, ..B }, Lost { others: 2, ..C }], &[CRASHING])
    },
    after_output_twice = {
        case(&[Lost { before_output: false, ..A }, Lost { before_output: false, ..B }], &[])
    },
)]
fn part_is_quarantined_for_losses(case: Case) {
    let settings = Settings::default();
    let (mut suspects, mut passes) = (Suspects::default(), Passes::default());
    case.run_before.iter().for_each(|&part| passes.record(part, Duration::ZERO));
    let mut now = STEP * 2;
    for (number, lost) in case.losses.iter().enumerate() {
        for other in 0..lost.others {
            record_loss(&mut suspects, format!("beside-{number}-{other}"), now, &settings);
        }
        // The names are in another order than the losses.
        let target = format!("t{}", case.losses.len() - number);
        let loss = record_loss(&mut suspects, target, now, &settings);
        for &(request, parts) in lost.under {
            let subjects = Subject::parts(Some(request), parts, 0, &passes);
            for subject in subjects.chain([Subject::request(request)]) {
                suspects.add_evidence(subject, loss.clone(), lost.before_output, &settings);
            }
        }
        for &part in lost.passes {
            passes.record(part, now);
            suspects.release(part);
        }
        now += STEP;
        for due in suspects.take_due_decisions(now, &settings) {
            suspects.decide(due, now, &settings);
        }
    }
    let is_quarantined = |fingerprint: &Fingerprint| {
        matches!(suspects.status(*fingerprint, now, &settings), Status::Quarantined(_))
    };
    let quarantined: Vec<Fingerprint> = (1..=OTHER).filter(is_quarantined).collect();
    assert_eq!(quarantined, case.quarantined);
}

fn record_loss(
    suspects: &mut Suspects,
    target: String,
    now: Duration,
    settings: &Settings,
) -> Loss {
    let place = Place { domain: 0, rack: Default::default() };
    suspects.record_loss(Loss { target: target.into(), place, at: now }, settings)
}

// Guards against a part that begins to crash targets and is never quarantined, because only one
// request has it, and that one was answered before.
#[parameterized(
    answered = { None, &["t0", "t1"], true },
    answered_once = { None, &["t0"], false },
    not_answered = { Some(1), &["t0", "t1"], false },
)]
fn part_of_one_request_is_quarantined(
    request: Option<Fingerprint>,
    lost: &[&str],
    quarantined: bool,
) {
    let settings = Settings::default();
    let (mut suspects, passes) = (Suspects::default(), Passes::default());
    let mut now = STEP;
    for target in lost {
        let loss = record_loss(&mut suspects, (*target).to_owned(), now, &settings);
        for subject in Subject::parts(request, &[FIRST, CRASHING], 0, &passes) {
            suspects.add_evidence(subject, loss.clone(), true, &settings);
        }
        now += STEP;
    }
    assert_eq!(suspects.take_due_decisions(now, &settings).contains(&CRASHING), quarantined);
    let decision = suspects.decide(CRASHING, now, &settings);
    assert_eq!(matches!(decision, Decision::Quarantined(_)), quarantined);
}

// Guards against evidence on a part being lost when a request with it is quarantined.
#[parameterized(
    request = { (1, Scope::Request), true },
    // Guards against a sound part quarantined for what requests beside those with it crashed.
    request_without_the_part = { (3, Scope::Request), false },
    part = { (OTHER, Scope::Part), false },
)]
fn quarantine_elsewhere_keeps_evidence_on_parts(cause: (Fingerprint, Scope), kept: bool) {
    let settings = Settings::default();
    let (mut suspects, passes) = (Suspects::default(), Passes::default());
    for (number, request) in [1, 2].into_iter().enumerate() {
        let loss = record_loss(&mut suspects, format!("t{number}"), STEP, &settings);
        for subject in Subject::parts(Some(request), &[CRASHING], 0, &passes) {
            suspects.add_evidence(subject, loss.clone(), true, &settings);
        }
    }
    suspects.drop_evidence_for(&"t0".into(), cause);
    let decision = suspects.decide(CRASHING, STEP * 2, &settings);
    assert_eq!(matches!(decision, Decision::Quarantined(_)), kept);
}

/// Number of trials so far and the delay of the next one.
#[parameterized(first = { 0, 30 }, second = { 1, 120 }, third = { 2, 480 }, later = { 40, 86_400 })]
fn trials_become_rarer(number: u32, delay_s: u64) {
    let mut trials = Trials::default();
    trials.schedule(CRASHING, number, STEP);
    let delay = Duration::from_secs(delay_s);
    assert_eq!(trials.time_left(CRASHING, STEP), Some(delay));
    assert_eq!(trials.time_left(CRASHING, STEP + delay), Some(Duration::ZERO));
    trials.schedule(CRASHING, number, STEP * 2);
    assert_eq!(trials.time_left(CRASHING, STEP), Some(delay), "the schedule stays");
}

#[test]
fn permission_is_for_one_request() {
    let mut trials = Trials::default();
    trials.permit(CRASHING);
    assert!(!trials.take_permission(CRASHING), "the part is not quarantined");
    trials.schedule(CRASHING, 1, STEP);
    trials.permit(CRASHING);
    assert!(trials.take_permission(CRASHING));
    assert!(!trials.take_permission(CRASHING));
    trials.permit(CRASHING);
    trials.remove(CRASHING);
    assert!(!trials.take_permission(CRASHING));
}

/// Number of parts of a prompt that a head of 16 KB can name, and more than a byte counts.
const MANY: u64 = 1_300;

// Guards against a part that is never quarantined, because its prompt has too many narrower ones.
#[parameterized(
    first = { 0 },
    middle = { MANY / 2 },
    last = { MANY - 1 },
)]
fn part_at_any_place_is_quarantined(place: u64) {
    let settings = Settings::default();
    let (mut suspects, passes) = (Suspects::default(), Passes::default());
    let crashing = 10_000 + place;
    let shared = |harmless: u64| -> Vec<Fingerprint> {
        let part = |index| if index == place { crashing } else { harmless + index };
        (0..MANY).map(part).collect()
    };
    let mut now = STEP;
    for request in 1..=2 {
        let loss = record_loss(&mut suspects, format!("t{request}"), now, &settings);
        for subject in Subject::parts(Some(request), &shared(request * 100_000), 0, &passes) {
            suspects.add_evidence(subject, loss.clone(), true, &settings);
        }
        now += STEP;
        for due in suspects.take_due_decisions(now, &settings) {
            suspects.decide(due, now, &settings);
        }
    }
    assert!(matches!(suspects.status(crashing, now, &settings), Status::Quarantined(_)));
}

/// Number of requests whose losses fill the records.
const FILLING: u64 = 60;

// Guards against evidence that is ignored because there are records of many harmless parts.
#[test]
fn part_is_quarantined_beside_very_many_others() {
    let settings = Settings::default();
    let (mut suspects, passes) = (Suspects::default(), Passes::default());
    let mut now = STEP;
    for request in 1..=FILLING {
        let loss = record_loss(&mut suspects, format!("t{request}"), now, &settings);
        let parts: Vec<Fingerprint> = (0..MANY).map(|index| request * 100_000 + index).collect();
        for subject in Subject::parts(Some(request), &parts, 0, &passes) {
            suspects.add_evidence(subject, loss.clone(), true, &settings);
        }
        now += STEP;
    }
    for request in [FILLING + 1, FILLING + 2] {
        let loss = record_loss(&mut suspects, format!("t{request}"), now, &settings);
        for subject in Subject::parts(Some(request), &[CRASHING], 0, &passes) {
            suspects.add_evidence(subject, loss.clone(), true, &settings);
        }
        now += STEP;
    }
    for due in suspects.take_due_decisions(now, &settings) {
        suspects.decide(due, now, &settings);
    }
    assert!(matches!(suspects.status(CRASHING, now, &settings), Status::Quarantined(_)));
}
