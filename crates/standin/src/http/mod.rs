//! HTTP/1.1 for the stand-ins: a server that can cut its connections at any
//! time, and a client with persistent connections.

mod body;
mod call;
mod client;
mod gate;
mod reply;
mod server;

pub(crate) use body::{Body, Stream};
pub(crate) use call::Call;
pub(crate) use client::{Client, ClientError};
pub(crate) use gate::Gate;
pub(crate) use reply::{Cut, Reply};
pub(crate) use server::{Handler, ReplyFuture, Server, Stop};
