package transport

import (
	"sync"
	"time"
)

// openRequests are the requests in flight by their X-Request-Id. Guards against two requests of one ID, of
// two clients or of one: workers could not distinguish them.
type openRequests struct {
	mu   sync.Mutex // guards byID and the fields of its values
	byID map[string]*openRequest
}

// openRequest is a request in flight.
type openRequest struct {
	request *Request
	done    chan struct{} // closed once the ID is released; nil while nobody waits for that
}

// acquire registers a request under its ID, unless another request has it. Where that one's client has gone
// it is about to be given up, and its end is waited for, limit at most: the ID is free if nothing was sent
// for it. Guards against a client that has closed its connection and at once sends the same request again.
func (o *openRequests) acquire(request *Request, limit time.Duration) (acquired bool, waited time.Duration) {
	for start := time.Now(); ; waited = time.Since(start) {
		o.mu.Lock()
		existing := o.byID[string(request.RequestID)]
		if existing == nil {
			o.byID[string(request.RequestID)] = &openRequest{request: request}
			o.mu.Unlock()
			return true, waited
		}
		if existing.done == nil {
			existing.done = make(chan struct{})
		}
		o.mu.Unlock()
		if !existing.request.Gone() {
			return false, waited
		}
		select {
		case <-existing.done:
			if existing.request.MaybeSent {
				return false, waited
			}
		case <-time.After(limit - time.Since(start)):
			return false, waited
		}
	}
}

// release frees a registered ID.
func (o *openRequests) release(id []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if done := o.byID[string(id)].done; done != nil {
		close(done)
	}
	delete(o.byID, string(id))
}
