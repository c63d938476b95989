//! Logs: one line of key=value pairs for each event.

use std::io::Write;

use env_logger::{Builder, Env};
use log::kv::{Error, Key, Value, VisitSource};

struct Pairs<'a, W>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for Pairs<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        if text.is_empty() || text.contains([' ', '"', '=']) {
            write!(self.0, " {key}={text:?}")?;
        } else {
            write!(self.0, " {key}={text}")?;
        }
        Ok(())
    }
}

/// Sends the log to standard error; `RUST_LOG` sets the level, `info` by default.
pub fn init() {
    Builder::from_env(Env::default().default_filter_or("info"))
        .format(|buf, record| {
            let time = buf.timestamp_millis();
            let level = record.level().as_str().to_lowercase();
            write!(buf, "time={time} level={level} event={}", record.args())?;
            record.key_values().visit(&mut Pairs(buf)).map_err(std::io::Error::other)?;
            writeln!(buf)
        })
        .init();
}
