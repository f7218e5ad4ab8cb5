mod agreement;
mod failover;
mod world;
