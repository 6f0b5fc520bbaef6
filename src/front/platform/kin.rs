//! The other process of this scheduler, while one replaces the other: its open ids, and what it is told.

use super::Platform;
use crate::config::News;
use crate::core::Told;
use async_channel::{Receiver, Sender, bounded};
use std::cell::RefCell;
use std::collections::HashSet;
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
    /// This process takes submitters now.
    Serves,
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
        let kin = Rc::new(Kin { ids: RefCell::default(), words });
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
        self.kin.borrow().iter().any(|kin| kin.ids.borrow().contains(id))
    }

    pub(super) fn tell_kin(&self, word: impl Fn() -> Word) {
        self.kin.borrow().iter().for_each(|kin| kin.tell(word()));
    }

    /// Takes a piece of news. Job workers reach whichever process accepts: what is not open here may be open in the
    /// other one, and goes there, though never back to where it came from.
    pub async fn news(&self, text: &[u8], news: News, from: Option<&Rc<Kin>>) {
        let open = self.traces.borrow().contains_key(&news.id);
        let told: Option<Told> = self.hear(news);
        if let Some(told) = told {
            let _ = self.core.send(told).await;
        }
        if !open {
            let others: Vec<Rc<Kin>> = self.kin.borrow().clone();
            for kin in others.iter().filter(|kin| from.is_none_or(|from| !Rc::ptr_eq(from, kin))) {
                let _ = kin.words.send(Word::News(text.to_vec())).await;
            }
        }
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
