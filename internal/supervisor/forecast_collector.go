package supervisor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/forecast"
	"willowdeck/internal/gateway/admin"
)

const (
	reportsFormat        = 1                      // of what daemons tell each other
	maxConcurrentQueries = 8                      // instances and neighbours, so that many are asked within a second
	instanceTimeout      = 500 * time.Millisecond // for an instance to tell its word
	neighbourTimeout     = 2 * time.Second        // for a neighbour to tell its own; some MB
	maxReports           = 5000                   // that are kept
	reportRetention      = 60 * time.Second       // words that were not heard again; they are too old long before
	maxNeighbours        = 64
	warningInterval      = 10 * time.Second // a source's trouble in the log, at most
)

// Looks is what a fleet's file says of looking ahead.
type ForecastSettings struct {
	IntervalMillis     float64  `toml:"each_ms"`    // between two rounds of asking
	Neighbours         []string `toml:"neighbours"` // other daemons' operators' ports
	UnmanagedInstances []string `toml:"ask"`        // operators' ports of instances that no daemon keeps
	MaxReportAgeMillis float64  `toml:"old_ms"`
	WorkerCores        float64  `toml:"worker_cores"`
	WorkerPerSecond    float64  `toml:"worker_per_s"`
	OverheadMillis     float64  `toml:"way_ms"`
	MaxAttempts        int      `toml:"tries"`
	MaxBackoffMillis   float64  `toml:"back_ms"`
	TakeoverMillis     float64  `toml:"takeover_ms"`
	NeighboursTakeOver bool     `toml:"elsewhere"`
	SlowdownFactor     float64  `toml:"slow"`
}

func defaultForecastSettings() ForecastSettings {
	u := forecast.Usual
	return ForecastSettings{IntervalMillis: 1000, MaxReportAgeMillis: u.MostAge, MaxAttempts: u.Tries, NeighboursTakeOver: u.Elsewhere, SlowdownFactor: u.Slow}
}

// Rules are the projection's.
func (l *ForecastSettings) projectionRules() forecast.Rules {
	return forecast.Rules{MostAge: l.MaxReportAgeMillis, Cores: l.WorkerCores, PerS: l.WorkerPerSecond, Way: l.OverheadMillis, Tries: l.MaxAttempts,
		Back: l.MaxBackoffMillis, Takeover: l.TakeoverMillis, Elsewhere: l.NeighboursTakeOver, Slow: l.SlowdownFactor}
}

// looks checks what a file says of looking ahead.
func (f *FleetFile) resolveForecast(settings *Settings) error {
	forecast := &f.Forecast
	rules := forecast.projectionRules()
	switch err := rules.Check(); {
	case err != nil:
		return fmt.Errorf("outlook.%w", err)
	case !(forecast.IntervalMillis >= 100):
		return fmt.Errorf("outlook.each_ms: %v is under 100", forecast.IntervalMillis)
	case len(forecast.Neighbours)+len(forecast.UnmanagedInstances) > maxNeighbours:
		return fmt.Errorf("outlook.neighbours, outlook.ask: %d, over %d", len(forecast.Neighbours)+len(forecast.UnmanagedInstances),
			maxNeighbours)
	case f.Region == "" && len(forecast.Neighbours)+len(forecast.UnmanagedInstances) > 0:
		return errors.New("hall: there is none, and without it nothing is looked at ahead")
	case len(f.Region) > 128 || strings.ContainsAny(f.Region, "\r\n\x00"):
		return fmt.Errorf("hall: %q is too long, or has a control character", f.Region)
	}
	for i, address := range forecast.Neighbours {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("outlook.neighbours[%d]: %w", i, err)
		}
	}
	for i, address := range forecast.UnmanagedInstances {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("outlook.ask[%d]: %w", i, err)
		}
	}
	settings.Region, settings.Forecast = f.Region, *forecast
	return nil
}

// heard is a word as it was heard.
type receivedReport struct {
	report     *forecast.Word
	raw        json.RawMessage
	receivedAt time.Time
	local      bool // of an instance that this daemon asks itself
}

// told is what a daemon tells another: the words of the instances that it asks itself, no hearsay.
type reportExchange struct {
	Format     int               `json:"Form"`
	Host       string            `json:"Host"`
	Reports    []json.RawMessage `json:"Words"`
	AgesMillis []float64         `json:"Ages"` // ms since each was last heard
}

// watcher gathers words and answers from them. Nothing that serves clients waits for it.
type forecastCollector struct {
	log    zerolog.Logger
	host   string
	client http.Client
	cancel context.CancelFunc
	ctx    context.Context

	mu          sync.Mutex
	settings    ForecastSettings
	reports     map[string]receivedReport // by group and number
	rejected    map[string]int            // by reason
	unreachable int                       // sources that did not answer in the last round
	lastWarning map[string]time.Time

	projectionMu  sync.Mutex // of the words that the last answer rests on, and that answer
	projectionKey string
	projection    *forecast.Outlook
}

func (d *Daemon) newForecastCollector() *forecastCollector {
	w := &forecastCollector{log: d.log, host: d.settings.Name, settings: d.settings.Forecast, reports: map[string]receivedReport{},
		rejected: map[string]int{}, lastWarning: map[string]time.Time{},
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// loop asks around until the daemon has ended.
func (c *forecastCollector) run(d *Daemon) {
	go func() {
		<-d.loopEnded
		c.cancel()
	}()
	for c.ctx.Err() == nil {
		d.mu.Lock()
		local := map[string]string{} // operators' port: the instance that is there
		for _, process := range d.processes {
			if process.ready {
				local[process.AdminAddress] = process.Instance
			}
		}
		settings := d.settings.Forecast
		d.mu.Unlock()
		c.collect(settings, local)
		select {
		case <-c.ctx.Done():
		case <-time.After(time.Duration(settings.IntervalMillis * float64(time.Millisecond))):
		}
	}
}

// round asks every source once, a few at a time.
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
				c.warn(source, "no word", err)
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

// get reads an answer of at most so many bytes.
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
		c.reject(url, "too_long", fmt.Errorf("over %d bytes", maxBytes))
		return nil, errors.New("too long")
	}
	return body, err
}

// askInstance asks one instance for its word. Where its name is known it has to be that one's.
func (c *forecastCollector) queryInstance(address, name string) error {
	raw, err := c.fetch("http://"+address+admin.WordPath, instanceTimeout, forecast.LongestWord)
	if err == nil {
		c.accept(address, raw, 0, true, func(report *forecast.Word) error {
			if name != "" && (report.Name != name || report.Host != c.host) {
				return fmt.Errorf("it is said by %s of %s, not by %s", report.Name, report.Host, name)
			}
			return nil
		})
	}
	return err
}

// askNeighbour asks another daemon for the words of its instances.
func (c *forecastCollector) queryNeighbour(address string) error {
	raw, err := c.fetch("http://"+address+"/fleet/words", neighbourTimeout, forecast.LongestWords)
	if err != nil {
		return err
	}
	var exchange reportExchange
	if err := json.Unmarshal(raw, &exchange); err != nil {
		c.reject(address, "spoilt", err)
		return nil
	}
	if exchange.Format != reportsFormat {
		c.reject(address, "version", fmt.Errorf("form %d of words, not %d", exchange.Format, reportsFormat))
		return nil
	}
	if len(exchange.AgesMillis) != len(exchange.Reports) {
		c.reject(address, "spoilt", fmt.Errorf("%d ages for %d words", len(exchange.AgesMillis), len(exchange.Reports)))
		return nil
	}
	for i, report := range exchange.Reports {
		if !(exchange.AgesMillis[i] >= 0 && exchange.AgesMillis[i] <= float64(reportRetention.Milliseconds())) {
			c.reject(address, "spoilt", fmt.Errorf("a word of an age of %v ms", exchange.AgesMillis[i]))
			continue
		}
		age := time.Duration(exchange.AgesMillis[i] * float64(time.Millisecond))
		c.accept(address, report, age, false, func(*forecast.Word) error { return nil })
	}
	return nil
}

// hear takes a word that was said so long ago, unless something is wrong with it.
func (c *forecastCollector) accept(source string, raw []byte, age time.Duration, local bool, checkIdentity func(*forecast.Word) error) {
	report, err := forecast.Decode(raw)
	switch {
	case errors.Is(err, forecast.ErrForm):
		c.reject(source, "version", err)
		return
	case err != nil:
		c.reject(source, "spoilt", err)
		return
	}
	if err := checkIdentity(report); err != nil {
		c.reject(source, "stranger", err)
		return
	}
	if ahead := report.At - time.Now().UnixMilli(); ahead > forecast.MostAhead {
		c.reject(source, "ahead", fmt.Errorf("%s: its clock is %d ms ahead", report.Name, ahead))
		return
	}
	id, receivedAt := fmt.Sprintf("%s/%d", report.Group, report.Number), time.Now().Add(-age)
	c.mu.Lock()
	previous, known := c.reports[id]
	if known && (report.Name != previous.report.Name || report.Host != previous.report.Host) &&
		time.Since(previous.receivedAt) < time.Duration(c.settings.MaxReportAgeMillis*float64(time.Millisecond)) {
		c.mu.Unlock()
		c.reject(source, "stranger", fmt.Errorf("%s of %s says that it is number %d of %s, and so does %s of %s",
			report.Name, report.Host, report.Number, report.Group, previous.report.Name, previous.report.Host))
		return
	}
	defer c.mu.Unlock()
	if !known && len(c.reports) >= maxReports {
		c.rejected["too_many"]++
		return
	}
	if known && !report.Newer(previous.report) {
		if previous.local = previous.local || local; report.Life == previous.report.Life && report.Seq == previous.report.Seq && receivedAt.After(previous.receivedAt) {
			previous.receivedAt = receivedAt
		}
		c.reports[id] = previous
		return
	}
	c.reports[id] = receivedReport{report, bytes.Clone(raw), receivedAt, local}
}

// refuse counts and names what is not taken.
func (c *forecastCollector) reject(source, reason string, err error) {
	c.mu.Lock()
	c.rejected[reason]++
	c.mu.Unlock()
	c.warn(source, reason, err)
}

// complain logs a source's trouble, not too often.
func (c *forecastCollector) warn(source, reason string, err error) {
	if c.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	key := source + reason
	due := time.Since(c.lastWarning[key]) > warningInterval
	if due {
		if len(c.lastWarning) > 1000 {
			clear(c.lastWarning)
		}
		c.lastWarning[key] = time.Now()
	}
	c.mu.Unlock()
	if due {
		c.log.Warn().Err(err).Str("source", source).Str("why", reason).Msg("a word for the outlook was not taken")
	}
}

// words answers a neighbour.
func (c *forecastCollector) handleReports(response http.ResponseWriter, _ *http.Request) {
	exchange := reportExchange{Format: reportsFormat, Host: c.host, Reports: []json.RawMessage{}}
	c.mu.Lock()
	for _, report := range c.reports {
		if report.local {
			exchange.Reports = append(exchange.Reports, report.raw)
			exchange.AgesMillis = append(exchange.AgesMillis, float64(time.Since(report.receivedAt).Milliseconds()))
		}
	}
	c.mu.Unlock()
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(exchange)
}

// outlook answers operators. Where no word is new the answer is the one before.
func (c *forecastCollector) handleForecast(response http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	var reports []*forecast.Word
	var ids []string
	for id, received := range c.reports {
		reports = append(reports, received.report)
		ids = append(ids, fmt.Sprintf("%s %d %d", id, received.report.Life, received.report.Seq))
	}
	rules := c.settings.projectionRules()
	c.mu.Unlock()
	slices.Sort(ids)
	key := fmt.Sprint(ids, rules)
	c.projectionMu.Lock()
	if c.projectionKey != key {
		c.projectionKey, c.projection = key, forecast.Project(reports, rules)
	}
	projection := c.projection
	c.projectionMu.Unlock()
	if r.FormValue("form") == "text" {
		response.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = response.Write(forecast.AppendText(nil, projection))
		return
	}
	response.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(response)
	encoder.SetIndent("", " ")
	_ = encoder.Encode(projection)
}

// figures adds the watcher's own to the fleet's.
func (c *forecastCollector) writeStats(out *strings.Builder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(out, "fleet.outlook.words=%d\nfleet.outlook.silent=%d\n", len(c.reports), c.unreachable)
	for _, reason := range []string{"version", "spoilt", "stranger", "ahead", "too_long", "too_many"} {
		fmt.Fprintf(out, "fleet.outlook.refused.%s=%d\n", reason, c.rejected[reason])
	}
}
