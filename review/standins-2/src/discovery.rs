//! The agent of discovery on a router's machine.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    pub site: &'static str,
    pub rank: &'static str,
    pub health: &'static str,
    pub born_ms: i64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"m2","block":0,"health":"{}","share":1.0,"rank":"{}","born_ms":{}}}"#,
            self.host, self.dial, self.site, self.health, self.rank, self.born_ms
        )
    }
}

pub fn list_json(seq: u64, whole: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

#[derive(Default)]
struct Lists {
    /// The changes in order; the first one is the whole list.
    changes: Vec<Vec<Entry>>,
}

/// The agent. Version n is the list after n changes.
#[derive(Clone, Default)]
pub struct Discovery(Arc<Mutex<Lists>>);

impl Discovery {
    pub fn new(entries: Vec<Entry>) -> Discovery {
        let discovery = Discovery::default();
        discovery.change(entries);
        discovery
    }

    pub fn change(&self, entries: Vec<Entry>) {
        self.0.lock().unwrap().changes.push(entries);
    }

    pub fn known(&self) -> String {
        let lists = self.0.lock().unwrap();
        let mut entries: Vec<Entry> = Vec::new();
        for change in lists.changes.iter().flatten() {
            entries.retain(|entry| entry.host != change.host);
            entries.push(change.clone());
        }
        entries.retain(|entry| entry.health != "gone");
        list_json(lists.changes.len() as u64, true, &entries)
    }

    fn changes_since(&self, since: u64) -> Option<(u64, String)> {
        let lists = self.0.lock().unwrap();
        let seq = lists.changes.len() as u64;
        if since >= seq {
            return None;
        }
        let mut changed: Vec<Entry> = Vec::new();
        for change in lists.changes[since as usize..].iter().flatten() {
            changed.retain(|entry| entry.host != change.host);
            changed.push(change.clone());
        }
        Some((seq, list_json(seq, since == 0, &changed)))
    }

    pub fn start(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                std::thread::spawn(move || {
                    let _ = discovery.serve(stream);
                });
            }
        });
        Ok(address)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default();
        let Some(since) = path.split_once("since=").map(|(_, since)| since.parse().unwrap_or(0)) else {
            let list = self.known();
            let length = list.len() + 1;
            return stream.write_all(
                format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{list}\n")
                    .as_bytes(),
            );
        };
        stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let mut version: u64 = since;
        let mut last_line = Instant::now() - Duration::from_secs(2);
        loop {
            if let Some((seq, changes)) = self.changes_since(version) {
                version = seq;
                stream.write_all(format!("{:x}\r\n{changes}\n\r\n", changes.len() + 1).as_bytes())?;
                last_line = Instant::now();
            } else if last_line.elapsed() >= Duration::from_secs(2) {
                stream.write_all(b"1\r\n\n\r\n")?;
                last_line = Instant::now();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
