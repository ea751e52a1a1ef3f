//! Processes, stand-ins and callers that a script has started.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{AttemptId, RequestId, Version};
use smol_str::{SmolStr, format_smolstr};
use standin::deployment::Deployment;

use super::MAX_WAIT;
use super::caller::Caller;
use super::node::Node;
use crate::Error;

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Environment of one script or measurement.
pub(crate) struct Environment {
    pub(crate) binary: PathBuf,
    // Declared before the deployment, so that callers and nodes are dropped before the
    // stand-ins that they connect to.
    pub(crate) callers: BTreeMap<SmolStr, Caller>,
    pub(crate) nodes: BTreeMap<SmolStr, Node>,
    pub(crate) deployment: Option<Deployment>,
    /// Version of the last preset written by the script.
    pub(crate) preset_version: Version,
    /// Number of nodes started so far.
    pub(crate) started_nodes: usize,
    /// Attempts that had begun on each engine at the last `mark`.
    pub(crate) marked_attempts: BTreeMap<SmolStr, BTreeSet<(RequestId, AttemptId)>>,
}

impl Environment {
    /// Returns an empty environment, which will run nodes from `binary`.
    pub(crate) fn new(binary: &Path) -> Self {
        Self {
            binary: binary.to_owned(),
            callers: BTreeMap::new(),
            nodes: BTreeMap::new(),
            deployment: None,
            preset_version: 0,
            started_nodes: 0,
            marked_attempts: BTreeMap::new(),
        }
    }

    /// Returns the deployment.
    ///
    /// # Errors
    ///
    /// Fails if none has been started.
    pub(crate) fn deployment(&self) -> Result<&Deployment, Error> {
        self.deployment.as_ref().ok_or_else(|| Error::unknown("deployment", "(any)"))
    }

    /// Returns the node of this name.
    pub(crate) fn node(&self, name: &str) -> Result<&Node, Error> {
        self.nodes.get(name).ok_or_else(|| Error::unknown("node", name))
    }

    /// Returns the caller of this name.
    pub(crate) fn caller(&self, name: &str) -> Result<&Caller, Error> {
        self.callers.get(name).ok_or_else(|| Error::unknown("answer", name))
    }

    /// Returns the engine that ran a stage of an answer's newest attempt. Stages are counted
    /// from 0, in order of layers, over the engines that have executed for the attempt.
    pub(crate) fn target_at_stage(&self, answer: &str, stage: usize) -> Result<SmolStr, Error> {
        let request = self.caller(answer)?.answer.lock().request;
        let request = request.ok_or_else(|| Error::unknown("request id of the answer", answer))?;
        let mut stages = Vec::new();
        for engine in &self.deployment()?.engines {
            let executions = engine.executions().into_iter();
            if let Some(last) = executions.rev().find(|execution| execution.request == request) {
                stages.push((last.attempt, last.layers, engine.vm().name.clone()));
            }
        }
        let newest = stages.iter().map(|(attempt, ..)| *attempt).max();
        stages.retain(|(attempt, ..)| Some(*attempt) == newest);
        stages.sort();
        let found = stages.get(stage).map(|(.., name)| name.clone());
        found.ok_or_else(|| Error::unknown("stage", &format_smolstr!("{stage}")))
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        // Nodes are stopped first, because dropping a caller waits for its answer to end.
        self.nodes.clear();
        self.callers.clear();
    }
}

/// Polls until `check` succeeds. `check` returns the state that it saw if the condition does
/// not hold.
///
/// # Errors
///
/// Fails with [`Error::Timeout`] after [`MAX_WAIT`].
pub(crate) fn poll(
    condition: &str,
    mut check: impl FnMut() -> Result<(), SmolStr>,
) -> Result<(), Error> {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        let Err(seen) = check() else {
            return Ok(());
        };
        if Instant::now() >= deadline {
            return Err(Error::Timeout { condition: condition.into(), seen });
        }
        thread::sleep(POLL_INTERVAL);
    }
}
