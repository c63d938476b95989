//! A server that states the longest idle timeout that fits into 64 bits.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    common::{entry, Kept, BOUNDS, LIMITS},
    daemon::{temporary_folder, Daemon},
    http::{response, serve, Next},
    store::Store,
    Stage,
};

pub fn play(stage: &Stage) -> bool {
    let store = Store::start(stage.seed);
    let ran: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let log = Arc::clone(&ran);
    let idle = if stage.trouble { "timeout=9223372036854775807" } else { "timeout=60" };
    let server = serve(move |req, _| {
        let id = req.header("x-attempt-id").to_owned();
        log.lock().unwrap().insert(id.clone());
        let headers = [
            ("X-Attempt-Id", id.as_str()),
            ("X-Response-Signature", "proof"),
            ("Keep-Alive", idle),
        ];
        Next::Send(response(200, &headers, b"whole"))
    });
    store.put("servers", "i-1", &entry("desk", server));
    store.put("op", "config", &format!(
        r#"{{"Version":3,"Services":[{{"Name":"desk","MaxConnections":96}}],
        "Routes":[{{"Name":"desk","Host":"shop.example","PathPrefix":"/desk/","RouteType":"unsafe","TimeoutMs":2000,
        "TargetLatencyMs":200,"MaxAttempts":2,"Priority":2,"Service":"desk"}}],"Limits":{LIMITS}}}"#));
    let folder = temporary_folder("keep-alive");
    let daemon = Daemon::start(&stage.root, &folder, 0, store.addr, BOUNDS);
    daemon.wait_until_ready();
    thread::sleep(Duration::from_secs(1));
    let mut lost = 0;
    for number in 0..10 {
        let id = format!("{number:016x}");
        let headers =
            [("Host", "shop.example"), ("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
        let mut kept =
            Kept::open(daemon.front).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let first = kept.call("GET", "/nowhere/", &headers, b"");
        let end = kept.call("POST", "/desk/a", &headers, b"x");
        let has_run = ran.lock().unwrap().contains(&id);
        lost += u32::from(end.is_err() && has_run);
        let end = end.map(|m| m.first_line).map_err(|e| e.to_string());
        stage.record.line(&format!(
            "{id}: first {:?}, then {end:?}, has run: {has_run}",
            first.map(|m| m.status()).ok()
        ));
    }
    lost > 3
}
