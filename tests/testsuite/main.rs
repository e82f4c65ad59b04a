//! Process tests of nodes, and tests of the command line.

mod change;
mod command;
mod input;
mod path;
mod runs;
mod settings;
mod stop;
mod support;
mod trial;
