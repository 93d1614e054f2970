//! The platform as a peer: its table, object store, instance list and weight store.
//!
//! Each service is a trait, and [`HttpPlatform`] is the adapter that speaks
//! the platform's HTTP interface. Calls block; the daemon makes them on
//! threads of their own.

mod http;

pub use http::HttpPlatform;

use decision::Listing;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The call did not reach the platform, or the platform refused it.
    #[snafu(display("{step}: platform refused: {message}"))]
    Refused {
        /// What was called.
        step: &'static str,
        /// What went wrong.
        message: String,
    },
    /// No answer came: a write may have taken effect.
    #[snafu(display("{step}: platform gave no answer: {message}"))]
    Lost {
        /// What was called.
        step: &'static str,
        /// What went wrong.
        message: String,
    },
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Version; 1 at the first write and one higher with each.
    pub version: u64,
    /// Value, as text.
    pub value: String,
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key.
    pub key: SmolStr,
    /// Version that the row must have; 0 where there must be none.
    pub expect: u64,
    /// New value.
    pub value: String,
}

/// What became of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Written {
    /// It took effect; the row's new version.
    Ok(u64),
    /// The row had another version; the row as it is.
    Conflict(Option<Row>),
}

/// The transactional table service.
pub trait Table: Send + Sync {
    /// Reads rows, in the order of the keys.
    fn read(&self, keys: &[SmolStr]) -> Result<Vec<Option<Row>>>;

    /// Makes conditional writes; each stands or falls by itself.
    fn write(&self, writes: &[Write]) -> Result<Vec<Written>>;
}

/// The lagging list of instances.
pub trait Directory: Send + Sync {
    /// Instances that are live or leaving.
    fn list(&self) -> Result<Vec<Listing>>;

    /// Enters this instance, or says that it is leaving.
    fn announce(&self, listing: &Listing) -> Result<()>;
}

/// The object store.
pub trait Objects: Send + Sync {
    /// Reads an object.
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>>;

    /// Writes an object.
    fn put(&self, key: &str, value: &[u8]) -> Result<()>;
}
