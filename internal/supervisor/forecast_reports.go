package supervisor

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"willowdeck/internal/forecast"
)

// maxReports limits the stored reports; there is one for each instance.
const maxReports = 5000

// The reasons for rejecting a report, by their names in /fleet/stats.
const (
	rejectVersion   = "version"  // its format version is not supported
	rejectMalformed = "spoilt"   // it cannot be decoded, or has values out of range
	rejectIdentity  = "stranger" // not from the queried instance, or another instance has its number
	rejectClock     = "ahead"    // its time is in the future
	rejectTooLong   = "too_long"
	rejectTooMany   = "too_many" // maxReports are stored already
)

// rejectReasons are all reasons, in their order in /fleet/stats.
var rejectReasons = []string{
	rejectVersion, rejectMalformed, rejectIdentity, rejectClock, rejectTooLong, rejectTooMany,
}

// receivedReport is the latest report of an instance.
type receivedReport struct {
	report     *forecast.Report
	raw        json.RawMessage
	receivedAt time.Time
	local      bool // this daemon queries the instance itself
}

// accept stores a report that was received age ago, unless it is invalid, checkIdentity returns an error, or
// a newer one of the same instance is stored.
func (c *forecastCollector) accept(source string, raw []byte, age time.Duration, local bool,
	checkIdentity func(*forecast.Report) error) {
	report, err := forecast.DecodeReport(raw)
	switch {
	case errors.Is(err, forecast.ErrFormatVersion):
		c.reject(source, rejectVersion, err)
		return
	case err != nil:
		c.reject(source, rejectMalformed, err)
		return
	}
	if err := checkIdentity(report); err != nil {
		c.reject(source, rejectIdentity, err)
		return
	}
	if ahead := report.MeasuredAtMillis - time.Now().UnixMilli(); ahead > forecast.MaxClockSkewMillis {
		c.reject(source, rejectClock, fmt.Errorf("%s: its clock is %d ms ahead", report.Name, ahead))
		return
	}
	received := receivedReport{report, raw, time.Now().Add(-age), local}
	if err := c.storeIfNewer(received); err != nil {
		c.reject(source, rejectIdentity, err)
	}
}

// storeIfNewer stores a report if it is newer than the stored one of its instance. It is an error if another
// instance has reported under the same group and number within MaxReportAgeMillis.
func (c *forecastCollector) storeIfNewer(received receivedReport) error {
	report := received.report
	id := fmt.Sprintf("%s/%d", report.Group, report.Index)
	c.mu.Lock()
	defer c.mu.Unlock()
	kept, known := c.reports[id]
	maxAge := time.Duration(c.settings.MaxReportAgeMillis * float64(time.Millisecond))
	otherInstance := known && (report.Name != kept.report.Name || report.Host != kept.report.Host)
	switch {
	case !known && len(c.reports) >= maxReports:
		c.rejected[rejectTooMany]++
	case !known:
		c.store(id, received)
	case otherInstance && time.Since(kept.receivedAt) < maxAge:
		return fmt.Errorf(
			"%s of %s says that it is number %d of %s, and so does %s of %s",
			report.Name,
			report.Host,
			report.Index,
			report.Group,
			kept.report.Name,
			kept.report.Host,
		)
	case report.Newer(kept.report):
		c.store(id, received)
	default:
		kept.local = kept.local || received.local
		same := report.Incarnation == kept.report.Incarnation && report.Sequence == kept.report.Sequence
		if same && received.receivedAt.After(kept.receivedAt) {
			kept.receivedAt = received.receivedAt
		}
		c.reports[id] = kept
	}
	return nil
}

// store stores a report with a copy of its bytes, so that the longer response of which they are a part is not
// kept in memory. The caller holds the lock.
func (c *forecastCollector) store(id string, received receivedReport) {
	received.raw = bytes.Clone(received.raw)
	c.reports[id] = received
}

// reject counts and logs a rejected report or response.
func (c *forecastCollector) reject(source string, reason string, err error) {
	c.mu.Lock()
	c.rejected[reason]++
	c.mu.Unlock()
	c.warn(source, reason, err)
}
