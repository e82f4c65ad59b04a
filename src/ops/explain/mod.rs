//! Tells from logs alone why a request ended as it did.

mod line;
mod logs;
mod words;

pub use line::Line;
pub use logs::Logs;
pub use words::render;

/// Time before an answer in which lines about the leafs concerned are told.
const CONTEXT_MS: i64 = 5_000;

/// Lines about leafs that are told with a request at most.
const MAX_CONTEXT: usize = 12;

/// A request as one node saw it.
#[derive(Clone, Debug)]
pub struct Story<'a> {
    /// The node.
    pub node: &'a str,
    /// Its decisions, in order.
    pub steps: Vec<&'a Line>,
    /// Its answer, or why it was answered without any decision on leafs; `None` if the
    /// log ends before.
    pub end: Option<&'a Line>,
    /// The configuration in force.
    pub configuration: Option<&'a Line>,
    /// The last change in the reach of the store.
    pub store: Option<&'a Line>,
    /// What became known of the leafs concerned shortly before.
    pub leafs: Vec<&'a Line>,
}

/// Finds what nodes did with a request; one story for each node and answer.
#[must_use]
pub fn find<'a>(logs: &'a Logs, id: &str) -> Vec<Story<'a>> {
    logs.nodes().flat_map(|(node, lines)| on_node(node, lines, id)).collect()
}

fn on_node<'a>(node: &'a str, lines: &'a [Line], id: &str) -> Vec<Story<'a>> {
    let mut stories = Vec::new();
    let mut open: Option<Story<'a>> = None;
    for (position, line) in lines.iter().enumerate() {
        if line.get("id") != Some(id) || is_about_leafs(line) {
            continue;
        }
        let story = open.get_or_insert_with(|| Story {
            node,
            steps: Vec::new(),
            end: None,
            configuration: None,
            store: None,
            leafs: Vec::new(),
        });
        if matches!(line.event.as_str(), "answer" | "rejected") {
            story.end = Some(line);
            place(story, &lines[..position]);
            stories.extend(open.take());
        } else {
            story.steps.push(line);
        }
    }
    stories.extend(open);
    stories
}

/// Adds what the node believed, from the lines before the answer. Lines of an earlier
/// process of that name don't count.
fn place<'a>(story: &mut Story<'a>, before: &'a [Line]) {
    let started = before.iter().rposition(|line| line.event == "start");
    let before = &before[started.unwrap_or_default()..];
    let last =
        |events: &[&str]| before.iter().rev().find(|line| events.contains(&line.event.as_str()));
    story.configuration = last(&["configuration"]);
    story.store = last(&["store_lost", "store_regained", "store_reached"]);
    let Some(end) = story.end else { return };
    let earliest = end.millis_of_day().map(|at| at - CONTEXT_MS - end.number("took_ms"));
    let recent = before.iter().rev().take_while(|line| line.millis_of_day() >= earliest);
    let concerned = recent.filter(|line| is_about_leafs(line) && names(story, line));
    let mut leafs: Vec<&Line> = concerned.take(MAX_CONTEXT).collect();
    leafs.reverse();
    story.leafs = leafs;
}

fn is_about_leafs(line: &Line) -> bool {
    matches!(line.event.as_str(), "leaf" | "leaf_state")
}

/// Whether a story speaks of the leaf or service that a line is about.
fn names(story: &Story<'_>, line: &Line) -> bool {
    let leaf = line.text("id");
    let service = line.get("service");
    let missing = story.end.map_or("", |end| end.text("missing"));
    let in_missing = missing
        .split(' ')
        .filter_map(|part| part.split_once(':'))
        .any(|(s, leafs)| service == Some(s) || leafs.split('+').any(|other| other == leaf));
    in_missing || story.steps.iter().any(|step| step.text("leaf") == leaf)
}
