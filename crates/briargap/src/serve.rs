//! The daemon's commands.

use briargap::{Instance, Platform, Settings};
use std::path::Path;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Threads of the async runtime.
const WORKERS: usize = 2;
/// Exit code of bad settings.
const BAD_SETTINGS: u8 = 2;
/// Exit code of a shutdown that cut off requests.
const CUT_OFF: u8 = 5;

/// Checks settings and prints every fault.
pub(crate) fn check(path: &Path) -> ExitCode {
    match Settings::read(path) {
        Ok(_) => {
            println!("{}: no fault", path.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

/// Runs an instance until it is stopped.
pub(crate) fn serve(path: &Path) -> ExitCode {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if let Err(e) = briargap::logging::start(&settings.log, &settings.instance) {
        eprintln!("{e}");
        return ExitCode::FAILURE;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(e) => {
            eprintln!("start of the runtime: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> ExitCode {
    let platform = Platform::http(&settings.platform.address);
    let instance = match Instance::start(settings, platform).await {
        Ok(instance) => instance,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        eprintln!("signals cannot be handled");
        return ExitCode::FAILURE;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = instance.stop_asked() => {}
    }
    let is_whole = tokio::select! {
        is_whole = instance.stop() => is_whole,
        _ = terminate.recv() => false,
        _ = interrupt.recv() => false,
    };
    if is_whole {
        return ExitCode::SUCCESS;
    }
    ExitCode::from(CUT_OFF)
}
