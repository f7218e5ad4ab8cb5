mod days;
mod decisions;
mod figures;
mod plan;
mod servers;
