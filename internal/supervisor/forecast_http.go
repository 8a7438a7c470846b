package supervisor

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"willowdeck/internal/forecast"
)

// handleReports answers a neighbour with the reports that this daemon has queried from instances itself.
func (c *forecastCollector) handleReports(w http.ResponseWriter, _ *http.Request) {
	exchange := reportExchange{Format: reportsFormat, Host: c.host, Reports: []json.RawMessage{}}
	c.mu.Lock()
	for _, received := range c.reports {
		if received.local {
			exchange.Reports = append(exchange.Reports, received.raw)
			exchange.AgesMillis = append(exchange.AgesMillis,
				float64(time.Since(received.receivedAt).Milliseconds()))
		}
	}
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(exchange)
}

// handleForecast answers operators with the forecast as JSON, or as text if the query has form=text.
func (c *forecastCollector) handleForecast(w http.ResponseWriter, r *http.Request) {
	projection := c.project()
	if r.FormValue("form") == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write(forecast.AppendText(nil, projection))
		return
	}
	writeJSON(w, projection)
}

// project returns the forecast from the stored reports. It returns the previous forecast if neither the
// reports nor the assumptions have changed since.
func (c *forecastCollector) project() *forecast.Forecast {
	c.mu.Lock()
	var reports []*forecast.Report
	var ids []string
	for id, received := range c.reports {
		reports = append(reports, received.report)
		ids = append(ids, fmt.Sprintf("%s %d %d", id, received.report.Incarnation, received.report.Sequence))
	}
	assumptions := c.settings.forecastAssumptions()
	c.mu.Unlock()
	slices.Sort(ids)
	key := fmt.Sprint(ids, assumptions)
	c.projectionMu.Lock()
	defer c.projectionMu.Unlock()
	if c.projectionKey != key {
		c.projectionKey, c.projection = key, forecast.Project(reports, assumptions)
	}
	return c.projection
}

// writeStats appends the collector's statistics to those of the daemon.
func (c *forecastCollector) writeStats(text *strings.Builder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(text, "fleet.outlook.words=%d\nfleet.outlook.silent=%d\n", len(c.reports), c.unreachable)
	for _, reason := range rejectReasons {
		fmt.Fprintf(text, "fleet.outlook.refused.%s=%d\n", reason, c.rejected[reason])
	}
}
