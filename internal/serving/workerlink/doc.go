// Package workerlink exchanges requests and responses with workers over HTTP/1.1: a pool of connections
// per worker, one request at a time on each. Nothing is ever sent twice here: the caller decides on
// retries, by the error that states whether the request may have run.
//
// Pool.Get, Conn.Send, Conn.Receive, reading the response's body and Pool.Put make one exchange. A Pool
// owns its idle connections, each with a goroutine that ends when the connection leaves the pool or is
// closed. A Pool is safe for concurrent use, a Conn is not. The package must not import the edge or its
// decisions.
package workerlink
