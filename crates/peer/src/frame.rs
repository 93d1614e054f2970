//! Frames of the mesh, in CBOR.

use crate::{Error, Result};
use decision::{Incarnation, InstanceId, Message};
use serde::{Deserialize, Serialize};

/// Version of the mesh's protocol, told in the greeting.
pub const PROTOCOL: u32 = 1;
/// Most bytes of one frame.
pub const FRAME_MAX: usize = 1 << 20;

/// First frame of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the protocol.
    pub protocol: u32,
    /// Sender.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A frame as it was understood.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A message.
    Message(Box<Message>),
    /// A message of a kind that only a newer version knows.
    Unknown,
}

/// Encodes a greeting or a message.
///
/// # Panics
///
/// Does not panic: writing to memory cannot fail.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("CBOR to memory");
    bytes
}

/// Decodes a message.
///
/// # Errors
///
/// Fails where the bytes are not CBOR. Well-formed CBOR that is no message
/// known here is [`Frame::Unknown`].
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

/// Whether a value has the form of an enum: a name, or a map with one name.
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
