//! Commands that run an instance or validate its settings.

use briargap::{Instance, Platform, Settings};
use std::path::Path;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Worker threads of the async runtime.
const WORKER_THREADS: usize = 2;
/// Exit code for invalid settings.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a shutdown that cut off requests.
const REQUESTS_CUT: u8 = 5;

/// Top-level field that only the settings of a [`gateway::Instance`] have.
const GATEWAY_FIELD: &str = "listen";

/// Settings of one of the two kinds of instance.
enum AnySettings {
    /// Of an instance that serves callers under service documents.
    Documents(Box<Settings>),
    /// Of an instance on the operators' platform.
    Gateway(Box<gateway::Settings>),
}

/// Reads settings and tells their kind by [`GATEWAY_FIELD`].
fn read_settings(path: &Path) -> Result<AnySettings, Vec<decision::ValidationError>> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let value = serde_json::from_str::<serde_json::Value>(&text);
    if value.is_ok_and(|v| v.get(GATEWAY_FIELD).is_some()) {
        return gateway::Settings::parse(&text).map(|s| AnySettings::Gateway(Box::new(s)));
    }
    Settings::read(path).map(|s| AnySettings::Documents(Box::new(s)))
}

/// Validates settings and prints every fault.
pub(crate) fn check(path: &Path) -> ExitCode {
    match read_settings(path) {
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

/// Runs an instance of either kind until it is stopped.
pub(crate) fn serve(path: &Path) -> ExitCode {
    let settings = match read_settings(path) {
        Ok(AnySettings::Documents(settings)) => *settings,
        Ok(AnySettings::Gateway(settings)) => return serve_gateway(path, *settings),
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
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(e) => {
            eprintln!("failed to start the async runtime: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs an instance on the operators' platform, single-threaded.
fn serve_gateway(path: &Path, settings: gateway::Settings) -> ExitCode {
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
            eprintln!("failed to start the async runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let path = path.to_owned();
    let reload = move || match gateway::Settings::read(&path) {
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
        instance.run_until_signal(reload).await
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

/// Runs an instance under service documents until a signal or an operator stops it.
///
/// A second signal ends the graceful shutdown at once.
async fn run(settings: Settings) -> ExitCode {
    // Never `None` here, since the validation of the settings refuses such an address.
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
        eprintln!("failed to install signal handlers");
        return ExitCode::FAILURE;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = instance.stop_requested() => {}
    }
    let all_completed = tokio::select! {
        all_completed = instance.stop() => all_completed,
        _ = terminate.recv() => false,
        _ = interrupt.recv() => false,
    };
    if all_completed {
        return ExitCode::SUCCESS;
    }
    ExitCode::from(REQUESTS_CUT)
}
