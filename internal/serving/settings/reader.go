package settings

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

const (
	maxPort    = 65535
	maxNumber  = 1e12 // of any value; a greater one is rejected as a mistake
	maxSeconds = 1e9  // of a value in seconds, so that it fits a time.Duration
)

// reader converts the values of properties and keeps the first error.
type reader struct {
	properties *properties.Properties
	err        error // a *ValueError, or nil
}

// fail records the error of a value, unless an earlier value had one.
func (r *reader) fail(key, value, remedy string) {
	if r.err == nil {
		r.err = &ValueError{Key: key, Value: value, Remedy: remedy}
	}
}

// text returns a value without the white space around it, or "" if the key is not set.
func (r *reader) text(key string) string {
	return strings.TrimSpace(r.properties.GetString(key, ""))
}

func (r *reader) requiredText(key string) string {
	value := r.text(key)
	if value == "" {
		r.fail(key, value, "give it a value")
	}
	return value
}

// list returns the comma-separated items of a value, without empty ones.
func (r *reader) list(key string) []string {
	var values []string
	for value := range strings.SplitSeq(r.text(key), ",") {
		if value = strings.TrimSpace(value); value != "" {
			values = append(values, value)
		}
	}
	return values
}

func (r *reader) ip(key string) string {
	value := r.requiredText(key)
	if value != "" && net.ParseIP(value) == nil {
		r.fail(key, value, "give an IP number")
	}
	return value
}

func (r *reader) address(key string) string {
	value := r.text(key)
	if value == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		r.fail(key, value, "give IP:PORT")
	}
	return value
}

func (r *reader) boolean(key string) bool {
	value := r.text(key)
	switch value {
	case "true":
		return true
	case "false", "":
		return false
	}
	r.fail(key, value, "give true or false")
	return false
}

// number returns a number of at least 0, or fallback if the value is empty or invalid.
func (r *reader) number(key string, fallback float64) float64 {
	value := r.text(key)
	if value == "" {
		return fallback
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= 0 && number <= maxNumber) {
		r.fail(key, value, "give a number that is not negative")
		return fallback
	}
	return number
}

// milliseconds returns a value in milliseconds as a duration. fallback is in milliseconds too.
func (r *reader) milliseconds(key string, fallback float64) time.Duration {
	return time.Duration(r.number(key, fallback) * float64(time.Millisecond))
}

// seconds returns a value in seconds as a duration, truncated to whole microseconds. fallback is in seconds
// too.
func (r *reader) seconds(key string, fallback float64) time.Duration {
	seconds := r.number(key, fallback)
	if seconds > maxSeconds {
		r.fail(key, r.text(key), "give seconds, 1e9 at most")
		return 0
	}
	return time.Duration(seconds*float64(time.Millisecond)) * 1000
}

// ports parses a value of the form FIRST,LAST: an inclusive range of at least two ports.
func (r *reader) ports(key string) (first, last int) {
	value := r.requiredText(key)
	firstText, lastText, _ := strings.Cut(value, ",")
	first, firstErr := strconv.Atoi(strings.TrimSpace(firstText))
	last, lastErr := strconv.Atoi(strings.TrimSpace(lastText))
	if firstErr != nil || lastErr != nil || first < 1 || last > maxPort || last-first < 1 {
		r.fail(key, value, "give the first and the last of at least two ports, with a comma between them")
	}
	return first, last
}

// zones returns the regions by zone, from the keys of the form zones.ZONE=REGION.
func (r *reader) zones() map[string]string {
	zones := map[string]string{}
	for _, key := range r.properties.Keys() {
		if zone, ok := strings.CutPrefix(key, "zones."); ok {
			zones[zone] = r.requiredText(key)
		}
	}
	return zones
}
