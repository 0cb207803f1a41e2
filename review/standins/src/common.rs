//! What all cases share: the record, PostgreSQL messages, stand-ins for hosts, discovery and clients, and the
//! daemon as a separate process.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the Unix time in microseconds.
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// What was sent, answered and run, with the milliseconds since the start of the script.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> io::Result<Record> {
        Ok(Record(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub fn ms(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64() * 1_000.0
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:10.1} {text}\n", self.ms());
        let _ = self.0.1.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

// PostgreSQL messages.

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header)?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4).min(1 << 20)];
    stream.read_exact(&mut body)?;
    Ok((header[0], body))
}

fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// Encodes the answer of one row, with the host's role and, if given, a position in Unix milliseconds.
pub fn row_answer(value: &str, tag: &str, is_primary: bool, as_of_ms: Option<u64>) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend(b"data\0");
    description.extend([0; 6]);
    description.extend(17u32.to_be_bytes());
    description.extend((-1i16).to_be_bytes());
    description.extend((-1i32).to_be_bytes());
    description.extend([0, 0]);
    let mut row = vec![0, 1];
    row.extend((value.len() as u32).to_be_bytes());
    row.extend(value.as_bytes());
    let mut out = message(b'T', &description);
    out.extend(message(b'D', &row));
    out.extend(message(b'C', format!("{tag}\0").as_bytes()));
    out.extend(trailer(is_primary, as_of_ms));
    out
}

fn trailer(is_primary: bool, as_of_ms: Option<u64>) -> Vec<u8> {
    let mut out = parameter("rank", if is_primary { "source" } else { "copy" });
    if let Some(ms) = as_of_ms {
        out.extend(parameter("as_of", &ms.to_string()));
    }
    out.extend(ready());
    out
}

/// Encodes an error, with the host's role.
pub fn error_answer(code: &str, is_primary: bool) -> Vec<u8> {
    let mut out = message(b'E', format!("SERROR\0C{code}\0Mstand-in\0\0").as_bytes());
    out.extend(trailer(is_primary, None));
    out
}

/// A request as it arrives at a host.
pub struct HostQuery {
    pub text: String,
    pub id: String,
    pub is_write: bool,
}

impl HostQuery {
    fn parse(text: &str) -> HostQuery {
        let comment = text.split("*/").next().unwrap_or_default().trim_start_matches("/*");
        let field = |name: &str| {
            let mut fields = comment.split(',').filter_map(|part| part.trim().split_once('='));
            fields.find(|(key, _)| *key == name).map_or(String::new(), |(_, value)| value.into())
        };
        HostQuery {
            id: field("id"),
            is_write: text.contains("INSERT INTO"),
            text: text.into(),
        }
    }

    pub fn is_probe(&self) -> bool {
        self.text == "SHOW vitals"
    }
}

/// How a host of a case behaves. Called on the thread of the connection.
pub trait HostBehaviour: Send + Sync + 'static {
    /// How long the greeting of a new connection is delayed.
    fn greeting_delay(&self) -> Duration {
        Duration::ZERO
    }

    /// Answers a query whose last byte has arrived.
    fn query(&self, stream: &mut TcpStream, query: &HostQuery) -> io::Result<()>;
}

/// Starts a host on a free loopback port.
pub fn start_host(behaviour: Arc<impl HostBehaviour>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let behaviour = behaviour.clone();
            spawn(move || serve_host_connection(stream, &*behaviour));
        }
    });
    address
}

fn serve_host_connection(mut stream: TcpStream, behaviour: &impl HostBehaviour) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut startup = vec![0; (u32::from_be_bytes(length) as usize).clamp(4, 10_000) - 4];
    stream.read_exact(&mut startup)?;
    sleep(behaviour.greeting_delay());
    let mut greeting = message(b'R', &[0; 4]);
    greeting.extend(ready());
    stream.write_all(&greeting)?;
    loop {
        let (kind, body) = read_message(&mut stream)?;
        if kind != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body);
        behaviour.query(&mut stream, &HostQuery::parse(text.trim_end_matches('\0')))?;
    }
}

/// Starts the agent of discovery: one list that does not change while the case runs, and watches that get an
/// empty line every two seconds.
pub fn start_discovery(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            spawn(move || serve_discovery(stream, &list));
        }
    });
    address
}

fn serve_discovery(mut stream: TcpStream, list: &str) -> io::Result<()> {
    loop {
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        let Some(request) = lines.next() else { return Ok(()) };
        let request = request?;
        while lines.next().transpose()?.is_some_and(|line| !line.is_empty()) {}
        if !request.contains("follow=1") {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            stream.write_all((head + list).as_bytes())?;
            continue;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        loop {
            stream.write_all(b"1\r\n\n\r\n")?;
            sleep(Duration::from_secs(2));
        }
    }
}

/// Returns the endpoint list in the form of discovery.
pub fn endpoint_list(hosts: &[(&str, SocketAddr, &str, bool)]) -> String {
    let entry = |(name, address, site, is_primary): &(&str, SocketAddr, &str, bool)| {
        let rank = if *is_primary { "source" } else { "copy" };
        format!(
            r#"{{"host":"{name}","dial":"{address}","site":"{site}","class":"m1","block":0,"health":"ready","share":1.0,"rank":"{rank}","born_ms":0}}"#
        )
    };
    let entries: Vec<String> = hosts.iter().map(entry).collect();
    format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, entries.join(",")) + "\n"
}

/// How one request ended at its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A row and CommandComplete, with this value.
    Served(String),
    /// An error with this code.
    Error(String),
    /// The connection ended without a whole answer.
    Nothing,
}

/// A client's connection to a router.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        let mut body = 196_608u32.to_be_bytes().to_vec();
        body.extend(b"user\0portal\0database\0crm\0\0");
        let mut startup = (body.len() as u32 + 4).to_be_bytes().to_vec();
        startup.extend(body);
        stream.write_all(&startup)?;
        while read_message(&mut stream)?.0 != b'Z' {}
        Ok(Client { stream })
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&message(b'Q', format!("{text}\0").as_bytes()))
    }

    /// Reads the answer to the next request in order.
    pub fn receive(&mut self) -> Answer {
        let (mut value, mut complete, mut error) = (None, false, None);
        loop {
            let Ok((kind, body)) = read_message(&mut self.stream) else {
                return error.map_or(Answer::Nothing, Answer::Error);
            };
            match kind {
                b'D' => value = body.get(6..).map(|value| String::from_utf8_lossy(value).into_owned()),
                b'C' => complete = true,
                b'E' => {
                    let mut fields = body.split(|byte| *byte == 0).filter(|field| field.first() == Some(&b'C'));
                    error = fields.next().map(|field| String::from_utf8_lossy(&field[1..]).into_owned());
                }
                b'Z' => break,
                _ => {}
            }
        }
        match (error, value) {
            (Some(code), _) => Answer::Error(code),
            (None, Some(value)) if complete => Answer::Served(value),
            _ => Answer::Nothing,
        }
    }

    pub fn request(&mut self, text: &str) -> Answer {
        if self.send(text).is_err() { Answer::Nothing } else { self.receive() }
    }
}

pub fn read_text(id: &str, class: &str, timeout_ms: u32, key: &str) -> String {
    format!("/* id={id},c={class},d={timeout_ms},cluster=0 */ SELECT data FROM facts WHERE code = '{key}'")
}

pub fn write_text(id: &str, class: &str, timeout_ms: u32, key: &str) -> String {
    format!(
        "/* id={id},c={class},d={timeout_ms},cluster=0 */ INSERT INTO facts (code, data) VALUES ('{key}', '\\x9f03') RETURNING data"
    )
}

/// A router: the command of the deploy file as a separate process. It is killed when the value is dropped.
pub struct Router {
    pub address: SocketAddr,
    pub child: Child,
    /// Names the process to `run.sh`, which ends it if this program is interrupted.
    pid_file: PathBuf,
}

impl Router {
    /// Starts a router, and waits until it has replied to an empty query. `RUN` holds the command of the
    /// deploy file, `WORK` a temporary folder.
    pub fn start(name: &str, discovery: SocketAddr, known: &str, settings: &str) -> io::Result<Router> {
        let variable = |name: &str| std::env::var(name).map_err(io::Error::other);
        let (run, work) = (variable("RUN")?, PathBuf::from(variable("WORK")?));
        let address = free_address();
        let configuration = work.join(format!("{name}.json"));
        let text = format!(
            r#"{{"name":"{name}","listen":"{address}","discovery":"{discovery}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#,
            unix_us().wrapping_mul(0x9e37_79b9_7f4a_7c15)
        );
        std::fs::write(&configuration, text)?;
        let log = File::create(work.join(format!("{name}.log")))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_CONFIG", &configuration)
            .env("TMPDIR", &work)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let pid_file = work.join(format!("{name}.pid"));
        std::fs::write(&pid_file, child.id().to_string())?;
        let router = Router { address, child, pid_file };
        let begin = Instant::now();
        while begin.elapsed() < Duration::from_secs(20) {
            if let Ok(mut client) = Client::connect(address)
                && client.send("").is_ok()
                && read_message(&mut client.stream).is_ok_and(|(kind, _)| kind == b'I')
            {
                return Ok(router);
            }
            sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the router did not become ready"))
    }

    /// Sends SIGTERM to the program that `run` started.
    pub fn terminate(&self) -> io::Result<()> {
        Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status().map(|_| ())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid_file);
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    listener.local_addr().expect("a bound address")
}
