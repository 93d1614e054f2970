//! The log: lines for decisions and changes of state, as text or as JSON.

use crate::settings::{LogFormat, LogSettings};
use crate::{Error, Result};
use serde_json::{Value, json};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

/// Lines that wait to be written; further ones are dropped and counted.
const LINES_WAITING: usize = 512;
/// Stack of the thread that writes lines.
const WRITER_STACK: usize = 64 << 10;

/// Longest that a process which ends waits for its last lines: half of the time
/// by which an instance ends before it would be killed.
const FINISH_LIMIT: Duration = Duration::from_millis(200);
/// Interval at which it looks whether they are written.
const FINISH_LOOK: Duration = Duration::from_millis(2);

/// Lines that wait or are being written.
static WAITING: AtomicU64 = AtomicU64::new(0);
/// Lines that were dropped because the output did not take them in time.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts the log on standard error.
///
/// # Errors
///
/// Fails where a log has been started before.
pub fn start_stderr(settings: &LogSettings, instance: &str) -> Result<()> {
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

/// Starts a log of JSON lines on standard output.
///
/// A message that is a JSON object becomes the fields of its line. Lines are
/// written by a thread of their own; a log that is full drops lines and never
/// blocks.
///
/// # Errors
///
/// Fails where a log has been started before.
pub fn start_stdout(level: &str, instance: &str) -> Result<()> {
    let failed = |message: String| Error::Io {
        step: "start",
        peer: "log".to_owned(),
        message,
    };
    let (sender, lines) = flume::bounded::<String>(LINES_WAITING);
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(WRITER_STACK)
        .spawn(move || write_lines(&lines))
        .map_err(|e| failed(e.to_string()))?;
    let instance = instance.to_owned();
    let output = fern::Output::call(move |record| {
        WAITING.fetch_add(1, Ordering::Relaxed);
        if sender.try_send(line(record, &instance)).is_err() {
            WAITING.fetch_sub(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    });
    fern::Dispatch::new()
        .level(level.parse().unwrap_or(log::LevelFilter::Info))
        .level_for("hyper", log::LevelFilter::Warn)
        .level_for("tungstenite", log::LevelFilter::Warn)
        .level_for("tokio_tungstenite", log::LevelFilter::Warn)
        .chain(output)
        .apply()
        .map_err(|e| failed(e.to_string()))
}

fn write_lines(lines: &flume::Receiver<String>) {
    let mut output = std::io::stdout();
    while let Ok(line) = lines.recv() {
        // Nobody is left to be told of an output that is closed.
        let _ = writeln!(output, "{line}");
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(
                output,
                "{}",
                json!({"event": "lines dropped", "count": dropped})
            );
        }
        WAITING.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits for a while until the last lines are written.
pub fn flush() {
    let until = Instant::now() + FINISH_LIMIT;
    while WAITING.load(Ordering::Relaxed) > 0 && Instant::now() < until {
        std::thread::sleep(FINISH_LOOK);
    }
}

fn line(record: &log::Record<'_>, instance: &str) -> String {
    let message = record.args().to_string();
    let fields = match serde_json::from_str::<Value>(&message) {
        Ok(Value::Object(fields)) => fields,
        _ => serde_json::Map::from_iter([("message".to_owned(), Value::from(message))]),
    };
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let mut line = json!({
        "time": time.to_string(), "level": record.level().as_str(), "instance": instance,
        "kind": record.target(),
    });
    if let Some(line) = line.as_object_mut() {
        line.extend(fields);
    }
    line.to_string()
}
