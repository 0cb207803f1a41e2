//! The codes of tokens (\[MS-TDS\], "Packet Data Token Stream Definition"), each documented with its name
//! there.

/// RETURNSTATUS: the status of a procedure.
pub const RETURN_STATUS: u8 = 0x79;
/// COLMETADATA: the description of a result set's columns.
pub const COLUMNS: u8 = 0x81;
/// TABNAME: the tables that a result set comes from.
pub const TABLE_NAMES: u8 = 0xa4;
/// COLINFO: which table each column comes from.
pub const COLUMN_INFO: u8 = 0xa5;
/// ORDER: the columns by which a result set is ordered.
pub const ORDER: u8 = 0xa9;
/// ERROR: an error message.
pub const ERROR: u8 = 0xaa;
/// INFO: an informational message.
pub const INFO: u8 = 0xab;
/// RETURNVALUE: an output parameter.
pub const RETURN_VALUE: u8 = 0xac;
/// LOGINACK: the acknowledgement of a login.
pub const LOGIN_ACK: u8 = 0xad;
/// FEATUREEXTACK: the acknowledgement of features requested by a login.
pub const FEATURE_ACK: u8 = 0xae;
/// ROW: a row with all its values.
pub const ROW: u8 = 0xd1;
/// NBCROW: a row with a bitmap of its null values.
pub const ROW_WITH_NULLS: u8 = 0xd2;
/// ENVCHANGE: a change of the session's environment.
pub const ENV_CHANGE: u8 = 0xe3;
/// SESSIONSTATE: session state for the recovery of a connection.
pub const SESSION_STATE: u8 = 0xe4;
/// SSPI: an authentication message.
pub const SSPI: u8 = 0xed;
/// FEDAUTHINFO: where to obtain a federated authentication token.
pub const FEDERATED: u8 = 0xee;
/// DONE: the end of a statement.
pub const DONE: u8 = 0xfd;
/// DONEPROC: the end of a procedure.
pub const DONE_PROCEDURE: u8 = 0xfe;
/// DONEINPROC: the end of a statement within a procedure.
pub const DONE_IN_PROCEDURE: u8 = 0xff;
