//! The other process of this scheduler, while one replaces the other: its open ids, and what it is told.

use super::Platform;
use crate::config::{Names, News};
use crate::core::{CoreInput, StatisticsScope};
use crate::net::log;
use crate::statistics::Statistics;
use async_channel::{Receiver, Sender, bounded};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::TcpStream;
use std::rc::Rc;

/// Words that may wait for the other process.
const MAILBOX: usize = 4096;

/// What one process tells the other.
pub enum Word {
    /// A job of this id is open here.
    Opened(String),
    /// It no longer is.
    Closed(String),
    /// News of a job that is not open here.
    News(Vec<u8>),
    /// This process takes clients now.
    Serves,
    /// What this process has learned, as written.
    Statistics(Vec<u8>),
    /// A job goes over, with its client's connection.
    Moved(Vec<u8>, TcpStream),
}

/// The other process, as this one sees it.
pub struct Kin {
    /// Ids of the jobs that are open there.
    pub ids: RefCell<HashSet<String>>,
    /// What it is to be told.
    pub words: Sender<Word>,
}

impl Platform {
    /// The other process is there. It hears of all jobs that are open here, and of what becomes of them.
    pub fn join(&self) -> (Rc<Kin>, Receiver<Word>) {
        let (words, told) = bounded(MAILBOX);
        let kin = Rc::new(Kin {
            ids: RefCell::default(),
            words,
        });
        self.kin.borrow_mut().push(kin.clone());
        for id in self.traces.borrow().keys() {
            kin.tell(Word::Opened(id.clone()));
        }
        (kin, told)
    }

    /// The other process is gone.
    pub fn part(&self, kin: &Rc<Kin>) {
        self.kin.borrow_mut().retain(|k| !Rc::ptr_eq(k, kin));
    }

    /// Is a job of this id open in the other process? Then it is not another one here.
    pub(super) fn open_elsewhere(&self, id: &str) -> bool {
        self.kin
            .borrow()
            .iter()
            .any(|kin| kin.ids.borrow().contains(id))
    }

    pub(super) fn tell_kin(&self, word: impl Fn() -> Word) {
        self.kin.borrow().iter().for_each(|kin| kin.tell(word()));
    }

    /// Takes a piece of news. Job workers reach whichever process accepts: what is not open here may be open in the
    /// other one, and goes there, though never back to where it came from.
    pub async fn news(&self, text: &[u8], news: News, from: Option<&Rc<Kin>>) {
        if self.waits(&news.id, text) {
            return;
        }
        let open = self.traces.borrow().contains_key(&news.id);
        let told: Option<CoreInput> = self.hear(&news);
        if let Some(told) = told {
            let _ = self.core.send(told).await;
        }
        if !open {
            let others: Vec<Rc<Kin>> = self.kin.borrow().clone();
            // A job that has gone over was not open there yet when the other process heard of it.
            let back = self.has_moved(&news.id);
            for kin in others
                .iter()
                .filter(|kin| back || from.is_none_or(|from| !Rc::ptr_eq(from, kin)))
            {
                let _ = kin.words.send(Word::News(text.to_vec())).await;
            }
        }
    }
}

impl Platform {
    /// Tells the other process what was learned here.
    pub async fn tell_learned(&self, kin: &Kin, how: StatisticsScope) {
        let (to, from) = bounded(1);
        let _ = self.core.send(CoreInput::ReadStatistics(to, how)).await;
        let Ok(statistics) = from.recv().await else {
            return;
        };
        let mut named = self.named(statistics);
        let form = named.write().or_else(|| {
            // Too many machines: what is known of kinds, classes and the whole is worth more.
            named.workers.clear();
            named.write()
        });
        if let Some(form) = form {
            let _ = kin.words.send(Word::Statistics(form)).await;
        }
    }

    /// Takes in what the other process has learned; a text that cannot be read changes nothing.
    pub async fn take_learned(&self, form: &[u8]) {
        match Statistics::read(form) {
            Err(why) => log(format_args!(
                "handover: what the other process has learned is not taken: {why}"
            )),
            Ok(statistics) => {
                let of = self.numbered(statistics);
                if of.pace.is_some() {
                    let (kinds, classes, machines) =
                        (of.kinds.len(), of.classes.len(), of.workers.len());
                    log(format_args!(
                        "handover: takes over what was learned kinds={kinds} classes={classes} machines={machines}"
                    ));
                }
                let _ = self.core.send(CoreInput::Statistics(Box::new(of))).await;
            }
        }
    }

    /// The same under names that mean the same in every process.
    fn named(&self, statistics: Statistics<u32>) -> Statistics<String> {
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
    fn numbered(&self, statistics: Statistics<String>) -> Statistics<u32> {
        let (site, names) = (self.site.borrow(), self.names.borrow());
        statistics.renamed(
            |kind| site.kinds.find(kind),
            |class| site.class(class),
            |tenant| site.tenants.find(tenant),
            |worker| names.get(worker).copied(),
        )
    }
}

impl Kin {
    fn tell(&self, word: Word) {
        // One that does not read what is open here cannot be relied on: the link ends.
        if self.words.try_send(word).is_err() {
            self.words.close();
        }
    }
}
