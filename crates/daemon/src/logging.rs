//! Logs: one line of key=value pairs for each event.

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

use crate::log_budget::{LeftOut, LogBudget};

/// A pair as it stands in a line: the value is quoted where it would not end at the next space.
#[derive(Debug, Clone, Copy)]
pub struct Pair<'a> {
    /// Name of the value.
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

struct Pairs<'a, W>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for Pairs<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {}", Pair { key: key.as_str(), value: &value.to_string() })?;
        Ok(())
    }
}

/// Sends the log to standard error; `RUST_LOG` sets the level, `info` by default.
pub fn init() {
    builder().init();
}

/// Lines that wait to be written; more are left out and counted.
const WAITING_LINES: usize = 4_096;

/// Sends the log to standard output without ever waiting for it.
pub fn init_bounded() {
    let (tx, rx) = mpsc::sync_channel(WAITING_LINES);
    let writer = thread::Builder::new().name("log".to_owned()).stack_size(WRITER_STACK_BYTES);
    if writer.spawn(move || write_lines(&rx)).is_err() {
        return init();
    }
    budgeted()
        .target(Target::Pipe(Box::new(BoundedLog { tx, left_out: AtomicU64::new(0) })))
        .init();
}

const WRITER_STACK_BYTES: usize = 64 * 1024;

struct BoundedLog {
    tx: SyncSender<Vec<u8>>,
    /// Lines left out since the last one that was taken.
    left_out: AtomicU64,
}

impl Write for BoundedLog {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut line = buf.to_vec();
        let left_out = self.left_out.load(Ordering::Relaxed);
        if left_out > 0 {
            line.extend_from_slice(
                format!("event=log_lines_left_out count={left_out}\n").as_bytes(),
            );
        }
        if self.tx.try_send(line).is_ok() {
            self.left_out.store(0, Ordering::Relaxed);
        } else {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes whole batches, so that many lines cost one call.
fn write_lines(rx: &Receiver<Vec<u8>>) {
    while let Ok(mut batch) = rx.recv() {
        rx.try_iter().for_each(|line| batch.extend_from_slice(&line));
        // Without its output a daemon still serves.
        drop(io::stdout().write_all(&batch));
        drop(io::stdout().flush());
    }
}

fn builder() -> Builder {
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.format(write_line);
    builder
}

/// Like `builder`, with a budget for each kind of event.
fn budgeted() -> Builder {
    let mut builder = builder();
    let started = Instant::now();
    let budget = Mutex::new(LogBudget::default());
    builder.format(move |buf, record| {
        let event = record.args().to_string();
        // A thread that panicked while it logged leaves the counts as they are.
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        let left_out = budget.advance(started.elapsed());
        let admitted = budget.admit(&event);
        drop(budget);
        let time = buf.timestamp_millis();
        for LeftOut { event, count } in left_out {
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
    record.key_values().visit(&mut Pairs(buf)).map_err(io::Error::other)?;
    writeln!(buf)
}
