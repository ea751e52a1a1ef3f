//! Decoding of shards that another writer has written.

use std::time::Duration;

use ledger::Shard;
use proptest::prelude::*;

proptest! {
    #[test]
    fn any_bytes_are_a_shard_or_none(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(shard) = Shard::decode(&bytes) {
            prop_assert!(Shard::decode(&shard.encode()).is_ok());
        }
    }

    #[test]
    fn shards_of_any_time_are_kept(
        clock in any::<u64>(),
        flips in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
    ) {
        let mut shard = Shard::default();
        shard.clock = Duration::from_millis(clock);
        let mut bytes = shard.encode();
        prop_assert_eq!(Shard::decode(&bytes).map(|shard| shard.clock).ok(), Some(shard.clock));
        for (at, byte) in flips {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        Shard::decode(&bytes).map(|shard| shard.encode()).ok();
    }
}
