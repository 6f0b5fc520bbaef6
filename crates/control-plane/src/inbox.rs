//! Queue of events for the driver. The tasks that read sockets, storage responses and signals push to it.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// An unbounded queue with one reader, for use within one thread. Clones share the same queue.
pub struct Inbox<T> {
    shared: Rc<RefCell<Shared<T>>>,
}

struct Shared<T> {
    items: VecDeque<T>,
    /// Wakes the reader; set while it waits for an item.
    reader: Option<Waker>,
}

impl<T> Default for Inbox<T> {
    fn default() -> Self {
        Inbox {
            shared: Rc::new(RefCell::new(Shared {
                items: VecDeque::new(),
                reader: None,
            })),
        }
    }
}

impl<T> Clone for Inbox<T> {
    fn clone(&self) -> Self {
        Inbox {
            shared: Rc::clone(&self.shared),
        }
    }
}

impl<T> Inbox<T> {
    /// Adds an item and wakes the reader.
    pub fn push(&self, item: T) {
        let mut shared = self.shared.borrow_mut();
        shared.items.push_back(item);
        if let Some(reader) = shared.reader.take() {
            reader.wake();
        }
    }

    /// Removes and returns the oldest item; `None` if the queue is empty.
    pub fn pop(&self) -> Option<T> {
        self.shared.borrow_mut().items.pop_front()
    }

    /// Waits until the queue holds an item.
    pub async fn wait_non_empty(&self) {
        poll_fn(|context| {
            let mut shared = self.shared.borrow_mut();
            if shared.items.is_empty() {
                shared.reader = Some(context.waker().clone());
                return Poll::Pending;
            }
            Poll::Ready(())
        })
        .await;
    }
}
