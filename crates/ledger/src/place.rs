//! Where a claim is kept.

use std::hash::Hasher;

use sha2::{Digest, Sha256};
use siphasher::sip::SipHasher13;
use smol_str::SmolStr;

use crate::{Key, ShardId};

/// Digest that stands for a [`Key`] in a shard.
pub type KeyId = [u8; 16];

/// Number of shards. It is part of the stored form: nodes that disagree on it would record claims
/// under one key in two places, so it is no setting.
pub const SHARDS: u32 = 32;

/// Digest of a key. Parts are preceded by their lengths, so that no two keys read alike.
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

/// Shard that keeps a key.
pub fn shard_of(id: &KeyId) -> ShardId {
    u32::from_le_bytes([id[0], id[1], id[2], id[3]]) % SHARDS
}

/// Key of a shard in the store.
pub fn store_key(shard: ShardId) -> String {
    format!("magnolia/ledger/{shard}")
}

/// Node that is preferred for a shard, by rendezvous hashing: the loss of a node moves only its
/// own shards. The preference saves writes and guards nothing.
pub fn preferred(shard: ShardId, nodes: &[SmolStr]) -> Option<&SmolStr> {
    nodes.iter().max_by_key(|node| {
        let mut hasher = SipHasher13::new();
        hasher.write_u32(shard);
        hasher.write(node.as_bytes());
        (hasher.finish(), node.as_str())
    })
}
