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
	reportsPath          = "/fleet/words"         // at the control port
	reportsFormat        = 1                      // of a reportExchange
	maxConcurrentQueries = 8                      // so that many sources are asked within a second
	instanceTimeout      = 500 * time.Millisecond // for an instance's report
	neighbourTimeout     = 2 * time.Second        // for a neighbour's reports, some MB
	reportRetention      = 60 * time.Second       // a report that was not received again is forgotten
	warningInterval      = 10 * time.Second       // between two warnings of one source and reason
	maxWarningKeys       = 1000                   // sources and reasons for which the last warning is kept
)

// errTooLong is the error of an answer beyond its bound.
var errTooLong = errors.New("too long")

// reportExchange is what a daemon answers its neighbours: the reports of the instances that it asks itself,
// not those that it has from others.
type reportExchange struct {
	Format     int               `json:"Form"`
	Host       string            `json:"Host"`
	Reports    []json.RawMessage `json:"Words"`
	AgesMillis []float64         `json:"Ages"` // since each report was received last
}

// forecastCollector collects the reports of instances, directly and from other daemons, and makes the
// forecast from them. Nothing that serves clients waits for it.
type forecastCollector struct {
	log    zerolog.Logger
	host   string // this daemon's name
	client http.Client
	ctx    context.Context // ended by cancel, once the daemon has stopped
	cancel context.CancelFunc

	mu          sync.Mutex // guards the following fields up to projectionMu
	settings    ForecastSettings
	reports     map[string]receivedReport // by group and number
	rejected    map[string]int
	unreachable int                  // sources that did not answer in the last round
	lastWarning map[string]time.Time // by source and reason

	projectionMu  sync.Mutex         // guards the following fields
	projectionKey string             // the reports and rules of the projection
	projection    *forecast.Forecast // the last one
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

// forecastSources returns the settings of the forecast, and the instances' names by the admin addresses of
// this daemon's ready processes.
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

// collect queries every source once, a few at a time, and forgets old reports.
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

// queryInstance asks an instance for its report. A name that is not empty has to be the report's.
func (c *forecastCollector) queryInstance(address, name string) error {
	raw, err := c.fetch("http://"+address+admin.ForecastPath, instanceTimeout, forecast.MaxReportBytes)
	if err != nil {
		return err
	}
	c.accept(address, raw, 0, true, func(report *forecast.Report) error {
		if name != "" && (report.Name != name || report.Host != c.host) {
			return fmt.Errorf("it is from %s of %s, not from %s", report.Name, report.Host, name)
		}
		return nil
	})
	return nil
}

// queryNeighbour asks another daemon for the reports of its instances. Only an answer that could not be had
// is an error; what is wrong with one is counted as rejected.
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
		c.reject(address, rejectVersion, fmt.Errorf("form %d of words, not %d", exchange.Format, reportsFormat))
		return nil
	}
	if len(exchange.AgesMillis) != len(exchange.Reports) {
		c.reject(address, rejectMalformed,
			fmt.Errorf("%d ages for %d words", len(exchange.AgesMillis), len(exchange.Reports)))
		return nil
	}
	for i, report := range exchange.Reports {
		ageMillis := exchange.AgesMillis[i]
		if !(ageMillis >= 0 && ageMillis <= float64(reportRetention.Milliseconds())) {
			c.reject(address, rejectMalformed, fmt.Errorf("a word of an age of %v ms", ageMillis))
			continue
		}
		age := time.Duration(ageMillis * float64(time.Millisecond))
		c.accept(address, report, age, false, func(*forecast.Report) error { return nil })
	}
	return nil
}

// fetch gets a page of at most so many bytes; a longer one is counted as rejected.
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
		c.reject(url, rejectTooLong, fmt.Errorf("over %d bytes", maxBytes))
		return nil, errTooLong
	}
	return body, err
}

// warn logs a source's fault, at most once in warningInterval for each reason.
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
		c.log.Warn().Err(err).Str("source", source).Str("why", reason).Msg("forecast report not accepted")
	}
}
