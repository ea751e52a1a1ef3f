//! The two predefined deployments, each in three failure domains.

use std::time::Duration;

use smol_str::format_smolstr;

use super::builder::Builder;
use crate::{engine, service};

/// Number of layers of both models.
const MODEL_LAYERS: u16 = 48;
/// Duration of a booking call.
const BOOKING_TIME: Duration = Duration::from_millis(20);

/// A chain of engines of one kind in a failure domain that together hold the whole model once.
struct ModelCopy {
    accelerator: &'static str,
    tokens_per_second: f64,
    slots: u32,
    /// Layer boundaries from 0 to the number of layers. One engine holds the layers between
    /// each two consecutive boundaries.
    boundaries: &'static [u16],
    checks_orders: bool,
}

/// Model copies in each failure domain of pnw: 14, 14 and 12 engines.
const PNW_COPIES: [&[ModelCopy]; 3] = [
    &[WIDE, WIDE, EVEN, NARROW, SKEWED],
    &[WIDE, WIDE, EVEN, NARROW, SKEWED],
    &[WIDE, EVEN, NARROW, SKEWED],
];
/// Model copies in each failure domain of dar: 13, 13 and 14 engines.
const DAR_COPIES: [&[ModelCopy]; 3] = [
    &[EVEN, EVEN, NARROW, SKEWED],
    &[EVEN, EVEN, NARROW, SKEWED],
    &[WIDE, WIDE, EVEN, NARROW, SKEWED],
];

const WIDE: ModelCopy = ModelCopy {
    accelerator: "h100",
    tokens_per_second: 1_200.0,
    slots: 32,
    boundaries: &[0, 24, 48],
    checks_orders: true,
};
const EVEN: ModelCopy = ModelCopy {
    accelerator: "a100",
    tokens_per_second: 900.0,
    slots: 24,
    boundaries: &[0, 16, 32, 48],
    checks_orders: true,
};
const NARROW: ModelCopy = ModelCopy {
    accelerator: "l4",
    tokens_per_second: 400.0,
    slots: 16,
    boundaries: &[0, 12, 24, 36, 48],
    checks_orders: false,
};
const SKEWED: ModelCopy = ModelCopy {
    accelerator: "a10",
    tokens_per_second: 600.0,
    slots: 16,
    boundaries: &[0, 20, 34, 48],
    checks_orders: false,
};

/// Organisations of pnw and their shares of the load. The first three cause most of it.
const PNW_ORGANISATIONS: [(&str, f64); 10] = [
    ("cascade-crews", 0.28),
    ("cascade-office", 0.22),
    ("harbor-builders", 0.18),
    ("tacoma-interiors", 0.06),
    ("olympic-homes", 0.06),
    ("bend-remodel", 0.05),
    ("spokane-floors", 0.05),
    ("eugene-restoration", 0.04),
    ("yakima-contracting", 0.03),
    ("astoria-cottages", 0.03),
];
/// Organisations of dar and their shares of the load. The first three cause most of it.
const DAR_ORGANISATIONS: [(&str, f64); 10] = [
    ("exhibitor-desk", 0.30),
    ("buyer-desk", 0.24),
    ("kilimanjaro-brewing", 0.14),
    ("dodoma-juices", 0.06),
    ("arusha-spirits", 0.06),
    ("mwanza-bottlers", 0.05),
    ("zanzibar-spices", 0.05),
    ("tanga-coconut", 0.04),
    ("mbeya-coffee", 0.03),
    ("moshi-cider", 0.03),
];

/// Returns the deployment of Cascade Plank & Finish: 40 drafting engines and three booking
/// services.
pub fn pnw() -> Builder {
    deployment("plank", ["pnw-a", "pnw-b", "pnw-c"], &PNW_COPIES, &PNW_ORGANISATIONS)
}

/// Returns the deployment of the fair desk: 40 assistant engines and three booking services.
pub fn dar() -> Builder {
    deployment("maonesho", ["dar-a", "dar-b", "dar-c"], &DAR_COPIES, &DAR_ORGANISATIONS)
}

fn deployment(
    model: &str,
    domains: [&str; 3],
    copies: &[&[ModelCopy]; 3],
    organisations: &[(&str, f64)],
) -> Builder {
    let mut builder = Builder::new(model, MODEL_LAYERS);
    for (domain, copies) in domains.into_iter().zip(copies) {
        for (number, copy) in copies.iter().enumerate() {
            builder = add_copy(builder, domain, number, copy);
        }
        let booking = service::Builder::new(format_smolstr!("{domain}-booking"));
        builder = builder.service(booking.domain(domain).delay(BOOKING_TIME));
    }
    for (name, share) in organisations {
        builder = builder.organisation(*name, *share);
    }
    builder
}

fn add_copy(mut builder: Builder, domain: &str, number: usize, copy: &ModelCopy) -> Builder {
    for (stage, range) in copy.boundaries.windows(2).enumerate() {
        let name = format_smolstr!("{domain}-{}-{number}-{stage}", copy.accelerator);
        let engine = engine::Builder::new(name)
            .place(domain, format_smolstr!("{domain}-r{number}"))
            .layers(range[0], range[1])
            .tokens_per_second(copy.tokens_per_second)
            .slots(copy.slots)
            .accelerator(copy.accelerator)
            .checks_orders(copy.checks_orders);
        builder = builder.engine(engine);
    }
    builder
}
