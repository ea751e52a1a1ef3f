//! The OpenAI-style calls: reading what callers send, writing what they get.

use std::fmt;

use serde_json::{Map, Value, json};
use smol_str::SmolStr;

use fleet::{OrganisationName, RequestId, Shape};

/// Bytes of prompt that count as one token in estimates.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of an answer when the caller sets no bound.
pub const DEFAULT_MAX_TOKENS: u32 = 256;
/// Most tokens of an answer that a caller may ask for.
pub const MAX_TOKENS: u32 = 32_768;

/// Form of a model call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Form {
    /// Path of the call, at callers' ports and at engines.
    pub fn path(self) -> &'static str {
        match self {
            Form::Chat => "/v1/chat/completions",
            Form::Text => "/v1/completions",
        }
    }

    fn prompt_member(self) -> &'static str {
        match self {
            Form::Chat => "messages",
            Form::Text => "prompt",
        }
    }
}

/// A model call as the caller wrote it.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Its form.
    pub form: Form,
    /// The model.
    pub model: SmolStr,
    /// Size and form for decisions.
    pub shape: Shape,
    /// Text of the prompt, for prefix hashes.
    pub prompt: String,
    /// All members of the body, as they go to the engine.
    pub members: Map<String, Value>,
}

/// What is wrong with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The body is no JSON object.
    Json(String),
    /// A member is absent.
    Missing(&'static str),
    /// A member has a value that is not allowed.
    Member {
        /// The member.
        name: &'static str,
        /// What is allowed.
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

/// Reads the body of a model call.
///
/// # Errors
///
/// Names the member that is missing or not allowed.
pub fn parse(form: Form, body: &[u8]) -> Result<Completion, Malformed> {
    let members: Map<String, Value> =
        serde_json::from_slice(body).map_err(|error| Malformed::Json(error.to_string()))?;
    let model = match members.get("model") {
        Some(Value::String(model)) if !model.is_empty() => SmolStr::new(model),
        Some(_) => return Err(Malformed::Member { name: "model", allowed: "a name" }),
        None => return Err(Malformed::Missing("model")),
    };
    let prompt = prompt(form, &members)?;
    let stream = match members.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(Malformed::Member { name: "stream", allowed: "true or false" }),
    };
    let max_tokens = max_tokens(&members)?;
    let prompt_tokens = u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    let shape = Shape { prompt_tokens, max_tokens, stream };
    Ok(Completion { form, model, shape, prompt, members })
}

fn prompt(form: Form, members: &Map<String, Value>) -> Result<String, Malformed> {
    let name = form.prompt_member();
    let value = members.get(name).ok_or(Malformed::Missing(name))?;
    match (form, value) {
        (Form::Text, Value::String(text)) => Ok(text.clone()),
        (Form::Text, _) => Err(Malformed::Member { name, allowed: "a text" }),
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

fn max_tokens(members: &Map<String, Value>) -> Result<u32, Malformed> {
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

/// What answers to one model call carry beside their text.
#[derive(Clone, Debug)]
pub struct Header {
    /// Form of the call.
    pub form: Form,
    /// Identifier of the answer.
    pub answer: u128,
    /// The model.
    pub model: SmolStr,
    /// When the answer began, in seconds since 1970.
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

    fn frame(&self, whole: bool, choice: Value) -> Value {
        json!({
            "id": self.id(), "object": self.object(whole), "created": self.created,
            "model": self.model, "choices": [choice],
        })
    }

    /// One token as a chunk.
    pub fn token_chunk(&self, text: &str) -> Value {
        let choice = match self.form {
            Form::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            Form::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        self.frame(false, choice)
    }

    /// The closing chunk.
    pub fn final_chunk(&self, finish: &str) -> Value {
        let choice = match self.form {
            Form::Chat => json!({"index": 0, "delta": {}, "finish_reason": finish}),
            Form::Text => json!({"index": 0, "text": "", "finish_reason": finish}),
        };
        self.frame(false, choice)
    }

    /// The whole answer.
    pub fn completion(&self, text: &str, finish: &str, shape: Shape, tokens: usize) -> Value {
        let choice = match self.form {
            Form::Chat => json!({
                "index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
            Form::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let mut whole = self.frame(true, choice);
        let total = shape.prompt_tokens as usize + tokens;
        whole["usage"] = json!({
            "prompt_tokens": shape.prompt_tokens, "completion_tokens": tokens,
            "total_tokens": total,
        });
        whole
    }
}

/// The body of an error.
pub fn error(kind: &str, message: &str, request: Option<RequestId>) -> Value {
    let request = request.map(|request| format!("{request:032x}"));
    json!({"error": {"type": kind, "message": message, "request": request}})
}

/// Organisations and the keys of their callers, from the preset in force.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    names: std::collections::HashMap<SmolStr, OrganisationName>,
    keys: std::collections::HashMap<SmolStr, OrganisationName>,
}

impl Directory {
    /// Reads the organisations of a preset.
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

    /// Finds an organisation by name.
    pub fn by_name(&self, name: &str) -> Option<OrganisationName> {
        self.names.get(name).cloned()
    }

    /// Finds an organisation by a caller's key.
    pub fn by_key(&self, key: &str) -> Option<OrganisationName> {
        self.keys.get(key).cloned()
    }
}
