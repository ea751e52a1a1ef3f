//! What the watchdog decides on a silent stream, and when it checks.

use std::time::Duration;

use edge::{Verdict, Watchdog};
use yare::parameterized;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Silence after which engines are asked at the latest, where events come as often as usual.
const LIMIT: Duration = ms(100);

struct Case {
    silent: u64,
    is_broken: bool,
    verdict: Verdict,
    /// Time to the next check, milliseconds.
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
fn verdict_depends_on_the_length_of_silence(case: Case) {
    let mut watchdog = Watchdog::new(ms(1000), LIMIT);
    let now = ms(1000 + case.silent);
    assert_eq!(watchdog.check(now, case.is_broken), case.verdict);
    assert_eq!(watchdog.next_check(), now + ms(case.next));
}

/// Guards against delayed moves of streams when an engine stops all streams of a path at once. The
/// change of the engine's state arrived while the streams were too young to move and postponed the
/// next check, so they moved only 0.27 to 0.3 s after their last event.
#[parameterized(
    early = { &[30, 60] },
    late = { &[60, 110] },
    many = { &[10, 40, 70, 100, 119] },
)]
fn stream_of_a_broken_path_moves_as_early_as_allowed(news: &[u64]) {
    let mut watchdog = Watchdog::new(ms(0), LIMIT);
    let mut news = news.iter().map(|at| ms(*at)).peekable();
    loop {
        let check_at = watchdog.next_check();
        assert!(check_at <= ms(120), "no later than it may move");
        if let Some(at) = news.next_if(|at| *at <= check_at) {
            assert!(!watchdog.should_abandon(at, true), "too young");
        } else if watchdog.check(check_at, true) == Verdict::Abandon {
            assert_eq!(check_at, ms(120));
            return;
        }
    }
}

/// A stream with events at these intervals, whose path breaks after the last one.
struct Steady {
    /// Intervals between events, milliseconds.
    intervals: &'static [u64],
    /// Silence at which the path becomes broken, milliseconds.
    news: u64,
    /// Silence at which the stream moves, milliseconds.
    moves: u64,
}

/// Guards against unnecessary waiting when all streams of a path stop at once and another node
/// reports it within 70 ms. Streams waited until 120 ms after their last event, although a stream
/// with an event every 45 ms is known to have stalled earlier.
#[parameterized(
    regular = { Steady { intervals: &[45, 46, 45, 44, 46, 47], news: 30, moves: 60 } },
    with_a_pause = { Steady { intervals: &[45, 46, 80, 44, 46, 47], news: 30, moves: 92 } },
    news_come_late = { Steady { intervals: &[45, 46, 45, 44, 46, 47], news: 75, moves: 75 } },
    slow = { Steady { intervals: &[150, 146, 180, 144, 146], news: 40, moves: 120 } },
    hardly_known = { Steady { intervals: &[45, 46, 45], news: 30, moves: 120 } },
)]
fn steady_stream_of_a_broken_path_moves_once_stalled(case: Steady) {
    let mut now = ms(0);
    let mut watchdog = Watchdog::new(now, LIMIT);
    for interval in case.intervals {
        now += ms(*interval);
        watchdog.record_event(now, LIMIT);
    }
    let moves = now + ms(case.moves);
    let news = now + ms(case.news);
    assert_eq!(watchdog.should_abandon(news, true), news >= moves);
    while watchdog.next_check() < moves {
        let check_at = watchdog.next_check();
        assert_ne!(watchdog.check(check_at, check_at >= news), Verdict::Abandon);
    }
    if news < moves {
        assert_eq!(watchdog.next_check(), moves);
        assert_eq!(watchdog.check(moves, true), Verdict::Abandon);
    }
}

/// Covers an engine whose loss no node has detected yet. A stream with an event every 45 ms checks
/// the engines at its first pause longer than all before.
#[parameterized(
    regular = { &[45, 46, 45, 44, 46, 47], 75 },
    with_a_pause = { &[45, 46, 80, 44, 46, 47], 92 },
    slow = { &[95, 96, 95, 94, 96, 97], 100 },
    hardly_known = { &[45, 46, 45], 100 },
)]
fn engines_are_probed_at_the_first_unusual_pause(intervals: &[u64], asks: u64) {
    let mut now = ms(0);
    let mut watchdog = Watchdog::new(now, LIMIT);
    for interval in intervals {
        now += ms(*interval);
        watchdog.record_event(now, LIMIT);
    }
    assert_eq!(watchdog.next_check(), now + ms(asks));
    assert_eq!(watchdog.check(now + ms(asks), false), Verdict::ProbeEngines);
}

#[test]
fn event_restarts_the_silence() {
    let mut watchdog = Watchdog::new(ms(0), LIMIT);
    assert_eq!(watchdog.check(ms(100), false), Verdict::ProbeEngines);
    watchdog.record_event(ms(115), LIMIT);
    assert_eq!(watchdog.next_check(), ms(215));
    assert!(!watchdog.should_abandon(ms(230), true));
}

/// A stream that finds no path other than its broken one is not abandoned again before the pause is
/// over, whatever becomes known meanwhile. An event ends the pause.
#[test]
fn deferred_stream_is_checked_at_growing_intervals() {
    let mut watchdog = Watchdog::new(ms(0), LIMIT);
    let mut now = ms(500);
    assert_eq!(watchdog.check(now, true), Verdict::Abandon);
    for pause in [50, 100, 200, 400, 400] {
        watchdog.defer(now);
        assert!(!watchdog.should_abandon(now + ms(pause - 1), true));
        assert_eq!(watchdog.next_check(), now + ms(pause));
        now += ms(pause);
        assert_eq!(watchdog.check(now, true), Verdict::Abandon);
    }
    watchdog.record_event(now, LIMIT);
    assert_eq!(watchdog.check(now + ms(500), true), Verdict::Abandon);
}

/// Guards against engines that are asked for their reports at each event, because all engines of a
/// deployment take longer for an event than those of another one.
#[test]
fn engines_are_asked_later_where_events_are_rarer() {
    let limit = ms(160);
    let mut watchdog = Watchdog::new(ms(0), limit);
    assert_eq!(watchdog.check(ms(150), false), Verdict::Wait);
    assert_eq!(watchdog.next_check(), limit);
    assert_eq!(watchdog.check(limit, false), Verdict::ProbeEngines);
    assert!(!watchdog.should_abandon(ms(159), true));
    assert!(watchdog.should_abandon(ms(160), true));
}
