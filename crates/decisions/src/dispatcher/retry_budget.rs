//! The budget of retries, that is, of attempts beyond each request's first: what it has been used for, in its window.

use crate::api::{ResendBudget, Time};
use std::collections::VecDeque;

/// Accepted requests and retries in the window of the budget. Without a budget nothing is recorded.
#[derive(Default)]
pub(super) struct RetryHistory {
    /// When requests were accepted, in order.
    accepted_at: VecDeque<Time>,
    /// When retries were made, in order.
    retried_at: VecDeque<Time>,
}

impl RetryHistory {
    /// Records an accepted request, which adds to the budget.
    pub(super) fn record_accepted(&mut self, now: Time, budget: Option<ResendBudget>) {
        self.accepted_at.extend(budget.map(|_| now));
    }

    /// Records a retry, which uses up one of the budget.
    pub(super) fn record_retry(&mut self, now: Time, budget: Option<ResendBudget>) {
        self.retried_at.extend(budget.map(|_| now));
    }

    /// Removes a retry that was recorded at this time but never made.
    pub(super) fn take_back(&mut self, sent: Time) {
        if let Ok(position) = self.retried_at.binary_search(&sent) {
            self.retried_at.remove(position);
        }
    }

    /// Retries that the budget has left in the window that ends now.
    pub(super) fn left(&mut self, now: Time, budget: Option<ResendBudget>) -> f64 {
        let Some(budget) = budget else {
            return f64::INFINITY;
        };
        // Without a window every retry counts, and no accepted request.
        let window_start = |unlimited: Time| {
            budget
                .window
                .map_or(unlimited, |window| now.saturating_sub(window))
        };
        let expired = self
            .accepted_at
            .partition_point(|at| *at <= window_start(now));
        self.accepted_at.drain(..expired);
        let expired = self.retried_at.partition_point(|at| *at < window_start(0));
        self.retried_at.drain(..expired);
        budget.free + budget.ratio * self.accepted_at.len() as f64 - self.retried_at.len() as f64
    }

    /// Times of the latest retries, at most this many, in order.
    pub(super) fn latest(&self, limit: usize) -> Vec<Time> {
        let first = self.retried_at.len().saturating_sub(limit);
        self.retried_at.iter().skip(first).copied().collect()
    }

    /// Adds retries of the former process. Statistics may be merged twice: retries that are known already count once.
    pub(super) fn merge(&mut self, now: Time, retried_at: Vec<Time>) {
        let is_new = |at: &Time| *at <= now && self.retried_at.binary_search(at).is_err();
        let new: Vec<Time> = retried_at.into_iter().filter(is_new).collect();
        self.retried_at.extend(new);
        self.retried_at.make_contiguous().sort_unstable();
    }
}
