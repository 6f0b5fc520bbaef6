//! What the head has to be told once on each connection: lives that are gone, starts that never began.

use indigofold_protocol::task::RunId;
use std::collections::VecDeque;

/// Most starts given back that are told again on a new connection.
pub const NOT_STARTED_MAX: usize = 512;
/// Most former lives that are told again on a new connection.
pub const ENDED_INSTANCES_MAX: usize = 16;

/// Items of which each connection is told once; the oldest are forgotten first.
#[derive(Debug)]
pub struct Unreported<T> {
    items: VecDeque<(T, bool)>,
    most: usize,
}

impl<T: Clone + PartialEq> Unreported<T> {
    /// Keeps `most` items.
    pub fn new(most: usize) -> Self {
        Unreported {
            items: VecDeque::new(),
            most,
        }
    }

    /// Adds an item, to be told (again).
    pub fn push(&mut self, item: T) {
        self.remove(&item);
        self.items.push_back((item, false));
        if self.items.len() > self.most {
            self.items.pop_front();
        }
    }

    /// Takes an item back.
    pub fn remove(&mut self, item: &T) {
        self.items.retain(|(kept, _)| kept != item);
    }

    /// Whether this item is kept.
    pub fn contains(&self, item: &T) -> bool {
        self.items.iter().any(|(kept, _)| kept == item)
    }

    /// Whether something has not been told on this connection.
    pub fn pending(&self) -> bool {
        self.items.iter().any(|(_, reported)| !reported)
    }

    /// A new connection has been told nothing.
    pub fn handle_connected(&mut self) {
        self.items
            .iter_mut()
            .for_each(|(_, reported)| *reported = false);
    }

    /// What has not been told on this connection, which is told with this.
    pub fn take_unreported(&mut self) -> Vec<T> {
        let untold = self.items.iter_mut().filter(|(_, reported)| !reported);
        untold
            .map(|(item, reported)| {
                *reported = true;
                item.clone()
            })
            .collect()
    }
}

/// Starts given back.
pub type NotStarted = Unreported<RunId>;
/// Former lives.
pub type EndedInstances = Unreported<String>;
