//! Stand-ins of the systems that briargap serves, and the tools that load and
//! measure it. This package is for development only.

mod child;
pub mod client;
pub mod fleet;
pub mod kit;
pub mod net;
pub mod policy;
pub mod slopes;
pub mod soak;
pub mod standin;
pub mod standins;
