package configuration

import (
	"bytes"
	"encoding/json"

	"willowdeck/internal/serving/wirepb"
)

// Document is a configuration in parts that can be told one by one. It is not changed once made.
type Document struct {
	Generation uint64
	routes     map[string]string // by Route.Key, as JSON
	services   string            // JSON list
	limits     string            // JSON object
}

// Read splits a checked configuration into its parts.
func Read(body []byte) (*Document, error) {
	var parsed struct {
		Generation uint64            `json:"generation"`
		Routes     []json.RawMessage `json:"routes"`
		Services   json.RawMessage   `json:"services"`
		Limits     json.RawMessage   `json:"limits"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, invalid("the whole", err.Error())
	}
	d := &Document{Generation: parsed.Generation, routes: make(map[string]string, len(parsed.Routes))}
	d.services = compacted(parsed.Services)
	d.limits = compacted(parsed.Limits)
	for _, raw := range parsed.Routes {
		if err := d.setRoute(raw); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func compacted(raw json.RawMessage) string {
	var buffer bytes.Buffer
	if len(raw) == 0 || json.Compact(&buffer, raw) != nil {
		return "null"
	}
	return buffer.String()
}

func (d *Document) setRoute(raw []byte) error {
	var key struct {
		Hostname   string `json:"hostname"`
		PathPrefix string `json:"path_prefix"`
	}
	if err := json.Unmarshal(raw, &key); err != nil {
		return invalid("a route", err.Error())
	}
	d.routes[key.Hostname+key.PathPrefix] = compacted(raw)
	return nil
}

// Routes returns each route's JSON by its key. The map must not be changed.
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

// Whole returns the update that tells all of d.
func (d *Document) Whole() *wirepb.ConfigurationUpdate {
	update := (&Document{}).Difference(d)
	update.From = 0
	return update
}

// Difference returns the update that leads from d to next.
func (d *Document) Difference(next *Document) *wirepb.ConfigurationUpdate {
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

// Apply returns the document that update leads to from d. An update that is whole may have a nil d.
func (d *Document) Apply(update *wirepb.ConfigurationUpdate) (*Document, error) {
	next := &Document{Generation: update.Generation, routes: map[string]string{}}
	next.services, next.limits = "null", "null"
	if update.From != 0 {
		if d == nil || d.Generation != update.From {
			return nil, invalid("an update", "ask for the whole: its base is not held here")
		}
		next.services, next.limits = d.services, d.limits
		for key, raw := range d.routes {
			next.routes[key] = raw
		}
	}
	for _, key := range update.RemovedRoutes {
		delete(next.routes, key)
	}
	for _, raw := range update.Routes {
		if err := next.setRoute(raw); err != nil {
			return nil, err
		}
	}
	if len(update.Services) > 0 {
		next.services = string(update.Services)
	}
	if len(update.Limits) > 0 {
		next.limits = string(update.Limits)
	}
	return next, nil
}
