//! Admission of requests to plain services that are short of room.

use std::{rc::Rc, time::Duration};

use buckthornfall_core::{
    accounts::AccountName,
    admission_queue::{AdmissionQueue, Decision, Demand, Refusal, Status, Ticket, Verdict},
    permits::PermitSource,
    Now,
};
use buckthornfall_proto::ids::ServiceName;
use log::info;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::{
    sync::oneshot::{self, error::RecvError},
    time::sleep,
};

use super::{clock, node::Node};

/// Maximum number of client accounts with metrics of their own; the others are counted together.
const MAX_LABELLED_ACCOUNTS: usize = 16;
/// Label of the other accounts.
const OTHER_ACCOUNTS: &str = "other";

/// A request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct Applicant<'a> {
    /// Its service.
    pub service: &'a str,
    /// Its id.
    pub id: &'a str,
    /// What it asks for.
    pub demand: Demand<'a>,
}

/// The queues of this daemon by service. A service has one once a request was sent to it.
#[derive(Default)]
pub struct Queues {
    by_service: FxHashMap<ServiceName, ServiceQueue>,
    labelled: FxHashSet<AccountName>,
}

#[derive(Default)]
struct ServiceQueue {
    queue: AdmissionQueue,
    /// Where the verdicts on the waiting requests go.
    verdicts: FxHashMap<Ticket, oneshot::Sender<Verdict>>,
}

impl Queues {
    /// Returns the label of an account in metrics: its name for the first that are refused.
    fn label(&mut self, account: &str) -> String {
        if self.labelled.len() < MAX_LABELLED_ACCOUNTS {
            self.labelled.insert(account.to_owned());
        }
        let label = if self.labelled.contains(account) { account } else { OTHER_ACCOUNTS };
        label.to_owned()
    }

    /// Returns the state of each queue.
    pub fn statuses(&self) -> impl Iterator<Item = (&ServiceName, Status)> {
        self.by_service.iter().map(|(service, known)| (service, known.queue.status()))
    }
}

/// A request's place among those in flight at a service; given back when dropped.
pub struct Place {
    node: Rc<Node>,
    service: ServiceName,
}

impl Place {
    /// Waits for a place, again if servers refused the request. The error is a refusal: the request is
    /// not to be sent.
    pub async fn wait(node: &Rc<Node>, req: Applicant<'_>) -> Result<Place, Refusal> {
        let started = clock::now();
        let decision = {
            let mut queues = node.admission.borrow_mut();
            if !queues.by_service.contains_key(req.service) {
                queues.by_service.insert(req.service.to_owned(), ServiceQueue::default());
            }
            let known = queues.by_service.get_mut(req.service).expect("it was inserted");
            known.queue.arrive(started, &req.demand)
        };
        let place =
            |node: &Rc<Node>| Place { node: Rc::clone(node), service: req.service.to_owned() };
        let refusal = match decision {
            Decision::Send => return Ok(place(node)),
            Decision::Refuse(refusal) => refusal,
            Decision::Wait(ticket) => {
                let verdict = Waiter::new(node, req.service, ticket).verdict().await;
                let waited = clock::now().saturating_sub(started);
                metrics::histogram!("admission_wait_seconds", "service" => req.service.to_owned())
                    .record(waited.as_secs_f64());
                match verdict {
                    Verdict::Send => {
                        info!(request = req.id, service = req.service, account = req.demand.account,
                            waited_ms = waited.as_millis() as u64; "admission_waited");
                        return Ok(place(node));
                    }
                    Verdict::Refuse(refusal) => refusal,
                }
            }
        };
        report(node, &req, &refusal, started);
        Err(refusal)
    }

    /// Returns whether the service is short of room.
    pub fn is_contested(&self) -> bool {
        let queues = self.node.admission.borrow();
        let known = queues.by_service.get(&self.service);
        known.is_some_and(|known| known.queue.status().limit.is_some())
    }

    /// Records an answer to a request that was sent at `sent_at`.
    pub fn on_answer(&self, sent_at: Now, objective: Duration) {
        let now = clock::now();
        let mut queues = self.node.admission.borrow_mut();
        if let Some(known) = queues.by_service.get_mut(&self.service) {
            known.queue.on_answer(now, now.saturating_sub(sent_at), objective);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(known) = self.node.admission.borrow_mut().by_service.get_mut(&self.service) {
            known.queue.ended();
        }
        decide(&self.node, &self.service);
    }
}

/// Sends the verdicts that are due to the waiting requests of a service.
fn decide(node: &Node, service: &str) {
    let mut queues = node.admission.borrow_mut();
    let Some(known) = queues.by_service.get_mut(service) else { return };
    loop {
        let verdicts = known.queue.poll(clock::now());
        if verdicts.is_empty() {
            return;
        }
        for (ticket, verdict) in verdicts {
            let was_sent = verdict == Verdict::Send;
            let receiver = known.verdicts.remove(&ticket);
            let is_lost = receiver.is_none_or(|receiver| receiver.send(verdict).is_err());
            if is_lost && was_sent {
                known.queue.ended();
            }
        }
    }
}

/// A waiting request; withdrawn when dropped.
struct Waiter<'a> {
    node: &'a Rc<Node>,
    service: &'a str,
    ticket: Ticket,
    /// Holds no verdict once it was taken.
    verdict: oneshot::Receiver<Verdict>,
}

impl Waiter<'_> {
    fn new<'a>(node: &'a Rc<Node>, service: &'a str, ticket: Ticket) -> Waiter<'a> {
        let (tx, verdict) = oneshot::channel();
        if let Some(known) = node.admission.borrow_mut().by_service.get_mut(service) {
            known.verdicts.insert(ticket, tx);
        }
        Waiter { node, service, ticket, verdict }
    }

    async fn verdict(mut self) -> Verdict {
        loop {
            let wake_at = {
                let queues = self.node.admission.borrow();
                let known = queues.by_service.get(self.service);
                known.and_then(|known| known.queue.wake_at(clock::now()))
            };
            let delay = wake_at.unwrap_or_default().saturating_sub(clock::now());
            tokio::select! {
                biased;
                verdict = &mut self.verdict => return self.taken(verdict),
                () = sleep(delay.max(Duration::from_millis(1))) => decide(self.node, self.service),
            }
        }
    }

    fn taken(&self, verdict: Result<Verdict, RecvError>) -> Verdict {
        verdict.expect("the sender is kept until it has sent the verdict")
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let was_sent = matches!(self.verdict.try_recv(), Ok(Verdict::Send));
        if let Some(known) = self.node.admission.borrow_mut().by_service.get_mut(self.service) {
            known.verdicts.remove(&self.ticket);
            known.queue.withdraw(self.ticket);
            if was_sent {
                known.queue.ended();
            }
        }
        if was_sent {
            decide(self.node, self.service);
        }
    }
}

/// Returns whether requests to a service wait while it is short of room. Without client accounts callers
/// do not compete, and model servers queue requests by themselves, in the order that suits their batches.
pub fn is_queued(node: &Node, service: &str) -> bool {
    let desired = node.desired();
    desired.is_some_and(|desired| desired.accounts.is_some() && !desired.has_models(service))
}

/// Records that a server of the service refused a request as it was full.
pub fn on_full(node: &Node, service: &str, server: &str) {
    let servers = {
        let backends = node.backends.borrow();
        backends.all().filter(|entry| entry.service == service && !entry.draining).count()
    };
    let mut queues = node.admission.borrow_mut();
    let Some(known) = queues.by_service.get_mut(service) else { return };
    if known.queue.on_full(clock::now(), server, servers) {
        metrics::counter!("admission_shortages_total", "service" => service.to_owned())
            .increment(1);
        info!(service, in_flight = known.queue.status().in_flight; "service_short_of_room");
    }
}

fn report(node: &Node, req: &Applicant<'_>, refusal: &Refusal, started: Now) {
    let mut queues = node.admission.borrow_mut();
    let Demand { account, route, class, .. } = req.demand;
    let label = queues.label(account);
    let status = queues.by_service.get(req.service).map(|known| known.queue.status());
    let source = match class.source {
        PermitSource::Job => "job",
        PermitSource::Caller | PermitSource::Control => "caller",
    };
    metrics::counter!("admission_refused_total", "service" => req.service.to_owned(), "account" => label,
        "source" => source, "reason" => refusal.reason.name())
    .increment(1);
    info!(request = req.id, service = req.service, route, account, source,
        priority = class.priority, reason = refusal.reason.name(),
        largest_account:? = refusal.largest, waiting = status.map_or(0, |status| status.waiting),
        in_flight = status.map_or(0, |status| status.in_flight),
        limit:? = status.and_then(|status| status.limit),
        waited_ms = clock::now().saturating_sub(started).as_millis() as u64,
        retry_after_ms = refusal.retry_after.as_millis() as u64; "admission_refused");
}
