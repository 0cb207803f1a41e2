//! Configurations: errors at startup, effects of a reload on a running daemon, and two routers in one
//! process.

mod support;

use serde_json::Value;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;
use support::{
    ClientReply, Daemon, Discovery, HostAction, HostEvent, PostgresClient, Router, ScriptedHost, answer,
    configuration_with_discovery, gate, read_http_request, read_request, ready_primary,
    single_primary_configuration, write_request,
};

/// Also guards against unusable error reports: `serve` and `check` must name the missing key of a faulty file
/// in a single line on standard error.
#[test]
fn daemon_serves_until_sigterm_and_reports_configuration_errors() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let daemon = Daemon::start("sigterm", &single_primary_configuration(primary.address));
    let mut client = PostgresClient::connect(daemon.address);
    assert_eq!(client.execute(""), ClientReply::Empty);
    assert_eq!(client.execute(&write_request(1, 2_000)), ClientReply::value("value"));
    daemon.write_configuration("{\"settings\": {}}");
    for subcommand in ["serve", "check"] {
        let output = Command::new(env!("CARGO_BIN_EXE_comethitchd"))
            .args([subcommand, "--configuration"])
            .arg(&daemon.configuration_file)
            .output()
            .expect("the process ends with a status");
        let printed = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && printed.lines().count() == 1, "{printed}");
        assert!(printed.contains("settings.domain.class_read is missing"), "{printed}");
    }
    daemon.shut_down();
}

/// Guards against a faulty file that is applied in part, and against a new discovery service that is asked
/// for changes since the version of the old service, which means nothing to it.
#[test]
fn reload_switches_discovery_and_a_faulty_file_changes_nothing() {
    let (first, second) =
        (ScriptedHost::primary(|_, _| answer("first")), ScriptedHost::primary(|_, _| answer("second")));
    let old = Discovery::start();
    let at = |address| ready_primary("p", address);
    let mut config = configuration_with_discovery(&[at(first.address)], &old);
    let mut daemon = Daemon::start("sighup", &config);
    assert_eq!(old.next_request().0, "GET /api/targets?follow=1&since=7 HTTP/1.1");
    let mut client = PostgresClient::connect(daemon.address);
    for faulty in [&config.to_string()[..200], "{\"settings\": {}}"] {
        daemon.write_configuration(faulty);
        daemon.signal("HUP");
        daemon.wait_for_log("configuration reload failed");
        assert_eq!(client.execute(&write_request(1, 2_000)), ClientReply::value("first"));
    }
    // The new service does not respond to the first request, and its list has a lower version than the old
    // one.
    let new = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    config["discovery"] = new.local_addr().expect("a bound listener has an address").to_string().into();
    config["limits"]["sockets"] = 512.into();
    daemon.write_configuration(&config.to_string());
    daemon.signal("HUP");
    daemon.wait_for_log("setting changed, effective after restart key=limits.sockets");
    let _unanswered = new.accept().expect("the router connects");
    let (mut stream, _) = new.accept().expect("the router connects again");
    assert_eq!(
        read_http_request(&stream),
        "GET /api/targets HTTP/1.1",
        "the complete list must be requested, whatever version the old service had"
    );
    assert_eq!(
        client.execute(&write_request(2, 2_000)),
        ClientReply::value("first"),
        "the previous list must be used until the new one arrives"
    );
    let list = format!("{{\"seq\":2,\"whole\":true,\"hosts\":[{}]}}\n", at(second.address));
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
        .expect("the bytes are sent");
    assert_eq!(
        read_http_request(&new.accept().expect("the router connects for a watch").0),
        "GET /api/targets?follow=1&since=2 HTTP/1.1"
    );
    assert_eq!(client.execute(&write_request(3, 2_000)), ClientReply::value("second"));
    daemon.signal("TERM");
    daemon.signal("HUP");
    daemon.wait_for_exit();
}

/// Guards against a lost reload when SIGHUP arrives while the file is being written. The file holds half of
/// the text at the signal, and is complete 400 ms later without another signal.
#[test]
fn configuration_half_written_at_reload_is_read_again() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let old = Discovery::start();
    let mut config = configuration_with_discovery(&[ready_primary("p", primary.address)], &old);
    let daemon = Daemon::start("half-written", &config);
    old.next_request();
    let new = Discovery::start();
    config["discovery"] = new.address.to_string().into();
    let text = config.to_string();
    daemon.write_configuration(&text[..text.len() / 2]);
    daemon.signal("HUP");
    sleep(Duration::from_millis(400));
    daemon.write_configuration(&text);
    // The router must query the new service within four seconds of the complete configuration being written.
    let first_request = new.requests.recv_timeout(Duration::from_secs(4));
    assert_eq!(first_request.map(|(line, _)| line).as_deref(), Ok("GET /api/targets HTTP/1.1"));
    daemon.shut_down();
}

/// Reverses the order of the request classes, and of the settings that follow that order.
fn reverse_request_classes(config: &mut Value) {
    let settings = &mut config["settings"];
    settings["classes"].as_array_mut().expect("settings.classes is an array").reverse();
    for key in ["class_read", "oldest_data_us"] {
        settings["domain"][key].as_array_mut().expect("the list is valid").reverse();
    }
}

/// Guards against a reload that changes the request class of a request in flight. The reload reverses the
/// order of the classes; a write in flight must still be a write, which is not retried, and a read in flight
/// a read.
#[test]
fn reload_with_reordered_classes_leaves_requests_in_flight_unchanged() {
    let (opener, gate) = gate();
    let primary = ScriptedHost::primary(move |nth, _| {
        if nth < 2 {
            gate.wait();
            return HostAction::Close;
        }
        answer("again")
    });
    let mut config = single_primary_configuration(primary.address);
    let mut daemon = Daemon::start("reorders", &config);
    let (mut writer, mut reader) =
        (PostgresClient::connect(daemon.address), PostgresClient::connect(daemon.address));
    writer.send(&write_request(1, 5_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    reader.send(&read_request(2, 5_000));
    assert!(matches!(primary.next_event(), HostEvent::Query(_)));
    reverse_request_classes(&mut config);
    daemon.write_configuration(&config.to_string());
    daemon.signal("HUP");
    daemon.wait_for_log("setting changed, effective after restart key=settings.classes");
    (0..2).for_each(|_| opener.send(()).expect("the host waits for the test"));
    assert_eq!(
        writer.receive(),
        ClientReply::error("40003"),
        "a write that may have run must fail and not be retried"
    );
    assert_eq!(reader.receive(), ClientReply::value("again"), "a read must be retried");
    assert_eq!(writer.execute(&write_request(3, 5_000)), ClientReply::value("again"));
    daemon.shut_down();
}

/// Guards against state shared by the whole process, such as the table of request classes. The second router
/// has other class names, in reverse order.
#[test]
fn two_routers_in_one_process_share_no_state() {
    let hosts = [ScriptedHost::primary(|_, _| answer("one")), ScriptedHost::primary(|_, _| answer("two"))];
    let mut two = single_primary_configuration(hosts[1].address);
    reverse_request_classes(&mut two);
    for class in two["settings"]["classes"].as_array_mut().expect("settings.classes is an array") {
        class["name"] = format!("{}-two", class["name"].as_str().expect("the name is a text")).into();
    }
    let routers = [Router::with_single_primary(&hosts[0]), Router::start(two)];
    let mut clients: Vec<PostgresClient> =
        routers.iter().map(|router| PostgresClient::connect(router.address)).collect();
    for id in 0..20 {
        let for_second_router = write_request(id, 5_000).replace("c=write", "c=write-two");
        assert_eq!(clients[0].execute(&write_request(id, 5_000)), ClientReply::value("one"));
        assert_eq!(clients[1].execute(&for_second_router), ClientReply::value("two"));
        assert_eq!(
            clients[0].execute(&for_second_router),
            ClientReply::error("22023"),
            "the second router's request class must be unknown"
        );
    }
    routers.into_iter().for_each(Router::shut_down);
}
