// Package supervisor is the daemon that runs the gateway instances of one host: it starts, health checks,
// replaces and stops their processes, and adopts running processes of an earlier daemon.
//
// It owns the desired state of the host's instances, their restart backoff, the listeners for clients, the
// run directory (a record file for each running process, each instance's configuration, and the rules that
// were applied last), the daemon's control port, the collected forecast reports, and the host's part in the
// ruleset: either a voter of the raft group or a subscription to relays.
//
// The Reconciler decides which actions to take, from its inputs alone and without I/O; a Daemon performs
// them. The package does not import the gateway's proxy or its request policy and does not depend on how an
// instance handles requests.
//
// LoadSettings reads fleet.toml, NewDaemon starts the instances, Daemon.ServeControl opens the control port,
// Daemon.Reload applies changed settings, and Daemon.Stop stops all instances.
package supervisor
