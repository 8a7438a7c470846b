// Package supervisor is the daemon that keeps many gateway instances on one host: it starts, health checks,
// replaces and stops their processes, and adopts those that an earlier daemon has left.
//
// It owns the desired state of the host's instances, their restart backoff, the listeners for clients, the
// run directory (one note for each running process, each instance's configuration, and the rules that were
// applied last), the daemon's control port, the collected forecast reports, and the host's part in the
// ruleset: either a voter of the raft group or a subscription to relays.
//
// The Reconciler decides, without I/O and by the inputs alone; a Daemon performs its actions. The package
// does not import the gateway's proxy or the policy of requests: what an instance does with its traffic is
// unknown here.
//
// LoadSettings reads fleet.toml, NewDaemon starts the instances, Daemon.ServeControl opens the control port,
// Daemon.Reload takes changed settings, and Daemon.Stop ends all instances.
package supervisor
