//! What the silence of a stream calls for, and when it is looked at.

use std::time::Duration;

use edge::{Verdict, Watchdog};
use yare::parameterized;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Case {
    silent: u64,
    is_broken: bool,
    verdict: Verdict,
    /// Time to the next look.
    next: u64,
}

#[parameterized(
    young = { Case { silent: 60, is_broken: false, verdict: Verdict::Wait, next: 40 } },
    young_on_a_broken_path = { Case { silent: 60, is_broken: true, verdict: Verdict::Wait, next: 40 } },
    slow = { Case { silent: 100, is_broken: false, verdict: Verdict::ProbeEngines, next: 20 } },
    almost = { Case { silent: 119, is_broken: true, verdict: Verdict::ProbeEngines, next: 1 } },
    broken = { Case { silent: 120, is_broken: true, verdict: Verdict::Abandon, next: 80 } },
    stuck = { Case { silent: 200, is_broken: false, verdict: Verdict::LocateStall, next: 100 } },
    long = { Case { silent: 700, is_broken: false, verdict: Verdict::LocateStall, next: 100 } },
)]
fn silence_is_judged_by_its_length(case: Case) {
    let mut watchdog = Watchdog::new(ms(1000));
    let now = ms(1000 + case.silent);
    assert_eq!(watchdog.check(now, case.is_broken), case.verdict);
    assert_eq!(watchdog.next_check(), now + ms(case.next));
}

/// Load pattern: all streams of a chain stop at once, and news that one of its engines is left
/// out come while they are too young to be moved. They moved 0.27 to 0.3 s after their last
/// event, because the news put off the next look.
#[parameterized(
    early = { &[30, 60] },
    late = { &[60, 110] },
    many = { &[10, 40, 70, 100, 119] },
)]
fn stream_of_a_broken_path_moves_at_the_first_moment_it_may(news: &[u64]) {
    let mut watchdog = Watchdog::new(ms(0));
    let mut news = news.iter().map(|at| ms(*at)).peekable();
    loop {
        let look = watchdog.next_check();
        assert!(look <= ms(120), "no later than it may move");
        if let Some(at) = news.next_if(|at| *at <= look) {
            assert!(!watchdog.is_abandoned(at, true), "too young");
        } else if watchdog.check(look, true) == Verdict::Abandon {
            assert_eq!(look, ms(120));
            return;
        }
    }
}

/// A stream with events at these intervals, whose path breaks after the last of them.
struct Steady {
    /// Intervals between events, milliseconds.
    intervals: &'static [u64],
    /// Silence at which it learns that its path is broken, milliseconds.
    news: u64,
    /// Silence at which it moves, milliseconds.
    moves: u64,
}

/// Load pattern: all streams of a chain stop at once and one node tells the others within 70 ms.
/// They waited until 120 ms after their last event; a stream whose events came every 45 ms is
/// known to have stopped before.
#[parameterized(
    regular = { Steady { intervals: &[45, 46, 45, 44, 46, 47], news: 30, moves: 60 } },
    with_a_pause = { Steady { intervals: &[45, 46, 80, 44, 46, 47], news: 30, moves: 92 } },
    news_come_late = { Steady { intervals: &[45, 46, 45, 44, 46, 47], news: 75, moves: 75 } },
    slow = { Steady { intervals: &[150, 146, 180, 144, 146], news: 40, moves: 120 } },
    hardly_known = { Steady { intervals: &[45, 46, 45], news: 30, moves: 120 } },
)]
fn steady_stream_of_a_broken_path_moves_once_it_must_have_stopped(case: Steady) {
    let mut now = ms(0);
    let mut watchdog = Watchdog::new(now);
    for interval in case.intervals {
        now += ms(*interval);
        watchdog.record_event(now);
    }
    let moves = now + ms(case.moves);
    let news = now + ms(case.news);
    assert_eq!(watchdog.is_abandoned(news, true), news >= moves);
    while watchdog.next_check() < moves {
        let look = watchdog.next_check();
        assert_ne!(watchdog.check(look, look >= news), Verdict::Abandon);
    }
    if news < moves {
        assert_eq!(watchdog.next_check(), moves);
        assert_eq!(watchdog.check(moves, true), Verdict::Abandon);
    }
}

/// Load pattern: an engine goes dark, and nobody knows before a stream asks. A stream whose events
/// come every 45 ms asks at the first pause that it never had.
#[parameterized(
    regular = { &[45, 46, 45, 44, 46, 47], 75 },
    with_a_pause = { &[45, 46, 80, 44, 46, 47], 92 },
    slow = { &[95, 96, 95, 94, 96, 97], 100 },
    hardly_known = { &[45, 46, 45], 100 },
)]
fn stream_asks_at_the_first_pause_that_it_never_had(intervals: &[u64], asks: u64) {
    let mut now = ms(0);
    let mut watchdog = Watchdog::new(now);
    for interval in intervals {
        now += ms(*interval);
        watchdog.record_event(now);
    }
    assert_eq!(watchdog.next_check(), now + ms(asks));
    assert_eq!(watchdog.check(now + ms(asks), false), Verdict::ProbeEngines);
}

#[test]
fn an_event_begins_anew() {
    let mut watchdog = Watchdog::new(ms(0));
    assert_eq!(watchdog.check(ms(100), false), Verdict::ProbeEngines);
    watchdog.record_event(ms(115));
    assert_eq!(watchdog.next_check(), ms(215));
    assert!(!watchdog.is_abandoned(ms(230), true));
}

/// A stream whose path is broken and that finds no other is not given up at once again, whatever is
/// learned meanwhile; an event ends the pause.
#[test]
fn held_stream_is_looked_at_less_and_less_often() {
    let mut watchdog = Watchdog::new(ms(0));
    let mut now = ms(500);
    assert_eq!(watchdog.check(now, true), Verdict::Abandon);
    for pause in [50, 100, 200, 400, 400] {
        watchdog.defer(now);
        assert!(!watchdog.is_abandoned(now + ms(pause - 1), true));
        assert_eq!(watchdog.next_check(), now + ms(pause));
        now += ms(pause);
        assert_eq!(watchdog.check(now, true), Verdict::Abandon);
    }
    watchdog.record_event(now);
    assert_eq!(watchdog.check(now + ms(500), true), Verdict::Abandon);
}
