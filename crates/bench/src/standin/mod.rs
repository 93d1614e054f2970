//! Stand-ins: a platform, model engines and plain services, on loopback.
//!
//! Each has its faults set over HTTP (`POST /fault`) and returns what it received
//! (`GET /records`), so that a test can check the records of the targets.

mod engine;
mod service;

pub use engine::{Engine, EngineFaults, EngineOptions, EngineRecords, Run, word};
pub use service::{Service, ServiceFaults, ServiceRecords};
pub use standin::{PlatformFaults, PlatformStandIn};
