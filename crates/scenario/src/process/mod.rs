//! Scripts against processes: nodes are children of the test, the platform and the
//! targets are stand-ins in the test's own process.
//!
//! | directive | arguments | does |
//! | --- | --- | --- |
//! | `deployment` | `name=pnw` or `dar`, or `chains=2 stages=3 domains=(a,b) rate=500 bookings=1` | starts platform and targets |
//! | `preset` | `name=peak` | puts a preset and prints its version |
//! | `nodes` | `count=4` | starts nodes `n1`, ... and waits until they are ready |
//! | `send` | `as=r1 node=n1 kind=chat`, `text` or `booking`, `org`, `key`, `max`, `whole`, `like=r0`, `after=r0`, `count=3` | sends the input; several get numbered keys and contents |
//! | `read` | `as=r1` | waits for the end of an answer and prints it |
//! | `wait` | `until=CONDITION ...` | polls until the condition holds |
//! | `signal` | `node=n1 with=kill`, `stop`, `cont` or `term` | sends a signal to a node |
//! | `exit` | `node=n1` | waits for a node's end and prints its exit code |
//! | `fault` | `platform`, `target=NAME` or `answer=r1 stage=1` | carries out the command in the input |
//! | `leave` | `target=NAME` or `answer=r1 stage=1` | lists a target as leaving, which then refuses new work |
//! | `crash-on` | `mark=WORD` | makes all engines crash on prompts with the word `crash:WORD` |
//! | `crashed` | | counts the engines that have crashed |
//! | `mark`, `began` | `target=NAME` or `answer=r1 stage=1` | counts attempts that began on an engine since the mark |
//! | `lose-domain` | `name=a` | crashes all targets of a failure domain |
//! | `same` | `first=r1 second=r2` | compares two answers |
//! | `joined` | `first=r1 rest=r2 whole=r3` | compares an answer in two parts with a whole one |
//! | `executions` | | checks that in each attempt the layers of a token ran once and in order, as far as they ran |
//! | `runs` | | prints the bookings that ran, and how often each |
//! | `calls` | `prefix=magnolia.ledger` | prints which kinds of calls the platform counted |

pub(crate) mod answer;
pub(crate) mod caller;
mod check;
pub(crate) mod condition;
mod directive;
pub(crate) mod environment;
mod node;
pub(crate) mod start;

use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use datadriven::walk;

use environment::Environment;

/// Longest wait for a condition.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// Runs one script in a environment of its own. `binary` is the node.
///
/// Scripts of one process run one after another: each has its own nodes and engines.
///
/// # Panics
///
/// When the output of a directive is not the expected one, or there is no such script.
pub fn run(script: &Path, binary: &Path) {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    // A script that failed has left nothing behind that the next one could meet.
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    assert!(script.is_file(), "no script {}", script.display());
    walk(script.to_str().expect("the path of a script is text"), |file| {
        let mut environment = Environment::new(binary);
        file.run(|case| directive::run(&mut environment, case));
    });
}
