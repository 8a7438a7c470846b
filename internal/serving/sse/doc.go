// Package sse splits a stream of server-sent events (WHATWG HTML, "Server-sent events") into events, as
// bytes: they can be forwarded unchanged. A Reader buffers the event that it reads and is not safe for
// concurrent use. The package imports nothing of the project.
package sse
