//! Keys of shapes: 128-bit keyed hashes, so that a client cannot construct two shapes with the same key.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::fmt;
use std::hash::Hasher;

/// The secret key of the hash: random at each start, and never leaves the process.
#[derive(Clone, Copy)]
pub struct Secret(pub [u8; 16]);

/// Identifies a shape while the process runs.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShapeKey(pub u128);

impl Secret {
    /// Returns the key of a shape.
    ///
    /// ```
    /// use comethitch_statement::Secret;
    /// let (ours, theirs) = (Secret([1; 16]), Secret([2; 16]));
    /// assert_eq!(ours.key(b"select ?"), ours.key(b"select ?"));
    /// assert_ne!(ours.key(b"select ?"), theirs.key(b"select ?"));
    /// ```
    pub fn key(&self, shape: &[u8]) -> ShapeKey {
        let mut hasher = SipHasher13::new_with_key(&self.0);
        hasher.write(shape);
        ShapeKey(hasher.finish128().as_u128())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

impl fmt::Display for ShapeKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for ShapeKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ShapeKey({self})")
    }
}
