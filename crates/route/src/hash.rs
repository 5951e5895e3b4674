//! The 64-bit FNV-1a hash. Unlike the hashers of the standard library it gives the same value on each machine and
//! in each process.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// The FNV-1a hash of a text.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
