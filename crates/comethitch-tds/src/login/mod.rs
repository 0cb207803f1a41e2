//! The messages that open a connection: [`Prelogin`], which negotiates encryption, and [`Login`].

mod login7;
mod prelogin;

pub use login7::Login;
pub use prelogin::{Encryption, Prelogin};

/// The supported protocol version: TDS 7.4.
pub const TDS_VERSION: u32 = 0x7400_0004;
/// Maximum size of a LOGIN7 message in bytes.
pub const MAX_LOGIN_BYTES: usize = 128 * 1024;
