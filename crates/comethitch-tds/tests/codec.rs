//! Tests of the codec: round trips of every message and token at every split of the input, rejection of
//! invalid input, and arbitrary bytes, on which nothing may panic.

use comethitch_tds::login::{Encryption, Login, Prelogin, TDS_VERSION};
use comethitch_tds::packet::{
    HEADER_BYTES, Header, INITIAL_PACKET_BYTES, MessageAssembler, MessageKind, put_message, put_packets,
    status,
};
use comethitch_tds::request::{Batch, Call, CallWriter, Headers, Procedure, SystemProcedure};
use comethitch_tds::token::{
    EnvChange, ParsedToken, RowValue, ServerMessage, Token, TokenReader, code, done,
};
use comethitch_tds::types::{Value, code as type_code};
use comethitch_tds::write::{
    self, Cell, Column, put_columns, put_done, put_env_change, put_env_change_bytes, put_login_ack, put_row,
};
use comethitch_tds::{MalformedMessage, ReadError};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, prop_assert_eq, proptest};

/// Passes `wire` to an assembler in parts of the given sizes, repeated in turn, and returns the message.
fn assembled(wire: &[u8], part_sizes: &[usize]) -> Result<(Option<MessageKind>, Vec<u8>), MalformedMessage> {
    let mut assembler = MessageAssembler::new(1 << 20);
    let (mut position, mut sizes) = (0, part_sizes.iter().cycle());
    while position < wire.len() && !assembler.is_complete() {
        let end = (position + sizes.next().copied().unwrap_or(1).max(1)).min(wire.len());
        position += assembler.accept(&wire[position..end])?;
    }
    assert!(assembler.is_complete(), "the message must be complete");
    let kind = assembler.kind();
    Ok((kind, assembler.finish()))
}

#[test]
fn a_hundred_packets_of_one_byte_are_one_message() {
    let mut wire = Vec::new();
    for index in 0..100_u8 {
        let status = if index == 99 { status::END } else { 0 };
        Header { kind: MessageKind::Batch, status, length: HEADER_BYTES + 1, spid: 0, number: index + 1 }
            .put(&mut wire);
        wire.push(index);
    }
    let expected: Vec<u8> = (0..100).collect();
    for size in [1, 2, 7, 8, 9, 10, 900] {
        assert_eq!(assembled(&wire, &[size]), Ok((Some(MessageKind::Batch), expected.clone())));
    }
}

#[test]
fn invalid_headers_are_rejected_from_their_first_bytes() {
    let header =
        |kind: u8, status: u8, length: u16| [kind, status, (length >> 8) as u8, length as u8, 0, 0, 1, 0];
    let accept = |bytes: &[u8], max_payload: usize| MessageAssembler::new(max_payload).accept(bytes).err();
    assert_eq!(accept(&[0x55], 100), Some(MalformedMessage("a packet of unknown type")));
    assert_eq!(accept(&header(1, 1, 7), 100), Some(MalformedMessage("a packet has an impossible length")));
    assert_eq!(accept(&header(1, 0, 8), 100), Some(MalformedMessage("an empty packet within a message")));
    assert_eq!(accept(&header(1, 1, 109), 100), Some(MalformedMessage("a message is larger than it may be")));
    let mixed = [&header(1, 0, 9)[..], &[0], &header(3, 1, 9), &[0]].concat();
    assert_eq!(accept(&mixed, 100), Some(MalformedMessage("a packet of another message's type")));
    // A login of 60 MB is rejected at the packet that exceeds the limit, not once it is complete.
    let mut assembler = MessageAssembler::new(128 * 1024);
    let packet = [&header(0x10, 0, 32_000)[..], &[0; 31_992]].concat();
    let accepted = (0..2_000).take_while(|_| assembler.accept(&packet).is_ok()).count();
    assert_eq!(accepted, 4);
}

#[test]
fn logins_round_trip_and_invalid_offsets_never_panic() {
    let login = Login {
        version: TDS_VERSION,
        packet_size: 8000,
        host: "máquina".into(),
        user: "lectora".into(),
        password: "contraseña 🔑".into(),
        application: "portal".into(),
        server: "srv".into(),
        library: "lib".into(),
        database: "catalogo".into(),
        read_only: true,
        integrated: false,
        features: Vec::new(),
    };
    let mut wire = Vec::new();
    login.put(&mut wire);
    assert_eq!(Login::read(&wire), Ok(login));
    let contains_plain_text = wire.windows(4).any(|four| four == [b'c', 0, b'o', 0]);
    assert!(!contains_plain_text, "the password must not be written in plain text");
    for length in 0..wire.len() {
        assert!(Login::read(&wire[..length]).is_err());
    }
    // The part of the message that holds the offsets and lengths of its fields.
    for position in 36..94 {
        let mut corrupted = wire.clone();
        corrupted[position] = 0xff;
        let _ = Login::read(&corrupted);
    }
    let mut prelogin = Vec::new();
    let prelogin_options =
        Prelogin { version: [1, 2, 3, 4, 5, 6], encryption: Encryption::On, mars: true, federated: false };
    prelogin_options.put(&mut prelogin);
    assert_eq!(Prelogin::read(&prelogin), Ok(prelogin_options));
    (0..prelogin.len() - 1).for_each(|length| assert!(Prelogin::read(&prelogin[..length]).is_err()));
}

#[test]
fn batches_and_calls_round_trip() {
    let mut wire = Vec::new();
    Batch::put(&mut wire, "SELECT '🌙' AS luna");
    let batch = Batch::read(&wire).expect("a batch");
    assert_eq!((batch.text.as_str(), batch.headers.transaction), ("SELECT '🌙' AS luna", 0));
    wire.pop();
    assert_eq!(Batch::read(&wire), Err(MalformedMessage("a batch that is no UTF-16")));

    for long in [false, true] {
        let text = if long { format!("SELECT @a /* {} */", "x".repeat(5_000)) } else { "SELECT @a".into() };
        let mut wire = Vec::new();
        CallWriter::system(&mut wire, SystemProcedure::ExecuteSql)
            .text("", &text)
            .text("", "@a int, @b int")
            .integer("@a", Some(-7))
            .integer("@b", None)
            .output_integer("@c");
        let call = Call::read(&wire).expect("a call");
        assert_eq!(call.procedure, Procedure::System(SystemProcedure::ExecuteSql));
        assert_eq!(call.statement(), Some(text.as_str()));
        let arguments: Vec<_> = call.arguments().map(|argument| (argument.name, argument.value)).collect();
        assert_eq!(arguments, [("a", &Value::Integer(-7)), ("b", &Value::Null), ("c", &Value::Null)]);
        assert!(call.parameters[4].by_reference && !call.has_more_calls);
        for length in Headers::read(&wire).expect("headers").length..wire.len() {
            // Truncated between parameters, the message is a call with fewer of them; anywhere else it is
            // invalid.
            if let Ok(cut) = Call::read(&wire[..length]) {
                assert!(cut.parameters.len() < 5);
            }
        }
        wire.push(0xff);
        wire.push(1);
        assert!(Call::read(&wire).expect("a call").has_more_calls);
    }
    for (name, expected) in
        [("sp_executesql", SystemProcedure::ExecuteSql), ("sys.[SP_Unprepare]", SystemProcedure::Unprepare)]
    {
        let mut wire = Vec::new();
        CallWriter::named(&mut wire, name);
        assert_eq!(Call::read(&wire).expect("a call").procedure, Procedure::System(expected));
    }
    let mut wire = Vec::new();
    CallWriter::named(&mut wire, "dbo.cobrar").integer("@x", Some(1));
    assert_eq!(Call::read(&wire).expect("a call").procedure, Procedure::Named("dbo.cobrar".into()));
}

/// A sample of every supported type: its encoded description, an encoded value and the decoded one.
fn types() -> Vec<(Vec<u8>, Vec<u8>, Value)> {
    let collation = [9, 4, 0xd0, 0, 0x34];
    let chars = |code: u8, max_bytes: u16| [&[code][..], &max_bytes.to_le_bytes(), &collation].concat();
    let short = |bytes: &[u8]| [&(bytes.len() as u16).to_le_bytes()[..], bytes].concat();
    let byte = |bytes: &[u8]| [&[bytes.len() as u8][..], bytes].concat();
    let chunks = |parts: &[&[u8]]| {
        let total_bytes: usize = parts.iter().map(|part| part.len()).sum();
        let mut out = (total_bytes as u64).to_le_bytes().to_vec();
        parts.iter().for_each(|part| out.extend([&(part.len() as u32).to_le_bytes()[..], part].concat()));
        out.extend([0; 4]);
        out
    };
    let pointer =
        |bytes: &[u8]| [&[16][..], &[1; 16], &[2; 8], &(bytes.len() as u32).to_le_bytes(), bytes].concat();
    let utf16 = |text: &str| text.encode_utf16().flat_map(u16::to_le_bytes).collect::<Vec<u8>>();
    let text = |text: &str| Value::Text(text.into());
    vec![
        (vec![type_code::INT1], vec![200], Value::Integer(200)),
        (vec![type_code::BIT], vec![1], Value::Integer(1)),
        (vec![type_code::INT2], (-3_i16).to_le_bytes().to_vec(), Value::Integer(-3)),
        (vec![type_code::INT4], (-3_i32).to_le_bytes().to_vec(), Value::Integer(-3)),
        (vec![type_code::INT8], (-3_i64).to_le_bytes().to_vec(), Value::Integer(-3)),
        (vec![type_code::FLT4], 1.5_f32.to_le_bytes().to_vec(), Value::Float(1.5)),
        (vec![type_code::FLT8], 1.5_f64.to_le_bytes().to_vec(), Value::Float(1.5)),
        (vec![type_code::MONEY], vec![0; 8], Value::Other),
        (vec![type_code::MONEY4], vec![0; 4], Value::Other),
        (vec![type_code::DATETIME], vec![0; 8], Value::Other),
        (vec![type_code::DATETIM4], vec![0; 4], Value::Other),
        (vec![type_code::INTN, 8], byte(&7_i64.to_le_bytes()), Value::Integer(7)),
        (vec![type_code::INTN, 4], byte(&[]), Value::Null),
        (vec![type_code::BITN, 1], byte(&[0]), Value::Integer(0)),
        (vec![type_code::FLTN, 8], byte(&2.5_f64.to_le_bytes()), Value::Float(2.5)),
        (vec![type_code::MONEYN, 8], byte(&[1; 8]), Value::Other),
        (vec![type_code::DATETIMN, 8], byte(&[1; 8]), Value::Other),
        (vec![type_code::GUID, 16], byte(&[7; 16]), Value::Other),
        (vec![type_code::DATEN], byte(&[1; 3]), Value::Other),
        (vec![type_code::TIMEN, 7], byte(&[1; 5]), Value::Other),
        (vec![type_code::DATETIME2N, 3], byte(&[1; 7]), Value::Other),
        (vec![type_code::DATETIMEOFFSETN, 0], byte(&[1; 8]), Value::Other),
        (vec![type_code::DECIMALN, 5, 9, 2], byte(&[0, 0x39, 0x30, 0, 0]), Value::Float(-123.45)),
        (vec![type_code::NUMERICN, 17, 38, 0], byte(&[]), Value::Null),
        (chars(type_code::NVARCHAR, 40), short(&utf16("año")), text("año")),
        (chars(type_code::NVARCHAR, 40), vec![0xff, 0xff], Value::Null),
        (chars(type_code::NCHAR, 6), short(&utf16("abc")), text("abc")),
        (chars(type_code::VARCHAR, 40), short(b"abc"), text("abc")),
        (chars(type_code::VARCHAR, 40), short(b"a\xf1o"), Value::Other),
        (chars(type_code::CHAR, 3), short(b"abc"), text("abc")),
        (vec![type_code::VARBINARY, 10, 0], short(&[1, 2, 3]), Value::Other),
        (vec![type_code::BINARY, 3, 0], short(&[1, 2, 3]), Value::Other),
        (chars(type_code::NVARCHAR, 0xffff), chunks(&[&utf16("lu"), &utf16("na")]), text("luna")),
        (chars(type_code::NVARCHAR, 0xffff), vec![0xff; 8], Value::Null),
        (chars(type_code::VARCHAR, 0xffff), chunks(&[]), text("")),
        (vec![type_code::VARBINARY, 0xff, 0xff], chunks(&[&[1; 300]]), Value::Other),
        (vec![type_code::XML, 0], chunks(&[b"<a/>"]), Value::Other),
        ([&[type_code::TEXT, 0xff, 0xff, 0, 0][..], &collation].concat(), pointer(b"abc"), text("abc")),
        ([&[type_code::NTEXT, 0xff, 0xff, 0, 0][..], &collation].concat(), vec![0], Value::Null),
        (vec![type_code::IMAGE, 0xff, 0xff, 0, 0], pointer(&[1, 2]), Value::Other),
        (
            vec![type_code::VARIANT, 0x50, 0x1f, 0, 0],
            [&6_u32.to_le_bytes()[..], &[type_code::INT4, 0, 1, 0, 0, 0]].concat(),
            Value::Other,
        ),
    ]
}

/// A response with a value of every type and every token.
fn response() -> Vec<u8> {
    let mut wire = Vec::new();
    put_env_change(&mut wire, 4, "8000", "4096");
    put_env_change_bytes(&mut wire, 18, &[], &[]);
    put_env_change_bytes(&mut wire, 8, &[1; 8], &[]);
    put_login_ack(&mut wire, TDS_VERSION, "srv");
    let message = |class| ServerMessage { number: 1205, state: 13, class, text: "víctima".into() };
    write::put_server_message(&mut wire, &message(10), "srv");
    write::put_server_message(&mut wire, &message(13), "srv");
    for (description, value, _) in types() {
        let pointer = matches!(description[0], type_code::TEXT | type_code::NTEXT | type_code::IMAGE);
        let description = if pointer { [description, vec![1, 1, 0, b't', 0]].concat() } else { description };
        let columns = [("a", Column::Raw(description)), ("b", Column::Integer)];
        put_columns(&mut wire, &columns);
        put_row(&mut wire, &columns, &[Cell::Raw(value.clone()), Cell::Null]);
        // The bitmap marks the second value as null.
        wire.extend([code::ROW_WITH_NULLS, 0b10]);
        wire.extend(value);
        put_done(&mut wire, code::DONE_IN_PROCEDURE, done::MORE | done::COUNT, 2);
    }
    wire.extend([code::ORDER, 2, 0, 1, 0]);
    wire.extend([code::RETURN_STATUS, 0, 0, 0, 0]);
    // The ordinal, the name `x`, the status, the user type and flags, the type, and the value 5.
    wire.extend([code::RETURN_VALUE, 1, 0, 1, b'x', 0, 1]);
    wire.extend([0; 4 + 2]);
    wire.extend([type_code::INTN, 4, 4, 5, 0, 0, 0]);
    wire.extend([code::FEATURE_ACK, 1, 2, 0, 0, 0, 9, 9, 0xff]);
    put_done(&mut wire, code::DONE_PROCEDURE, 0, 0);
    wire
}

#[test]
fn tokens_of_every_type_parse_at_every_split() {
    let wire = response();
    let (mut tokens, mut position, mut rows, mut seen) = (TokenReader::new(), 0, 0, Vec::new());
    let mut values = types().into_iter().map(|(_, _, value)| value).flat_map(|value| [value.clone(), value]);
    while !tokens.is_complete() {
        let ParsedToken { token, length } = tokens.clone().next(&wire[position..]).expect("a token");
        // An incomplete token must be neither parsed nor rejected.
        for cut in position..position + length {
            assert_eq!(
                tokens.clone().next(&wire[position..cut]),
                Err(ReadError::NeedMoreInput),
                "{token:?} cut at {}",
                cut - position
            );
        }
        assert_eq!(tokens.next(&wire[position..]), Ok(ParsedToken { token: token.clone(), length }));
        if let Some(row) = tokens.values(&wire[position..position + length]) {
            assert_eq!(Some(row[0].decode()), values.next());
            assert_eq!(row[1].raw, None);
            rows += 1;
        }
        seen.push(token);
        position += length;
    }
    assert_eq!((position, rows), (wire.len(), types().len() * 2));
    assert!(
        seen.contains(&Token::EnvChange(EnvChange::PacketSize(8000)))
            && seen.contains(&Token::EnvChange(EnvChange::Reset))
    );
    assert!(
        seen.contains(&Token::EnvChange(EnvChange::TransactionBegan))
            && seen.contains(&Token::LoginAck { version: TDS_VERSION })
    );
    assert!(
        seen.iter().any(|token| matches!(token, Token::Error(m) if m.number == 1205 && m.text == "víctima"))
    );
    // Nothing may follow the final DONE.
    assert!(matches!(tokens.next(&response()), Err(ReadError::Malformed(_))));
}

#[test]
fn impossible_lengths_are_rejected_before_the_rest_arrives() {
    let columns = |description: &[u8]| [&[code::COLUMNS, 1, 0, 0, 0, 0, 0, 0, 0], description, &[0]].concat();
    let invalid_responses: [(Vec<u8>, &str); 8] = [
        (vec![0x42], "a token of unknown type"),
        (columns(&[0x99]), "a type that is not spoken"),
        (columns(&[type_code::INTN, 3]), "a type has an impossible length"),
        (columns(&[type_code::TIMEN, 8]), "a type has an impossible scale"),
        (columns(&[type_code::DECIMALN, 17, 39, 0]), "a decimal type with impossible digits"),
        ([columns(&[type_code::INTN, 4]), vec![code::ROW, 5]].concat(), "a value is longer than its type"),
        (vec![code::ROW], "a row without a preceding COLMETADATA"),
        (vec![code::COLUMNS, 0xfe, 0xff], "COLMETADATA describes more than 4096 columns"),
    ];
    for (wire, expected) in invalid_responses {
        let (mut tokens, mut position) = (TokenReader::new(), 0);
        let error = loop {
            match tokens.next(&wire[position..]) {
                Ok(ParsedToken { length, .. }) => position += length,
                Err(error) => break error,
            }
        };
        assert_eq!(error, ReadError::Malformed(expected));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn messages_round_trip_through_packets(
        payload in prop::collection::vec(any::<u8>(), 0..20_000), packet_bytes in 0_usize..40_000,
        part_sizes in prop::collection::vec(1_usize..5_000, 1..8),
        first_status in prop::sample::select(vec![0, status::RESET]),
    ) {
        let mut wire = Vec::new();
        put_packets(&mut wire, MessageKind::Rpc, packet_bytes, &payload, first_status, true);
        let mut assembler = MessageAssembler::new(1 << 20);
        assembler.accept(&wire).expect("a message");
        prop_assert_eq!(assembler.status() & status::RESET, first_status);
        prop_assert_eq!(assembled(&wire, &part_sizes), Ok((Some(MessageKind::Rpc), payload)));
    }

    #[test]
    fn arbitrary_and_mutated_bytes_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        (corrupted_index, corrupted_byte) in any::<(prop::sample::Index, u8)>(),
    ) {
        let mut assembler = MessageAssembler::new(1_000);
        let _ = assembler.accept(&bytes);
        prop_assert!(assembler.payload().len() <= 1_000);
        let _ = (Login::read(&bytes), Prelogin::read(&bytes), Batch::read(&bytes), Call::read(&bytes));
        // A valid response with one byte changed, and arbitrary bytes.
        let mut wire = response();
        let corrupted_position = corrupted_index.index(wire.len());
        wire[corrupted_position] = corrupted_byte;
        for wire in [wire, bytes] {
            let (mut tokens, mut position) = (TokenReader::new(), 0);
            while let Ok(ParsedToken { length, .. }) = tokens.next(&wire[position..]) {
                prop_assert!(length > 0);
                position += length;
                if tokens.is_complete() { break; }
            }
        }
    }

    #[test]
    fn texts_round_trip_through_rows(texts in prop::collection::vec(any::<String>(), 1..5)) {
        let columns = [("a", Column::LongText), ("b", Column::Text), ("c", Column::Integer)];
        let mut wire = Vec::new();
        put_columns(&mut wire, &columns);
        for text in &texts {
            let cells = [Cell::Text(text.clone()), Cell::Text(text.clone()), Cell::Integer(9)];
            put_row(&mut wire, &columns, &cells);
        }
        let mut tokens = TokenReader::new();
        let mut position = tokens.next(&wire).expect("columns").length;
        for text in &texts {
            let length = tokens.next(&wire[position..]).expect("a row").length;
            let row = tokens.values(&wire[position..position + length]).expect("values");
            let decoded: Vec<Value> = row.iter().map(RowValue::decode).collect();
            let expected = vec![Value::Text(text.clone()), Value::Text(text.clone()), Value::Integer(9)];
            prop_assert_eq!(decoded, expected);
            position += length;
        }
        prop_assert_eq!(position, wire.len());
    }
}

#[test]
fn statement_bound_by_name_to_another_position_is_ignored() {
    let statement = |first: &str, second: &str, third: &str| {
        let mut wire = Vec::new();
        CallWriter::system(&mut wire, SystemProcedure::ExecuteSql)
            .text(first, "SELECT 1")
            .text(second, "DELETE FROM t")
            .text(third, "x");
        Call::read(&wire).expect("a call").statement().map(String::from)
    };
    assert_eq!(statement("", "", "@a").as_deref(), Some("SELECT 1"));
    assert_eq!(statement("@stmt", "@Params", "@a").as_deref(), Some("SELECT 1"));
    for (first, second, third) in
        [("@params", "@stmt", "@a"), ("", "@stmt", "@a"), ("@a", "", ""), ("", "", "@STMT")]
    {
        assert_eq!(statement(first, second, third), None, "{first}, {second}, {third}");
    }
    for name in ["tienda.sp_executesql", "[x.sp_executesql]", "a.dbo.sp_executesql"] {
        let mut wire = Vec::new();
        CallWriter::named(&mut wire, name).text("", "SELECT 1");
        let call = Call::read(&wire).expect("a call");
        assert_eq!(call.procedure, Procedure::Named(name.into()), "{name} is a user's own procedure");
    }
}

#[test]
fn an_empty_message_is_one_packet() {
    let mut wire = Vec::new();
    put_message(&mut wire, MessageKind::Attention, INITIAL_PACKET_BYTES, b"");
    assert_eq!(wire, [6, 1, 0, 8, 0, 0, 1, 0]);
    assert_eq!(assembled(&wire, &[3]), Ok((Some(MessageKind::Attention), Vec::new())));
}
