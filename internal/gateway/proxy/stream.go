package proxy

import (
	"errors"
	"os"
	"time"

	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
)

// The ends of a streamed body that was not answered.
var (
	errClientBody    = errors.New("the client has not finished its request")
	errWorkerStalled = errors.New("the worker takes no more of the body")
	errEarlyAnswer   = errors.New("an answer to a body that had not been sent")
)

// streamBody sends a request's body on as it comes, while the worker may already answer, and tells whether
// it was sent completely. If not, the worker never ran the request.
func (p *Proxy) streamBody(v delivery, link *transport.WorkerConn) (answer *transport.Answer,
	startedMillis float64,
	sent bool, err error) {
	n := v.command.Decision.Attempt
	p.dispatcher.bodySent(v.request, n, 0)
	link.SetDeadline(time.Time{}) // the client's time begins with the end of the body
	link.ExpectBody()
	uploaded := make(chan error, 1)
	go func() {
		err := link.SendBody(v.upload)
		switch {
		case err == nil:
			p.links.CountAttempt()
			link.SetDeadline(p.dispatcher.bodySent(v.request, n, v.clientMillis))
		case v.upload.Err() != nil:
			link.Abort()
		default: // what the worker has answered is read within a limit: nothing else would end the wait
			link.SetDeadline(time.Now().Add(transport.Millis(policy.ResponseStallTimeoutMillis)))
		}
		uploaded <- err
	}()
	answer, err = link.Receive(func() { p.dispatcher.workerResponded(v.command.Upstream.Worker) })
	startedMillis = p.dispatcher.clock.now()
	v.upload.Stop() // an early answer needs no more of the body
	link.StopBody()
	uploadErr := <-uploaded
	switch {
	case uploadErr == nil:
		if startedMillis = p.dispatcher.bodySentMillis(v.request); err == nil && answer.Early() {
			err = errEarlyAnswer // of another attempt, or made up: it does not prove that this one did not run
		}
	case err == nil && answer.Outcome == policy.Succeeded:
		err = errEarlyAnswer // a worker without the complete body has not run it
	case err == nil:
		answer.CloseAfter()
	case v.upload.Err() != nil:
		err = errClientBody
	case errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(uploadErr, transport.ErrTruncated):
		err = errWorkerStalled
	}
	return answer, startedMillis, uploadErr == nil, err
}
