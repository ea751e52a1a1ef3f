//! Drills of a soak test: the store is away for a moment and comes back from a copy.

use std::time::{Duration, Instant};

use platform_standin::{Document, Platform, StoreCopy};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Key that stays valid.
pub(crate) const VALID_KEY: &str = "valid";
/// Keys of which each drill withdraws one.
pub(crate) const WITHDRAWN_KEYS: [&str; MAX_DRILLS] = ["first", "second"];
const MAX_DRILLS: usize = 2;
/// Distinguishes the numbers drawn here from those of the other faults.
const SEED_MASK: u64 = 0xD511;
/// Ages of copies, milliseconds.
const COPY_AGES_MS: [u64; 3] = [100, 1000, 8000];
/// Shortest and longest time before a drill, milliseconds.
const PAUSE_MS: (u64, u64) = (200, 2500);
/// Shortest and longest absence of the store, milliseconds.
const ABSENCE_MS: (u64, u64) = (50, 1500);
/// Time within which operators and targets write again after the return, milliseconds.
const REWRITE_LIMIT_MS: u64 = 1900;

/// Steps of a drill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Copy,
    /// The operators withdraw a key after the copy.
    Withdraw,
    Leave,
    Return,
    /// The operators write the configuration again.
    Configure,
    /// The targets write their entries again.
    Register,
}

/// A key that was withdrawn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Withdrawal {
    pub(crate) key: &'static str,
    pub(crate) at: Instant,
    /// Time at which the operators wrote it again, after the drill.
    pub(crate) again_at: Instant,
}

/// The drills of one run.
pub(crate) struct Drills {
    steps: Vec<(Instant, Step)>,
    /// The present copy, and the time at which it was taken.
    copy: Option<(Instant, StoreCopy)>,
    version: u64,
    withdrawals: Vec<Withdrawal>,
    /// Times of the copies and of the returns with them.
    losses: Vec<(Instant, Instant)>,
}

fn millis(rng: &mut SmallRng, (shortest, longest): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(shortest..=longest))
}

impl Drills {
    /// Draws one or two drills.
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ SEED_MASK);
        let mut steps = Vec::new();
        let mut at = Instant::now();
        for _ in 0..rng.random_range(1..=MAX_DRILLS) {
            at += millis(&mut rng, PAUSE_MS);
            let age = Duration::from_millis(COPY_AGES_MS[rng.random_range(0..COPY_AGES_MS.len())]);
            steps.push((at, Step::Copy));
            steps.push((at + age.mul_f64(rng.random()), Step::Withdraw));
            at += age;
            steps.push((at, Step::Leave));
            at += millis(&mut rng, ABSENCE_MS);
            steps.push((at, Step::Return));
            steps.push((at + millis(&mut rng, (0, REWRITE_LIMIT_MS)), Step::Configure));
            steps.push((at + millis(&mut rng, (0, REWRITE_LIMIT_MS)), Step::Register));
            at += Duration::from_millis(REWRITE_LIMIT_MS);
        }
        steps.sort_by_key(|(at, _)| *at);
        let (withdrawals, losses) = Default::default();
        Self { steps, copy: None, version: 1, withdrawals, losses }
    }

    /// Returns the configuration in force.
    pub(crate) fn document(&self) -> Document {
        let withdrawn = self.withdrawals.len();
        let keys = WITHDRAWN_KEYS.iter().skip(withdrawn).copied().chain([VALID_KEY]).collect();
        Document { version: self.version, keys, ..Document::default() }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.is_empty()
    }

    pub(crate) fn withdrawals(&self) -> &[Withdrawal] {
        &self.withdrawals
    }

    /// Returns the times between which what was written into the store is lost.
    pub(crate) fn losses(&self) -> &[(Instant, Instant)] {
        &self.losses
    }

    /// Carries out the steps that are due. Returns a line for each.
    pub(crate) fn carry_out(&mut self, platform: &Platform) -> Vec<String> {
        let due = self.steps.iter().take_while(|(at, _)| *at <= Instant::now()).count();
        let due: Vec<(Instant, Step)> = self.steps.drain(..due).collect();
        for (_, step) in &due {
            self.carry_out_step(*step, platform);
        }
        due.iter().map(|(_, step)| format!("drill: {step:?}")).collect()
    }

    fn carry_out_step(&mut self, step: Step, platform: &Platform) {
        match step {
            Step::Copy => self.copy = Some((Instant::now(), platform.copy_store())),
            Step::Withdraw => {
                let now = Instant::now();
                let key = WITHDRAWN_KEYS[self.withdrawals.len()];
                self.withdrawals.push(Withdrawal { key, at: now, again_at: now });
                self.version += 1;
                platform.configure(&self.document());
            }
            Step::Leave => platform.set_unavailable(true),
            Step::Return => {
                if let Some((copied_at, copy)) = self.copy.take() {
                    platform.restore_content(copy);
                    self.losses.push((copied_at, Instant::now()));
                }
                platform.set_unavailable(false);
            }
            Step::Configure => {
                platform.configure(&self.document());
                if let Some(withdrawal) = self.withdrawals.last_mut() {
                    withdrawal.again_at = Instant::now();
                }
            }
            Step::Register => platform.register_targets(),
        }
    }
}
