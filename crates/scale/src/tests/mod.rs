mod figures;
mod plan;
mod servers;
