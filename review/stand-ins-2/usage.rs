//! Usage reports while answers of the store are lost and the writes are done later.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::BOUNDS,
    daemon::{temporary_folder, Daemon},
    http::{self, response, serve, Next},
    json::Json,
    store::Store,
    Stage,
};

const DAEMONS: u8 = 3;
const TENANTS: [&str; 2] = ["harbour", "mill"];
/// Length of the whole run.
const LENGTH: Duration = Duration::from_secs(108);
/// Share of the writes without an answer, length of a disruption, and time from one to the next.
const SHARE: f64 = 0.35;
const SPELL: Duration = Duration::from_millis(4_500);
const PERIOD: Duration = Duration::from_millis(5_500);

type Reports = Arc<Mutex<BTreeMap<u64, Vec<(String, String)>>>>;

pub fn play(stage: &Stage) -> bool {
    let store = Store::start(stage.seed);
    let reports: Reports = Arc::default();
    let started = Instant::now();
    let lines: Arc<Mutex<Vec<String>>> = Arc::default();
    let platform = {
        let (reports, lines) = (Arc::clone(&reports), Arc::clone(&lines));
        serve(move |req, _| {
            let body = Json::parse(&req.text()).unwrap_or(Json::Null);
            if req.path() == "/usage" {
                let (window, counts) =
                    (body.get("Window").number(), body.get("Counts").to_string());
                let holder = req.header("x-duty-holder").to_owned();
                let at = started.elapsed().as_secs_f64();
                let fence = req.header("x-fencing-token");
                lines.lock().unwrap().push(format!(
                    "platform, at {at:.3} s: window {window}, counts {counts}, holder {holder}, fence {fence}: accepted"
                ));
                reports.lock().unwrap().entry(window).or_default().push((counts, holder));
            }
            Next::Send(response(200, &[], b""))
        })
    };
    let server = serve(|req, _| {
        thread::sleep(Duration::from_millis(10));
        let id = req.header("x-attempt-id").to_owned();
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Response-Signature", "proof")];
        Next::Send(response(200, &headers, b"whole"))
    });
    store.put("servers", "i-1", &format!(
        r#"{{"Service":"desk","Address":"{server}","Zone":"zone-a","Version":"1","Slots":8,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":1700000000000}}"#
    ));
    let tenants: Vec<_> = TENANTS
        .iter()
        .map(|name| format!(r#"{{"Name":"{name}","ApiKeys":["key-{name}"],"Priority":2}}"#))
        .collect();
    store.put("op", "config", &format!(
        r#"{{"Version":3,"Tenants":[{}],"Services":[{{"Name":"desk","MaxConnections":96}}],
        "Routes":[{{"Name":"desk","Host":"shop.example","PathPrefix":"/desk/","RouteType":"safe","TimeoutMs":2000,
        "TargetLatencyMs":200,"MaxAttempts":2,"Priority":2,"Service":"desk"}}],
        "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":5000,"IdleTimeoutMs":30000}}}}"#,
        tenants.join(",")
    ));
    let folder = temporary_folder("usage");
    let settings =
        format!("{BOUNDS}Cloud.Address={platform}\nCloud.Duties=metered\nCloud.DutyPerS=50\n");
    let daemons: Vec<_> = (0..DAEMONS)
        .map(|index| Daemon::start(&stage.root, &folder, index, store.addr, &settings))
        .collect();
    daemons.iter().for_each(Daemon::wait_until_ready);
    stage.record.line("the daemons are ready");
    // Twenty requests a second, by both tenants, at all daemons in turn.
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    let served: Arc<Mutex<BTreeMap<&str, u64>>> = Arc::default();
    let counted = Arc::clone(&served);
    thread::spawn(move || {
        for number in 0u64.. {
            let tenant = TENANTS[(number % 2) as usize];
            let (front, counted) =
                (fronts[(number / 2) as usize % fronts.len()], Arc::clone(&counted));
            thread::spawn(move || {
                let (id, key) = (format!("{:016x}", number + 1), format!("key-{tenant}"));
                let headers = [
                    ("Host", "shop.example"),
                    ("X-Attempt-Id", id.as_str()),
                    ("X-Deadline-Ms", "2000"),
                    ("Api-Key", key.as_str()),
                ];
                let reply =
                    http::call(front, "POST", "/desk/a", &headers, b"x", Duration::from_secs(3));
                if reply.is_ok_and(|reply| reply.status() == 200) {
                    *counted.lock().unwrap().entry(tenant).or_default() += 1;
                }
            });
            thread::sleep(Duration::from_millis(50));
        }
    });
    // The first windows are reported without a disruption.
    thread::sleep(Duration::from_secs(8));
    let is_broken =
        || reports.lock().unwrap().values().any(|sent| sent.iter().any(|r| r.0 != sent[0].0));
    while started.elapsed() + PERIOD < LENGTH && !is_broken() {
        if stage.trouble {
            store.lose_answers(SHARE);
            stage.record.line("the store begins to lose answers of writes");
        }
        thread::sleep(SPELL);
        store.lose_answers(0.0);
        stage.record.line(&format!(
            "the store loses no answers; {} writes were done late so far",
            store.late()
        ));
        thread::sleep(PERIOD - SPELL);
    }
    thread::sleep(Duration::from_secs(3));
    for line in lines.lock().unwrap().iter() {
        stage.record.line(line);
    }
    stage.record.line(&format!("answered with 200: {:?}", served.lock().unwrap()));
    let reports = reports.lock().unwrap();
    if reports.is_empty() {
        crate::cannot_run("there was no report");
    }
    let mut broken = false;
    for (window, sent) in reports.iter() {
        if let Some(other) = sent.iter().find(|other| other.0 != sent[0].0) {
            stage.record.line(&format!(
                "ONE: two reports of window {window} with different counts: {} and {}",
                sent[0].0, other.0
            ));
            broken = true;
        }
    }
    broken
}
