//! All that a script has started.

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

/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The environment of one script.
pub(crate) struct Environment {
    pub(crate) binary: PathBuf,
    // Callers and nodes end before what they talk to.
    pub(crate) callers: BTreeMap<SmolStr, Caller>,
    pub(crate) nodes: BTreeMap<SmolStr, Node>,
    pub(crate) deployment: Option<Deployment>,
    /// Version of the last preset put.
    pub(crate) preset_version: Version,
    /// Nodes started so far.
    pub(crate) started_nodes: usize,
    /// Attempts that had begun on each engine at the last `mark`.
    pub(crate) marked_attempts: BTreeMap<SmolStr, BTreeSet<(RequestId, AttemptId)>>,
}

impl Environment {
    /// Makes an empty environment; nodes will be run from `binary`.
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

    /// The deployment.
    pub(crate) fn deployment(&self) -> Result<&Deployment, Error> {
        self.deployment.as_ref().ok_or_else(|| Error::unknown("deployment", "(any)"))
    }

    /// The node of this name.
    pub(crate) fn node(&self, name: &str) -> Result<&Node, Error> {
        self.nodes.get(name).ok_or_else(|| Error::unknown("node", name))
    }

    /// The caller of this name.
    pub(crate) fn caller(&self, name: &str) -> Result<&Caller, Error> {
        self.callers.get(name).ok_or_else(|| Error::unknown("answer", name))
    }

    /// The target that ran last at a stage of an answer's newest attempt.
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
        // Nodes first: callers wait for their answers to end.
        self.nodes.clear();
        self.callers.clear();
    }
}

/// Polls until `check`, which returns what it saw when it does not.
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
