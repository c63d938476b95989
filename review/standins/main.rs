//! Stand-ins for the cases of the review: `standins CASE FOLDER` plays a case and writes the record
//! into the folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.

#[macro_use]
mod json;

mod errored_sample;
mod event_data;
mod gone_server;
mod net;
mod planned_stop;
mod platform;
mod store;
mod suspected_lookups;

use std::{env, panic, path::PathBuf, process};

use platform::Case;

fn main() {
    let mut args = env::args().skip(1);
    let (name, folder) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let case = Case::start(&PathBuf::from(folder));
    let run = match name.as_str() {
        "planned-stop" => planned_stop::run,
        "suspected-lookups" => suspected_lookups::run,
        "errored-sample" => errored_sample::run,
        "event-data" => event_data::run,
        "gone-server" => gone_server::run,
        _ => {
            eprintln!("unknown case {name:?}");
            process::exit(2);
        }
    };
    let verdict = panic::catch_unwind(panic::AssertUnwindSafe(|| run(&case)));
    platform::end_children();
    if env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&case.temp);
    }
    let (code, text) = match verdict {
        Ok(Ok(true)) => (1, "the rule was broken".to_owned()),
        Ok(Ok(false)) => (0, "the rule held".to_owned()),
        Ok(Err(reason)) => (2, format!("could not run: {reason}")),
        Err(_) => (2, "could not run: the case panicked".to_owned()),
    };
    case.note(&text);
    println!("{name}: {text}");
    process::exit(code);
}
