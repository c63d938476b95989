//! The object store.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use bytes::Bytes;

use crate::{
    faults::{Fate, Faults},
    server::{Call, Handler, Result, Server},
};

/// The object store.
#[derive(Debug, Default)]
pub struct Objects {
    objects: Mutex<HashMap<String, Bytes>>,
    /// Faults to show.
    pub faults: Faults,
}

const THREADS: usize = 16;
const PREFIX: &str = "/v1/objects/";

impl Objects {
    /// Serves the store on `listen`.
    pub fn serve(self: &Arc<Objects>, listen: &str) -> Result<Server> {
        Server::start(listen, THREADS, Arc::clone(self))
    }
}

impl Handler for Objects {
    fn handle(&self, call: Call) {
        let fate = self.faults.next(call.method == "PUT");
        if fate == Fate::Drop {
            return call.hang_up();
        }
        let Some(key) = call.path.strip_prefix(PREFIX).map(str::to_owned) else {
            return call.text(404, "no such path");
        };
        let mut objects = self.objects.lock().expect("no holder panics");
        match call.method.as_str() {
            "PUT" => {
                objects.insert(key, call.body.clone());
                drop(objects);
                match fate {
                    Fate::LoseReply => call.hang_up(),
                    _ => call.text(200, ""),
                }
            }
            _ => {
                let found = objects.get(&key).cloned();
                drop(objects);
                match found {
                    Some(body) => call.text(200, &String::from_utf8_lossy(&body)),
                    None => call.text(404, "no such object"),
                }
            }
        }
    }
}
