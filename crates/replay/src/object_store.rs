//! What jobs need and job workers keep: tables, a model, a customer's data. A worker keeps a few things, the one used
//! longest ago goes first, and fetches what it lacks from one store for all, while the job holds its slots.
//!
//! The store serves so many fetches at once at full speed. A fetch that begins while more are under way takes longer in
//! proportion; how long is settled as it begins.

use crate::scenario::Micros;
use std::sync::{Arc, Mutex, PoisonError};

/// The store of all job workers.
#[derive(Debug)]
pub struct Store {
    at_once: f64,
    under_way: Vec<Micros>, // when each ends
    fetches: u64,
}

impl Store {
    /// One that serves so many fetches at once at full speed.
    pub fn new(at_once: f64) -> Self {
        Store {
            at_once: at_once.max(0.01),
            under_way: Vec::new(),
            fetches: 0,
        }
    }

    /// A fetch begins that takes so long by itself: how long it takes.
    pub fn begin(&mut self, now: Micros, alone: Micros) -> Micros {
        self.under_way.retain(|ends| *ends > now);
        let crowd = ((self.under_way.len() + 1) as f64 / self.at_once).max(1.0);
        let takes = (alone as f64 * crowd) as Micros;
        self.under_way.push(now + takes);
        self.fetches += 1;
        takes
    }

    /// Fetches so far.
    pub fn fetches(&self) -> u64 {
        self.fetches
    }
}

/// What one job worker keeps.
#[derive(Debug)]
pub struct Shelf {
    store: Arc<Mutex<Store>>,
    room: usize,
    kept: Vec<(u64, Micros)>, // what, and when it is there; last used last
}

impl Shelf {
    /// An empty one with room for so many things.
    pub fn new(store: Arc<Mutex<Store>>, room: usize) -> Self {
        Shelf {
            store,
            room: room.max(1),
            kept: Vec::new(),
        }
    }

    /// Has it this thing, or is it on its way here?
    pub fn has(&self, thing: u64) -> bool {
        self.kept.iter().any(|(other, _)| *other == thing)
    }

    /// A job needs this: how long until it is there. `alone`: a fetch takes so long by itself.
    pub fn need(&mut self, now: Micros, thing: u64, alone: Micros) -> Micros {
        let there = match self.kept.iter().position(|(other, _)| *other == thing) {
            Some(n) => self.kept.remove(n).1,
            None => {
                let takes = self
                    .store
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .begin(now, alone);
                if self.kept.len() >= self.room {
                    self.kept.remove(0);
                }
                now + takes
            }
        };
        self.kept.push((thing, there));
        there.saturating_sub(now)
    }

    /// A new process has nothing.
    pub fn clear(&mut self) {
        self.kept.clear();
    }
}

#[cfg(test)]
mod tests;
