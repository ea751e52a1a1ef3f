//! The retry budget of one service.

use std::collections::VecDeque;
use std::time::Duration;

use site::Bounds;

use crate::participants::Share;

/// Number of slots in a window.
const WINDOW_SLOTS: u32 = 20;

/// Fraction of the budget that VMs plan to spend. When a VM ends, its callers go to other VMs, and
/// their requests are counted a second time there until the loss is known. The remainder covers
/// this.
const PLANNED_FRACTION: f64 = 0.8;

/// Fraction of the remaining share that a VM lends at once. The rest is kept for its own streams.
const LOAN_FRACTION: f64 = 0.5;

/// Time from the request for a loan until the loan expires. The lender keeps the lent retries in
/// its count for this much longer than the window.
const LOAN_TTL: Duration = Duration::from_millis(200);

/// Counts requests and retries of one service in a sliding window.
///
/// Each VM owns a share of the total. A VM that runs out borrows from others, and the lender counts
/// lent retries as spent, so that all VMs together never exceed the total.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    slots: VecDeque<Slot>,
    loans: VecDeque<Loan>,
}

/// Retries borrowed from another VM.
#[derive(Clone, Copy, Debug)]
struct Loan {
    retries: u32,
    expires_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    started_at: Duration,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Counts a request from a caller.
    pub fn count_request(&mut self, now: Duration, bounds: &Bounds) {
        self.current_slot(now, bounds).requests += 1;
    }

    /// Takes one retry from this VM's share, else from a loan. Returns whether there was one.
    pub fn take_retry(&mut self, now: Duration, bounds: &Bounds, share: Share) -> bool {
        if self.remaining(now, bounds, share) >= 1.0 {
            self.current_slot(now, bounds).retries += 1;
            return true;
        }
        self.loans.retain(|loan| now < loan.expires_at && loan.retries > 0);
        let Some(loan) = self.loans.front_mut() else { return false };
        loan.retries -= 1;
        true
    }

    /// Deducts up to `requested` retries from this VM's share for another VM, and returns how many.
    pub fn lend(&mut self, now: Duration, bounds: &Bounds, share: Share, requested: u32) -> u32 {
        let lendable = self.remaining(now, bounds, share) * LOAN_FRACTION;
        let lent = requested.min(lendable.max(0.0) as u32);
        self.current_slot(now, bounds).retries += lent;
        lent
    }

    /// Adds retries lent by another VM, which was asked for them at `requested_at`.
    pub fn add_loan(&mut self, requested_at: Duration, retries: u32) {
        self.loans.push_back(Loan { retries, expires_at: requested_at + LOAN_TTL });
    }

    /// Returns the retries left in this VM's share. The result is negative after the share has
    /// shrunk.
    fn remaining(&mut self, now: Duration, bounds: &Bounds, share: Share) -> f64 {
        let window = bounds.retry_window;
        self.current_slot(now, bounds);
        let within = self.slots.iter().filter(|slot| slot.started_at + window >= now);
        let requests: u32 = within.map(|slot| slot.requests).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let allowed = bounds.retry_share * f64::from(requests) * share.requests
            + bounds.retry_extra * share.extra;
        PLANNED_FRACTION * allowed - f64::from(retries)
    }

    /// Returns the current slot, and drops slots too old to hold a retry, or the use of a loan,
    /// within the window.
    fn current_slot(&mut self, now: Duration, bounds: &Bounds) -> &mut Slot {
        let length = bounds.retry_window / WINDOW_SLOTS;
        let retention = bounds.retry_window + length + LOAN_TTL;
        while self.slots.front().is_some_and(|slot| slot.started_at + retention < now) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.started_at + length <= now) {
            self.slots.push_back(Slot { started_at: now, requests: 0, retries: 0 });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
