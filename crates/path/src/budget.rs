//! The budget of retries.

use std::collections::VecDeque;
use std::time::Duration;

use site::Bounds;

/// Slots that a window is divided into.
const SLOTS: u32 = 20;

/// Part of the budget that is spent. The rest covers what this VM cannot know: VMs that
/// stopped and are counted again as others, and windows that slide between the slots.
const SPENT_PART: f64 = 0.8;

/// Windows after its start in which a VM takes nothing of the extra.
const YOUNG: f64 = 0.5;

/// Part of what is left that a VM lends at once: the rest is for its own streams.
const LENT_PART: f64 = 0.5;

/// How long a borrowed retry may be used. The lender has counted it when it lent it, so that it
/// must fall into about the same window.
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
    number: u64,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Counts a request of a caller.
    pub fn request(&mut self, now: Duration, bounds: &Bounds) {
        self.slot(now, bounds).requests += 1;
    }

    /// Takes one retry out of this VM's share, or one that it has borrowed, if any is left. `vms`
    /// share the extra. A VM that has just started has a part of it only: the one that it
    /// replaces may have spent the rest.
    pub fn retry(&mut self, now: Duration, bounds: &Bounds, vms: usize) -> bool {
        if self.left(now, bounds, vms) >= 1.0 {
            self.slot(now, bounds).retries += 1;
            return true;
        }
        self.loans.retain(|loan| now < loan.until && loan.retries > 0);
        let Some(loan) = self.loans.front_mut() else { return false };
        loan.retries -= 1;
        true
    }

    /// Gives away up to `asked` retries of this VM's share; returns how many.
    pub fn lend(&mut self, now: Duration, bounds: &Bounds, vms: usize, asked: u32) -> u32 {
        let spare = self.left(now, bounds, vms) * LENT_PART;
        let lent = asked.min(spare.max(0.0) as u32);
        self.slot(now, bounds).retries += lent;
        lent
    }

    /// Takes retries that another VM has lent.
    pub fn borrow(&mut self, now: Duration, retries: u32) {
        self.loans.push_back(Loan { retries, until: now + LOAN_TIME });
    }

    /// Retries that are left of this VM's share; below 0 when its share has shrunk.
    fn left(&mut self, now: Duration, bounds: &Bounds, vms: usize) -> f64 {
        self.slot(now, bounds);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let age = now.as_secs_f64() / bounds.retry_window.as_secs_f64();
        let part = (age - YOUNG).clamp(0.0, 1.0);
        let extra = bounds.retry_extra / vms.max(1) as f64 * part;
        let allowed = SPENT_PART * (bounds.retry_share * f64::from(requests) + extra);
        allowed - f64::from(retries)
    }

    fn slot(&mut self, now: Duration, bounds: &Bounds) -> &mut Slot {
        let length = bounds.retry_window / SLOTS;
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        while self.slots.front().is_some_and(|slot| slot.number + u64::from(SLOTS) <= number) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(Slot { number, requests: 0, retries: 0 });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
