mod asker;
mod cli;
mod frames;
mod session;
