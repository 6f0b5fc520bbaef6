//! Accounting for the retry budget, which limits attempts beyond each request's first one in a sliding window.

use crate::api::{RetryBudget, Time};
use std::collections::VecDeque;

/// Accepted requests and retries in the window of the budget. Nothing is recorded without a budget.
#[derive(Default)]
pub(super) struct RetryHistory {
    /// When requests were accepted, in ascending order.
    accepted_at: VecDeque<Time>,
    /// When retries were made, in ascending order.
    retried_at: VecDeque<Time>,
}

impl RetryHistory {
    /// Records an accepted request, which adds to the budget.
    pub(super) fn record_accepted(&mut self, now: Time, budget: Option<RetryBudget>) {
        self.accepted_at.extend(budget.map(|_| now));
    }

    /// Records a retry, which uses the budget.
    pub(super) fn record_retry(&mut self, now: Time, budget: Option<RetryBudget>) {
        self.retried_at.extend(budget.map(|_| now));
    }

    /// Removes a retry that was recorded at this time but never sent.
    pub(super) fn remove_retry(&mut self, sent: Time) {
        if let Ok(position) = self.retried_at.binary_search(&sent) {
            self.retried_at.remove(position);
        }
    }

    /// Number of retries that the budget has left in the window that ends now; infinite without a budget.
    pub(super) fn remaining_retries(&mut self, now: Time, budget: Option<RetryBudget>) -> f64 {
        let Some(budget) = budget else {
            return f64::INFINITY;
        };
        // Without a window, all retries count and no accepted request does.
        let window_start = |unlimited: Time| {
            budget
                .window
                .map_or(unlimited, |window| now.saturating_sub(window))
        };
        let expired_requests = self
            .accepted_at
            .partition_point(|at| *at <= window_start(now));
        self.accepted_at.drain(..expired_requests);
        let expired_retries = self.retried_at.partition_point(|at| *at < window_start(0));
        self.retried_at.drain(..expired_retries);
        budget.free + budget.ratio * self.accepted_at.len() as f64 - self.retried_at.len() as f64
    }

    /// Times of the latest retries, at most `limit`, in ascending order.
    pub(super) fn latest(&self, limit: usize) -> Vec<Time> {
        let first = self.retried_at.len().saturating_sub(limit);
        self.retried_at.iter().skip(first).copied().collect()
    }

    /// Adds retries of the former process. Since statistics may be merged twice, retries with a known time are skipped.
    pub(super) fn merge(&mut self, now: Time, retried_at: Vec<Time>) {
        let is_new = |at: &Time| *at <= now && self.retried_at.binary_search(at).is_err();
        let new_retries: Vec<Time> = retried_at.into_iter().filter(is_new).collect();
        self.retried_at.extend(new_retries);
        self.retried_at.make_contiguous().sort_unstable();
    }
}
