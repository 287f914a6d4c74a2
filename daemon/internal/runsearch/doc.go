// Package runsearch has tests only: an explicit-state search over the decisions about runs.
// It drives the product's planner, ledger, lease accounting, agent decisions and answers to
// callers (core/placement, core/ledger, core/lease, core/runtable, core/leaderless,
// daemon/scheduler, daemon/gateway) through the orders of events that the interfaces allow,
// with a model of the endpoints, the connections and the processes around them, and checks
// after each event what no order may break.
package runsearch
