//! Stand-ins of the systems around briargap, and tools that put it under load,
//! inject faults and measure it. This package is for development only.

mod child;
pub mod client;
pub mod fleet;
pub mod net;
pub mod policy;
pub mod slopes;
pub mod soak;
pub mod standin;
pub mod standins;
pub mod test_fleet;
