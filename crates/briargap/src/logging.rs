//! The log: lines for changes of state, as text or as JSON.

use crate::settings::{LogFormat, LogSettings};
use crate::{Error, Result};
use serde_json::json;
use std::time::SystemTime;

/// Starts the log on standard error.
///
/// # Errors
///
/// Fails where a log has been started before.
pub fn start(settings: &LogSettings, instance: &str) -> Result<()> {
    let level = settings.level.parse().unwrap_or(log::LevelFilter::Info);
    let instance = instance.to_owned();
    let format = settings.format;
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("briargap", level)
        .level_for("peer", level)
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            match format {
                LogFormat::Text => out.finish(format_args!(
                    "{time} {:5} {instance} {message}",
                    record.level()
                )),
                LogFormat::Json => {
                    let line = json!({
                        "time": time.to_string(),
                        "level": record.level().as_str(),
                        "instance": instance,
                        "module": record.target(),
                        "message": message.to_string(),
                    });
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(std::io::stderr());
    dispatch.apply().map_err(|e| Error::Io {
        step: "start",
        peer: "log".to_owned(),
        message: e.to_string(),
    })
}
