// Package config reads a gateway's configuration, checks it and fills in defaults: the configuration file
// with its settings, the operator files of forward authentication and of the journal, and the environment.
//
// It owns no state. Keys are those of the files and never change; the settings are decoded leniently, so
// that a key which matches no field is passed over, and operator files strictly. Errors name the file and
// the key at fault. Begin at Read and Gateway.
package config
