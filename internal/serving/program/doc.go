// Package program implements the command line that all serving programs share: it parses flags and
// commands, creates the logger, checks settings and configurations, and turns errors into exit statuses. It
// must not import the programs, which pass their Run functions to it.
package program
