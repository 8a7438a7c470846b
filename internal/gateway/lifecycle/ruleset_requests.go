package lifecycle

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/distribution"
	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/ruleset"
)

// What the daemon serves. UpdatePath answers with what has changed since the version that the instance has,
// and with how long ago that was in force; LeasePath with the full ruleset each time, for instances of older
// versions.
const (
	UpdatePath           = "/fleet/ask"
	LeasePath            = "/fleet/lease"
	DiscoveryIndexHeader = "X-Discovery-Index" // the highest index of discovery's list that any process reported
)

const (
	// firstRequestTimeoutMillis is the time-out of a request until a lease is known: a quarter of the usual
	// lease.
	firstRequestTimeoutMillis = 250.0

	// legacyRetryMillis is how long a daemon that does not serve UpdatePath is requested at LeasePath alone. A
	// daemon is replaced within seconds, and each request in vain costs an answer of some bytes.
	legacyRetryMillis = 5000.0
)

// daemonResponse is the outcome of one request to the daemon.
type daemonResponse struct {
	update                *distribution.Response // from UpdatePath; nil where lease is from LeasePath
	lease                 ruleset.Lease
	legacy                bool // the daemon does not serve UpdatePath
	highestDiscoveryIndex int64
	requestedAtMillis     float64 // in boot time
	err                   error
	corrupt               bool // a response came that can't be decoded
}

// RequestTimeoutMillis is how long a request to the daemon waits for its answer under a lease of so many
// milliseconds; 0 stands for a lease that is not known yet. Guards against many instances that start on one
// host and give up their first request so soon that the daemon, which answers one after another, is requested
// again by all of them and answers none in time.
func RequestTimeoutMillis(leaseMillis float64) float64 {
	if leaseMillis == 0 {
		return firstRequestTimeoutMillis
	}
	return leaseMillis / 4
}

// request sends a request to the daemon, or does so once the one in flight is answered.
func (c *rulesetClient) request() {
	if c.requestInFlight {
		c.requestPending = true
		return
	}
	c.requestInFlight, c.requestPending = true, false
	timeoutMillis := RequestTimeoutMillis(c.newest.Rules.LeaseMillis)
	ackedStep, index := c.leaseHolder.AckedStep(), c.gateway.discoveryIndex()
	query := url.Values{
		"instance": {c.gateway.config.Name},
		"pid":      {strconv.Itoa(os.Getpid())},
		"holds":    {strconv.FormatUint(ackedStep, 10)},
		"index":    {strconv.FormatInt(index, 10)},
	}
	leaseURL := "http://" + c.gateway.config.RulesetAddress + LeasePath + "?" + query.Encode()
	if bootMillis() < c.legacyUntilMillis {
		go func() { c.responses <- c.fetchLease(leaseURL, timeoutMillis) }()
		return
	}
	updateRequest := c.replica.NewRequest(bootMillis(), ackedStep, index)
	go func() {
		response := c.fetchUpdate(updateRequest, timeoutMillis)
		if response.legacy {
			response = c.fetchLease(leaseURL, timeoutMillis)
			response.legacy = true
		}
		c.responses <- response
	}()
}

// fetchUpdate requests what has changed.
func (c *rulesetClient) fetchUpdate(
	request *distribution.Request,
	timeoutMillis float64,
) (response daemonResponse) {
	response.requestedAtMillis = bootMillis()
	response.update, response.err = c.updates.Fetch(0, request, timeoutMillis)
	var status *relay.StatusError
	switch {
	case response.err == nil:
		response.highestDiscoveryIndex = response.update.DiscoveryIndex
	case errors.As(response.err, &status):
		response.legacy = status.Code == http.StatusNotFound || status.Code == http.StatusMethodNotAllowed
	default:
		response.corrupt = errors.Is(response.err, relay.ErrCorruptResponse)
	}
	return response
}

// fetchLease requests the full ruleset.
func (c *rulesetClient) fetchLease(leaseURL string, timeoutMillis float64) (response daemonResponse) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(leaseURL)
	response.requestedAtMillis = bootMillis()
	if response.err = c.leases.DoTimeout(req, res, transport.Millis(timeoutMillis)); response.err != nil {
		response.corrupt = errors.Is(response.err, fasthttp.ErrBodyTooLarge)
		return response
	}
	if status := res.StatusCode(); status != fasthttp.StatusOK {
		response.err = fmt.Errorf("status %d: %.100s", status, res.Body())
		return response
	}
	start := time.Now()
	response.lease, response.err = ruleset.DecodeLease(res.Body())
	c.workNanos.Add(int64(time.Since(start)))
	response.corrupt = response.err != nil
	response.highestDiscoveryIndex, _ = strconv.ParseInt(string(res.Header.Peek(DiscoveryIndexHeader)), 10, 64)
	return response
}

// dial opens a connection for LeasePath whose bytes are counted.
func (c *rulesetClient) dial(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, c}, nil
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	client *rulesetClient
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.client.receivedBytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.client.sentBytes.Add(int64(n))
	return n, err
}
