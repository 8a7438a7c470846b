package configuration

import (
	"bytes"
	"encoding/json"
	"maps"

	"willowdeck/internal/serving/wirepb"
)

// Document is a configuration, split into the parts that an update may carry separately. It is immutable.
type Document struct {
	Generation uint64            // increased by the operator with each change; 0 means no configuration
	routes     map[string]string // JSON objects by routeKey
	services   string            // JSON array, or null
	limits     string            // JSON object, or null
}

// Parse parses a configuration that was validated before, by this build or an earlier one.
func Parse(body []byte) (*Document, error) {
	var parsed topLevel
	if err := json.Unmarshal(withoutMiscasedKeys(body), &parsed); err != nil {
		return nil, invalid("document", err.Error())
	}
	d := &Document{Generation: parsed.Generation, routes: make(map[string]string, len(parsed.Routes))}
	d.services = compactJSON(parsed.Services)
	d.limits = compactJSON(parsed.Limits)
	for _, raw := range parsed.Routes {
		if err := d.setRoute(raw); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// compactJSON returns the JSON text without insignificant space, or "null" for a part that is absent or
// invalid.
func compactJSON(raw json.RawMessage) string {
	var buffer bytes.Buffer
	if len(raw) == 0 || json.Compact(&buffer, raw) != nil {
		return "null"
	}
	return buffer.String()
}

// setRoute adds or replaces a route. It must be called only before the document is shared.
func (d *Document) setRoute(raw []byte) error {
	var key struct {
		Hostname   string `json:"hostname"`
		PathPrefix string `json:"path_prefix"`
	}
	if err := json.Unmarshal(raw, &key); err != nil {
		return invalid("route", err.Error())
	}
	d.routes[routeKey(key.Hostname, key.PathPrefix)] = compactJSON(raw)
	return nil
}

// Routes returns the JSON of each route, by its identity in updates. The map must not be changed.
func (d *Document) Routes() map[string]string { return d.routes }

// Services decodes the services.
func (d *Document) Services() ([]Service, error) {
	var services []Service
	return services, json.Unmarshal([]byte(d.services), &services)
}

// Limits decodes the limits on clients.
func (d *Document) Limits() (Limits, error) {
	var limits Limits
	return limits, json.Unmarshal([]byte(d.limits), &limits)
}

// FullUpdate returns the full update to d, which can be applied to any document or none.
func (d *Document) FullUpdate() *wirepb.ConfigurationUpdate {
	update := (&Document{}).UpdateTo(d)
	update.From = 0
	return update
}

// UpdateTo returns the delta that changes d into next.
func (d *Document) UpdateTo(next *Document) *wirepb.ConfigurationUpdate {
	update := &wirepb.ConfigurationUpdate{From: d.Generation, Generation: next.Generation}
	for key, raw := range next.routes {
		if d.routes[key] != raw {
			update.Routes = append(update.Routes, []byte(raw))
		}
	}
	for key := range d.routes {
		if _, kept := next.routes[key]; !kept {
			update.RemovedRoutes = append(update.RemovedRoutes, key)
		}
	}
	if next.services != d.services {
		update.Services = []byte(next.services)
	}
	if next.limits != d.limits {
		update.Limits = []byte(next.limits)
	}
	return update
}

// Apply returns the document that results from applying update to d. For a full update d may be nil. It
// returns an InvalidError for a delta whose base is not d.
func (d *Document) Apply(update *wirepb.ConfigurationUpdate) (*Document, error) {
	next := &Document{Generation: update.Generation, routes: map[string]string{}}
	next.services, next.limits = "null", "null"
	if update.From != 0 {
		if d == nil || d.Generation != update.From {
			return nil, invalid("update", "request a full update: the base of this one is unknown here")
		}
		next.services, next.limits = d.services, d.limits
		maps.Copy(next.routes, d.routes)
	}
	for _, key := range update.RemovedRoutes {
		delete(next.routes, key)
	}
	for _, raw := range update.Routes {
		if err := next.setRoute(withoutMiscasedKeys(raw)); err != nil {
			return nil, err
		}
	}
	if len(update.Services) > 0 {
		next.services = string(withoutMiscasedKeys(update.Services))
	}
	if len(update.Limits) > 0 {
		next.limits = string(withoutMiscasedKeys(update.Limits))
	}
	return next, nil
}
