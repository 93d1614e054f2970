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

/// Key that only settings for the operators' platform have at their top.
const PLATFORM_KEY: &str = "listen";

/// Settings of either kind.
enum Either {
    Own(Box<Settings>),
    Platform(Box<gateway::Settings>),
}

fn read(path: &Path) -> Result<Either, Vec<decision::Fault>> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let value = serde_json::from_str::<serde_json::Value>(&text);
    if value.is_ok_and(|v| v.get(PLATFORM_KEY).is_some()) {
        return gateway::Settings::parse(&text).map(|s| Either::Platform(Box::new(s)));
    }
    Settings::read(path).map(|s| Either::Own(Box::new(s)))
}

/// Checks settings and prints every fault.
pub(crate) fn check(path: &Path) -> ExitCode {
    match read(path) {
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
    let settings = match read(path) {
        Ok(Either::Own(settings)) => *settings,
        Ok(Either::Platform(settings)) => return serve_platform(path, *settings),
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if let Err(e) = briargap::logging::start_stderr(&settings.log, &settings.instance) {
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

/// Runs an instance on the operators' platform, on this thread alone.
fn serve_platform(path: &Path, settings: gateway::Settings) -> ExitCode {
    if let Err(e) = briargap::logging::start_stdout(&settings.log_level, &settings.instance) {
        eprintln!("{e}");
        return ExitCode::FAILURE;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("start of the runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let path = path.to_owned();
    let reread = move || match gateway::Settings::read(&path) {
        Ok(settings) => Some(settings),
        Err(faults) => {
            for fault in faults {
                log::error!("settings: {fault}");
            }
            None
        }
    };
    let local = tokio::task::LocalSet::new();
    let running = async {
        let instance = gateway::Instance::start(settings).await?;
        instance.run_until_signal(reread).await
    };
    let code = match local.block_on(&runtime, running) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    };
    briargap::logging::flush();
    code
}

async fn run(settings: Settings) -> ExitCode {
    // Checked settings name the store's address.
    let Some(store) = settings.platform.store_addr() else {
        eprintln!("platform.address: must name an IP address and a port");
        return ExitCode::from(BAD_SETTINGS);
    };
    let platform = Platform::with_store(store);
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
        () = instance.stop_requested() => {}
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
