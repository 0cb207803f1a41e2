//! The daemon between clients and hosts played on loopback: the paths on which a rule could break.

mod support;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Command;
use std::sync::mpsc::channel;
use support::*;

#[test]
fn statements_pass_unchanged_and_answers_come_in_order() {
    let primary = host(true, |nth, _| answer(&format!("value {nth}")));
    let router = router_with_one_host(&primary);
    let mut client = Client::raw(router.address);
    // An encryption request is declined; the first query comes straight behind the startup message.
    client.0.write_all(&[8u32.to_be_bytes(), 80_877_103u32.to_be_bytes()].concat()).expect("sent");
    let mut declined = [0];
    client.0.read_exact(&mut declined).expect("an answer");
    assert_eq!(&declined, b"N");
    let (first, second) = (write(1, 2_000), write(2, 2_000));
    let bytes = [startup(), query(""), query(&first), query(&second), query("SET a = 1")].concat();
    for byte in bytes {
        client.0.write_all(&[byte]).expect("sent");
    }
    let got: Vec<ClientReply> = (0..5).map(|_| client.receive()).collect();
    let value = |nth| ClientReply::Value(format!("value {nth}").into_bytes());
    assert_eq!(
        got,
        [
            ClientReply::Done("welcome".into()),
            ClientReply::Empty,
            value(0),
            value(1),
            ClientReply::Done("SET".into())
        ]
    );
    for sent in [first, second] {
        let HostEvent::Query(met) = primary.next() else { panic!("a query") };
        let wait = met.split(",d=").nth(1).and_then(|rest| rest.split(',').next()).expect("d");
        assert!((1..=2_000).contains(&wait.parse::<u32>().expect("a number")), "{met}");
        assert_eq!(met.replace(&format!(",d={wait},"), ",d=2000,"), sent);
    }
    client.0.write_all(&message(b'X', b"")).expect("sent");
    assert_eq!(client.receive(), ClientReply::Closed);
    router.wait();
}

#[test]
fn a_large_value_is_passed_on_completely() {
    let large = vec![0x9f; 64 * 1024];
    let value = large.clone();
    let primary = host(true, move |_, _| HostAction::Answer(row(&value)));
    let router = router_with_one_host(&primary);
    let mut client = Client::connect(router.address);
    let text = write(1, 3_000).replace("9f", &"9f".repeat(64 * 1024));
    assert!(client.ask(&text) == ClientReply::Value(large), "the value as it was");
    assert!(matches!(primary.next(), HostEvent::Query(met) if met.len() > 128 * 1024));
    router.wait();
}

#[test]
fn a_write_that_may_have_run_is_failed_and_never_sent_again() {
    let primary = host(true, |nth, _| if nth == 0 { HostAction::Close } else { answer("again") });
    let router = router_with_one_host(&primary);
    let mut client = Client::connect(router.address);
    assert_eq!(client.ask(&write(1, 1_000)), ClientReply::Error("40003".into()));
    assert!(matches!(primary.next(), HostEvent::Query(_)), "one attempt");
    drop(client);
    router.wait();
    assert!(!primary.met.try_iter().any(|met| matches!(met, HostEvent::Query(_))), "and no other");
}

#[test]
fn a_write_that_never_ran_is_throttled() {
    let refused = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let router = Router::start(configuration(&[entry("p", refused, true, "ready")], None, 1024));
    let mut client = Client::connect(router.address);
    assert_eq!(client.ask(&write(1, 600)), ClientReply::Error("53300".into()));
    router.wait();
}

#[test]
fn a_host_that_accepts_and_never_greets_has_run_nothing() {
    let mute = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = mute.local_addr().expect("an address");
    let router = Router::start(configuration(&[entry("p", address, true, "ready")], None, 1024));
    assert_eq!(Client::connect(router.address).ask(&write(1, 900)), ClientReply::Error("53300".into()));
    router.wait();
}

#[test]
fn an_answer_that_makes_no_sense_may_have_run_and_ends_its_connection() {
    let senseless = [message(b'?', b""), message(b'D', b"\0\x01"), [row(b"a"), row(b"b")].concat()];
    for bytes in senseless {
        let primary = host(true, move |nth, _| match nth {
            0 => HostAction::Answer(bytes.clone()),
            _ => answer("value"),
        });
        let router = router_with_one_host(&primary);
        let mut client = Client::connect(router.address);
        assert_eq!(client.ask(&write(1, 2_000)), ClientReply::Error("40003".into()));
        assert!(matches!(primary.next(), HostEvent::Query(_)));
        assert_eq!(primary.next(), HostEvent::Ended);
        assert_eq!(
            client.ask(&write(2, 2_000)),
            ClientReply::Value(b"value".to_vec()),
            "the next one is served"
        );
        router.wait();
    }
}

#[test]
fn a_surplus_behind_a_good_answer_is_nobodys() {
    for surplus in [row(b"theirs"), vec![0x7f; 40], row(b"theirs")[..9].to_vec()] {
        let primary = host(true, move |nth, _| match nth {
            0 => HostAction::Answer([row(b"value"), ready(), surplus.clone()].concat()),
            _ => answer("own"),
        });
        let router = router_with_one_host(&primary);
        let mut client = Client::connect(router.address);
        assert_eq!(client.ask(&write(1, 2_000)), ClientReply::Value(b"value".to_vec()), "it was good");
        assert_eq!(client.ask(&write(2, 2_000)), ClientReply::Value(b"own".to_vec()));
        router.wait();
    }
}

#[test]
fn commands_that_come_too_late_are_throttled_and_blame_no_host() {
    let primary = host(true, |_, _| answer("value"));
    let router = router_with_one_host(&primary);
    let mut client = Client::connect(router.address);
    for id in 0..5 {
        assert_eq!(client.ask(&write(id, 0)), ClientReply::Error("53300".into()));
    }
    assert_eq!(client.ask(&write(9, 2_000)), ClientReply::Value(b"value".to_vec()));
    assert_eq!(primary.met.try_iter().filter(|met| matches!(met, HostEvent::Query(_))).count(), 1);
    router.wait();
}

#[test]
fn not_primary_and_overloaded_errors_prove_that_nothing_ran() {
    for code in ["25006", "53300"] {
        let primary = host(true, move |_, _| HostAction::Answer(error(code)));
        let router = router_with_one_host(&primary);
        let got = Client::connect(router.address).ask(&write(1, 400));
        assert_eq!(got, ClientReply::Error("53300".into()), "after {code}");
        router.wait();
    }
}

#[test]
fn a_read_delayed_by_its_connection_gets_no_data_past_their_bound() {
    let bound = std::time::Duration::from_secs(2);
    let still = Some((std::time::SystemTime::now(), bound));
    let replica =
        host_since(false, |nth, _| if nth == 0 { HostAction::Silence } else { answer("old") }, still);
    let primary = host(true, |_, _| answer("new"));
    let hosts = [entry("p", primary.address, true, "ready"), entry("r", replica.address, false, "ready")];
    let mut all = configuration(&hosts, None, 1024);
    all["settings"]["domain"]["oldest_data_us"][0] = 2_000_000.into();
    all["settings"]["permissions"]["connect_timeout_us"] = 10_000_000.into();
    let router = Router::start(all);
    // Once the replica is known to be fresh, a read takes its one greeted connection; the next needs another.
    let mut kept = Vec::new();
    while !matches!(replica.met.recv_timeout(std::time::Duration::from_millis(20)), Ok(HostEvent::Query(_))) {
        let mut client = Client::connect(router.address);
        client.0.write_all(&query(&read(1, 10_000))).expect("sent");
        kept.push(client);
        assert!(kept.len() < 90, "the replica is asked while its data are fresh");
    }
    assert_eq!(Client::connect(router.address).ask(&read(2, 10_000)), ClientReply::Value(b"new".to_vec()));
    assert!(!replica.met.try_iter().any(|met| matches!(met, HostEvent::Query(_))), "nothing was sent late");
    router.wait();
}

#[test]
fn a_read_is_retried_elsewhere_after_a_reset() {
    let primary = host(true, |nth, _| if nth == 0 { HostAction::Close } else { answer("second") });
    let router = router_with_one_host(&primary);
    let mut client = Client::connect(router.address);
    assert_eq!(client.ask(&read(1, 2_000)), ClientReply::Value(b"second".to_vec()));
    router.wait();
}

#[test]
fn an_attempt_at_a_silent_host_times_out_and_its_connection_is_closed() {
    let primary = host(true, |_, _| HostAction::Silence);
    let router = router_with_one_host(&primary);
    let mut client = Client::connect(router.address);
    assert_eq!(client.ask(&write(1, 300)), ClientReply::Error("40003".into()));
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    assert_eq!(primary.next(), HostEvent::Ended, "its connection is closed, late bytes reach nobody");
    router.wait();
}

#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let primary = host(true, |_, _| HostAction::Silence);
    let router = router_with_one_host(&primary);
    let mut client = Client::connect(router.address);
    client.0.write_all(&query(&write(1, 60_000))).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    drop(client);
    assert_eq!(primary.next(), HostEvent::Ended);
    router.wait();
}

#[test]
fn an_idle_connection_is_reused() {
    let primary = host(true, |_, _| answer("value"));
    let router = router_with_one_host(&primary);
    let mut client = Client::connect(router.address);
    for id in 0..3 {
        assert_eq!(client.ask(&write(id, 2_000)), ClientReply::Value(b"value".to_vec()));
    }
    assert!(!primary.met.try_iter().any(|met| met == HostEvent::Ended), "one connection carries all");
    router.wait();
}

#[test]
fn bad_input_is_answered_and_affects_no_others() {
    let primary = host(true, |_, _| answer("value"));
    let router = router_with_one_host(&primary);
    let mut client = Client::connect(router.address);
    let cases = [
        ("SELECT 1".to_string(), "42601"),
        (read(1, 9).replace("d=9", "d=x"), "42601"),
        (read(1, 9).replace("c=read", "c=unheard"), "22023"),
        (read(1, 9).replace("d=9", "d=99999999999"), "22023"),
        (read(1, 9).replace("SELECT data", "SELECT 1, data"), "42601"),
    ];
    for (text, code) in cases {
        assert_eq!(client.ask(&text), ClientReply::Error(code.into()), "{text}");
    }
    // A message of the extended protocol: one error, and all is skipped up to Sync.
    let extended = [message(b'P', b"\0SELECT 1\0\0\0"), message(b'B', b""), message(b'S', b"")].concat();
    client.0.write_all(&extended).expect("sent");
    assert_eq!(client.receive(), ClientReply::Error("0A000".into()));
    let lost = [message(b'y', b""), vec![b'Q', 0x7f, 0, 0, 0], message(b'Q', b"no end")];
    for bytes in lost {
        let mut other = Client::connect(router.address);
        other.0.write_all(&bytes).expect("sent");
        assert_eq!(other.receive(), ClientReply::Error("08P01".into()));
        assert_eq!(other.0.read(&mut [0]).unwrap_or(0), 0, "closed: the framing is lost");
    }
    assert_eq!(client.ask(&write(1, 2_000)), ClientReply::Value(b"value".to_vec()));
    router.wait();
}

#[test]
fn the_id_of_a_command_in_progress_can_not_be_used_by_another() {
    let (release, held) = channel::<()>();
    let held = std::sync::Mutex::new(held);
    let primary = host(true, move |_, _| {
        let _ = held.lock().expect("one command").recv_timeout(TEST_TIMEOUT);
        answer("value")
    });
    let router = router_with_one_host(&primary);
    let (mut first, mut second) = (Client::connect(router.address), Client::connect(router.address));
    first.0.write_all(&query(&write(1, 5_000))).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    assert_eq!(second.ask(&write(1, 5_000)), ClientReply::Error("42710".into()));
    release.send(()).expect("it waits");
    assert_eq!(first.receive(), ClientReply::Value(b"value".to_vec()));
    release.send(()).expect("a host");
    assert_eq!(
        second.ask(&write(1, 5_000)),
        ClientReply::Value(b"value".to_vec()),
        "free again once answered"
    );
    router.wait();
}

#[test]
fn clients_that_never_send_a_command_get_an_error_in_time() {
    let primary = host(true, |_, _| answer("value"));
    let router = router_with_one_host(&primary);
    let started = std::time::Instant::now();
    let mut usual = Client::connect(router.address);
    let silent: Vec<Client> = (0..100).map(|_| Client::raw(router.address)).collect();
    let mut half = Client::connect(router.address);
    half.0.write_all(&query(&write(1, 2_000))[..40]).expect("sent");
    let mut many = Client::connect(router.address);
    many.0.write_all(&query(&read(1, 9).replace("c=read", "c=unheard")).repeat(600)).expect("sent");
    assert_eq!(many.receive(), ClientReply::Error("22023".into()));
    assert!(
        (0..10).any(|_| many.receive() == ClientReply::Error("08P01".into())),
        "not listened to for ever"
    );
    // The error is there to be read although 60 MB are still on their way.
    let mut large = Client::connect(router.address);
    large.0.write_all(&[&[b'Q'][..], &60_000_000_u32.to_be_bytes()].concat()).expect("sent");
    let sent = (0..60).take_while(|_| large.0.write_all(&[b'x'; 1_000_000]).is_ok()).count();
    assert_eq!((sent, large.receive()), (60, ClientReply::Error("08P01".into())));
    assert_eq!(half.receive(), ClientReply::Error("08P01".into()));
    for mut client in silent {
        assert_eq!(client.0.read(&mut [0]).unwrap_or(0), 0, "closed");
    }
    assert!(started.elapsed() < std::time::Duration::from_secs(3), "{:?}", started.elapsed());
    assert!(
        !primary.met.try_iter().any(|met| matches!(met, HostEvent::Query(_))),
        "none of it reached a host"
    );
    assert_eq!(usual.ask(&write(2, 2_000)), ClientReply::Closed, "one that has never asked is one of them");
    assert_eq!(Client::connect(router.address).ask(&write(2, 2_000)), ClientReply::Value(b"value".to_vec()));
    router.wait();
}

#[test]
fn hundreds_of_silent_clients_keep_no_others_out() {
    let primary = host(true, |_, _| answer("value"));
    let router = Router::start(configuration(&[entry("p", primary.address, true, "ready")], None, 64));
    let mut usual = Client::connect(router.address);
    assert_eq!(usual.ask(&write(0, 5_000)), ClientReply::Value(b"value".to_vec()));
    let silent: Vec<Client> = (0..300).map(|_| Client::raw(router.address)).collect();
    for id in 1..40 {
        assert_eq!(
            usual.ask(&write(id, 5_000)),
            ClientReply::Value(b"value".to_vec()),
            "the one that is in use stays"
        );
        let got = Client::connect(router.address).ask(&write(100 + id, 5_000));
        assert_eq!(got, ClientReply::Value(b"value".to_vec()), "and others are admitted");
    }
    drop(silent);
    router.wait();
}

#[test]
fn at_the_descriptor_limit_idle_clients_make_room() {
    let primary = host(true, |_, _| answer("value"));
    let router = Router::start(configuration(&[entry("p", primary.address, true, "ready")], None, 64));
    // Three times as many as fit, all kept open: each new one is served.
    let clients: Vec<Client> = (0..120)
        .map(|id| {
            let mut client = Client::connect(router.address);
            assert_eq!(client.ask(&write(id, 5_000)), ClientReply::Value(b"value".to_vec()), "client {id}");
            client
        })
        .collect();
    drop(clients);
    router.wait();
}

#[test]
fn at_the_descriptor_limit_a_new_client_is_closed_for_nobody() {
    let primary = host(true, |_, _| answer("value"));
    let router = Router::start(configuration(&[entry("p", primary.address, true, "ready")], None, 64));
    // Five eighths of the 44 descriptors that are not reserved.
    let mut idle: Vec<Client> = (0..26).map(|_| Client::connect(router.address)).collect();
    for (id, client) in (0..).zip(&mut idle) {
        assert_eq!(client.ask(&write(id, 5_000)), ClientReply::Value(b"value".to_vec()), "client {id}");
    }
    let mut newest = Client::connect(router.address);
    std::thread::sleep(std::time::Duration::from_millis(100));
    assert_eq!(
        newest.ask(&write(100, 5_000)),
        ClientReply::Value(b"value".to_vec()),
        "nobody waits for its place"
    );
    drop(idle);
    router.wait();
}

#[test]
fn past_the_descriptor_limit_commands_are_throttled_at_once() {
    let elsewhere = |id: u32| query(&write(id, 60_000).replace("cluster=0", "cluster=1"));
    let primary = host(true, |_, _| answer("value"));
    let hosts = [entry("p", primary.address, true, "ready")];
    let mut all = configuration(&hosts, None, 64);
    // With a long latency objective a request waits long for hosts that are not there.
    all["settings"]["classes"][2]["target_us"] = 60_000_000.into();
    all["settings"]["permissions"]["connect_timeout_us"] = 10_000_000.into();
    let router = Router::start(all);
    let mut held: Vec<Client> = (0..22).map(|_| Client::connect(router.address)).collect();
    (100..).zip(&mut held).for_each(|(id, client)| client.0.write_all(&elsewhere(id)).expect("sent"));
    let mut throttled =
        |id| Client::connect(router.address).ask(&write(id, 5_000)) != ClientReply::Value(b"value".to_vec());
    assert!((0..10_000).any(&mut throttled), "full once all of them are admitted");
    primary.met.try_iter().for_each(drop);
    assert!((0..10).all(&mut throttled), "and full it stays");
    assert!(!primary.met.try_iter().any(|met| matches!(met, HostEvent::Query(_))), "none was sent");
    drop(held);
    let served =
        |_| Client::connect(router.address).ask(&write(9, 5_000)) == ClientReply::Value(b"value".to_vec());
    assert!((0..10_000).any(served), "capacity again once they have disconnected");
    router.wait();
}

#[test]
fn the_list_is_followed_and_a_malformed_line_changes_nothing() {
    let (first, second) = (host(true, |_, _| answer("first")), host(true, |_, _| answer("second")));
    let discovery = discovery();
    let known = entry("p", first.address, true, "ready");
    let router = Router::start(configuration(&[known], Some(&discovery), 1024));
    let (request, mut watch) = discovery.watch();
    assert_eq!(request, "GET /api/targets?follow=1&since=7 HTTP/1.1");
    send_chunk(&mut watch, "\n");
    send_chunk(&mut watch, "{\"seq\":8,\"whole\":false,\"hosts\":[]}\n");
    let mut client = Client::connect(router.address);
    assert_eq!(client.ask(""), ClientReply::Empty);
    assert_eq!(client.ask(&write(1, 2_000)), ClientReply::Value(b"first".to_vec()));
    send_chunk(&mut watch, "{\"seq\":9,\"whole\":true,\"hosts\":[{\"host\":\"p\"}]}\n");
    let (request, mut watch) = discovery.watch();
    assert_eq!(request, "GET /api/targets?follow=1&since=8 HTTP/1.1", "begun anew from what was held");
    assert_eq!(client.ask(&write(2, 2_000)), ClientReply::Value(b"first".to_vec()));
    // The same host at another address, the line split over chunks.
    let moved = entry("p", second.address, true, "ready").to_string();
    let line = format!("{{\"seq\":9,\"whole\":false,\"hosts\":[{moved}]}}\n");
    let (before, after) = line.split_at(40);
    send_chunk(&mut watch, before);
    send_chunk(&mut watch, after);
    let met =
        std::iter::from_fn(|| first.met.recv_timeout(TEST_TIMEOUT).ok()).find(|met| *met == HostEvent::Ended);
    assert_eq!(met, Some(HostEvent::Ended), "idle connections to the old address are closed");
    assert_eq!(client.ask(&write(3, 2_000)), ClientReply::Value(b"second".to_vec()));
    router.wait();
}

#[test]
fn a_start_without_any_list_is_ready_once_discovery_has_sent_one() {
    let primary = host(true, |_, _| answer("value"));
    let discovery = discovery();
    let router = Router::start(configuration(&[], Some(&discovery), 1024));
    let (request, mut watch) = discovery.watch();
    assert_eq!(request, "GET /api/targets HTTP/1.1");
    let mut client = Client::connect(router.address);
    client.0.write_all(&query("")).expect("sent");
    let host = entry("p", primary.address, true, "ready");
    send_chunk(&mut watch, &format!("{{\"seq\":3,\"whole\":true,\"hosts\":[{host}]}}\n"));
    watch.write_all(b"0\r\n\r\n").expect("sent");
    assert_eq!(client.receive(), ClientReply::Empty);
    assert_eq!(discovery.watch().0, "GET /api/targets?follow=1&since=3 HTTP/1.1");
    assert_eq!(client.ask(&write(1, 2_000)), ClientReply::Value(b"value".to_vec()));
    router.wait();
}

#[test]
fn commands_received_around_the_signal_are_answered() {
    let (release, held) = channel::<()>();
    let held = std::sync::Mutex::new(held);
    let primary = host(true, move |nth, _| {
        // The first request is answered only once the second one has come, after the signal.
        match nth {
            0 => drop(held.lock().expect("one host").recv_timeout(TEST_TIMEOUT)),
            _ => release.send(()).expect("the first one waits"),
        }
        answer("value")
    });
    let router = router_with_one_host(&primary);
    let (mut early, mut late) = (Client::connect(router.address), Client::connect(router.address));
    early.0.write_all(&query(&write(1, 3_000))).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    router.ask_to_stop();
    let mut newest = Client::connect(router.address);
    assert_eq!(newest.ask("DISCARD ALL"), ClientReply::Done("DISCARD".into()));
    assert_eq!(late.ask(&write(2, 3_000)), ClientReply::Value(b"value".to_vec()));
    assert_eq!(early.receive(), ClientReply::Value(b"value".to_vec()));
    router.wait();
    assert_eq!(late.receive(), ClientReply::Closed, "idle connections close late, but they close");
}

#[test]
fn the_program_serves_until_sigterm_and_says_what_is_wrong() {
    let primary = host(true, |_, _| answer("value"));
    let program =
        Program::start("sigterm", &configuration(&[entry("p", primary.address, true, "ready")], None, 1024));
    let mut client = Client::connect(program.address);
    assert_eq!(client.ask(""), ClientReply::Empty);
    assert_eq!(client.ask(&write(1, 2_000)), ClientReply::Value(b"value".to_vec()));
    std::fs::write(&program.file, "{\"settings\": {}}").expect("written");
    for subcommand in ["serve", "check"] {
        let out = Command::new(env!("CARGO_BIN_EXE_comethitchd"))
            .args([subcommand, "--configuration"])
            .arg(&program.file)
            .output()
            .expect("an end");
        let printed = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success() && printed.lines().count() == 1, "{printed}");
        assert!(printed.contains("settings.domain.class_read is missing"), "{printed}");
    }
    program.signal("TERM");
    program.ends();
}

#[test]
fn sighup_changes_to_another_discovery_and_a_faulty_file_changes_nothing() {
    let (first, second) = (host(true, |_, _| answer("first")), host(true, |_, _| answer("second")));
    let old = discovery();
    let at = |address| entry("p", address, true, "ready");
    let mut all = configuration(&[at(first.address)], Some(&old), 1024);
    let mut program = Program::start("sighup", &all);
    assert_eq!(old.watch().0, "GET /api/targets?follow=1&since=7 HTTP/1.1");
    let mut client = Client::connect(program.address);
    for faulty in [&all.to_string()[..200], "{\"settings\": {}}"] {
        std::fs::write(&program.file, faulty).expect("written");
        program.signal("HUP");
        program.logs("configuration reload failed");
        assert_eq!(client.ask(&write(1, 2_000)), ClientReply::Value(b"first".to_vec()));
    }
    // The new one is silent at the first try; its versions are its own, and lower.
    let new = TcpListener::bind("127.0.0.1:0").expect("a port");
    all["discovery"] = new.local_addr().expect("an address").to_string().into();
    all["limits"]["sockets"] = 512.into();
    std::fs::write(&program.file, all.to_string()).expect("written");
    program.signal("HUP");
    program.logs("setting changed, effective after restart key=limits.sockets");
    let _silent = new.accept().expect("a first try");
    let (mut stream, _) = new.accept().expect("a second try");
    assert_eq!(request(&stream), "GET /api/targets HTTP/1.1", "all of it, whatever the old one had sent");
    assert_eq!(
        client.ask(&write(2, 2_000)),
        ClientReply::Value(b"first".to_vec()),
        "served on the list held"
    );
    let list = format!("{{\"seq\":2,\"whole\":true,\"hosts\":[{}]}}\n", at(second.address));
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).expect("sent");
    assert_eq!(request(&new.accept().expect("a watch").0), "GET /api/targets?follow=1&since=2 HTTP/1.1");
    assert_eq!(client.ask(&write(3, 2_000)), ClientReply::Value(b"second".to_vec()));
    program.signal("TERM");
    program.signal("HUP");
    program.ends();
}

#[test]
fn a_configuration_that_is_still_being_written_at_sighup_is_read_again() {
    let primary = host(true, |_, _| answer("value"));
    let old = discovery();
    let mut all = configuration(&[entry("p", primary.address, true, "ready")], Some(&old), 1024);
    let program = Program::start("half-written", &all);
    old.watch();
    let new = discovery();
    all["discovery"] = new.address.to_string().into();
    let text = all.to_string();
    std::fs::write(&program.file, &text[..text.len() / 2]).expect("written");
    program.signal("HUP");
    std::thread::sleep(std::time::Duration::from_millis(400));
    std::fs::write(&program.file, &text).expect("written");
    // What the new service has counts as told four seconds after the signal.
    let followed = new.asked.recv_timeout(std::time::Duration::from_secs(4));
    assert_eq!(followed.map(|(asked, _)| asked).as_deref(), Ok("GET /api/targets HTTP/1.1"));
    program.signal("TERM");
    program.ends();
}

#[test]
fn a_throttled_command_logs_its_id_and_the_reason() {
    // A primary whose port takes no connection: the write never runs, and the policy rejects it.
    let refused = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let config = configuration(&[entry("p", refused, true, "ready")], None, 1024);
    let mut program = Program::start_with("rejected", &config, &["--log-form", "json"]);
    let mut client = Client::connect(program.address);
    assert_eq!(client.ask(&write(7301, 600)), ClientReply::Error("53300".into()));
    program.signal("TERM");
    let mut lines = program.log.by_ref().map(|line| serde_json::from_str::<serde_json::Value>(&line));
    let rejection =
        lines.find(|line| line.as_ref().is_ok_and(|l| l["message"] == "request rejected")).expect("a line");
    let kvs = rejection.expect("JSON")["kvs"].clone();
    assert_eq!((&kvs["id"], &kvs["answer"]), (&"7301".into(), &"throttled".into()), "{kvs}");
    let reason = kvs["reason"].as_str().expect("a reason").to_string();
    let counts = program.log.find(|line| line.contains("\"counts\"")).expect("the counts");
    let counts: serde_json::Value = serde_json::from_str(&counts).expect("JSON");
    assert_eq!(counts["kvs"][format!("rejected_{reason}")], 1, "{counts}");
    program.ends();
}
