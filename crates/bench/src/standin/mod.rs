//! Stand-ins: a platform, model engines and plain services, on loopback.
//!
//! Each takes its faults over HTTP (`POST /fault`) and tells what it saw
//! (`GET /records`), so that a test judges by the stand-in's own records.

mod engine;
mod service;

pub use engine::{Engine, EngineFaults, EngineOptions, EngineRecords, Run, word};
pub use service::{Service, ServiceFaults, ServiceRecords};
pub use standin::{PlatformFaults, PlatformStandIn};
