//! Plays the scripts of the review: stage CASE FOLDER.

mod common;
mod daemon;
mod http;
mod json;
mod keep_alive;
mod permit_wait;
mod poison;
mod slow_pages;
mod slow_reader;
mod store;
mod usage;

use std::{
    fs::File,
    io::Write,
    path::{Path, PathBuf},
    process,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// Pseudo-random numbers from 0 to 1 (xorshift).
#[derive(Default)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The record of a run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {text}");
    }
}

/// What a case needs.
pub struct Stage {
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption comes.
    pub trouble: bool,
    pub seed: u64,
}

/// Processes and folders of the run, to be ended and removed however it ends.
pub static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());
pub static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Longest time of a run.
const LONGEST: Duration = Duration::from_secs(117);

/// Ends a run that could not be played.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case can't run: {reason}");
    end(2)
}

/// Ends all processes of the run and exits.
fn end(code: i32) -> ! {
    for id in PROCESSES.lock().unwrap().drain(..) {
        let _ = process::Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .stderr(process::Stdio::null())
            .status();
    }
    if std::env::var("KEEP").is_err() {
        FOLDERS.lock().unwrap().drain(..).for_each(|folder| drop(std::fs::remove_dir_all(folder)));
    }
    process::exit(code)
}

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, folder] = &args[..] else { cannot_run("stage CASE FOLDER") };
    let folder = Path::new(folder);
    let file = File::create(folder.join("record.txt"));
    let file = file.unwrap_or_else(|e| cannot_run(&format!("no record: {e}")));
    let number = |name: &str| std::env::var(name).ok().and_then(|value| value.parse::<u64>().ok());
    let stage = Stage {
        root: folder.join("../..").canonicalize().unwrap_or_else(|e| cannot_run(&e.to_string())),
        record: Record { file: Mutex::new(file), started: Instant::now() },
        trouble: number("TROUBLE") != Some(0),
        seed: number("SEED").unwrap_or(u64::from(process::id())),
    };
    stage.record.line(&format!("seed {}, trouble {}", stage.seed, stage.trouble));
    thread::spawn(|| {
        thread::sleep(LONGEST);
        cannot_run("it takes too long")
    });
    let broken = match case.as_str() {
        "usage" => usage::play(&stage),
        "slow-pages" => slow_pages::play(&stage),
        "slow-reader" => slow_reader::play(&stage),
        "permit-wait" => permit_wait::play(&stage),
        "poison" => poison::play(&stage, poison::Kind::Bodies),
        "poison-query" => poison::play(&stage, poison::Kind::Queries),
        "keep-alive" => keep_alive::play(&stage),
        _ => cannot_run("no such case"),
    };
    let verdict = if broken { "the rule was broken" } else { "the rule held" };
    stage.record.line(verdict);
    println!("{verdict}");
    end(i32::from(broken))
}
