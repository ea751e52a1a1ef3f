//! Callers with a valid key are served as long as the store answers.

mod entry;
mod site;

use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{Call, Document, Route, send_call};
use site::{STATE_TIMEOUT, Site};
use yare::parameterized;

/// Time for which requests are sent: two of the longest watches of a node.
const OBSERVED: Duration = Duration::from_millis(4500);
/// Interval between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Guards against a node that considers the store's state too old for checking keys although the
// store answers each of its calls: the watch it holds, or the change it has just learnt of, must not
// take longer than the bound on withdrawn keys allows.
#[parameterized(
    nothing_changes = { 170, None },
    early_in_a_watch = { 171, Some(ms(300)) },
    late_in_a_watch = { 172, Some(ms(1750)) },
)]
fn key_is_honoured_while_the_store_answers(number: u8, change_after: Option<Duration>) {
    let keys = vec!["k1"];
    let site = Site::start(number, 1, &Document { keys: keys.clone(), ..Document::default() });
    let watches = site.platform.watch_count();
    assert!(site.platform.wait(STATE_TIMEOUT, || site.platform.watch_count() > watches));
    if let Some(after) = change_after {
        sleep(after);
        site.platform.configure(&Document { version: 2, keys, ..Document::default() });
    }
    let call = Call { key: Some("k1"), ..Call::new(Route::Safe, "r") };
    let until = Instant::now() + OBSERVED;
    let mut statuses = Vec::new();
    while Instant::now() < until {
        statuses.push(send_call(site.nodes[0].front, &call).status);
        sleep(CALL_INTERVAL);
    }
    let refused = statuses.iter().filter(|status| **status != Some(200)).count();
    assert_eq!(refused, 0, "of {} requests", statuses.len());
}
