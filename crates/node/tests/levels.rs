//! Priority that engines receive, by the setting of the process and the length of the prompt.

mod entry;
mod site;

use entry::{Entry, command};
use platform_standin::{Call, Document, Route, Settings, send_call};
use site::{EVENTS, STATE_TIMEOUT, Site};
use yare::parameterized;

/// Priority of all routes of the stand-in's configuration, which states none.
const ROUTE_PRIORITY: u8 = 5;

struct Case {
    arguments: &'static [&'static str],
    route: Route,
    /// Length of the prompt, tokens; the mean is 100.
    prompt: u32,
    priority: u8,
}

const MIXED: Case =
    Case { arguments: &["--prompts", "mixed"], route: Route::Resumable, prompt: 20, priority: 5 };

// Guards against a setting that is on by default or has no effect, and against levels for requests
// that no engine prefills.
#[parameterized(
    default_long = { 91, Case { arguments: &[], prompt: 300, ..MIXED } },
    mean_long = { 92, Case { arguments: &["--prompts", "mean"], prompt: 300, ..MIXED } },
    mixed_short = { 93, MIXED },
    mixed_long = { 94, Case { prompt: 300, priority: 9, ..MIXED } },
    mixed_plain = { 95, Case { route: Route::Safe, prompt: 300, ..MIXED } },
)]
fn engines_receive_the_level(number: u8, case: Case) {
    let site = Site::start(number, 0, &Document::default());
    let host = format!("127.82.{number}.10");
    let settings = Settings::new("n0", "a", &host, site.platform.store());
    let mut command = command(&format!("{number}-n0"), &settings.text);
    let node = Entry::start_command(command.args(case.arguments), &settings);
    let call = |id: &str, route, prompt| Call { prompt, ..Call::new(route, id) };
    let serves =
        || send_call(node.front, &call("probe", Route::Resumable, 100)).is_complete(EVENTS);
    assert!(site.platform.wait(STATE_TIMEOUT, serves), "the node serves");
    let reply = send_call(node.front, &call("case", case.route, case.prompt));
    assert_eq!(reply.status, Some(200), "{reply:?}");
    let run = site.runs("case").pop().expect("a run");
    assert_eq!(run.priority, Some(case.priority));
    assert!(run.priority >= Some(ROUTE_PRIORITY));
}

// Guards against a process that starts with another setting than the one that was meant.
#[test]
fn unknown_setting_ends_the_process() {
    let settings = Settings::new("n1", "a", "127.82.96.10", ([127, 82, 96, 1], 1).into());
    let mut command = command("unknown", &settings.text);
    let output = command.args(["--prompts", "long"]).output().expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("expected `mean` or `mixed`"), "{error}");
}
