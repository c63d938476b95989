//! Logging: one line of key=value pairs per event.

use std::{
    fmt,
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender},
        Mutex, PoisonError,
    },
    thread,
    time::Instant,
};

use env_logger::{fmt::Formatter, Builder, Env, Target};
use log::{
    kv::{Error, Key, Value, VisitSource},
    Record,
};

use crate::log_budget::{DroppedLines, LogBudget};

/// Key and value as written to a log line. The value is quoted if it is empty or contains a space,
/// a quote or an equals sign.
#[derive(Debug, Clone, Copy)]
pub struct Pair<'a> {
    /// The key.
    pub key: &'a str,
    /// The value.
    pub value: &'a str,
}

impl fmt::Display for Pair<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Pair { key, value } = self;
        if value.is_empty() || value.contains([' ', '"', '=']) {
            write!(f, "{key}={value:?}")
        } else {
            write!(f, "{key}={value}")
        }
    }
}

struct PairVisitor<'a, W>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for PairVisitor<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {}", Pair { key: key.as_str(), value: &value.to_string() })?;
        Ok(())
    }
}

/// Initializes logging to standard error. `RUST_LOG` sets the level, `info` by default.
pub fn init() {
    builder().init();
}

/// Capacity of the queue of unwritten lines. Further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Initializes logging to standard output, without ever blocking on it.
pub fn init_bounded() {
    let (tx, rx) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let writer = thread::Builder::new().name("log".to_owned()).stack_size(WRITER_STACK_BYTES);
    if writer.spawn(move || write_lines(&rx)).is_err() {
        return init();
    }
    rate_limited_builder()
        .target(Target::Pipe(Box::new(QueueWriter { tx, dropped: AtomicU64::new(0) })))
        .init();
}

const WRITER_STACK_BYTES: usize = 64 * 1024;

struct QueueWriter {
    tx: SyncSender<Vec<u8>>,
    /// Lines dropped since the last one that was queued.
    dropped: AtomicU64,
}

impl Write for QueueWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut line = buf.to_vec();
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > 0 {
            line.extend_from_slice(
                format!("event=log_lines_left_out count={dropped}\n").as_bytes(),
            );
        }
        if self.tx.try_send(line).is_ok() {
            self.dropped.store(0, Ordering::Relaxed);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines to standard output, in batches to save system calls.
fn write_lines(rx: &Receiver<Vec<u8>>) {
    while let Ok(mut batch) = rx.recv() {
        rx.try_iter().for_each(|line| batch.extend_from_slice(&line));
        // Errors are ignored, as a daemon keeps serving without its log.
        drop(io::stdout().write_all(&batch));
        drop(io::stdout().flush());
    }
}

fn builder() -> Builder {
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.format(write_line);
    builder
}

/// Returns a builder that limits the lines of each event per second.
fn rate_limited_builder() -> Builder {
    let mut builder = builder();
    let started = Instant::now();
    let budget = Mutex::new(LogBudget::default());
    builder.format(move |buf, record| {
        let event = record.args().to_string();
        // The counts stay valid if a thread panicked while it held the lock.
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        let dropped = budget.advance(started.elapsed());
        let admitted = budget.admit(&event);
        drop(budget);
        let time = buf.timestamp_millis();
        for DroppedLines { event, count } in dropped {
            writeln!(
                buf,
                "time={time} level=warn event=log_lines_left_out of={event} count={count}"
            )?;
        }
        if admitted {
            write_line(buf, record)
        } else {
            Ok(())
        }
    });
    builder
}

fn write_line(buf: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let time = buf.timestamp_millis();
    let level = record.level().as_str().to_lowercase();
    write!(buf, "time={time} level={level} event={}", record.args())?;
    record.key_values().visit(&mut PairVisitor(buf)).map_err(io::Error::other)?;
    writeln!(buf)
}
