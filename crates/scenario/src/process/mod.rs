//! Scripts against nodes that run as child processes of the test. Stand-ins for the platform
//! and the targets run in the test process.
//!
//! | directive | arguments | effect |
//! | --- | --- | --- |
//! | `deployment` | `name=pnw` or `dar`, or `chains=2 stages=3 domains=(a,b) rate=500 bookings=1` | starts platform and targets |
//! | `preset` | `name=peak` | writes a preset and prints its version |
//! | `nodes` | `count=4` | starts nodes `n1`, ... and waits until they are ready |
//! | `send` | `as=r1 node=n1 kind=chat`, `text` or `booking`, `org`, `key`, `max`, `whole`, `like=r0`, `after=r0`, `count=3` | sends the input as a request; with `count` above 1, sends several with numbered names, keys and contents |
//! | `read` | `as=r1` | waits for the end of one or several answers and prints a summary |
//! | `wait` | `until=CONDITION ...` | polls until the condition holds |
//! | `signal` | `node=n1 with=kill`, `stop`, `cont` or `term` | sends a signal to a node |
//! | `exit` | `node=n1` | waits until a node exits and prints its exit code |
//! | `fault` | `platform`, `target=NAME` or `answer=r1 stage=1` | gives the JSON command in the input to a stand-in |
//! | `leave` | `target=NAME` or `answer=r1 stage=1` | lists a target as leaving and makes it refuse new work; `listed-only` only lists it |
//! | `crash-on` | `mark=WORD` | makes all engines crash on prompts with the word `crash:WORD` |
//! | `crashed` | | counts the engines that have crashed |
//! | `mark`, `began` | `target=NAME` or `answer=r1 stage=1` | counts attempts that began on an engine since the mark |
//! | `lose-domain` | `name=a` | crashes all targets of a failure domain |
//! | `same` | `first=r1 second=r2` | compares two answers |
//! | `joined` | `first=r1 rest=r2 whole=r3` | compares the joined text of two answers with that of a third |
//! | `executions` | | checks that in each attempt the layers of a token ran once and without gaps from layer 0 |
//! | `runs` | | prints the bookings that ran, with the number of runs of each |
//! | `calls` | `prefix=magnolia.ledger` | prints the kinds of store calls that the platform counted under a key prefix |

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

/// Maximum wait for a condition.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// Runs one script in its own environment. `binary` is the path of the node program.
///
/// Scripts in one test process run one at a time, because each starts its own nodes and
/// engines.
///
/// # Panics
///
/// Panics if a directive's output differs from the expected output, or if the script does not
/// exist.
pub fn run(script: &Path, binary: &Path) {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    // A poisoned lock is harmless: a script that fails drops its environment, so nothing of
    // it reaches the next script.
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    assert!(script.is_file(), "no script {}", script.display());
    walk(script.to_str().expect("the path of a script is text"), |file| {
        let mut environment = Environment::new(binary);
        file.run(|case| directive::run(&mut environment, case));
    });
}
