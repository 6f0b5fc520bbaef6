//! The other process of this scheduler, while one replaces the other: its open jobs, and the messages to it.

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

/// Words that may wait for the other process.
const OUTBOX_CAPACITY: usize = 4096;

/// A message from one process to the other.
pub enum HandoverMessage {
    /// A job of this id is open here.
    JobOpened(String),
    /// It no longer is.
    JobClosed(String),
    /// News of a job that is not open here.
    JobReport(Vec<u8>),
    /// This process takes clients now.
    Serving,
    /// What this process has learned, as written.
    Statistics(Vec<u8>),
    /// A job migrates, with its client's connection.
    Job(Vec<u8>, TcpStream),
}

/// The other process, as this one sees it.
pub struct PeerProcess {
    /// Ids of the jobs that are open there.
    pub ids: RefCell<HashSet<String>>,
    /// Messages to it.
    pub outbox: Sender<HandoverMessage>,
}

impl Platform {
    /// The other process has connected. It is notified of all jobs that are open here, and of their ends.
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

    /// The other process has ended.
    pub fn remove_peer(&self, peer: &Rc<PeerProcess>) {
        self.peers.borrow_mut().retain(|k| !Rc::ptr_eq(k, peer));
    }

    /// Is a job of this id open in the other process? Then it is not another one here.
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

    /// Handles a report. Job workers reach whichever process accepts: what is not open here may be open in the
    /// other one, and goes there, though never back to where it came from.
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
            // A job that has migrated was not open there yet when the other process sent the report here.
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
    /// Tells the other process what was learned here.
    pub async fn send_statistics(&self, peer: &PeerProcess, scope: StatisticsScope) {
        let (to, from) = bounded(1);
        let _ = self.core.send(CoreInput::ReadStatistics(to, scope)).await;
        let Ok(statistics) = from.recv().await else {
            return;
        };
        let mut named = self.with_names(statistics);
        let encoded = named.write().or_else(|| {
            // Too many machines: statistics of kinds, of classes and overall are worth more.
            named.workers.clear();
            named.write()
        });
        if let Some(encoded) = encoded {
            let _ = peer.outbox.send(HandoverMessage::Statistics(encoded)).await;
        }
    }

    /// Takes in what the other process has learned; a text that cannot be read changes nothing.
    pub async fn apply_statistics(&self, encoded: &[u8]) {
        match Statistics::read(encoded) {
            Err(why) => log(format_args!(
                "handover: what the other process has learned is not taken: {why}"
            )),
            Ok(statistics) => {
                let numbered = self.with_ids(statistics);
                if numbered.pace.is_some() {
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

    /// The same under names that mean the same in every process.
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

    /// The same under this process's numbers; what it has no name for is left out.
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
        // One that does not read what is open here cannot be relied on: the link ends.
        if self.outbox.try_send(message).is_err() {
            self.outbox.close();
        }
    }
}
