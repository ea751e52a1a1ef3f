//! The budget of retries.

use std::collections::VecDeque;
use std::time::Duration;

use site::Bounds;

use crate::participants::Share;

/// Slots that a window is divided into.
const SLOTS: u32 = 20;

/// Part of the budget that is spent. The rest covers requests that other VMs count as well: their
/// callers went there when a VM ended, and this is known only later.
const SPENT_PART: f64 = 0.8;

/// Part of what is left that a VM lends at once: the rest is for its own streams.
const LENT_PART: f64 = 0.5;

/// How long after it was asked for a borrowed retry may be used: the lender counts it for so much
/// longer.
const LOAN_TIME: Duration = Duration::from_millis(200);

/// Counts requests and retries of one service in a sliding window.
///
/// Each VM has a part of what all may spend. One that needs more borrows from others, who count
/// what they lend as spent: together they never spend more than is allowed.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    slots: VecDeque<Slot>,
    loans: VecDeque<Loan>,
}

/// Retries borrowed from another VM.
#[derive(Clone, Copy, Debug)]
struct Loan {
    retries: u32,
    until: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    begins: Duration,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: Duration, bounds: &Bounds) {
        self.slot(now, bounds).requests += 1;
    }

    /// Takes one retry out of this VM's share, or one that it has borrowed, if any is left.
    pub fn take_retry(&mut self, now: Duration, bounds: &Bounds, share: Share) -> bool {
        if self.left(now, bounds, share) >= 1.0 {
            self.slot(now, bounds).retries += 1;
            return true;
        }
        self.loans.retain(|loan| now < loan.until && loan.retries > 0);
        let Some(loan) = self.loans.front_mut() else { return false };
        loan.retries -= 1;
        true
    }

    /// Gives away up to `asked` retries of this VM's share; returns how many.
    pub fn lend(&mut self, now: Duration, bounds: &Bounds, share: Share, asked: u32) -> u32 {
        let spare = self.left(now, bounds, share) * LENT_PART;
        let lent = asked.min(spare.max(0.0) as u32);
        self.slot(now, bounds).retries += lent;
        lent
    }

    /// Takes retries that another VM has lent, for which it was asked at `asked`.
    pub fn add_loan(&mut self, asked: Duration, retries: u32) {
        self.loans.push_back(Loan { retries, until: asked + LOAN_TIME });
    }

    /// Retries that are left of this VM's share; below 0 when its share has shrunk.
    fn left(&mut self, now: Duration, bounds: &Bounds, share: Share) -> f64 {
        let window = bounds.retry_window;
        self.slot(now, bounds);
        let within = self.slots.iter().filter(|slot| slot.begins + window >= now);
        let requests: u32 = within.map(|slot| slot.requests).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let allowed = bounds.retry_share * f64::from(requests) * share.requests
            + bounds.retry_extra * share.extra;
        SPENT_PART * allowed - f64::from(retries)
    }

    /// The slot of this moment. Those are kept that may hold a retry, or the use of a loan, within
    /// the window.
    fn slot(&mut self, now: Duration, bounds: &Bounds) -> &mut Slot {
        let length = bounds.retry_window / SLOTS;
        let kept = bounds.retry_window + length + LOAN_TIME;
        while self.slots.front().is_some_and(|slot| slot.begins + kept < now) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.begins + length <= now) {
            self.slots.push_back(Slot { begins: now, requests: 0, retries: 0 });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
