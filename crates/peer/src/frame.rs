//! Encoding of the mesh's frames in CBOR.

use crate::{Error, Result};
use decision::{Incarnation, InstanceId, Message};
use serde::{Deserialize, Serialize};

/// Version of the mesh's protocol, sent in the greeting.
pub const PROTOCOL: u32 = 1;
/// Maximum size of a frame in bytes.
pub const FRAME_MAX: usize = 1 << 20;

/// Greeting: the first frame of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the protocol.
    pub protocol: u32,
    /// ID of the sender.
    pub instance: InstanceId,
    /// Incarnation of the sender, which changes when it restarts.
    pub incarnation: Incarnation,
}

/// A decoded frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A message.
    Message(Box<Message>),
    /// A message of an unknown kind, which a newer version sent.
    Unknown,
}

/// Encodes a greeting or a message.
///
/// # Panics
///
/// Never panics in practice, because writing to memory cannot fail.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("CBOR to memory");
    bytes
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the bytes are not CBOR, or do not have the form of a message. A
/// message of an unknown kind is [`Frame::Unknown`] instead.
pub fn decode(peer: &str, bytes: &[u8]) -> Result<Frame> {
    if let Ok(message) = ciborium::from_reader::<Message, _>(bytes) {
        return Ok(Frame::Message(Box::new(message)));
    }
    let value = ciborium::from_reader::<ciborium::Value, _>(bytes);
    match value {
        Ok(value) if is_variant(&value) => Ok(Frame::Unknown),
        Ok(_) => Err(frame_error(peer, "not a message")),
        Err(e) => Err(frame_error(peer, &e.to_string())),
    }
}

/// Decodes a greeting.
pub(crate) fn decode_hello(peer: &str, bytes: &[u8]) -> Result<Hello> {
    ciborium::from_reader(bytes).map_err(|e| frame_error(peer, &e.to_string()))
}

/// Whether a value has the form of an enum variant: its name, or a map from its
/// name to its content.
fn is_variant(value: &ciborium::Value) -> bool {
    match value {
        ciborium::Value::Text(_) => true,
        ciborium::Value::Map(entries) => entries.len() == 1 && entries[0].0.is_text(),
        _ => false,
    }
}

pub(crate) fn frame_error(peer: &str, message: &str) -> Error {
    Error::Frame {
        peer: peer.to_owned(),
        message: message.to_owned(),
    }
}
