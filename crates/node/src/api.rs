//! OpenAI-compatible calls: parses the requests of callers and builds their answers.

use std::fmt;

use serde_json::{Map, Value, json};
use smol_str::SmolStr;

use fleet::{OrganisationName, RequestId, Shape};

/// Bytes of prompt per token, for estimates of the prompt's length.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of tokens of an answer if the call has no `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u32 = 256;
/// Maximum value of `max_tokens`.
pub const MAX_TOKENS: u32 = 32_768;

/// Kind of a model call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Form {
    /// Returns the URL path of the call, which callers and engines share.
    pub fn path(self) -> &'static str {
        match self {
            Form::Chat => "/v1/chat/completions",
            Form::Text => "/v1/completions",
        }
    }

    /// Returns the name of the body member that holds the prompt.
    fn prompt_member(self) -> &'static str {
        match self {
            Form::Chat => "messages",
            Form::Text => "prompt",
        }
    }
}

/// A parsed model call.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Kind of the call.
    pub form: Form,
    /// Name of the model.
    pub model: SmolStr,
    /// Estimated size and streaming mode, for the decision services.
    pub shape: Shape,
    /// Text of the prompt, for the prefix hashes.
    pub prompt: String,
    /// All members of the body, which are sent to the engine.
    pub members: Map<String, Value>,
}

/// Error in the body of a model call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The body is not a JSON object.
    Json(String),
    /// A member is absent.
    Missing(&'static str),
    /// A member has a value that is not allowed.
    Member {
        /// Name of the member.
        name: &'static str,
        /// Description of the values that are allowed.
        allowed: &'static str,
    },
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Json(error) => write!(f, "the body is not a JSON object: {error}"),
            Malformed::Missing(name) => write!(f, "`{name}` is missing"),
            Malformed::Member { name, allowed } => write!(f, "`{name}` must be {allowed}"),
        }
    }
}

impl std::error::Error for Malformed {}

/// Parses the body of a model call.
///
/// # Errors
///
/// Returns an error if the body is not a JSON object, or if a member is missing or has a value
/// that is not allowed.
pub fn parse(form: Form, body: &[u8]) -> Result<Completion, Malformed> {
    let members: Map<String, Value> =
        serde_json::from_slice(body).map_err(|error| Malformed::Json(error.to_string()))?;
    let model = match members.get("model") {
        Some(Value::String(model)) if !model.is_empty() => SmolStr::new(model),
        Some(_) => return Err(Malformed::Member { name: "model", allowed: "a name" }),
        None => return Err(Malformed::Missing("model")),
    };
    let prompt = parse_prompt(form, &members)?;
    let stream = match members.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(Malformed::Member { name: "stream", allowed: "true or false" }),
    };
    let max_tokens = parse_max_tokens(&members)?;
    let prompt_tokens = u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    let shape = Shape { prompt_tokens, max_tokens, stream };
    Ok(Completion { form, model, shape, prompt, members })
}

fn parse_prompt(form: Form, members: &Map<String, Value>) -> Result<String, Malformed> {
    let name = form.prompt_member();
    let value = members.get(name).ok_or(Malformed::Missing(name))?;
    match (form, value) {
        (Form::Text, Value::String(text)) => Ok(text.clone()),
        (Form::Text, _) => Err(Malformed::Member { name, allowed: "a string" }),
        (Form::Chat, Value::Array(messages)) if !messages.is_empty() => {
            let mut prompt = String::new();
            for message in messages {
                let (Some(role), Some(content)) =
                    (message.get("role").and_then(Value::as_str), message.get("content"))
                else {
                    let allowed = "a list of messages with role and content";
                    return Err(Malformed::Member { name, allowed });
                };
                prompt.push_str(role);
                prompt.push('\n');
                match content {
                    Value::String(text) => prompt.push_str(text),
                    other => prompt.push_str(&other.to_string()),
                }
                prompt.push('\n');
            }
            Ok(prompt)
        }
        (Form::Chat, _) => {
            Err(Malformed::Member { name, allowed: "a list of messages with role and content" })
        }
    }
}

fn parse_max_tokens(members: &Map<String, Value>) -> Result<u32, Malformed> {
    let allowed = "a whole number from 1 to 32768";
    match members.get("max_tokens") {
        None | Some(Value::Null) => Ok(DEFAULT_MAX_TOKENS),
        Some(value) => value
            .as_u64()
            .and_then(|count| u32::try_from(count).ok())
            .filter(|count| (1..=MAX_TOKENS).contains(count))
            .ok_or(Malformed::Member { name: "max_tokens", allowed }),
    }
}

/// Metadata that each chunk of the answer to a model call carries.
#[derive(Clone, Debug)]
pub struct Header {
    /// Kind of the call.
    pub form: Form,
    /// Identifier of the answer, written into its `id`.
    pub answer: u128,
    /// Name of the model.
    pub model: SmolStr,
    /// Start of the answer, in seconds since 1970.
    pub created: u64,
}

impl Header {
    fn object(&self, whole: bool) -> &'static str {
        match (self.form, whole) {
            (Form::Chat, false) => "chat.completion.chunk",
            (Form::Chat, true) => "chat.completion",
            (Form::Text, _) => "text_completion",
        }
    }

    fn id(&self) -> String {
        match self.form {
            Form::Chat => format!("chatcmpl-{:032x}", self.answer),
            Form::Text => format!("cmpl-{:032x}", self.answer),
        }
    }

    /// Returns the object of a chunk (`whole` is false) or of a complete answer.
    fn envelope(&self, whole: bool, choice: Value) -> Value {
        json!({
            "id": self.id(), "object": self.object(whole), "created": self.created,
            "model": self.model, "choices": [choice],
        })
    }

    /// Returns a chunk with the text of one token.
    pub fn token_chunk(&self, text: &str) -> Value {
        let choice = match self.form {
            Form::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            Form::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        self.envelope(false, choice)
    }

    /// Returns the final chunk, which has a finish reason and no text.
    pub fn final_chunk(&self, finish_reason: &str) -> Value {
        let choice = match self.form {
            Form::Chat => json!({"index": 0, "delta": {}, "finish_reason": finish_reason}),
            Form::Text => json!({"index": 0, "text": "", "finish_reason": finish_reason}),
        };
        self.envelope(false, choice)
    }

    /// Returns the complete answer to a call without streaming. `tokens` is the number of tokens
    /// of `text`.
    pub fn completion(
        &self,
        text: &str,
        finish_reason: &str,
        shape: Shape,
        tokens: usize,
    ) -> Value {
        let choice = match self.form {
            Form::Chat => json!({
                "index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": finish_reason,
            }),
            Form::Text => json!({"index": 0, "text": text, "finish_reason": finish_reason}),
        };
        let mut whole = self.envelope(true, choice);
        let total = shape.prompt_tokens as usize + tokens;
        whole["usage"] = json!({
            "prompt_tokens": shape.prompt_tokens, "completion_tokens": tokens,
            "total_tokens": total,
        });
        whole
    }
}

/// Returns the JSON body of an error answer.
pub fn error(kind: &str, message: &str, request: Option<RequestId>) -> Value {
    let request = request.map(|request| format!("{request:032x}"));
    json!({"error": {"type": kind, "message": message, "request": request}})
}

/// Organisations and the API keys of their callers, from the preset in force.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    names: std::collections::HashMap<SmolStr, OrganisationName>,
    keys: std::collections::HashMap<SmolStr, OrganisationName>,
}

impl Directory {
    /// Indexes the organisations of a preset. The name of an organisation without keys is its
    /// key.
    pub fn new(preset: &preset::Preset) -> Self {
        let mut directory = Self::default();
        for organisation in &preset.organisations {
            let name = &organisation.name;
            directory.names.insert(name.clone(), name.clone());
            if organisation.keys.is_empty() {
                directory.keys.insert(name.clone(), name.clone());
            }
            for key in &organisation.keys {
                directory.keys.insert(key.clone(), name.clone());
            }
        }
        directory
    }

    /// Returns the organisation with a name.
    pub fn by_name(&self, name: &str) -> Option<OrganisationName> {
        self.names.get(name).cloned()
    }

    /// Returns the organisation that a caller's API key belongs to.
    pub fn by_key(&self, key: &str) -> Option<OrganisationName> {
        self.keys.get(key).cloned()
    }
}
