//! Maps keys to shards, and shards to store keys and preferred nodes.

use std::hash::Hasher;

use sha2::{Digest, Sha256};
use siphasher::sip::SipHasher13;
use smol_str::SmolStr;

use crate::{Key, ShardId};

/// First 16 bytes of the SHA-256 digest of a [`Key`]; identifies the key in a shard.
pub type KeyId = [u8; 16];

/// Number of shards. It is a constant instead of a setting because it is part of the stored form:
/// nodes with different values would record claims on one key in different shards.
pub const SHARD_COUNT: u32 = 32;

/// Returns the identifier of a key. Each part is hashed with a length prefix, so that different
/// keys never produce the same input to the hash.
pub fn key_id(key: &Key) -> KeyId {
    let mut hasher = Sha256::new();
    for part in [&key.organisation, &key.service, &key.text] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let digest = hasher.finalize();
    let mut id = KeyId::default();
    id.copy_from_slice(&digest[..size_of::<KeyId>()]);
    id
}

/// Returns the shard that a key belongs to.
pub fn shard_of(id: &KeyId) -> ShardId {
    u32::from_le_bytes([id[0], id[1], id[2], id[3]]) % SHARD_COUNT
}

/// Returns the store key of a shard.
pub fn store_key(shard: ShardId) -> String {
    format!("magnolia/ledger/{shard}")
}

/// Returns the preferred node of a shard by rendezvous hashing, so that the loss of a node moves
/// only that node's shards. The preference reduces write conflicts; correctness does not depend on
/// it.
pub fn preferred_node(shard: ShardId, nodes: &[SmolStr]) -> Option<&SmolStr> {
    nodes.iter().max_by_key(|node| {
        let mut hasher = SipHasher13::new();
        hasher.write_u32(shard);
        hasher.write(node.as_bytes());
        (hasher.finish(), node.as_str())
    })
}
