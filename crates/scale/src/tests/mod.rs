mod decisions;
mod figures;
mod plan;
mod servers;
