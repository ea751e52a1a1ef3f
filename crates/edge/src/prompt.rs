//! Long and short prompts on the same engines: settings of the process, and the prompt of a request
//! for the choice of its path and its place at the engines.

use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use path::{Level, Prompt, Ranks};
use site::Config;

use crate::dispatch::Dispatch;
use crate::node::Node;

/// How prompts of different lengths share engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Prompts {
    /// Paths are chosen for the mean prompt, and engines order prompts by rank and arrival.
    #[default]
    Mean,
    /// Paths are chosen for the length of the prompt and the latency goal that is left, and engines
    /// order the prompts of a rank by both.
    Mixed,
}

impl fmt::Display for Prompts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Prompts::Mean => "mean",
            Prompts::Mixed => "mixed",
        })
    }
}

impl FromStr for Prompts {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "mean" => Ok(Prompts::Mean),
            "mixed" => Ok(Prompts::Mixed),
            _ => Err("expected `mean` or `mixed`"),
        }
    }
}

/// The ranks in use by a configuration.
pub(crate) struct ConfigRanks {
    config: Rc<Config>,
    ranks: Rc<Ranks>,
}

impl Node {
    /// Returns the ranks in use by the configuration in force. They are collected once for each
    /// configuration.
    fn ranks(&self) -> Option<Rc<Ranks>> {
        let config = self.config()?;
        let mut known = self.ranks.borrow_mut();
        let current = known.take().filter(|known| Rc::ptr_eq(&known.config, &config));
        let current = current.unwrap_or_else(|| {
            let ranks = Rc::new(Ranks::new(config.stream_ranks()));
            ConfigRanks { config, ranks }
        });
        Some(known.insert(current).ranks.clone())
    }
}

impl Dispatch {
    /// Returns the prompt, unless paths are chosen for the mean prompt. The caller of a stream that
    /// has begun waits for its next event, so that nothing of the goal is left.
    pub(crate) fn prompt(&self) -> Option<Prompt> {
        if self.node.prompts == Prompts::Mean {
            return None;
        }
        let time = self.call.deadline.saturating_sub(self.call.received_at);
        let goal = self.call.latency_goal.unwrap_or(time);
        let waited = match self.has_begun {
            true => goal,
            false => self.node.now().saturating_sub(self.call.received_at),
        };
        Some(
            Prompt::new(&self.model, self.call.prompt_tokens, goal)
                .after(waited, goal)
                .with_seed(self.seed),
        )
    }

    /// Chooses the level at which engines prefill the prompt. Returns the tokens to prefill.
    pub(crate) fn prepare_prompt(&self) -> f64 {
        let Some(prompt) = self.prompt() else { return self.call.prompt_tokens };
        let ranks = self.node.ranks();
        let level = ranks.map(|ranks| ranks.level(self.call.priority, &self.model, prompt));
        if let Some(level) = level {
            count(level);
        }
        self.call.level.set(level);
        prompt.tokens()
    }
}

fn count(level: Level) {
    metrics::counter!("magnolia_prompts", "level" => level.to_string()).increment(1);
}
