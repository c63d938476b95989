//! Responses whose status code ends no request, on real sockets.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

use buckthornfall_client::http::{Error, Http, HttpOptions};

/// Starts a server that answers all requests with this status.
fn serve(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let addr = listener.local_addr().expect("a bound socket");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut head = [0; 4096];
            let _ = stream.read(&mut head).expect("the client sends a request");
            let response = format!(
                "HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}"
            );
            stream.write_all(response.as_bytes()).expect("the client reads");
        }
    });
    addr
}

#[test]
fn a_status_code_that_ends_no_request_is_no_reply() {
    let http = Http::new(&HttpOptions::default());
    for status in ["000", "099", "101", "600", "999", "2000", "20"] {
        let url = format!("http://{}/", serve(status));
        let errors = [
            http.get(&url, &[]).map(|reply| reply.status),
            http.post(&url, &[], b"{}").map(|reply| reply.status),
            http.put(&url, &[], b"{}").map(|reply| reply.status),
            http.post_events(&url, &[], b"{}").map(|events| events.status),
        ];
        for end in errors {
            assert!(
                matches!(end, Err(Error::NoReply { .. } | Error::Malformed { .. })),
                "{status}: {end:?}"
            );
        }
    }
}
