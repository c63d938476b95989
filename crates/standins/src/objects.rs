//! Object store of the platform.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use bytes::Bytes;

use crate::{
    faults::{FaultAction, Faults},
    server::{Call, Handler, Result, Server},
};

/// Object store that keeps its objects in memory.
#[derive(Debug, Default)]
pub struct Objects {
    objects: Mutex<HashMap<String, Bytes>>,
    /// Faults to inject.
    pub faults: Faults,
}

const THREADS: usize = 16;
const PATH_PREFIX: &str = "/v1/objects/";

impl Objects {
    /// Starts serving the store on `listen`.
    pub fn serve(self: &Arc<Objects>, listen: &str) -> Result<Server> {
        Server::start(listen, THREADS, Arc::clone(self))
    }
}

impl Handler for Objects {
    fn handle(&self, call: Call) {
        let action = self.faults.next_action(call.method == "PUT");
        if action == FaultAction::Drop {
            return call.close_connection();
        }
        let Some(key) = call.path.strip_prefix(PATH_PREFIX).map(str::to_owned) else {
            return call.text(404, "no such path");
        };
        let mut objects = self.objects.lock().expect("lock poisoned");
        match call.method.as_str() {
            "PUT" => {
                objects.insert(key, call.body.clone());
                drop(objects);
                match action {
                    FaultAction::LoseReply => call.close_connection(),
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
