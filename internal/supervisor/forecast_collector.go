package supervisor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/forecast"
	"willowdeck/internal/gateway/admin"
)

const (
	reportsPath          = "/fleet/words"         // path at the control port
	reportsFormat        = 1                      // format version of a reportExchange
	maxConcurrentQueries = 8                      // enough to query many sources within a second
	instanceTimeout      = 500 * time.Millisecond // for the report of an instance
	neighbourTimeout     = 2 * time.Second        // for the reports of a neighbour, some MB
	reportRetention      = 60 * time.Second       // a report not received again for this long is dropped
	warningInterval      = 10 * time.Second       // between two warnings for the same source and reason
	maxWarningKeys       = 1000                   // pairs of source and reason whose last warning is kept
)

// errTooLong is the error for a response that exceeds its maximum size.
var errTooLong = errors.New("too long")

// reportExchange is a daemon's response to its neighbours: the reports of the instances that it queries
// itself, without those that it has received from other daemons.
type reportExchange struct {
	Format     int               `json:"Form"`
	Host       string            `json:"Host"`
	Reports    []json.RawMessage `json:"Words"`
	AgesMillis []float64         `json:"Ages"` // time since each report was last received
}

// forecastCollector collects the reports of instances, directly and from other daemons, and makes the
// forecast from them. No client request waits for it.
type forecastCollector struct {
	log    zerolog.Logger
	host   string // this daemon's name
	client http.Client
	ctx    context.Context // canceled by cancel once the daemon has stopped
	cancel context.CancelFunc

	mu          sync.Mutex // guards the following fields up to projectionMu
	settings    ForecastSettings
	reports     map[string]receivedReport // by the instance's group and number
	rejected    map[string]int
	unreachable int                  // sources that did not answer in the last round
	lastWarning map[string]time.Time // by source and reason

	projectionMu  sync.Mutex         // guards the following fields
	projectionKey string             // identifies the reports and assumptions of the projection
	projection    *forecast.Forecast // the latest forecast
}

// newForecastCollector returns a collector without reports.
func (d *Daemon) newForecastCollector() *forecastCollector {
	c := &forecastCollector{
		log:         d.log,
		host:        d.settings.Name,
		settings:    d.settings.Forecast,
		reports:     map[string]receivedReport{},
		rejected:    map[string]int{},
		lastWarning: map[string]time.Time{},
		client:      http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run collects reports in rounds until the daemon has stopped.
func (c *forecastCollector) run(d *Daemon) {
	go func() {
		<-d.loopEnded
		c.cancel()
	}()
	for c.ctx.Err() == nil {
		settings, local := d.forecastSources()
		c.collect(settings, local)
		select {
		case <-c.ctx.Done():
		case <-time.After(time.Duration(settings.IntervalMillis * float64(time.Millisecond))):
		}
	}
}

// forecastSources returns the settings of the forecast, and the instance names of this daemon's ready
// processes by their admin addresses.
func (d *Daemon) forecastSources() (ForecastSettings, map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	local := map[string]string{}
	for _, process := range d.processes {
		if process.ready {
			local[process.AdminAddress] = process.Instance
		}
	}
	return d.settings.Forecast, local
}

// collect queries every source once, a few at a time, and drops the reports past reportRetention.
func (c *forecastCollector) collect(settings ForecastSettings, local map[string]string) {
	c.mu.Lock()
	c.settings = settings
	c.mu.Unlock()
	unreachable := 0
	var queries sync.WaitGroup
	var unreachableMu sync.Mutex
	slots := make(chan struct{}, maxConcurrentQueries)
	query := func(source string, request func() error) {
		queries.Add(1)
		slots <- struct{}{}
		go func() {
			defer queries.Done()
			defer func() { <-slots }()
			if err := request(); err != nil {
				unreachableMu.Lock()
				unreachable++
				unreachableMu.Unlock()
				c.warn(source, "no answer", err)
			}
		}()
	}
	for address, name := range local {
		query(address, func() error { return c.queryInstance(address, name) })
	}
	for _, address := range settings.UnmanagedInstances {
		query(address, func() error { return c.queryInstance(address, "") })
	}
	for _, address := range settings.Neighbours {
		query(address, func() error { return c.queryNeighbour(address) })
	}
	queries.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable = unreachable
	for id, report := range c.reports {
		if time.Since(report.receivedAt) > reportRetention {
			delete(c.reports, id)
		}
	}
}

// queryInstance gets the report of an instance. If name is not empty, the report has to be from the instance
// with this name on this host.
func (c *forecastCollector) queryInstance(address, name string) error {
	raw, err := c.fetch("http://"+address+admin.ForecastPath, instanceTimeout, forecast.MaxReportBytes)
	if err != nil {
		return err
	}
	c.accept(address, raw, 0, true, func(report *forecast.Report) error {
		if name != "" && (report.Name != name || report.Host != c.host) {
			return fmt.Errorf("report is from %s of host %s, not from %s", report.Name, report.Host, name)
		}
		return nil
	})
	return nil
}

// queryNeighbour gets the reports of the instances of another daemon. It returns an error only if it gets no
// usable response; an invalid response is counted as rejected.
func (c *forecastCollector) queryNeighbour(address string) error {
	raw, err := c.fetch("http://"+address+reportsPath, neighbourTimeout, forecast.MaxHostReportsBytes)
	if err != nil {
		return err
	}
	var exchange reportExchange
	if err := json.Unmarshal(raw, &exchange); err != nil {
		c.reject(address, rejectMalformed, err)
		return nil
	}
	if exchange.Format != reportsFormat {
		c.reject(address, rejectVersion, fmt.Errorf("format version %d, want %d", exchange.Format, reportsFormat))
		return nil
	}
	if len(exchange.AgesMillis) != len(exchange.Reports) {
		c.reject(address, rejectMalformed,
			fmt.Errorf("%d ages for %d reports", len(exchange.AgesMillis), len(exchange.Reports)))
		return nil
	}
	for i, report := range exchange.Reports {
		ageMillis := exchange.AgesMillis[i]
		if !(ageMillis >= 0 && ageMillis <= float64(reportRetention.Milliseconds())) {
			c.reject(address, rejectMalformed, fmt.Errorf("a report has an age of %v ms", ageMillis))
			continue
		}
		age := time.Duration(ageMillis * float64(time.Millisecond))
		c.accept(address, report, age, false, func(*forecast.Report) error { return nil })
	}
	return nil
}

// fetch returns the body of a GET request. A body of more than maxBytes is an error and is counted as
// rejected.
func (c *forecastCollector) fetch(url string, timeout time.Duration, maxBytes int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(maxBytes)+1))
	if err == nil && len(body) > maxBytes {
		c.reject(url, rejectTooLong, fmt.Errorf("response is over %d bytes", maxBytes))
		return nil, errTooLong
	}
	return body, err
}

// warn logs a failure of a source, at most once per warningInterval for each reason.
func (c *forecastCollector) warn(source, reason string, err error) {
	if c.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	key := source + reason
	due := time.Since(c.lastWarning[key]) > warningInterval
	if due {
		if len(c.lastWarning) > maxWarningKeys {
			clear(c.lastWarning)
		}
		c.lastWarning[key] = time.Now()
	}
	c.mu.Unlock()
	if due {
		c.log.Warn().Err(err).Str("source", source).Str("why", reason).Msg("no valid forecast report received")
	}
}
