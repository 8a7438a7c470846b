// Package sse splits a stream of server-sent events (WHATWG HTML, "Server-sent events") into events and keeps
// their bytes, so that they can be forwarded unchanged. A Reader buffers the event that it reads and is not
// safe for concurrent use. The package imports no other package of the project.
package sse
