//! Two cases of a session whose BEGIN was refused. In the first, one text ends the transaction and inserts a row: the text
//! has to run whole at the primary, or its client has to hear that it did not. In the second, the client ends the
//! transaction with ROLLBACK AND CHAIN, which begins the next one: what follows must not be committed by itself.

use crate::Case;
use crate::rig::*;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const OPERATOR: &str = "{statements: {enabled: true, rules: [\
 {name: 'reads', effects: ['read'], class: 'browse', deadline_ms: 800, group: {constant: 0}},\
 {name: 'writes', effects: ['write'], class: 'ingest', deadline_ms: 2000, group: {constant: 0}}]}}";

/// One primary that counts the rows that were inserted, a proxy and a client's session.
struct Scene {
    inserted: Arc<Mutex<usize>>,
    record: Record,
    client: Client,
    _proxy: Proxy,
    _folder: Folder,
}

impl Scene {
    fn start(case: &Case) -> Run<Scene> {
        let record = &case.record;
        let folder = Folder::create()?;
        let inserted: Arc<Mutex<usize>> = Arc::default();
        let counted = inserted.clone();
        // Without a BEGIN each text is a transaction of its own, which is committed at its end.
        let answer = move |text: &str, _: u64| {
            let statements = text.split(';').map(str::trim).filter(|part| !part.is_empty());
            let replies = statements.map(|part| match part.split(' ').next().unwrap_or("") {
                "INSERT" => {
                    *counted.lock().unwrap() += 1;
                    Reply::Done("INSERT 0 1".into())
                }
                "SELECT" => Reply::Rows(vec!["value".into()], "SELECT 1".into()),
                other => Reply::Done(other.to_uppercase()),
            });
            Reply::Several(replies.collect())
        };
        let primary = Host::start("s-1", true, record, Box::new(answer))?;
        let agent = Agent::start(&[Entry {
            name: "s-1", address: primary.address, group: 0, status: "SERVING", writer: true, since_ms: 0,
        }])?;
        let settings = settings("await");
        let options = ProxyOptions {
            root: &case.root, folder: &folder, name: "n0", discovery: agent.address, settings: &settings,
            operator: Some(OPERATOR), known: None, listen: None, tmpdir: None,
        };
        let mut proxy = Proxy::start(&options, record)?;
        proxy.wait_until_ready(Duration::from_secs(15))?;
        let client =
            Client::connect(proxy.listen, Duration::from_secs(4)).map_err(|e| format!("the client: {e}"))?;
        Ok(Scene { inserted, record: record.clone(), client, _proxy: proxy, _folder: folder })
    }

    fn ask(&mut self, text: &str) -> Run<Heard> {
        let heard = self.client.query(text, Duration::from_secs(4)).map_err(|e| format!("{text}: {e}"))?;
        self.record.line(format!(
            "client: {text} -> completed {:?}, errors {:?}, status {}", heard.tags, heard.errors, heard.status
        ));
        Ok(heard)
    }

    fn inserted(&self) -> usize {
        *self.inserted.lock().unwrap()
    }
}

pub fn run(case: &Case) -> Run<Option<String>> {
    const INSERT: &str = "INSERT INTO entries (ref, payload) VALUES ('log-7', 'the upload was given up')";
    let mut scene = Scene::start(case)?;
    if case.trouble {
        if scene.ask("BEGIN")?.errors.is_empty() {
            return Err("BEGIN was not refused".into());
        }
        scene.ask("INSERT INTO entries (ref, payload) VALUES ('upload-7', 'part 1')")?;
    }
    let before = scene.inserted();
    let heard = scene.ask(&format!("ROLLBACK; {INSERT}"))?;
    std::thread::sleep(Duration::from_millis(1_000));
    let ran = scene.inserted() - before;
    let after = scene.ask(INSERT)?;
    scene.record.line(format!("the same INSERT alone: {:?}; inserted by the text before: {ran}", after.tags));
    if ran > 1 {
        return Ok(Some(format!("the row was inserted {ran} times")));
    }
    let told = !heard.errors.is_empty();
    Ok((ran == 0 && !told)
        .then(|| format!("the client heard {:?} and no error, and its INSERT never ran", heard.tags)))
}

pub fn run_chain(case: &Case) -> Run<Option<String>> {
    const INSERT: &str = "INSERT INTO entries (ref, payload) VALUES ('upload-7', 'part 1')";
    let mut scene = Scene::start(case)?;
    if scene.ask("BEGIN")?.errors.is_empty() {
        return Err("BEGIN was not refused".into());
    }
    scene.ask(INSERT)?;
    if case.trouble {
        scene.ask("ROLLBACK AND CHAIN")?;
    } else {
        scene.ask("ROLLBACK")?;
        scene.ask("BEGIN")?;
    }
    // The client holds that it is in its next transaction. Whatever the INSERT is answered, the ROLLBACK undoes it.
    let heard = scene.ask(INSERT)?;
    scene.ask("ROLLBACK")?;
    let inserted = scene.inserted();
    scene.record.line(format!("rows that the primary has committed: {inserted}"));
    Ok((inserted > 0).then(|| {
        format!("{inserted} row of a transaction that its client rolled back is committed; the INSERT was answered {:?}", heard.tags)
    }))
}
