// Package settings reads and checks the settings file of a process: its identity, its addresses, and the
// bounds within which it has to keep its guarantees. The package does not
// watch the file: a process that applies changes while it runs has to load it again. A value that cannot be
// used is reported as a ValueError with its key and the remedy. The package must not
// import other packages of the serving system.
package settings
