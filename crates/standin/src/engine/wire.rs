//! JSON types of the requests and responses of engines.

use fleet::{AttemptId, Depth, Layers, Plan, RequestId, Stage, TokenIndex, Trail};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use super::decode::Finish;

/// Prefix of the words in a prompt that can be set as crash markers.
pub const CRASH_MARKER_PREFIX: &str = "crash:";
/// Maximum number of tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 64;

/// Serialises request ids as 32 hexadecimal digits.
pub(crate) mod hex {
    use fleet::RequestId;
    use serde::{Deserialize, Deserializer, Serializer};
    use smol_str::SmolStr;

    pub(crate) fn serialize<S: Serializer>(
        request: &RequestId,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{request:032x}"))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<RequestId, D::Error> {
        let text = SmolStr::deserialize(deserializer)?;
        RequestId::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
    }
}

/// One message of a chat completion.
#[derive(Clone, Debug, Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: Value,
}

/// Body of `POST /v1/completions` and `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Completion {
    #[serde(default)]
    pub(super) model: SmolStr,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    max_tokens: Option<u32>,
    pub(super) plan: PlanMember,
}

/// The `plan` member of a completion request.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct PlanMember {
    #[serde(with = "hex")]
    pub(super) request: RequestId,
    pub(super) attempt: AttemptId,
    pub(super) seed: u64,
    #[serde(default)]
    pub(super) priority: u8,
    pub(super) depth: Depth,
    pub(super) stages: Plan,
    #[serde(default)]
    pub(super) resume: Resume,
}

/// Where an interrupted stream resumes: the next token and the text of all tokens before it.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Resume {
    pub(super) index: TokenIndex,
    #[serde(default)]
    pub(super) text: Vec<SmolStr>,
}

impl Completion {
    /// Returns the prompt as one text, in the form of docs/PROTOCOLS.md.
    pub(super) fn prompt_text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push('\n');
            push_content(&mut text, &message.content);
            text.push('\n');
        }
        push_content(&mut text, &self.prompt);
        text
    }

    /// Returns the maximum number of tokens of the answer.
    pub(super) fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

fn push_content(text: &mut String, content: &Value) {
    match content {
        Value::Null => {}
        Value::String(content) => text.push_str(content),
        other => text.push_str(&other.to_string()),
    }
}

/// Returns the crash markers in a prompt.
pub(super) fn crash_markers(prompt: &str) -> Vec<SmolStr> {
    prompt
        .split_whitespace()
        .filter(|word| word.starts_with(CRASH_MARKER_PREFIX))
        .map(Into::into)
        .collect()
}

/// Event of one token in a response stream.
#[derive(Clone, Debug, Serialize)]
pub(super) struct TokenEvent {
    #[serde(with = "hex")]
    pub(super) request: RequestId,
    pub(super) attempt: AttemptId,
    pub(super) index: TokenIndex,
    pub(super) text: SmolStr,
    pub(super) trail: Trail,
}

/// Last event of a completed response stream.
#[derive(Clone, Debug, Serialize)]
pub(super) struct FinishEvent {
    #[serde(with = "hex")]
    pub(super) request: RequestId,
    pub(super) attempt: AttemptId,
    pub(super) finish: Finish,
    pub(super) tokens: TokenIndex,
}

/// Last event of a response stream that ended because a stage failed or the attempt was ended.
#[derive(Clone, Debug, Serialize)]
pub(super) struct FailureEvent {
    #[serde(with = "hex")]
    pub(super) request: RequestId,
    pub(super) attempt: AttemptId,
    pub(super) failed: SmolStr,
    pub(super) reason: SmolStr,
}

/// Identifies one attempt of a request; body of `POST /cancel` and `POST /cache/export`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct AttemptKey {
    #[serde(with = "hex")]
    pub(super) request: RequestId,
    pub(super) attempt: AttemptId,
}

impl AttemptKey {
    /// Returns the previous attempt, or `None` for the first one.
    pub(super) fn previous(self) -> Option<Self> {
        (self.attempt > 1).then(|| Self { attempt: self.attempt - 1, ..self })
    }
}

/// Data that a stage needs to open a session, sent with the first token of an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Open {
    pub(super) seed: u64,
    /// Stages of the plan, beginning with the receiver.
    pub(super) stages: Vec<Stage>,
    pub(super) prefixes: Vec<u64>,
    pub(super) prompt_tokens: u32,
    pub(super) from: TokenIndex,
    pub(super) marks: Vec<SmolStr>,
}

/// Activation of one token, sent from a stage to the next.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Activation {
    #[serde(flatten)]
    pub(super) key: AttemptKey,
    pub(super) index: TokenIndex,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) open: Option<Box<Open>>,
    pub(super) trail: Trail,
}

/// Body of `POST /stage`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Batch {
    pub(super) tokens: Vec<Activation>,
    pub(super) ends: Vec<AttemptKey>,
}

/// Result of one token in the later stages.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum TokenResult {
    /// The token passed the last layer.
    Passed {
        /// Text of the token.
        text: SmolStr,
        /// Stages that executed the token.
        trail: Trail,
    },
    /// A stage failed to execute the token.
    Failed {
        /// Target that failed.
        target: SmolStr,
        /// Reason of the failure.
        reason: SmolStr,
    },
}

/// Response of `POST /stage`, in the order of the tokens.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct BatchResult {
    #[serde(rename = "passages")]
    pub(super) results: Vec<TokenResult>,
}

/// Response of `POST /cache/export` and body of `POST /cache/import`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct CacheImage {
    #[serde(with = "hex")]
    pub(super) request: RequestId,
    pub(super) model: SmolStr,
    pub(super) layers: Layers,
    pub(super) index: TokenIndex,
    pub(super) prefixes: Vec<u64>,
}
