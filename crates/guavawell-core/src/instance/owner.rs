//! Rendezvous hashing: instances with the same members pick the same owner for a key.

use crate::id::InstanceId;

/// Returns the owner of `key` among `members`, or `None` without members.
///
/// When a member joins or leaves, only the keys that it gains or owned change
/// their owner. Slots, witnesses and the polling of backend servers are
/// distributed this way. Instances with different views may pick different
/// owners, so ownership grants no rights: those come from the tables in the
/// platform's store.
pub fn owner<'a>(
    members: impl IntoIterator<Item = &'a InstanceId>,
    key: &[u8],
) -> Option<&'a InstanceId> {
    members
        .into_iter()
        .max_by_key(|member| (weight(member, key), *member))
}

/// Returns all members in the order of preference for `key`, the owner first.
pub fn owners<'a>(
    members: impl IntoIterator<Item = &'a InstanceId>,
    key: &[u8],
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<_> = members.into_iter().collect();
    ranked.sort_by_cached_key(|member| std::cmp::Reverse((weight(member, key), *member)));
    ranked
}

/// Returns the index of `own` in the order of [`owners`], or `None` if it is
/// not among `members`.
pub fn rank<'a>(
    members: impl IntoIterator<Item = &'a InstanceId>,
    own: &InstanceId,
    key: &[u8],
) -> Option<usize> {
    let own_order = (weight(own, key), own);
    let mut found = false;
    let mut before = 0;
    for member in members {
        found |= member == own;
        before += usize::from((weight(member, key), member) > own_order);
    }
    found.then_some(before)
}

fn weight(member: &InstanceId, key: &[u8]) -> u64 {
    let seed = fnv1a(FNV_OFFSET, member.as_str().as_bytes());
    mix(fnv1a(mix(seed), key))
}

/// Offset basis of 64-bit FNV-1a.
pub(super) const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// 64-bit FNV-1a hash that starts from `seed`.
///
/// Instances compare these hashes with each other, so they must be the same on
/// every machine and in every version.
pub(super) fn fnv1a(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The finalizer of `SplitMix64`, by which each input bit affects all output bits.
pub(super) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
