//! Requests as the decision services see them.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{OrganisationName, RequestId};

/// A request, as far as decisions depend on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Identifier, the same in all attempts.
    pub id: RequestId,
    /// Organisation that pays for the request.
    pub organisation: OrganisationName,
    /// Name of the model or plain service.
    pub service: SmolStr,
    /// Size and form of the request.
    pub shape: Shape,
    /// Keyed hash of organisation and body, the same when a caller sends the request again.
    pub fingerprint: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Size and form of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Shape {
    /// Tokens of the prompt, estimated from its length.
    pub prompt_tokens: u32,
    /// Maximum tokens of the answer.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}
