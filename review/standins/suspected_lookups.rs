//! Lookups of different licences on one path; a server crashes while it runs some of them, and later
//! all processes are killed and start again.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    net,
    platform::{
        configure, plain_store, reply, resolve, route, sleep_ms, start_daemons, Case, Daemon,
        Server, Verdict,
    },
    store::Store,
};

const LOOKUPS_PER_BURST: usize = 120;
const BURST_INTERVAL: Duration = Duration::from_secs(4);
const WORK_MS: u64 = 200;
const TIME_LIMIT: Duration = Duration::from_secs(2);
/// Index of the burst in which a server crashes, and of the one after which all processes are killed.
const CRASH_BURST: usize = 2;
const KILL_BURST: usize = 3;
const BURSTS: usize = 11;
const RECOVERY: Duration = Duration::from_secs(12);

/// One lookup with the retries of its client; returns whether it was served.
fn look_up(case: &Case, entries: &[SocketAddr], number: usize) -> bool {
    let started = Instant::now();
    for attempt in 0..2 {
        let left = TIME_LIMIT.saturating_sub(started.elapsed());
        if left.is_zero() || entries.is_empty() {
            break;
        }
        let (id, wait) = (format!("n{number}.{attempt}"), left.as_millis().to_string());
        let addr = entries[(number + attempt) % entries.len()];
        let target = format!("/licence/check?number={}", 40_000 + number);
        let headers = [("Host", "shop.example"), ("X-Attempt-Id", &*id), ("X-Deadline-Ms", &*wait)];
        let reply = net::call(addr, "GET", &target, &headers, b"", left);
        let is_served = reply.as_ref().is_ok_and(|reply| {
            reply.status == 200 && reply.header("x-response-signature") == format!("proof.{id}.200")
        });
        let end = reply.map_or_else(
            |e| e.to_string(),
            |reply| format!("{} {}", reply.status, String::from_utf8_lossy(&reply.body)),
        );
        case.note(&format!("{target} {id} at {addr}: {end}"));
        if is_served {
            return true;
        }
    }
    false
}

pub fn run(case: &Case) -> Verdict {
    let store = Store::new();
    let servers: Vec<_> = (1..=3)
        .map(|index| {
            let case = case.clone();
            let entry =
                obj! { "Service" => "desk", "Zone" => "zone-a", "Version" => "1", "Slots" => 48 };
            Server::start(&store, &format!("desk-{index}"), entry, move |req, stream, conn| {
                let id = req.header("x-attempt-id").to_owned();
                case.note(&format!("{} runs {id}", conn.server));
                sleep_ms(WORK_MS);
                reply(stream, 200, &id, "", b"licensed")
            })
        })
        .collect();
    let routes = || vec![route("licence", "safe", "desk", 2_000, 3)];
    configure(&store, 1, routes(), vec![obj! { "Name" => "desk" }]);
    let mut daemons = start_daemons(case, plain_store(&store), 2)?;

    let served = Arc::<Mutex<Vec<(Instant, bool)>>>::default();
    let mut lookups = Vec::new();
    let mut killed_at = None;
    let mut back_at = None;
    let first = Instant::now();
    for burst in 0..BURSTS {
        thread::sleep((BURST_INTERVAL * burst as u32).saturating_sub(first.elapsed()));
        let entries = daemons.iter().map(resolve).find(|found| !found.is_empty());
        let entries = entries.unwrap_or_default();
        case.note(&format!("burst {burst} to {entries:?}"));
        for index in 0..LOOKUPS_PER_BURST {
            let (case, entries, served) = (case.clone(), entries.clone(), Arc::clone(&served));
            lookups.push(thread::spawn(move || {
                let sent = Instant::now();
                let is_served = look_up(&case, &entries, burst * LOOKUPS_PER_BURST + index);
                served.lock().unwrap().push((sent, is_served));
            }));
        }
        if case.trouble && burst == CRASH_BURST {
            sleep_ms(WORK_MS / 2);
            case.note("desk-1 crashes");
            servers[0].crash();
            sleep_ms(2_500);
            servers[0].restart();
            case.note("desk-1 is back");
        }
        if case.trouble && burst == KILL_BURST {
            sleep_ms(700);
            configure(&store, 2, routes(), vec![obj! { "Name" => "desk" }]);
            case.note("all processes are killed, right after a desired state was confirmed");
            killed_at = Some(Instant::now());
            daemons.iter_mut().for_each(Daemon::kill);
            sleep_ms(1_000);
            daemons.iter_mut().for_each(Daemon::start);
            for daemon in &daemons {
                daemon.await_ready()?;
            }
            back_at = Some(Instant::now());
            case.note("all machines are back");
        }
    }
    for lookup in lookups {
        lookup.join().map_err(|_| "a client panicked")?;
    }
    let served = served.lock().unwrap();
    let share = |from: Instant, until: Option<Instant>| {
        let of_span: Vec<_> = served
            .iter()
            .filter(|(sent, _)| *sent >= from && until.is_none_or(|until| *sent < until))
            .collect();
        let count = of_span.iter().filter(|(_, is_served)| *is_served).count();
        case.note(&format!("{count} of {} served", of_span.len()));
        count as f64 / of_span.len().max(1) as f64
    };
    let middle = first + BURST_INTERVAL * (KILL_BURST as u32 + 1);
    let before = share(first, Some(killed_at.unwrap_or(middle)));
    let after = share(back_at.map_or(middle, |back_at| back_at + RECOVERY), None);
    if before < 0.25 {
        return Err("less than a quarter was served before the final fault".to_owned());
    }
    Ok(after < 0.25)
}
