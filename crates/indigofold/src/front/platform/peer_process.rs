//! The peer process during a replacement, while two processes of the scheduler run: its open jobs, and the messages to it.

use super::Platform;
use crate::config::{JobReport, Names};
use crate::net::log;
use crate::statistics::Statistics;
use async_channel::{Receiver, Sender, bounded};
use indigofold_core::{CoreInput, StatisticsScope};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::TcpStream;
use std::rc::Rc;

/// Capacity of the queue of messages to the peer process.
const OUTBOX_CAPACITY: usize = 4096;

/// A message to the peer process.
pub enum HandoverMessage {
    /// A job with this id is open in the sending process.
    JobOpened(String),
    /// The job with this id is no longer open in the sending process.
    JobClosed(String),
    /// The text of a report on a job that isn't open in the sending process.
    JobReport(Vec<u8>),
    /// The sending process now accepts clients.
    Serving,
    /// The encoded statistics of the sending process.
    Statistics(Vec<u8>),
    /// An encoded job that migrates, with its client's connection.
    Job(Vec<u8>, TcpStream),
}

/// The peer process as seen by this one.
pub struct PeerProcess {
    /// Ids of the jobs that are open in the peer process.
    pub ids: RefCell<HashSet<String>>,
    /// Queue of messages to the peer process; closed when a notification finds it full.
    pub outbox: Sender<HandoverMessage>,
}

impl Platform {
    /// Registers a peer process that has connected. It is notified of all jobs that are open here and, later, of jobs that
    /// open or end.
    pub fn add_peer(&self) -> (Rc<PeerProcess>, Receiver<HandoverMessage>) {
        let (outbox, messages) = bounded(OUTBOX_CAPACITY);
        let peer = Rc::new(PeerProcess {
            ids: RefCell::default(),
            outbox,
        });
        self.peers.borrow_mut().push(peer.clone());
        for id in self.traces.borrow().keys() {
            peer.notify(HandoverMessage::JobOpened(id.clone()));
        }
        (peer, messages)
    }

    /// Removes a peer process that has ended.
    pub fn remove_peer(&self, peer: &Rc<PeerProcess>) {
        self.peers.borrow_mut().retain(|k| !Rc::ptr_eq(k, peer));
    }

    /// Whether a job with this id is open in a peer process; no second job with that id may be opened here.
    pub(super) fn is_open_at_peer(&self, id: &str) -> bool {
        self.peers
            .borrow()
            .iter()
            .any(|peer| peer.ids.borrow().contains(id))
    }

    pub(super) fn notify_peers(&self, message: impl Fn() -> HandoverMessage) {
        self.peers
            .borrow()
            .iter()
            .for_each(|peer| peer.notify(message()));
    }

    /// Handles a report on a job. Job workers connect to whichever process accepts, so a report on a job that isn't open here
    /// is forwarded to the peer processes, except to the one it came from.
    pub async fn handle_report(
        &self,
        text: &[u8],
        report: JobReport,
        from: Option<&Rc<PeerProcess>>,
    ) {
        if self.defer_report(&report.id, text) {
            return;
        }
        let open = self.traces.borrow().contains_key(&report.id);
        let input = self.interpret_report(&report);
        if let Some(input) = input {
            let _ = self.core.send(input).await;
        }
        if !open {
            let others: Vec<Rc<PeerProcess>> = self.peers.borrow().clone();
            // If the job was transferred, the peer sent the report here before it had received the job.
            let returned = self.was_transferred(&report.id);
            for peer in others
                .iter()
                .filter(|peer| returned || from.is_none_or(|from| !Rc::ptr_eq(from, peer)))
            {
                let _ = peer
                    .outbox
                    .send(HandoverMessage::JobReport(text.to_vec()))
                    .await;
            }
        }
    }
}

impl Platform {
    /// Sends the learned statistics to the peer process.
    pub async fn send_statistics(&self, peer: &PeerProcess, scope: StatisticsScope) {
        let (to, from) = bounded(1);
        let _ = self.core.send(CoreInput::ReadStatistics(to, scope)).await;
        let Ok(statistics) = from.recv().await else {
            return;
        };
        let mut named = self.with_names(statistics);
        let encoded = named.write().or_else(|| {
            // With too many machines to encode, statistics of kinds, of classes and overall are worth more.
            named.workers.clear();
            named.write()
        });
        if let Some(encoded) = encoded {
            let _ = peer.outbox.send(HandoverMessage::Statistics(encoded)).await;
        }
    }

    /// Merges the statistics of the peer process; statistics that can't be decoded change nothing.
    pub async fn apply_statistics(&self, encoded: &[u8]) {
        match Statistics::read(encoded) {
            Err(why) => log(format_args!(
                "handover: what the other process has learned is not taken: {why}"
            )),
            Ok(statistics) => {
                let numbered = self.with_ids(statistics);
                if numbered.fleet.is_some() {
                    let (kinds, classes, machines) = (
                        numbered.kinds.len(),
                        numbered.classes.len(),
                        numbered.workers.len(),
                    );
                    log(format_args!(
                        "handover: takes over what was learned kinds={kinds} classes={classes} machines={machines}"
                    ));
                }
                let _ = self
                    .core
                    .send(CoreInput::Statistics(Box::new(numbered)))
                    .await;
            }
        }
    }

    /// Replaces ids, which differ between processes, by names.
    fn with_names(&self, statistics: Statistics<u32>) -> Statistics<String> {
        let (site, names) = (self.site.borrow(), self.names.borrow());
        let hosts: HashMap<u32, &String> = names.iter().map(|(host, id)| (*id, host)).collect();
        let name = |names: &Names, id: &u32| names.all().nth(*id as usize).map(str::to_string);
        statistics.renamed(
            |kind| name(&site.kinds, kind),
            |class| name(&site.classes, class),
            |tenant| name(&site.tenants, tenant),
            |worker| hosts.get(worker).map(|host| (*host).clone()),
        )
    }

    /// Replaces names by the ids of this process; entries with unknown names are left out.
    fn with_ids(&self, statistics: Statistics<String>) -> Statistics<u32> {
        let (site, names) = (self.site.borrow(), self.names.borrow());
        statistics.renamed(
            |kind| site.kinds.find(kind),
            |class| site.class(class),
            |tenant| site.tenants.find(tenant),
            |worker| names.get(worker).copied(),
        )
    }
}

impl PeerProcess {
    fn notify(&self, message: HandoverMessage) {
        // A peer that misses a notification has a wrong view of the open jobs, so the connection to it is ended.
        if self.outbox.try_send(message).is_err() {
            self.outbox.close();
        }
    }
}
