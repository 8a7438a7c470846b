// Package faultinject runs processes of the real programs on loopback and injects faults between and into
// them, by a schedule that is drawn from a seed. It needs no privileges: links are cut, delayed and throttled
// in relays, processes are stalled and killed by signals, and disks are damaged between two incarnations of a
// process or bounded by a limit on file sizes. docs/rig.md describes it.
//
// Drawing a schedule, the order of its acts, what undoes a step, and shrinking do no I/O: schedule.go,
// acts.go and shrink.go. The same seed draws the same schedule: neither the draws nor their order may change.
// Net (relay.go, stream.go), Process, Instance and Disk carry the acts out, each the owner of its sockets,
// processes or files; Player plays a schedule on them.
//
// A test starts processes by Start, connects them by a Net, and plays a Schedule by a Player; all that it
// started ends with the test. Of this module the package imports ports, history and strictoml.
package faultinject
