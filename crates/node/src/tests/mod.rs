mod cli;
