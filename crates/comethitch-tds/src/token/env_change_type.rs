//! The types of ENVCHANGE tokens that matter to a router (\[MS-TDS\], "ENVCHANGE").

/// The current database.
pub const DATABASE: u8 = 1;
/// The packet size.
pub const PACKET_SIZE: u8 = 4;
/// A transaction began.
pub const BEGIN_TRANSACTION: u8 = 8;
/// A transaction was committed.
pub const COMMIT_TRANSACTION: u8 = 9;
/// A transaction was rolled back.
pub const ROLLBACK_TRANSACTION: u8 = 10;
/// The session left a distributed transaction.
pub const DEFECT_TRANSACTION: u8 = 12;
/// A transaction ended in another way.
pub const TRANSACTION_ENDED: u8 = 17;
/// The session was reset at the client's request.
pub const RESET_ACKNOWLEDGED: u8 = 18;
/// The client must connect to another server.
pub const ROUTING: u8 = 20;
