//! Transfer of table copies between instances, in pages of bounded size.
//!
//! Nothing here does I/O: [`PageSender`] decides which pages an instance sends, and
//! [`Puller`] what it asks for, whom it asks and when it gives a sender up. The load
//! that they answer is a table of megabytes that changes a few times a second, for
//! hundreds of receivers with slow links.

pub(crate) mod delta;
mod parcel;
mod puller;
mod sender;

pub(crate) use parcel::digest;
pub use parcel::{Contents, Parcel, Unusable};
pub use puller::{Ask, Puller, Received};
pub use sender::PageSender;

use crate::id::Era;
use crate::table_copy::Position;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

/// Bytes of all rows of a table above which it is not sent, and not kept apart from
/// what a response of the store may hold.
pub const MAX_TABLE_BYTES: usize = 10 << 20;
/// Bytes of a parcel: a table whose rows don't get smaller by being packed.
const MAX_PARCEL_BYTES: usize = MAX_TABLE_BYTES + (MAX_TABLE_BYTES >> 6);
/// Bytes of a page: 13 ms of a link of 10 Mbit/s.
const PAGE_BYTES: usize = 16 << 10;
/// Bytes that one request asks for.
const WINDOW_BYTES: usize = 8 * PAGE_BYTES;
/// Bytes of rows up to which an update is sent as one message.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// Request for the next pages of what the sender lacks of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRequest {
    /// Index of the table in the fixed order of tables.
    #[serde(rename = "t")]
    pub table: u8,
    /// Era of the version in `known`.
    #[serde(rename = "e", default)]
    pub era: Era,
    /// Version of the copy; `None` where all rows are needed.
    #[serde(rename = "k", default)]
    pub known: Option<u64>,
    /// Digest of the parcel whose first bytes are there; 0 where there are none.
    #[serde(rename = "d", default)]
    pub digest: u64,
    /// Number of those bytes.
    #[serde(rename = "o", default)]
    pub offset: u64,
}

/// Part of a [`Parcel`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePage {
    /// Index of the table in the fixed order of tables.
    #[serde(rename = "t")]
    pub table: u8,
    /// Era of the store.
    #[serde(rename = "e")]
    pub era: Era,
    /// Version since which the parcel has the changes; `None` where it has all rows.
    #[serde(rename = "s", default)]
    pub since: Option<u64>,
    /// Version of the table with the parcel applied.
    #[serde(rename = "v")]
    pub version: u64,
    /// Digest of the parcel.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Bytes of the parcel.
    #[serde(rename = "n")]
    pub total: u64,
    /// Position of the page's first byte.
    #[serde(rename = "o")]
    pub offset: u64,
    /// Bytes.
    #[serde(rename = "b")]
    #[serde_as(as = "serde_with::Bytes")]
    pub bytes: Vec<u8>,
}

impl TablePage {
    /// Returns the position of the table with the parcel applied.
    pub fn position(&self) -> Position {
        Position {
            era: self.era,
            version: self.version,
        }
    }
}
