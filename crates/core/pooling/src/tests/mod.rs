mod choices;
mod conns;
mod freshness;
mod queues;
