//! Which node may send orders while the store is unreachable, a lease lapses or another node leads.

use std::time::Duration;

use edge::Claim;
use yare::parameterized;

const UNTIL: Duration = Duration::from_secs(10);

/// Returns the claim of node `a`, which holds the leader key with fencing number 7.
fn leading() -> Claim {
    let mut claim = Claim::default();
    claim.set_holder(Some(("a".to_owned(), 7)));
    claim.set_lease_end(UNTIL);
    claim
}

struct Case {
    now_s: u64,
    fenced: bool,
    fence: Option<u64>,
}

#[parameterized(
    lease_holds = { Case { now_s: 9, fenced: false, fence: Some(7) } },
    lease_is_about_to_end = { Case { now_s: 10, fenced: false, fence: None } },
    store_away_and_engines_check = { Case { now_s: 16, fenced: true, fence: Some(7) } },
    store_away_and_engines_do_not_check = { Case { now_s: 16, fenced: false, fence: None } },
    store_away_for_long = { Case { now_s: 26, fenced: true, fence: None } },
)]
fn holder_sends_orders_while_its_lease_allows(case: Case) {
    let now = Duration::from_secs(case.now_s);
    assert_eq!(leading().fence(now, "a", case.fenced), case.fence);
    assert_eq!(leading().fence(now, "b", case.fenced), None, "another node");
}

#[test]
fn higher_fencing_number_ends_leadership() {
    let now = Duration::from_secs(12);
    let mut heard = leading();
    heard.observe_fence(8);
    assert_eq!(heard.fence(now, "a", true), None);
    let mut seen = leading();
    seen.set_holder(Some(("b".to_owned(), 8)));
    assert_eq!(seen.fence(now, "a", true), None);
    let mut refused = leading();
    refused.clear_lease();
    assert_eq!(refused.fence(now, "a", true), None);
    assert!(!refused.is_vacant(), "the key stands until the store removes it");
}

#[test]
fn own_or_lower_fencing_number_changes_nothing() {
    let mut claim = leading();
    claim.observe_fence(7);
    claim.observe_fence(3);
    assert_eq!(claim.fence(Duration::from_secs(12), "a", true), Some(7));
}

#[test]
fn removed_leader_key_ends_leadership() {
    let mut claim = leading();
    claim.set_holder(None);
    assert_eq!(claim.fence(Duration::from_secs(9), "a", true), None);
    assert!(claim.is_vacant());
}
