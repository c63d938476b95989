//! What a panic leaves in the log and in the metrics. Its own process, as the hook is that of a process.

use std::sync::Mutex;

use buckthornfall_daemon::{hosted, tasks};
use log::{kv::Key, LevelFilter, Log, Metadata, Record};

/// Events with their place and reason.
struct Lines(Mutex<Vec<[String; 3]>>);

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let value = |key| record.key_values().get(Key::from_str(key));
        let text = |key| value(key).map(|value| value.to_string()).unwrap_or_default();
        let line = [record.args().to_string(), text("place"), text("reason")];
        self.0.lock().expect("no test panics here").push(line);
    }

    fn flush(&self) {}
}

static LINES: Lines = Lines(Mutex::new(Vec::new()));

#[test]
fn panics_are_counted_and_logged_with_their_place() {
    log::set_logger(&LINES).expect("no other logger is set");
    log::set_max_level(LevelFilter::Info);
    let recorder = hosted::recorder().expect("a recorder");
    let metrics = recorder.handle();
    tasks::report_panics();
    let purpose = "on purpose";
    metrics::with_local_recorder(&recorder, || {
        assert_eq!(tasks::catch(|| panic!("formatted {purpose}")), None::<()>);
        assert_eq!(tasks::catch(|| panic!("on purpose")), None::<()>);
    });
    drop(std::panic::take_hook());
    let lines = LINES.0.lock().expect("no test panics here");
    let reasons: Vec<_> =
        lines.iter().map(|[event, _, reason]| format!("{event}: {reason}")).collect();
    assert_eq!(reasons, ["panicked: formatted on purpose", "panicked: on purpose"]);
    let is_here = |place: &str| place.contains("panic_report.rs:");
    assert!(lines.iter().all(|[_, place, _]| is_here(place)), "{lines:?}");
    assert!(metrics.render().contains("\npanics_total 2\n"), "{}", metrics.render());
}
