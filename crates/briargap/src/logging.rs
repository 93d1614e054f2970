//! Log output: text or JSON on standard error, or JSON lines on standard output.

use crate::settings::{LogFormat, LogSettings};
use crate::{Error, Result};
use serde_json::{Value, json};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

/// Capacity of the queue to the writer thread; when it is full, lines are dropped
/// and counted.
const LINE_QUEUE: usize = 512;
/// Stack size of the writer thread.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Longest time for which an exiting process waits for its last lines: half of the
/// 400 ms that a stopping [`gateway::Instance`] leaves before it would be killed.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);
/// Interval at which [`flush`] checks whether all lines are written.
const FLUSH_POLL: Duration = Duration::from_millis(2);

/// Lines that are queued or being written.
static PENDING: AtomicU64 = AtomicU64::new(0);
/// Lines dropped because the queue was full, since the last report of them.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard error, as text or JSON.
///
/// # Errors
///
/// Fails if a logger has been installed already.
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

/// Starts logging JSON lines to standard output.
///
/// If a message is a JSON object, its fields are merged into the line. A dedicated
/// thread writes the lines, so that logging never blocks: when its queue is full,
/// lines are dropped and the number of them is logged later.
///
/// # Errors
///
/// Fails if the thread cannot be started or a logger has been installed already.
pub fn start_stdout(level: &str, instance: &str) -> Result<()> {
    let start_error = |message: String| Error::Io {
        step: "start",
        peer: "log".to_owned(),
        message,
    };
    let (sender, lines) = flume::bounded::<String>(LINE_QUEUE);
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_lines(&lines))
        .map_err(|e| start_error(e.to_string()))?;
    let instance = instance.to_owned();
    let output = fern::Output::call(move |record| {
        PENDING.fetch_add(1, Ordering::Relaxed);
        if sender.try_send(json_line(record, &instance)).is_err() {
            PENDING.fetch_sub(1, Ordering::Relaxed);
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
        .map_err(|e| start_error(e.to_string()))
}

fn write_lines(lines: &flume::Receiver<String>) {
    let mut output = std::io::stdout();
    while let Ok(line) = lines.recv() {
        // A closed standard output leaves no place to report the error.
        let _ = writeln!(output, "{line}");
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(
                output,
                "{}",
                json!({"event": "lines dropped", "count": dropped})
            );
        }
        PENDING.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until all lines are written, but no longer than 200 ms.
pub fn flush() {
    let deadline = Instant::now() + FLUSH_LIMIT;
    while PENDING.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        std::thread::sleep(FLUSH_POLL);
    }
}

/// Formats a record; the fields of a JSON object as message override the standard ones.
fn json_line(record: &log::Record<'_>, instance: &str) -> String {
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
