//! Tests of the queue's order, and of the steps that a pass visits.

use super::*;

/// Label of steps that no worker can take.
const RARE: &str = "rare";

/// The position of step `number` in a queue of steps of one priority.
fn key(number: u32) -> QueueKey {
    QueueKey {
        hopeless: false,
        priority: 1,
        cost_class: 0,
        prospect: Prospect::InTime,
        latest_start_ms: i64::from(number),
        step_ref: StepRef {
            job: JobId(1),
            repeat: 0,
            step: number,
        },
    }
}

fn need(label: &str) -> StepNeed {
    StepNeed {
        label: label.to_owned(),
        tasks_at_once: 1,
        ..StepNeed::default()
    }
}

/// Numbers of the first steps if only workers for other needs than [`RARE`] are there.
fn first_steps(queue: &Queue, max: usize) -> Vec<u32> {
    let steps = queue.first_steps(max, |need| need.label != RARE);
    steps.iter().map(|key| key.step_ref.step).collect()
}

/// A queue of 10 steps; those with an even number need what no worker has.
fn mixed_queue() -> Queue {
    let mut queue = Queue::default();
    for number in (0..10).rev() {
        let label = if number % 2 == 0 { RARE } else { "" };
        queue.insert(key(number), need(label));
    }
    queue
}

#[test]
fn a_queue_up_to_the_bound_is_visited_whole() {
    assert_eq!(first_steps(&mixed_queue(), 10), Vec::from_iter(0..10));
    assert!(first_steps(&Queue::default(), 10).is_empty());
}

/// Failure: steps that no worker can take filled the bound, and no step behind them was ever looked at.
#[test]
fn steps_that_no_worker_can_take_do_not_hide_those_behind() {
    assert_eq!(first_steps(&mixed_queue(), 4), [0, 1, 2, 3, 5, 7, 9]);
    assert_eq!(first_steps(&mixed_queue(), 2), [0, 1, 3, 5]);
}

#[test]
fn removed_and_moved_steps_leave_their_former_position() {
    let mut queue = mixed_queue();
    assert_eq!(queue.remove(&key(1)), Some(need("")));
    assert_eq!(queue.remove(&key(1)), None);
    let last = QueueKey {
        latest_start_ms: 99,
        ..key(3)
    };
    queue.reposition(&key(3), last);
    queue.reposition(&key(3), key(3));
    assert_eq!(first_steps(&queue, 2), [0, 2, 5, 7]);
    assert_eq!(queue.iter().last(), Some(&last));
    (0..10).for_each(|number| drop(queue.remove(&key(number))));
    queue.remove(&last);
    assert!(queue.is_empty() && queue.by_need.is_empty() && queue.needs.is_empty());
}
