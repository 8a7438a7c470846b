package admin

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/gateway/recovery/bootstrap"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
)

// Stats are the counters of one process, since its start.
type Stats struct {
	Products         []ProductStats
	Attempts         int64 // written completely to workers
	Active           int64 // requests in flight
	Workers, Ejected int64 // on the list, and those of them that are ejected now
	Extra            []Stat
}

// Stat is a counter or gauge that only some gateways have.
type Stat struct {
	Name  string
	Value int64
}

// ProductStats counts one product's requests by how they ended.
type ProductStats struct {
	Name                        string
	Succeeded, Rejected, Failed int64
}

// Gateway is what the server needs of a gateway. None of its methods may block.
type Gateway interface {
	Healthy() bool       // ready to serve
	Stats() Stats        // not older than half a second
	Quiesce()            // start draining
	Resume()             // stop draining
	LogCall(what string) // logs a call that changes something
}

// EndpointSource is a Gateway that gives starting instances its list of workers.
type EndpointSource interface {
	SharesEndpoints() bool // whether starting instances may ask here at all
	// EncodedEndpoints returns the list in discovery's form and the time since discovery last confirmed it,
	// in ms; false before discovery has answered.
	EncodedEndpoints() (list []byte, ageMillis float64, ok bool)
}

// ForecastSource is a Gateway that reports for the forecast of losing a region.
type ForecastSource interface {
	ForecastReport() (report []byte, ok bool) // false where it reports nothing
}

// ForecastPath is the path of the forecast report.
const ForecastPath = "/admin/word"

// The path of the list of workers, and the headers of its answer: the protocol version
// (bootstrap.ProtocolVersion) and the list's age in ms.
const (
	EndpointsPath = "/admin/list"
	VersionHeader = "X-Willowdeck-Version"
	AgeHeader     = "X-Age-Ms"
)

// Server answers operators' calls.
type Server struct {
	Address  string
	listener *transport.LimitListener
	server   fasthttp.Server
	gateway  Gateway
}

// Open listens at address and answers calls until Close. It serves policy.MaxAdminConnections connections at
// once; beyond that a connection that has sent nothing is closed for a new one.
func Open(address string, gateway Gateway) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	server := &Server{Address: listener.Addr().String(),
		listener: transport.NewLimitListener(listener, policy.MaxAdminConnections), gateway: gateway}
	server.server = fasthttp.Server{
		Handler:            server.handle,
		ErrorHandler:       respondUnreadable,
		DisableKeepalive:   true, // one call per connection
		MaxRequestBodySize: policy.MaxAdminRequestBytes,
		ReadBufferSize:     policy.MaxAdminRequestBytes,
		ReadTimeout:        transport.Millis(policy.AdminTimeoutMillis),
		WriteTimeout:       transport.Millis(policy.AdminTimeoutMillis),
		CloseOnShutdown:    true, NoDefaultServerHeader: true, NoDefaultDate: true,
		Logger: transport.DiscardLogger{},
	}
	go func() { _ = server.server.Serve(server.listener) }()
	return server, nil
}

// Close stops the server.
func (s *Server) Close() {
	_ = s.listener.Close()
}

// endpoint is the method that a path takes and what answers it.
type endpoint struct {
	method string
	handle func(*Server, *fasthttp.RequestCtx)
}

var endpoints = map[string]endpoint{
	"/admin/health":  {fasthttp.MethodGet, (*Server).health},
	"/admin/stats":   {fasthttp.MethodGet, (*Server).stats},
	EndpointsPath:    {fasthttp.MethodGet, (*Server).endpoints},
	ForecastPath:     {fasthttp.MethodGet, (*Server).forecastReport},
	"/admin/quiesce": {fasthttp.MethodPut, (*Server).quiesce},
	"/admin/resume":  {fasthttp.MethodPut, (*Server).resume},
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain")
	e, ok := endpoints[string(ctx.Path())]
	switch {
	case !ok:
		respond(ctx, fasthttp.StatusNotFound, "no such call")
	case string(ctx.Method()) != e.method:
		ctx.Response.Header.Set("Allow", e.method)
		respond(ctx, fasthttp.StatusMethodNotAllowed, "this call takes "+e.method)
	default:
		e.handle(s, ctx)
	}
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	if s.gateway.Healthy() {
		respond(ctx, fasthttp.StatusOK, "ready")
		return
	}
	respond(ctx, fasthttp.StatusServiceUnavailable, "not ready")
}

func (s *Server) stats(ctx *fasthttp.RequestCtx) { ctx.SetBody(AppendStats(nil, s.gateway.Stats())) }

func (s *Server) endpoints(ctx *fasthttp.RequestCtx) {
	source, ok := s.gateway.(EndpointSource)
	if !ok || !source.SharesEndpoints() {
		respond(ctx, fasthttp.StatusNotFound, "no such call")
		return
	}
	list, ageMillis, ok := source.EncodedEndpoints()
	if !ok {
		respond(ctx, fasthttp.StatusServiceUnavailable, "nothing to tell yet")
		return
	}
	ctx.Response.Header.Set(VersionHeader, strconv.Itoa(bootstrap.ProtocolVersion))
	ctx.Response.Header.Set(AgeHeader, strconv.FormatFloat(ageMillis, 'f', 0, 64))
	ctx.SetContentType("application/json")
	ctx.SetBody(list)
}

func (s *Server) forecastReport(ctx *fasthttp.RequestCtx) {
	var report []byte
	source, ok := s.gateway.(ForecastSource)
	if ok {
		report, ok = source.ForecastReport()
	}
	if !ok {
		respond(ctx, fasthttp.StatusNotFound, "no such call")
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(report)
}

func (s *Server) quiesce(ctx *fasthttp.RequestCtx) {
	s.gateway.LogCall("quiesce")
	s.gateway.Quiesce()
	respond(ctx, fasthttp.StatusOK, "sending clients away")
}

func (s *Server) resume(ctx *fasthttp.RequestCtx) {
	s.gateway.LogCall("resume")
	s.gateway.Resume()
	respond(ctx, fasthttp.StatusOK, "taking clients")
}

func respond(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetBodyString(text + "\n")
}

// respondUnreadable answers what is not HTTP, is too long, or is incomplete when the time-out ends.
func respondUnreadable(ctx *fasthttp.RequestCtx, _ error) {
	respond(ctx, fasthttp.StatusBadRequest, "no call could be read")
	ctx.SetConnectionClose()
	transport.Linger(ctx.Conn())
}

// AppendStats appends the stats to b, one per line.
func AppendStats(b []byte, stats Stats) []byte {
	line := func(name, product string, value int64) {
		b = append(append(b, "svc."...), name...)
		if product != "" {
			b = append(append(b, '.'), product...)
		}
		b = append(strconv.AppendInt(append(b, '='), value, 10), '\n')
	}
	for _, p := range stats.Products {
		line("ok", p.Name, p.Succeeded)
		line("shed", p.Name, p.Rejected)
		line("errors", p.Name, p.Failed)
	}
	line("tries", "", stats.Attempts)
	line("active", "", stats.Active)
	line("pool_size", "", stats.Workers)
	line("pool_ejected", "", stats.Ejected)
	for _, stat := range stats.Extra {
		line(stat.Name, "", stat.Value)
	}
	return b
}

// RunPeriodically calls gather at once and then every policy.StatsRefreshMillis until stop is closed. Stats
// that are costly to gather are kept up to date by it.
func RunPeriodically(stop <-chan struct{}, gather func()) {
	ticker := time.NewTicker(transport.Millis(policy.StatsRefreshMillis))
	defer ticker.Stop()
	for {
		gather()
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}
