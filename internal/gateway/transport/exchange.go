package transport

import (
	"bufio"

	"github.com/valyala/fasthttp"
)

// exchange holds the buffers of a client's connection, which serve one request and its response at a time.
type exchange struct {
	reader       *bufio.Reader
	request      fasthttp.Request
	responseHead fasthttp.ResponseHeader
	body         []byte // a request's body, as far as it is buffered
	output       []byte // an encoded response
	closeAfter   bool   // the connection ends with the response
}

// reset prepares for the next request.
func (x *exchange) reset() {
	x.request.Reset()
	x.responseHead.Reset()
	x.closeAfter = false
}
